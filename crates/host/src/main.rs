//! `bergamotvaled`, the daemon that runs one host.
//!
//! Parses the command line, reads the settings and runs the host until SIGTERM, SIGINT or a plan
//! that drains it. Exit status: 0 after a graceful stop, 1 when the host cannot run, 2 when the
//! settings are invalid.

use anyhow::Context;
use bergamotvale_host::daemon::Daemon;
use bergamotvale_host::logging;
use bergamotvale_host::settings::Settings;
use bergamotvale_sessions as sessions;
use clap::{Arg, ArgAction, Command, value_parser};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

const EXIT_FAILED: u8 = 1;
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("bergamotvaled")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A host of bergamotvale, the database proxy with session consistency")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings of this host, YAML"),
        )
        .arg(
            Arg::new("sessions")
                .long("sessions")
                .action(ArgAction::SetTrue)
                .help("Serves sessions over the line protocol; the settings are a session host's"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Verifies the settings and exits"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("config").expect("--config is a required argument");
    let check = matches.get_flag("check");
    if matches.get_flag("sessions") {
        return run_sessions(path, check);
    }
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: settings hold", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs a session host, or only verifies its settings if `check` is set.
fn run_sessions(path: &Path, check: bool) -> ExitCode {
    let settings = match sessions::settings::Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: settings hold", path.display());
        return ExitCode::SUCCESS;
    }
    let result = logging::start_events()
        .context("cannot start logging")
        .and_then(|()| sessions::run::run(settings, path));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    let control = logging::Control::new(&settings.log).context("cannot start logging")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await.context("cannot start the host")?;
    drop(daemon.host.log_control.set(control));
    tokio::select! {
        () = daemon.leave_requested() => log::info!("a plan drains this host: stopping"),
        _ = terminate.recv() => log::info!("SIGTERM: stopping"),
        _ = interrupt.recv() => log::info!("SIGINT: stopping"),
    }
    daemon.stop().await;
    Ok(())
}
