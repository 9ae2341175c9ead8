//! Chooses the hosts that watch a group's primary.
//!
//! Every host computes the same set from the same members, and a host that joins or leaves changes
//! only the sets that it is in. Hosts are taken from the failure domains in turn, so the loss of
//! one domain never removes a majority of a set that spans three or more domains of similar size.

use crate::id::{FailureDomainId, HostId, ServiceId};
use crate::rendezvous::{self, Subject};
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of hosts that watch one group.
pub const MAX_WATCHERS: usize = 5;

/// Returns at most `count` hosts that watch `service`, in order of rank.
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
