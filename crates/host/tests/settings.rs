//! Checks that each settings text in `cases/settings` is accepted (`ok`) or rejected with the expected
//! message.

use bergamotvale_host::settings::Settings;
use std::path::Path;

/// Checks one case file: a settings text, a line `---`, and the expected outcome.
fn case(path: &Path) -> datatest_stable::Result<()> {
    let case = std::fs::read_to_string(path)?;
    let (text, expected) = case.split_once("\n---\n").ok_or("the case has no line `---`")?;

    let outcome = match Settings::parse(text) {
        Ok(_) => "ok".to_owned(),
        Err(fault) => fault.to_string(),
    };

    if outcome != expected.trim_end() {
        return Err(format!("expected: {expected}got: {outcome}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/cases/settings", pattern = r"\.case$" },
}
