//! Which hosts watch a group.
//!
//! Rendezvous hashing: every host computes the same set from the same members, and a host that
//! comes or goes changes only the sets that it is in. Failure domains take turns, so that the
//! loss of one never takes a majority of a set that spans three or more of like size.

use crate::id::{FailureDomainId, HostId, ServiceId};
use crate::random::mix;
use std::collections::{BTreeMap, BTreeSet};

/// Hosts that watch a group where there are more.
pub const WATCHERS: usize = 5;

/// The hosts that watch `service`, at most `count`, spread over failure domains.
pub fn choose(
    service: ServiceId,
    members: &BTreeMap<HostId, FailureDomainId>,
    count: usize,
) -> BTreeSet<HostId> {
    let mut domains: BTreeMap<FailureDomainId, Vec<HostId>> = BTreeMap::new();
    for host in ranking(u64::from(service), members.keys().copied()) {
        domains.entry(members[&host]).or_default().push(host);
    }
    let mut order: Vec<FailureDomainId> = domains.keys().copied().collect();
    order.sort_by_key(|domain| weight(u64::from(service), u64::from(*domain)));
    let deepest = domains.values().map(Vec::len).max().unwrap_or(0);
    let turns = (0..deepest).flat_map(|turn| order.iter().map(move |domain| (turn, *domain)));
    turns.filter_map(|(turn, domain)| domains[&domain].get(turn).copied()).take(count).collect()
}

/// `hosts` in the order that `salt` gives them.
pub fn ranking(salt: u64, hosts: impl Iterator<Item = HostId>) -> Vec<HostId> {
    let mut hosts: Vec<HostId> = hosts.collect();
    hosts.sort_by_key(|host| (weight(salt, u64::from(*host)), *host));
    hosts
}

fn weight(salt: u64, item: u64) -> u64 {
    mix(mix(salt.wrapping_add(1)) ^ item)
}
