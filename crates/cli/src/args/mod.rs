//! Parses the command line.
//!
//! [`grammar`] declares commands and arguments; this module turns the matches into data. A key is
//! never an argument, since arguments are visible in the list of processes.

pub mod grammar;

use bergamotvale_core::id::{KeyId, PlanId, TargetId};
use bergamotvale_core::plan::Intent;
use clap::ArgMatches;
use clap_complete::Shell;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Output format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Human,
    /// One JSON document.
    Json,
}

/// Address of a host and credentials for its operators' API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// Operators' listener of any host, or the metrics listener of a session host.
    pub host: SocketAddr,
    /// File that holds the operator's key; if None, the key comes from the environment.
    pub key_file: Option<PathBuf>,
    /// Certificate authority of the listener in PEM; TLS is used if it is set.
    pub ca: Option<PathBuf>,
}

/// A parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Output format of results.
    pub output: Output,
    /// Host that the command is sent to.
    pub access: Access,
    /// Command to execute.
    pub command: Command,
}

/// Command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Shows members, services, targets and client accounts.
    Status,
    /// Proposes an intent and prints its plan.
    Propose {
        /// Change that the plan is made for.
        intent: Intent,
        /// Whether to confirm the plan at once and wait until it is done or has failed.
        yes: bool,
    },
    /// Promotes the replica that lags least, other than `target`.
    ///
    /// If another target is the primary, that one is proposed.
    PromoteAway {
        /// Name of the service.
        service: String,
        /// Target that must not be the primary.
        target: TargetId,
        /// Whether to confirm the plan at once and wait until it is done or has failed.
        yes: bool,
    },
    /// Confirms a plan, which the fleet then executes.
    Confirm {
        /// Id of the plan.
        plan: PlanId,
        /// Whether to wait until the plan is done or has failed.
        wait: bool,
    },
    /// Lists all plans, or shows one with its steps.
    Plans(Option<PlanId>),
    /// Issues a key to the client account with this name.
    KeyIssue(String),
    /// Withdraws a key at once.
    KeyWithdraw(KeyId),
    /// Publishes the first configuration from a file in YAML or JSON.
    ConfigPut(PathBuf),
    /// Shows the configuration without the digests of keys.
    ConfigShow,
    /// Lists the operators' actions.
    Audit,
    /// Sets the log level of the host.
    LogLevel(String),
    /// Runs the demonstration, see [`crate::trial`].
    Try {
        /// Whether to leave the system running until an interrupt.
        keep: bool,
    },
    /// Runs a load scenario, see [`crate::bench`].
    Bench(Bench),
    /// Explains a request from the logs of session hosts.
    Explain {
        /// Id of the request.
        request: String,
        /// Log files, one per host; standard input is read if empty.
        logs: Vec<PathBuf>,
    },
    /// Shows the state of a session host.
    Sessions,
    /// Prints the completion script of a shell.
    Completions(Shell),
}

/// Arguments of `bench`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bench {
    /// File of the scenario.
    pub scenario: PathBuf,
    /// Whether to run the baseline variants too, for comparison.
    pub baseline: bool,
    /// File for the JSON report; not written if None.
    pub json: Option<PathBuf>,
    /// File for the HTML report; not written if None.
    pub html: Option<PathBuf>,
    /// Seed that replaces that of the scenario.
    pub seed: Option<u64>,
    /// Directory for settings and process ids of hosts that run in other processes.
    pub external: Option<PathBuf>,
}

/// Parses a command line with the name of the program first.
///
/// The error renders usage errors and the output of `--help` and `--version`.
pub fn parse<I, T>(line: I) -> Result<Invocation, clap::Error>
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = grammar::command().try_get_matches_from(line)?;
    Ok(Invocation {
        output: output(&matches),
        access: access(&matches),
        command: command(&matches),
    })
}

fn output(matches: &ArgMatches) -> Output {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Output::Json,
        _ => Output::Human,
    }
}

fn access(matches: &ArgMatches) -> Access {
    Access {
        host: required(matches, "host"),
        key_file: optional(matches, "key-file"),
        ca: optional(matches, "ca"),
    }
}

fn command(matches: &ArgMatches) -> Command {
    let (name, matches) = matches.subcommand().expect("clap requires a command");
    match name {
        "status" => Command::Status,
        "plan" => plan(matches),
        "promote" => promote(matches, matches.get_flag("yes")),
        "drain" => propose(drain(matches), matches.get_flag("yes")),
        "rate" => propose(rate(matches), matches.get_flag("yes")),
        "confirm" => {
            Command::Confirm { plan: required(matches, "plan"), wait: matches.get_flag("wait") }
        }
        "plans" => Command::Plans(optional(matches, "plan")),
        "key" => key(matches),
        "config" => config(matches),
        "audit" => Command::Audit,
        "log-level" => Command::LogLevel(required(matches, "level")),
        "try" => Command::Try { keep: matches.get_flag("keep") },
        "bench" => Command::Bench(bench(matches)),
        "explain" => Command::Explain {
            request: required(matches, "request"),
            logs: matches.get_many("logs").into_iter().flatten().cloned().collect(),
        },
        "sessions" => Command::Sessions,
        "completions" => Command::Completions(required(matches, "shell")),
        other => unreachable!("clap accepts no command {other}"),
    }
}

fn propose(intent: Intent, yes: bool) -> Command {
    Command::Propose { intent, yes }
}

fn plan(matches: &ArgMatches) -> Command {
    let (name, matches) = matches.subcommand().expect("clap requires an intent");
    match name {
        "promote" => promote(matches, false),
        "drain" => propose(drain(matches), false),
        "rotate" => propose(rotate(matches), false),
        _ => propose(rate(matches), false),
    }
}

fn promote(matches: &ArgMatches, yes: bool) -> Command {
    let service = required(matches, "service");
    match optional(matches, "away-from") {
        Some(target) => Command::PromoteAway { service, target, yes },
        None => propose(Intent::Promote { service, target: required(matches, "target") }, yes),
    }
}

fn drain(matches: &ArgMatches) -> Intent {
    let (name, matches) = matches.subcommand().expect("clap requires a drain command");
    if name == "host" {
        return Intent::DrainHost { host: required(matches, "id") };
    }
    let (service, target) = (required(matches, "service"), required(matches, "target"));
    match matches.get_flag("restore") {
        true => Intent::RestoreTarget { service, target },
        false => Intent::DrainTarget { service, target },
    }
}

fn rotate(matches: &ArgMatches) -> Intent {
    Intent::Rotate { account: required(matches, "account"), key_id: required(matches, "key") }
}

fn rate(matches: &ArgMatches) -> Intent {
    Intent::Rate {
        account: required(matches, "account"),
        rate: required(matches, "rate"),
        burst: required(matches, "burst"),
    }
}

fn key(matches: &ArgMatches) -> Command {
    let (name, matches) = matches.subcommand().expect("clap requires a key command");
    match name {
        "issue" => Command::KeyIssue(required(matches, "account")),
        "withdraw" => Command::KeyWithdraw(required(matches, "key")),
        _ => propose(rotate(matches), matches.get_flag("yes")),
    }
}

fn config(matches: &ArgMatches) -> Command {
    let (name, matches) = matches.subcommand().expect("clap requires a config command");
    match name {
        "put" => Command::ConfigPut(required(matches, "file")),
        _ => Command::ConfigShow,
    }
}

fn bench(matches: &ArgMatches) -> Bench {
    Bench {
        scenario: required(matches, "scenario"),
        baseline: matches.get_flag("baseline"),
        json: optional(matches, "json"),
        html: optional(matches, "html"),
        seed: optional(matches, "seed"),
        external: optional(matches, "external"),
    }
}

fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("clap requires the argument")
}
