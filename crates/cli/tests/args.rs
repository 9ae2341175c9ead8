//! Help text, argument errors and meanings of command lines, one case a file.

use bergamotvale_cli::args;
use serde::Deserialize;
use std::path::Path;

/// A command line and what is expected of it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Arguments after the program's name.
    line: Vec<String>,
    /// The command that it means.
    means: Option<String>,
    /// Exit status when it is not carried out.
    status: Option<i32>,
    /// What is printed then, whole.
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
