//! The frame of every file-driven test: a case is loaded, driven, and what came of it compared with
//! what the file expects.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::fmt::Debug;
use std::path::Path;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// A fault at a step: what is given, what happens, and what must come of it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Case<Given, Event, Expect = Vec<String>> {
    pub(crate) fault: String,
    pub(crate) step: String,
    pub(crate) given: Given,
    pub(crate) events: Vec<Event>,
    pub(crate) expect: Expect,
}

/// Reads a case.
pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_yaml_ng::from_str(&text)?)
}

/// Fails unless `drive` makes of the case just what the case expects; both are then printed.
pub(crate) fn check<Given, Event, Expect>(
    path: &Path,
    drive: impl FnOnce(&Case<Given, Event, Expect>) -> Result<Expect>,
) -> Result<()>
where
    Given: DeserializeOwned,
    Event: DeserializeOwned,
    Expect: DeserializeOwned + PartialEq + Debug,
{
    let case: Case<Given, Event, Expect> = read(path)?;
    let got = drive(&case).map_err(|error| describe(&case, &error.to_string()))?;
    if got == case.expect {
        return Ok(());
    }
    Err(describe(&case, &format!("expected {:#?}\ngot {got:#?}", case.expect)).into())
}

/// `text` with the fault and step of the case that it tells of.
pub(crate) fn describe<Given, Event, Expect>(
    case: &Case<Given, Event, Expect>,
    text: &str,
) -> String {
    format!("{} at {}: {text}", case.fault, case.step)
}
