//! Which hosts watch a group.
//!
//! Every host computes the same set from the same members, and a host that comes or goes changes
//! only the sets that it is in. Failure domains take turns, so that the loss of one never takes a
//! majority of a set that spans three or more of like size.

use crate::id::{FailureDomainId, HostId, ServiceId};
use crate::rendezvous::{self, Subject};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts that watch a group where there are more.
pub const MAX_WATCHERS: usize = 5;

/// The hosts that watch `service`, at most `count`, best first.
pub fn choose(
    service: ServiceId,
    members: &BTreeMap<HostId, FailureDomainId>,
    count: usize,
) -> Vec<HostId> {
    let hosts: BTreeSet<HostId> = members.keys().copied().collect();
    let ranked = rendezvous::choose(&hosts, Subject::Watch(u64::from(service)), hosts.len());
    let mut chosen =
        rendezvous::interleave_domains(ranked.into_iter().map(|host| (host, members[&host])));
    chosen.truncate(count);
    chosen
}
