//! Settings files with the message that each must give; `ok` for those that hold.

use bergamotvale_host::settings::Settings;
use std::path::Path;

/// A case is a settings text, a line `---`, and the expected outcome.
fn case(path: &Path) -> datatest_stable::Result<()> {
    let case = std::fs::read_to_string(path)?;
    let (text, expected) = case.split_once("\n---\n").ok_or("no line --- in the case")?;

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
