//! Entry point of the operators' command: prints errors and maps them to an exit status.

use bergamotvale_cli::{args, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let invocation = match args::parse(std::env::args_os()) {
        Ok(invocation) => invocation,
        Err(error) => error.exit(),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("bergamotvale: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run::run(invocation)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamotvale: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}
