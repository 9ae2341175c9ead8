//! Which hosts own a target's connections, and when operations are forwarded to them.
//!
//! A connection belongs to one client account. In a large fleet each host's even share of a
//! target's connections is too small to keep one open for every account that its callers use, so
//! most operations would open one. Then only the hosts in the target's failure domain open
//! connections to it, and each account has one owner among them to which all other hosts forward.
//!
//! Every host derives the owners from the members that the platform records, so that the parts of
//! all owners never sum to more than what is usable.

use super::lease::Member;
use crate::id::HostId;
use crate::rendezvous::{self, Subject};
use crate::share::share_of;
use std::collections::{BTreeMap, BTreeSet};

/// Accounts for each of which a host's even share of a target has to have one connection, so that
/// operations are not forwarded.
const ACCOUNTS_PER_CONNECTION: u64 = 8;

/// Part of the usable connections that a group opens while it stands in for a silent one. There are
/// at most two such groups, and the usable connections are 80% of the limit, so that all groups
/// together stay within the limit.
const SUBSTITUTE_DIVISOR: u64 = 8;

/// Whether operations at a target are forwarded to the owners of its connections.
///
/// They are if an even share of the `usable` connections among `members` hosts is less than one
/// connection for every [`ACCOUNTS_PER_CONNECTION`] accounts.
pub fn is_forwarded(usable: u64, members: usize, accounts: usize) -> bool {
    usable * ACCOUNTS_PER_CONNECTION < accounts as u64 * members as u64
}

/// Members that may own the connections of targets in one failure domain, from the preferred group
/// to the last resort: those of the domain, those of its region, and all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Owners {
    /// Groups without empty ones; each holds the members of the one before.
    groups: Vec<BTreeSet<HostId>>,
}

impl Owners {
    /// Returns the owners of targets in `domain`. `regions` names the region of each failure
    /// domain; domains without one count as one region.
    pub fn new(
        members: &BTreeMap<HostId, Member>,
        domain: &str,
        regions: &BTreeMap<String, String>,
    ) -> Owners {
        let select = |is_owner: &dyn Fn(&Member) -> bool| -> BTreeSet<HostId> {
            let owners = members.iter().filter(|(_, member)| is_owner(member));
            owners.map(|(host, _)| *host).collect()
        };
        let region = regions.get(domain);
        let groups = [
            select(&|member| member.domain == domain),
            select(&|member| regions.get(&member.domain) == region),
            select(&|_| true),
        ];
        let mut owners = Owners::default();
        for group in groups {
            if !group.is_empty() && owners.groups.last() != Some(&group) {
                owners.groups.push(group);
            }
        }
        owners
    }

    /// Returns the group that acts now with the number of connections that it may open in all: the
    /// most preferred one that has a live member. `None` if all members are silent.
    fn acting(
        &self,
        usable: u64,
        is_alive: impl Fn(HostId) -> bool,
    ) -> Option<(&BTreeSet<HostId>, u64)> {
        let position = self.groups.iter().position(|group| group.iter().any(|h| is_alive(*h)))?;
        let total = if position == 0 { usable } else { (usable / SUBSTITUTE_DIVISOR).max(1) };
        Some((&self.groups[position], total))
    }

    /// Returns the live owner of an account at a target, and then those that take over from it if
    /// it cannot be reached or refuses; at most `count`. Leaves out hosts without a part of the
    /// `usable` connections, see [`Owners::part_of`].
    pub fn ranked(
        &self,
        account: Subject,
        (usable, connections): (u64, Subject),
        count: usize,
        is_alive: impl Fn(HostId) -> bool,
    ) -> Vec<HostId> {
        let Some((group, total)) = self.acting(usable, &is_alive) else { return Vec::new() };
        let total = usize::try_from(total).unwrap_or(usize::MAX);
        let alive: BTreeSet<HostId> = if total < group.len() {
            let holders = rendezvous::choose(group, connections, total);
            holders.into_iter().filter(|host| is_alive(*host)).collect()
        } else {
            group.iter().copied().filter(|host| is_alive(*host)).collect()
        };
        rendezvous::choose(&alive, account, count)
    }

    /// Number of a target's `usable` connections that `host` may open; 0 if it is no owner.
    ///
    /// They are divided among all recorded members of the acting group, live or not: the part of a
    /// silent one is free for others only once its row is removed, when it can use it no more.
    /// Hosts that disagree on who is alive may act in different groups, so one that stands in for a
    /// silent group has only a small part of the connections.
    pub fn part_of(
        &self,
        host: HostId,
        (usable, connections): (u64, Subject),
        is_alive: impl Fn(HostId) -> bool,
    ) -> u64 {
        let Some((group, total)) = self.acting(usable, is_alive) else { return 0 };
        share_of(total, group, host, connections, group.len())
    }
}
