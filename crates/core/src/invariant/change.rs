//! An accepted configuration comes into force on every host in time and stays so.

use super::Violation;
use crate::id::{HostId, Time, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// A host acted on a version: it admitted a request, leased a connection or ran a step under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Action {
    /// The host.
    pub host: HostId,
    /// When.
    pub at: Time,
    /// The version that it acted on.
    pub version: Version,
}

/// Hosts never go back, and act on a version accepted before `bound` ago or on a later one.
///
/// `actions` are in order of time; `accepted` has when each version was accepted.
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
