//! Authority: how long a host may act on its copy of the shared state.
//!
//! Shared state that must not be used when stale (keys, configuration, rate shares, connection
//! shares) is versioned by one row of the platform's table, whose *epoch* grows with each accepted
//! change. A [`Holder`] knows the latest time `s` for which it is certain that
//!
//! > no epoch above its own had been accepted at time `s`
//!
//! and has authority, like the holder of a lease, until the validity has passed since `s`. There
//! are three ways to renew it:
//!
//! * A read of the row, sent at `s`, that shows no epoch above this host's.
//! * A peer's answer to a request sent at `s`: the peer's own renewal, of age `a`, is valid here
//!   as of `s - a` if this host's epoch is at least the peer's.
//! * A majority of the epoch's voters, each of which confirms in its answer to a request sent at
//!   `s` or later that it has this epoch and has recorded no announcement of a higher one.
//!
//! The last way needs the cooperation of writers: before the conditional write of epoch `e + 1`, a
//! writer has [`announcement_quorum`] voters of epoch `e` record the announcement, and a voter that
//! recorded `e + 1` never confirms `e` again. Each majority shares a voter with each set of that
//! size. If the shared voter recorded the announcement first, it did not confirm; if it confirmed
//! first, the write came later than `s`. A voter that restarts has a new incarnation, which is not
//! the recorded one, so its confirmation does not count. Authority can therefore be renewed without
//! limit while the store is down.
//!
//! Removal works the same way: a removed host is not in the higher epoch, so it loses its authority
//! at most one validity after the removal was accepted, whether or not it was notified.

use crate::id::{Epoch, HostId, Incarnation, Time};
use crate::peer::{Heartbeat, Member};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a renewal at which authority expires.
pub const VALIDITY: Duration = Duration::from_millis(1500);

/// Origin of the latest renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Source {
    /// A read of the platform's table.
    Store,
    /// A peer's own renewal.
    Peer,
    /// A majority of the voters.
    Voters,
}

/// Tracks the authority of one host.
#[derive(Debug, Clone)]
pub struct Holder {
    own: (HostId, Incarnation),
    validity: Duration,
    epoch: Epoch,
    recorded: bool,
    voters: BTreeMap<HostId, Incarnation>,
    renewed: Option<(Time, Source)>,
    pending_renewal: Option<Renewal>,
    confirmed: BTreeMap<HostId, Time>,
    pending_announcement: Option<PendingAnnouncement>,
}

/// Fact that no epoch above `epoch` had been accepted at `at`.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    epoch: Epoch,
    at: Time,
}

/// An announcement whose outcome is unknown here.
#[derive(Debug, Clone, Copy)]
struct PendingAnnouncement {
    epoch: Epoch,
    since: Time,
}

/// Number of voters that form a majority of `voters`.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Number of voters that must record an announcement, so that each majority includes one of them.
pub fn announcement_quorum(voters: usize) -> usize {
    (voters + 1).saturating_sub(majority(voters))
}

impl Holder {
    /// Creates a holder without authority: at epoch 0 and not recorded.
    pub fn new(host: HostId, incarnation: Incarnation) -> Holder {
        Holder {
            own: (host, incarnation),
            validity: VALIDITY,
            epoch: 0,
            recorded: false,
            voters: BTreeMap::new(),
            renewed: None,
            pending_renewal: None,
            confirmed: BTreeMap::new(),
            pending_announcement: None,
        }
    }

    /// Sets the time after a renewal at which authority expires.
    pub fn with_validity(mut self, validity: Duration) -> Holder {
        self.validity = validity;
        self
    }

    /// Epoch that this host acts on.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this incarnation of the host is in the epoch's member table.
    pub fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// Moves to a higher epoch with these members and voters; ignores any other epoch.
    pub fn adopt(
        &mut self,
        epoch: Epoch,
        members: &BTreeMap<HostId, Member>,
        voters: BTreeMap<HostId, Incarnation>,
    ) {
        if epoch <= self.epoch {
            return;
        }
        let (host, incarnation) = self.own;
        self.epoch = epoch;
        self.recorded = members.get(&host).is_some_and(|m| m.incarnation == incarnation);
        self.voters = voters;
        self.confirmed.clear();
        self.pending_announcement =
            self.pending_announcement.filter(|pending| pending.epoch > epoch);
        if let Some(renewal) = self.pending_renewal.take_if(|renewal| renewal.epoch <= epoch) {
            self.renew(renewal.at, Source::Store);
        }
    }

    /// Records the epoch found by a read of the store that was sent at `sent`.
    pub fn record_read(&mut self, sent: Time, epoch: Epoch) {
        if epoch <= self.epoch {
            self.renew(sent, Source::Store);
        } else if self.pending_renewal.is_none_or(|pending| pending.epoch <= epoch) {
            self.pending_renewal = Some(Renewal { epoch, at: sent });
        }
    }

    /// Records a peer's answer to a heartbeat that was sent at `sent`.
    pub fn record_answer(&mut self, sent: Time, answer: &Heartbeat) {
        if answer.epoch > self.epoch {
            return;
        }
        if let Some(at) = answer.age.and_then(|age| sent.checked_sub(age)) {
            self.renew(at, Source::Peer);
        }
        let host = answer.member.host;
        let recorded = self.voters.get(&host) == Some(&answer.member.incarnation);
        if recorded && answer.epoch == self.epoch && answer.announced.is_none() {
            let at = self.confirmed.entry(host).or_insert(sent);
            *at = sent.max(*at);
        }
    }

    /// Records that `epoch` is about to be written; returns whether it is above this host's epoch.
    pub fn record_announcement(&mut self, now: Time, epoch: Epoch) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        match &mut self.pending_announcement {
            Some(pending) => pending.epoch = pending.epoch.max(epoch),
            None => self.pending_announcement = Some(PendingAnnouncement { epoch, since: now }),
        }
        true
    }

    /// Highest announced epoch whose outcome this host does not know.
    pub fn announced(&self) -> Option<Epoch> {
        self.pending_announcement.map(|pending| pending.epoch)
    }

    /// Time of the first announcement whose outcome this host does not know.
    pub fn unresolved_since(&self) -> Option<Time> {
        self.pending_announcement.map(|pending| pending.since)
    }

    /// Whether this host has authority, that is, may act on its epoch.
    pub fn is_held(&self, now: Time) -> bool {
        self.recorded && self.age(now).is_some_and(|age| age <= self.validity)
    }

    /// Time since the latest renewal; `None` if there was none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.latest_renewal(now).map(|(at, _)| now.saturating_sub(at))
    }

    /// Origin of the latest renewal; `None` without authority.
    pub fn source(&self, now: Time) -> Option<Source> {
        self.latest_renewal(now).filter(|_| self.is_held(now)).map(|(_, source)| source)
    }

    fn latest_renewal(&self, now: Time) -> Option<(Time, Source)> {
        self.renewed.max(self.renewed_by_voters(now).map(|at| (at, Source::Voters)))
    }

    fn renew(&mut self, at: Time, source: Source) {
        self.renewed = self.renewed.max(Some((at, source)));
    }

    /// Latest time as of which a majority of the voters confirmed the epoch.
    fn renewed_by_voters(&self, now: Time) -> Option<Time> {
        let (host, incarnation) = self.own;
        let mut times: Vec<Time> = self.confirmed.values().copied().collect();
        if self.voters.get(&host) == Some(&incarnation) {
            times.push(self.pending_announcement.map_or(now, |pending| pending.since));
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(majority(self.voters.len()) - 1).copied()
    }
}
