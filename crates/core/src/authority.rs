//! How long a host may act on its copy of the shared state.
//!
//! Everything that hosts share and that must not be acted on when stale (keys, configuration, rate
//! shares, connection shares) hangs on one row of the platform's table, whose *epoch* grows with
//! each accepted change. A [`Holder`] keeps a proof of the form
//!
//! > no epoch above mine had been accepted at time `s`
//!
//! and holds authority while that proof is at most its validity old. Proofs come from three places:
//!
//! * A read of the row, sent at `s`, that shows an epoch this host has.
//! * A peer's answer to a request sent at `s`: the peer's own proof, of age `a`, proves `s - a`
//!   here when this host's epoch is at least the peer's.
//! * A majority of the epoch's voters, each confirming in answer to a request sent at `s` or later
//!   that it has this epoch and has noted no announcement of a higher one.
//!
//! The last needs the writers' cooperation: before the conditional write of epoch `e + 1` a writer
//! has [`announcement_quorum`] voters of epoch `e` note it, and a voter that noted `e + 1` confirms
//! `e` no more, ever. Each majority shares a voter with each set of that size. If the shared voter
//! noted first, it did not confirm; if it confirmed first, the write came later than `s`. A voter
//! that restarts has a new incarnation, which is not the recorded one, so its confirmation does
//! not count. The proof therefore holds while the store is down, and for any number of minutes.
//!
//! Removal works the same way: the host that was removed is not in the higher epoch, so that it has
//! lost its authority one validity after the removal was accepted, whether it heard or not.

use crate::id::{Epoch, HostId, Incarnation, Time};
use crate::peer::{Heartbeat, Member};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age at which a proof ends.
pub const VALIDITY: Duration = Duration::from_millis(1500);

/// Where the present proof comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Source {
    /// A read of the platform's table.
    Store,
    /// A peer's proof.
    Peer,
    /// A majority of the voters.
    Voters,
}

/// One host's authority.
#[derive(Debug, Clone)]
pub struct Holder {
    own: (HostId, Incarnation),
    validity: Duration,
    epoch: Epoch,
    recorded: bool,
    voters: BTreeMap<HostId, Incarnation>,
    proven: Option<(Time, Source)>,
    pending: Option<Proof>,
    confirmed: BTreeMap<HostId, Time>,
    noted: Option<Note>,
}

/// That no epoch above `epoch` had been accepted at `at`.
#[derive(Debug, Clone, Copy)]
struct Proof {
    epoch: Epoch,
    at: Time,
}

/// An announcement whose outcome is unknown here.
#[derive(Debug, Clone, Copy)]
struct Note {
    epoch: Epoch,
    since: Time,
}

/// Voters that make a majority of `voters`.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Voters that have to note an announcement: each majority includes one of them.
pub fn announcement_quorum(voters: usize) -> usize {
    (voters + 1).saturating_sub(majority(voters))
}

impl Holder {
    /// A host that knows nothing yet.
    pub fn new(host: HostId, incarnation: Incarnation) -> Holder {
        Holder {
            own: (host, incarnation),
            validity: VALIDITY,
            epoch: 0,
            recorded: false,
            voters: BTreeMap::new(),
            proven: None,
            pending: None,
            confirmed: BTreeMap::new(),
            noted: None,
        }
    }

    /// The same host with proofs that end at another age.
    pub fn with_validity(mut self, validity: Duration) -> Holder {
        self.validity = validity;
        self
    }

    /// Epoch that this host acts on.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this run of the host is in the epoch's member table.
    pub fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// Moves to a higher epoch, whose members and voters are given.
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
        self.noted = self.noted.filter(|note| note.epoch > epoch);
        if let Some(proof) = self.pending.take_if(|proof| proof.epoch <= epoch) {
            self.renew(proof.at, Source::Store);
        }
    }

    /// Takes the epoch that a read of the store, sent at `sent`, found.
    pub fn record_read(&mut self, sent: Time, epoch: Epoch) {
        if epoch <= self.epoch {
            self.renew(sent, Source::Store);
        } else if self.pending.is_none_or(|pending| pending.epoch <= epoch) {
            self.pending = Some(Proof { epoch, at: sent });
        }
    }

    /// Takes a peer's answer to a heartbeat that was sent at `sent`.
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

    /// Notes that `epoch` is about to be written; says whether it lies above this host's.
    pub fn record_announcement(&mut self, now: Time, epoch: Epoch) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        match &mut self.noted {
            Some(note) => note.epoch = note.epoch.max(epoch),
            None => self.noted = Some(Note { epoch, since: now }),
        }
        true
    }

    /// Announced epoch whose outcome is unknown here.
    pub fn announced(&self) -> Option<Epoch> {
        self.noted.map(|note| note.epoch)
    }

    /// Time since which an announcement's outcome has been unknown here.
    pub fn unresolved_since(&self) -> Option<Time> {
        self.noted.map(|note| note.since)
    }

    /// Whether this host may act on its epoch.
    pub fn is_held(&self, now: Time) -> bool {
        self.recorded && self.age(now).is_some_and(|age| age <= self.validity)
    }

    /// Age of the newest proof.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.latest_renewal(now).map(|(at, _)| now.saturating_sub(at))
    }

    /// Where the newest proof comes from.
    pub fn source(&self, now: Time) -> Option<Source> {
        self.latest_renewal(now).filter(|_| self.is_held(now)).map(|(_, source)| source)
    }

    fn latest_renewal(&self, now: Time) -> Option<(Time, Source)> {
        self.proven.max(self.renewed_by_voters(now).map(|at| (at, Source::Voters)))
    }

    fn renew(&mut self, at: Time, source: Source) {
        self.proven = self.proven.max(Some((at, source)));
    }

    /// Time by which a majority of the voters had confirmed the epoch.
    fn renewed_by_voters(&self, now: Time) -> Option<Time> {
        let (host, incarnation) = self.own;
        let mut times: Vec<Time> = self.confirmed.values().copied().collect();
        if self.voters.get(&host) == Some(&incarnation) {
            times.push(self.noted.map_or(now, |note| note.since));
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(majority(self.voters.len()) - 1).copied()
    }
}
