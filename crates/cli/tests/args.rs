//! Help texts, usage errors and parsed commands, one command line per file.

use bergamotvale_cli::args;
use serde::Deserialize;
use std::path::Path;

/// A command line and its expected outcome.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Arguments after the name of the program.
    line: Vec<String>,
    /// Debug output of the parsed command, if parsing succeeds.
    means: Option<String>,
    /// Exit status, if there is no command to execute.
    status: Option<i32>,
    /// Complete help or error text that is printed in that case.
    prints: Option<String>,
}

fn case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_yaml_ng::from_str(&std::fs::read_to_string(path)?)?;
    let line = std::iter::once("bergamotvale").chain(case.line.iter().map(String::as_str));

    let parsed = args::parse(line);

    match parsed {
        Ok(invocation) => {
            assert_eq!(Some(format!("{:?}", invocation.command)), case.means);
        }
        Err(error) => {
            assert_eq!(None, case.means, "{error}");
            assert_eq!(Some(error.exit_code()), case.status);
            assert_eq!(
                Some(error.render().to_string().trim_end()),
                case.prints.as_deref().map(str::trim_end)
            );
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/args", pattern = r"\.yaml$" },
}
