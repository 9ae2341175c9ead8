//! Checks that each accepted configuration comes into force on every host within a bound and is
//! never reverted.

use super::Violation;
use crate::id::{HostId, Time, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// A host admitted a request, leased a connection or executed a plan step under a configuration
/// version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Action {
    /// Host that acted.
    pub host: HostId,
    /// Time of the action.
    pub at: Time,
    /// Configuration version that the host acted on.
    pub version: Version,
}

/// Checks that no host returns to an earlier version, and that each acts on the newest version that
/// was accepted more than `bound` before, or on a later one.
///
/// `actions` are ordered by time; `accepted` holds the time at which each version was accepted.
pub fn verify(
    actions: &[Action],
    accepted: &BTreeMap<Version, Time>,
    bound: Duration,
) -> Result<(), Violation> {
    let mut latest: BTreeMap<HostId, Version> = BTreeMap::new();
    for action in actions {
        let Action { host, at, version } = *action;
        let seen = latest.entry(host).or_default();
        if version < *seen {
            return Err(Violation::Reverted { host, version });
        }
        *seen = version;
        let expected = accepted.iter().filter(|(_, since)| at > **since + bound);
        if expected.map(|(version, _)| *version).max().is_some_and(|expected| expected > version) {
            return Err(Violation::NotInForce { host, version });
        }
    }
    Ok(())
}
