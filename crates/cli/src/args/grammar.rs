//! Grammar of the command line, made with clap's builder.

use bergamotvale_core::id::{HostId, KeyId, PlanId, TargetId};
use clap::builder::{PathBufValueParser, PossibleValuesParser};
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use std::net::SocketAddr;

/// Operators' listener that is used without `--host`.
const DEFAULT_HOST: &str = "127.0.0.1:7380";

/// Environment variable that holds the operator's key if there is no `--key-file`.
pub const KEY_VARIABLE: &str = "BERGAMOTVALE_OPERATOR_KEY";

const AFTER_HELP: &str = "\
Operator key:
  Read from the file of --key-file, else from the variable BERGAMOTVALE_OPERATOR_KEY. It is never
  an argument.

Exit status:
  0  done; every verdict holds
  1  refused, or a verdict of try or bench failed
  2  a command line, file or setting that can't be used
  3  the host can't be reached

Nothing changes before a plan is confirmed: promote, drain, rate and key rotate print a plan, and
`bergamotvale confirm ID` carries it out.";

/// Returns the command with all of its subcommands and arguments.
pub fn command() -> Command {
    Command::new("bergamotvale")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates bergamotvale hosts")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .disable_help_subcommand(true)
        .args(global_args())
        .subcommands(plan_commands())
        .subcommands(host_commands())
        .subcommands(local_commands())
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new("host")
            .long("host")
            .value_name("ADDRESS")
            .help("Operators' listener of any host, as IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .default_value(DEFAULT_HOST)
            .global(true),
        Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .help("File that holds the operator's key")
            .value_parser(PathBufValueParser::new())
            .global(true),
        Arg::new("ca")
            .long("ca")
            .value_name("FILE")
            .help("Certificate authority of the listener, PEM; turns TLS on")
            .value_parser(PathBufValueParser::new())
            .global(true),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .help("How results are printed")
            .value_parser(PossibleValuesParser::new(["human", "json"]))
            .default_value("human")
            .global(true),
    ]
}

fn plan_commands() -> Vec<Command> {
    vec![
        Command::new("plan")
            .about("States an intent and prints its plan; changes nothing")
            .subcommand_required(true)
            .disable_help_subcommand(true)
            .subcommands([promote("bergamotvale plan"), drain(), rotate(), rate()]),
        Command::new("confirm")
            .about("Confirms a plan, which is then carried out")
            .arg(plan_id().required(true))
            .arg(flag("wait", "Waits until the plan is done or has failed")),
        Command::new("plans").about("Lists plans with their progress").arg(plan_id()),
        promote("bergamotvale").arg(yes()),
        drain().arg(yes().global(true)),
        rate().arg(yes()),
    ]
}

fn host_commands() -> Vec<Command> {
    vec![
        Command::new("status").about("Shows hosts, services, targets and client accounts"),
        Command::new("key")
            .about("Issues, withdraws and rotates client accounts' keys")
            .subcommand_required(true)
            .disable_help_subcommand(true)
            .subcommands([key_issue(), key_withdraw(), rotate().arg(yes())]),
        Command::new("config")
            .about("Puts the first configuration, or shows the one in force")
            .subcommand_required(true)
            .disable_help_subcommand(true)
            .subcommands([config_put(), config_show()]),
        Command::new("audit").about("Lists what operators did"),
        Command::new("log-level").about("Sets the host's log level").arg(
            Arg::new("level")
                .value_name("LEVEL")
                .required(true)
                .help("The lowest level that is logged")
                .value_parser(PossibleValuesParser::new([
                    "off", "error", "warn", "info", "debug", "trace",
                ])),
        ),
    ]
}

fn local_commands() -> Vec<Command> {
    vec![
        Command::new("try")
            .about("Starts a whole system on loopback and runs a walkthrough with verdicts")
            .arg(flag("keep", "Leaves the system up and prints its addresses")),
        bench(),
        explain(),
        sessions(),
        Command::new("completions").about("Prints a shell's completions").arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .help("The shell")
                .value_parser(value_parser!(Shell)),
        ),
    ]
}

/// Builds the command `promote`; `parent` is the part of the command line before its name.
fn promote(parent: &str) -> Command {
    let away = Arg::new("away-from")
        .long("away-from")
        .value_name("TARGET")
        .help("Takes the replica that lags least, other than this target")
        .value_parser(value_parser!(TargetId));
    Command::new("promote")
        .about("Makes a target its service's primary; no request is lost")
        .override_usage(format!(
            "{parent} promote [OPTIONS] <SERVICE> <TARGET>\n       \
             {parent} promote [OPTIONS] <SERVICE> --away-from <TARGET>",
        ))
        .arg(service())
        .arg(target().required(false).required_unless_present("away-from"))
        .arg(away.conflicts_with("target"))
}

fn drain() -> Command {
    Command::new("drain")
        .about("Takes a target or a host out of service; no request is cut")
        .subcommand_required(true)
        .disable_help_subcommand(true)
        .subcommand(
            Command::new("target")
                .about("Drains a target")
                .arg(service())
                .arg(target())
                .arg(flag("restore", "Gives the drained target new work again")),
        )
        .subcommand(
            Command::new("host").about("Drains a host").arg(
                Arg::new("id")
                    .value_name("HOST")
                    .required(true)
                    .help("Number of the host")
                    .value_parser(value_parser!(HostId)),
            ),
        )
}

fn rotate() -> Command {
    Command::new("rotate")
        .about("Issues a new key and withdraws an old one")
        .arg(account())
        .arg(key_id())
}

fn rate() -> Command {
    Command::new("rate")
        .about("Sets a client account's rate and burst over all hosts")
        .arg(account())
        .arg(positive_number("rate", "Requests a second"))
        .arg(positive_number("burst", "Requests above the rate at once"))
}

fn positive_number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .required(true)
        .help(help)
        .value_parser(value_parser!(u32).range(1..))
}

fn key_issue() -> Command {
    Command::new("issue").about("Issues a key and prints it this once").arg(account())
}

fn key_withdraw() -> Command {
    Command::new("withdraw")
        .about("Withdraws a key at once, also from callers already connected")
        .arg(key_id())
}

fn config_put() -> Command {
    Command::new("put").about("Puts the first configuration").arg(
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .help("The document, YAML or JSON")
            .value_parser(PathBufValueParser::new()),
    )
}

fn config_show() -> Command {
    Command::new("show").about("Shows the configuration, key digests left out")
}

fn bench() -> Command {
    Command::new("bench")
        .about("Runs a load scenario against a system in this process and reports measures")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO.yaml")
                .required(true)
                .help("The scenario; bench/ holds some")
                .value_parser(PathBufValueParser::new()),
        )
        .arg(flag("baseline", "Runs the plain variants too and prints ratios"))
        .arg(file("json", "Writes the report as JSON"))
        .arg(file("html", "Writes the report as one HTML page with plots"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed in place of the scenario's")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("external")
                .long("external")
                .value_name("DIR")
                .help("Writes hostN.yaml there and waits for daemons whose ids are in hostN.pid")
                .value_parser(PathBufValueParser::new()),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains a request from the logs of session hosts")
        .arg(Arg::new("request").value_name("ID").required(true).help("The request's id"))
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .num_args(0..)
                .help("Logs, one of each host; standard input without any")
                .value_parser(PathBufValueParser::new()),
        )
}

fn sessions() -> Command {
    Command::new("sessions").about(
        "Shows a session host's groups, targets, lease and rates; --host is its metrics address",
    )
}

fn service() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true).help("Name of the service")
}

fn target() -> Arg {
    Arg::new("target")
        .value_name("TARGET")
        .required(true)
        .help("Number of the target")
        .value_parser(value_parser!(TargetId))
}

fn account() -> Arg {
    Arg::new("account").value_name("ACCOUNT").required(true).help("Name of the client account")
}

fn key_id() -> Arg {
    Arg::new("key")
        .value_name("KEY-ID")
        .required(true)
        .help("Number of the key, not the key itself")
        .value_parser(value_parser!(KeyId))
}

fn plan_id() -> Arg {
    Arg::new("plan").value_name("ID").help("Number of the plan").value_parser(value_parser!(PlanId))
}

fn yes() -> Arg {
    flag("yes", "Confirms the plan at once and waits for its end")
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("FILE").help(help).value_parser(PathBufValueParser::new())
}
