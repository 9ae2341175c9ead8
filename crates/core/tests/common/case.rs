//! Frame of the tests that run case files: loads a case, drives the code under test with its events
//! and compares the result with the expectation in the file.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::fmt::Debug;
use std::path::Path;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// A case: a fault at a step of a protocol, with the initial state, the events and the expected
/// result.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Case<Given, Event, Expect = Vec<String>> {
    pub(crate) fault: String,
    pub(crate) step: String,
    pub(crate) given: Given,
    pub(crate) events: Vec<Event>,
    pub(crate) expect: Expect,
}

/// Reads a YAML file, such as a case.
pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_yaml_ng::from_str(&text)?)
}

/// Runs `drive` on the case and returns an error with both results unless its result is exactly the
/// expected one.
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
    let result = drive(&case).map_err(|error| describe(&case, &error.to_string()))?;
    if result == case.expect {
        return Ok(());
    }
    Err(describe(&case, &format!("expected {:#?}\ngot {result:#?}", case.expect)).into())
}

/// Prefixes `text` with the fault and step of the case that it is about.
pub(crate) fn describe<Given, Event, Expect>(
    case: &Case<Given, Event, Expect>,
    text: &str,
) -> String {
    format!("{} at {}: {text}", case.fault, case.step)
}
