//! How long a host may act on its copy of the table of groups and members.
//!
//! Each change of the table has a revision. A host holds the lease while it can prove that, at
//! most [`Limits::validity`] ago, no revision above its own existed. Proofs come from
//!
//! - the platform: a read sent at `s` that showed nothing newer proves `s`;
//! - a peer at the same revision: its own proof from the platform, with its age;
//! - a majority of the members, each at this revision. A writer has changed the table before it
//!   tells anybody, so this alone is not proof; it counts only while the platform itself was heard,
//!   directly or through peers, within [`Limits::max_attested_age`].
//!
//! A writer that wants to know when nobody acts on older revisions any more keeps a [`Barrier`].
//! It is over once every member has confirmed the revision; or, with silent members, once enough have
//! confirmed that no majority without them is left, plus the validity; or once the attestation limit and
//! the validity have passed since the write.
//!
//! Times count the time that a machine was suspended, so that a host which wakes up knows that its
//! lease has ended.

use crate::id::{HostId, Incarnation, Time};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a change of the table.
pub type Revision = u64;

/// A host as the table records it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its run.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// When the host entered the table, on the platform's clock. A run that finds the row of an
    /// earlier run of the same host takes its time over.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "entered_ms")]
    pub entered: Duration,
}

/// Time limits of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Age at which a proof ends.
    pub validity: Duration,
    /// Time for which members may vouch for each other without word from the platform.
    pub max_attested_age: Duration,
    /// Added to each wait for the end of others' leases: clocks differ a little in speed.
    pub clock_drift_margin: Duration,
}

/// What a peer's heartbeat says of its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// The peer.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Revision that it knows.
    pub revision: Revision,
    /// Revision below which nothing of it is under way any more.
    #[serde(rename = "settled")]
    pub quiesced: Revision,
    /// Age of its proof from the platform when it sent this.
    #[serde(rename = "proof_age")]
    pub renewal_age: Option<Duration>,
}

/// What was heard of a peer, with the time at which it certainly still held.
#[derive(Debug, Clone, Copy)]
struct Received {
    attestation: Attestation,
    at: Time,
}

/// One host's lease.
#[derive(Debug)]
pub struct Lease {
    own: (HostId, Incarnation),
    limits: Limits,
    revision: Revision,
    members: BTreeMap<HostId, Member>,
    /// The platform's clock, and when it was read.
    platform_clock: Option<(Time, Duration)>,
    renewed_at: Option<Time>,
    received: BTreeMap<HostId, Received>,
}

impl Lease {
    /// A host that has not read the table yet.
    pub fn new(host: HostId, incarnation: Incarnation, limits: Limits) -> Lease {
        Lease {
            own: (host, incarnation),
            limits,
            revision: 0,
            members: BTreeMap::new(),
            platform_clock: None,
            renewed_at: None,
            received: BTreeMap::new(),
        }
    }

    /// Time limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Revision of this host's copy.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Recorded members.
    pub fn members(&self) -> &BTreeMap<HostId, Member> {
        &self.members
    }

    /// Takes a newer copy of the table.
    pub fn adopt(&mut self, revision: Revision, members: BTreeMap<HostId, Member>) {
        if revision < self.revision {
            return;
        }
        if revision > self.revision {
            self.renewed_at = None;
        }
        self.revision = revision;
        self.received.retain(|host, _| members.contains_key(host));
        self.members = members;
    }

    /// Notes the platform's clock, read at `now`.
    pub fn set_platform_clock(&mut self, now: Time, platform: Duration) {
        self.platform_clock = Some((now, platform));
    }

    /// The platform's clock now; none before it was read.
    pub fn platform_now(&self, now: Time) -> Option<Duration> {
        self.platform_clock.map(|(at, platform)| platform + now.saturating_sub(at))
    }

    /// A read of the table, sent at `sent`, showed nothing above `revision`.
    pub fn renew(&mut self, sent: Time, revision: Revision) {
        if revision == self.revision {
            self.renewed_at = self.renewed_at.max(Some(sent));
        }
    }

    /// Takes a peer's heartbeat that cannot have been made before `made`.
    pub fn record_attestation(&mut self, made: Time, attestation: Attestation) {
        if attestation.revision == self.revision
            && let Some(at) = attestation.renewal_age.and_then(|age| made.checked_sub(age))
        {
            self.renewed_at = self.renewed_at.max(Some(at));
        }
        let received =
            self.received.entry(attestation.host).or_insert(Received { attestation, at: made });
        if made >= received.at {
            *received = Received { attestation, at: made };
        }
    }

    /// Age of the newest proof from the platform, directly or through peers.
    pub fn renewal_age(&self, now: Time) -> Option<Duration> {
        self.renewed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether this host may act on its copy.
    pub fn is_held(&self, now: Time) -> bool {
        let (host, incarnation) = self.own;
        let is_recorded = self.members.get(&host).is_some_and(|m| m.incarnation == incarnation);
        let Some(age) = self.renewal_age(now) else { return false };
        if !is_recorded {
            return false;
        }
        age <= self.limits.validity
            || (age <= self.limits.max_attested_age && self.is_attested(now))
    }

    /// Peers heard of within `within`.
    pub fn live_peers(&self, now: Time, within: Duration) -> Vec<HostId> {
        let fresh = |received: &Received| now.saturating_sub(received.at) <= within;
        self.received
            .iter()
            .filter(|(_, received)| fresh(received))
            .map(|(host, _)| *host)
            .collect()
    }

    /// Whether a majority of the members, with this host, was at this revision lately.
    fn is_attested(&self, now: Time) -> bool {
        let agrees = |host: &HostId| {
            self.received.get(host).is_some_and(|received| {
                self.is_current_incarnation(host, received.attestation.incarnation)
                    && received.attestation.revision == self.revision
                    && now.saturating_sub(received.at) <= self.limits.validity
            })
        };
        let others = self.members.keys().filter(|host| **host != self.own.0);
        let count = 1 + others.filter(|host| agrees(host)).count();
        count >= majority(self.members.len())
    }

    fn is_current_incarnation(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.members.get(host).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether `host` has confirmed `revision` and has nothing older under way.
    fn has_quiesced(&self, host: &HostId, revision: Revision) -> bool {
        self.received.get(host).is_some_and(|received| {
            self.is_current_incarnation(host, received.attestation.incarnation)
                && received.attestation.quiesced >= revision
        })
    }

    /// Whether every member has confirmed `revision`.
    pub fn has_quiesced_everywhere(&self, revision: Revision) -> bool {
        let mut others = self.members.keys().filter(|host| **host != self.own.0);
        others.all(|host| self.has_quiesced(host, revision))
    }

    /// Whether no majority is left that could vouch for a revision below `revision`.
    pub fn has_majority_quiesced(&self, now: Time, revision: Revision) -> bool {
        let recent = self.limits.max_attested_age + self.limits.validity;
        let Some(platform_now) = self.platform_now(now) else { return false };
        let is_new = |host: &HostId| {
            let entered = self.members.get(host).map(|member| member.entered);
            entered.is_none_or(|entered| platform_now.saturating_sub(entered) < recent)
        };
        let others = self.members.keys().filter(|host| **host != self.own.0);
        let settled = others.filter(|host| !is_new(host) && self.has_quiesced(host, revision));
        let count = settled.count() + usize::from(!is_new(&self.own.0));
        count > self.members.len() - majority(self.members.len())
    }
}

/// A wait until nobody acts on revisions below one that was written.
#[derive(Debug, Clone, Copy)]
pub struct Barrier {
    revision: Revision,
    written: Time,
    majority_quiesced_at: Option<Time>,
}

impl Barrier {
    /// For `revision`, whose write was confirmed at `written`.
    pub fn new(revision: Revision, written: Time) -> Barrier {
        Barrier { revision, written, majority_quiesced_at: None }
    }

    /// Whether nobody acts on an older revision any more.
    pub fn has_passed(&mut self, lease: &Lease, now: Time) -> bool {
        if lease.has_quiesced_everywhere(self.revision) {
            return true;
        }
        if self.majority_quiesced_at.is_none() && lease.has_majority_quiesced(now, self.revision) {
            self.majority_quiesced_at = Some(now);
        }
        let limits = lease.limits();
        let validity = limits.validity + limits.clock_drift_margin;
        let since_write = now.saturating_sub(self.written);
        let majority =
            self.majority_quiesced_at.is_some_and(|at| now.saturating_sub(at) >= validity);
        majority || since_write >= validity + limits.max_attested_age
    }
}

/// Members that make a majority of `members`.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}
