//! Division of a total between hosts, so that the shares in use never exceed it.
//!
//! Every host derives its share from the members that the platform records: shares are neither
//! negotiated nor stored. A share shrinks immediately. A share that grows waits until every other
//! host has seen the same members or has lost its authority. That takes the lifetime of authority,
//! since no host acts on older state than that. Until then a host uses the smallest of its old and
//! new shares, so the shares in use never sum to more than the total.

use crate::id::{Epoch, HostId, Time};
use crate::rendezvous::{self, Subject};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Returns the share of `total` that `host` has among the first `holders` of `members`.
///
/// Holders are ranked for `subject` by rendezvous hashing. The remainder of the division goes to
/// the first holders, one each; a host that is no holder has zero.
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

/// Counts the divisions that a host has seen, in order to detect missed ones.
///
/// A division is determined by the members of an epoch, so a host that skips an epoch may have
/// missed a division.
#[derive(Debug, Clone, Default)]
pub struct DivisionCounter {
    epoch: Epoch,
    members: BTreeSet<HostId>,
    generation: u64,
}

impl DivisionCounter {
    /// Adopts the members of `epoch`; true if a division may have been missed.
    pub fn adopt(&mut self, epoch: Epoch, members: &BTreeSet<HostId>) -> bool {
        let missed = self.epoch > 0 && epoch > self.epoch + 1;
        let changed = self.members != *members;
        self.generation += if missed { 2 } else { u64::from(changed) };
        self.epoch = epoch;
        self.members.clone_from(members);
        missed
    }

    /// Number of divisions so far; a possibly missed one adds two, so that the gap shows.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Members between which the total is divided.
    pub fn members(&self) -> &BTreeSet<HostId> {
        &self.members
    }
}

/// A share over time: shrinks immediately, and grows once the old division is no longer valid.
#[derive(Debug, Clone)]
pub struct Share {
    growth_delay: Duration,
    current: u64,
    replaced: VecDeque<Replaced>,
}

/// An earlier value of a share, which other hosts may still rely on.
#[derive(Debug, Clone, Copy)]
struct Replaced {
    value: u64,
    valid_until: Time,
}

impl Share {
    /// Creates a share of zero. `growth_delay` is the lifetime of authority plus its margin.
    pub fn new(growth_delay: Duration) -> Share {
        Share { growth_delay, current: 0, replaced: VecDeque::new() }
    }

    /// Creates a share that is valid immediately, since this host had it under the same members.
    pub fn with_value(growth_delay: Duration, value: u64) -> Share {
        Share { growth_delay, current: value, replaced: VecDeque::new() }
    }

    /// Sets the share under the newest members.
    pub fn update(&mut self, value: u64, now: Time) {
        if value == self.current {
            return;
        }
        self.replaced
            .push_back(Replaced { value: self.current, valid_until: now + self.growth_delay });
        self.current = value;
    }

    /// Records that a division was missed, under which this host may have had no share.
    ///
    /// The shares of others may have grown under it, so nothing is usable until it is no longer
    /// valid.
    pub fn record_missed_division(&mut self, now: Time) {
        self.replaced.push_back(Replaced { value: 0, valid_until: now + self.growth_delay });
    }

    /// The share that may be used now.
    pub fn usable(&mut self, now: Time) -> u64 {
        while self.replaced.front().is_some_and(|old| old.valid_until <= now) {
            self.replaced.pop_front();
        }
        self.replaced.iter().map(|old| old.value).fold(self.current, u64::min)
    }
}
