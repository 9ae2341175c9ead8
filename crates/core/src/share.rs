//! Division of a total between hosts, so that the parts never sum to more.
//!
//! Every host derives its part from the members that the platform records: no part is negotiated
//! and none is stored. A part that shrinks does so at once. A part that grows waits until
//! every other host has seen the same members or has lost its authority, which takes the lifetime
//! of authority, since nobody acts on older knowledge than that. Until then a host uses the least
//! of its old and new parts; so, at any time, the parts in use sum to no more than the total.

use crate::id::{Epoch, HostId, Time};
use crate::rendezvous::{self, Subject};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Share of `total` that `host` has among the first `holders` of `members` for `subject`.
///
/// What does not divide goes, one each, to the first holders.
pub fn share_of(
    total: u64,
    members: &BTreeSet<HostId>,
    host: HostId,
    subject: Subject,
    holders: usize,
) -> u64 {
    let chosen = rendezvous::choose(members, subject, holders);
    let Some(rank) = chosen.iter().position(|h| *h == host) else { return 0 };
    let count = chosen.len() as u64;
    total / count + u64::from((rank as u64) < total % count)
}

/// Counts the divisions that a host goes through, so that one that it missed shows.
///
/// A division follows from the epoch's members. Whoever skips an epoch may have missed one.
#[derive(Debug, Clone, Default)]
pub struct DivisionCounter {
    epoch: Epoch,
    members: BTreeSet<HostId>,
    generation: u64,
}

impl DivisionCounter {
    /// Takes the members of `epoch`; says whether a division may have been missed.
    pub fn adopt(&mut self, epoch: Epoch, members: &BTreeSet<HostId>) -> bool {
        let missed = self.epoch > 0 && epoch > self.epoch + 1;
        let changed = self.members != *members;
        self.generation += if missed { 2 } else { u64::from(changed) };
        self.epoch = epoch;
        self.members.clone_from(members);
        missed
    }

    /// Divisions so far, counting one that may have been missed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Members among whom to divide.
    pub fn members(&self) -> &BTreeSet<HostId> {
        &self.members
    }
}

/// A part over time: shrinks at once, grows after the old division is out of force.
#[derive(Debug, Clone)]
pub struct Share {
    settle: Duration,
    current: u64,
    replaced: VecDeque<Replaced>,
}

/// A part that other hosts may still count on.
#[derive(Debug, Clone, Copy)]
struct Replaced {
    value: u64,
    until: Time,
}

impl Share {
    /// Nothing yet. `settle` is the lifetime of authority with its margin.
    pub fn new(settle: Duration) -> Share {
        Share { settle, current: 0, replaced: VecDeque::new() }
    }

    /// A part that this host had under the same members before, so that it holds at once.
    pub fn with_value(settle: Duration, value: u64) -> Share {
        Share { settle, current: value, replaced: VecDeque::new() }
    }

    /// Notes the part under the newest members.
    pub fn update(&mut self, value: u64, now: Time) {
        if value == self.current {
            return;
        }
        self.replaced.push_back(Replaced { value: self.current, until: now + self.settle });
        self.current = value;
    }

    /// Notes that a division was missed, in which this host may have had nothing.
    ///
    /// Others may have grown under it, so nothing is used until it is out of force.
    pub fn record_missed_division(&mut self, now: Time) {
        self.replaced.push_back(Replaced { value: 0, until: now + self.settle });
    }

    /// Share that may be used.
    pub fn usable(&mut self, now: Time) -> u64 {
        while self.replaced.front().is_some_and(|old| old.until <= now) {
            self.replaced.pop_front();
        }
        self.replaced.iter().map(|old| old.value).fold(self.current, u64::min)
    }
}
