//! An accepted configuration comes into force on every host in time and stays so.

use super::Broken;
use crate::id::{HostId, Time, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// A host acted on a version: it admitted a request, leased a connection or ran a step under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Act {
    /// The host.
    pub host: HostId,
    /// When.
    pub at: Time,
    /// The version that it acted on.
    pub version: Version,
}

/// Hosts never go back, and act on a version accepted before `bound` ago or on a later one.
///
/// `acts` are in order of time; `accepted` has when each version was accepted.
pub fn verify(
    acts: &[Act],
    accepted: &BTreeMap<Version, Time>,
    bound: Duration,
) -> Result<(), Broken> {
    let mut reached: BTreeMap<HostId, Version> = BTreeMap::new();
    for act in acts {
        let Act { host, at, version } = *act;
        let known = reached.entry(host).or_default();
        if version < *known {
            return Err(Broken::Reverted { host, version });
        }
        *known = version;
        let due = accepted.iter().filter(|(_, since)| at > **since + bound);
        if due.map(|(version, _)| *version).max().is_some_and(|due| due > version) {
            return Err(Broken::NotInForce { host, version });
        }
    }
    Ok(())
}
