//! The lease under which a host may act on its copy of the table of groups and members.
//!
//! Every change of the table gets a new revision. A host holds the lease while it knows that no
//! revision above its own existed at some time within the last [`Limits::validity`]. Three sources
//! establish that:
//!
//! - the platform: a read sent at `s` that showed nothing newer renews the lease as of `s`;
//! - a peer at the same revision: its own renewal from the platform, dated back by the reported
//!   age;
//! - a majority of the members, all at this revision, heard from them or from a peer that has heard
//!   them. A writer changes the table before it notifies
//!   any host, so a majority alone does not rule out a newer revision. It counts only while the
//!   last renewal from the platform, direct or through peers, is no older than
//!   [`Limits::max_attested_age`].
//!
//! A writer that has to know when no host acts on older revisions any more uses a [`Barrier`]. It
//! is passed at the earliest of three points:
//!
//! - every member has confirmed the revision;
//! - if members are silent: so many have confirmed that the rest form no majority, and the validity
//!   has passed since;
//! - the maximum attested age plus the validity have passed since the write.
//!
//! In a planned handover hosts may finish open work under the older revision for a bounded time
//! after that, which the latter two points then include.
//!
//! Times come from a clock that also counts while the machine is suspended, so that a host that
//! resumes finds its lease expired.

use super::revision::{Era, Revision};
use crate::id::{HostId, Incarnation, Time};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A host as the table records it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of the host process that is recorded.
    pub incarnation: Incarnation,
    /// Address at which peers reach it.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub domain: String,
    /// When the host entered the table, on the platform's clock. A new incarnation that finds the
    /// row of an earlier one of the same host keeps that row's time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "entered_ms")]
    pub entered: Duration,
}

/// Time limits of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum age of a renewal by the platform on which a host may act without a majority, and of
    /// a peer's attestation that counts towards one.
    pub validity: Duration,
    /// Maximum age of a renewal by the platform while a majority of the members attests the
    /// revision.
    pub max_attested_age: Duration,
    /// Added to each wait for other hosts' leases to expire, because clocks differ slightly in
    /// speed.
    pub clock_drift_margin: Duration,
}

/// State of a peer's lease as reported in its heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Host that sent the heartbeat.
    pub host: HostId,
    /// Incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
    /// Revision of its copy of the table.
    pub revision: Revision,
    /// The host has adopted this revision and has no work in flight under an older one.
    #[serde(rename = "settled")]
    pub quiesced: Revision,
    /// Age of its last renewal by the platform when it sent the heartbeat; none before the first.
    #[serde(rename = "proof_age")]
    pub renewal_age: Option<Duration>,
    /// Newest era of the store whose table the host has read and completed with what it remembers
    /// of the era before; none before the first.
    pub reconciled: Option<Era>,
    /// Age of the newest time as of which the host knows that a majority of the members was at this
    /// revision; none if it knows of no such time.
    pub majority_age: Option<Duration>,
}

/// The latest attestation of a peer, with a time no later than that at which it was made.
#[derive(Debug, Clone, Copy)]
struct Received {
    attestation: Attestation,
    at: Time,
}

/// Lease of one host, with what it knows of its peers' leases.
#[derive(Debug)]
pub struct Lease {
    own: (HostId, Incarnation),
    limits: Limits,
    revision: Revision,
    members: BTreeMap<HostId, Member>,
    /// When the platform's clock was read, and what it showed.
    platform_clock: Option<(Time, Duration)>,
    renewed_at: Option<Time>,
    /// Time of the newest renewal at any revision. The changes that this host has adopted since were
    /// made after it.
    last_renewed_at: Option<Time>,
    /// Newest time as of which a peer has reported that a majority was at this revision.
    relayed_majority_at: Option<Time>,
    attestations: BTreeMap<HostId, Received>,
}

impl Lease {
    /// Creates the lease of a host that has not read the table yet; it is not held.
    pub fn new(host: HostId, incarnation: Incarnation, limits: Limits) -> Lease {
        Lease {
            own: (host, incarnation),
            limits,
            revision: Revision::default(),
            members: BTreeMap::new(),
            platform_clock: None,
            renewed_at: None,
            last_renewed_at: None,
            relayed_majority_at: None,
            attestations: BTreeMap::new(),
        }
    }

    /// The limits that the lease was created with.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Revision of this host's copy of the table; the default before it was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Members that this host's copy of the table records.
    pub fn members(&self) -> &BTreeMap<HostId, Member> {
        &self.members
    }

    /// Replaces the copy of the table; an older revision is ignored. A newer one has to be renewed
    /// before the lease is held again.
    pub fn adopt(&mut self, revision: Revision, members: BTreeMap<HostId, Member>) {
        if revision < self.revision {
            return;
        }
        if revision > self.revision {
            self.renewed_at = None;
            self.relayed_majority_at = None;
        }
        self.revision = revision;
        self.attestations.retain(|host, _| members.contains_key(host));
        self.members = members;
    }

    /// Records what the platform's clock showed at `now`.
    pub fn set_platform_clock(&mut self, now: Time, platform: Duration) {
        self.platform_clock = Some((now, platform));
    }

    /// Time on the platform's clock at `now`; none before the clock was read.
    pub fn platform_now(&self, now: Time) -> Option<Duration> {
        self.platform_clock.map(|(at, platform)| platform + now.saturating_sub(at))
    }

    /// Renews the lease as of `sent`, the time at which a read of the table was sent that showed
    /// nothing above `revision`. Ignored unless `revision` is that of this host's copy.
    pub fn renew(&mut self, sent: Time, revision: Revision) {
        if revision == self.revision {
            self.record_renewal(sent);
        }
    }

    fn record_renewal(&mut self, at: Time) {
        self.renewed_at = self.renewed_at.max(Some(at));
        self.last_renewed_at = self.last_renewed_at.max(Some(at));
    }

    /// When a lease on the present copy of the table ends if a newer revision exists. The host may
    /// finish work under the revision before until then although it knows of the newer one: who
    /// writes a change waits for that long.
    pub fn end_if_superseded(&self) -> Time {
        self.last_renewed_at.map_or(Time::ZERO, |at| at + self.limits.validity)
    }

    /// Records the attestation in a peer's heartbeat, which was created at `created_after` at the
    /// earliest.
    ///
    /// Its renewal by the platform renews this host's lease too if both are at the same revision.
    /// An attestation that is older than the recorded one does not replace it.
    pub fn record_attestation(&mut self, created_after: Time, attestation: Attestation) {
        if attestation.revision == self.revision
            && let Some(at) = attestation.renewal_age.and_then(|age| created_after.checked_sub(age))
        {
            self.record_renewal(at);
        }
        if attestation.revision == self.revision
            && let Some(at) =
                attestation.majority_age.and_then(|age| created_after.checked_sub(age))
        {
            self.relayed_majority_at = self.relayed_majority_at.max(Some(at));
        }
        let received = self
            .attestations
            .entry(attestation.host)
            .or_insert(Received { attestation, at: created_after });
        if created_after >= received.at {
            *received = Received { attestation, at: created_after };
        }
    }

    /// Age of the newest renewal by the platform, direct or through peers; none before the first.
    pub fn renewal_age(&self, now: Time) -> Option<Duration> {
        self.renewed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether this host may act on its copy of the table: the table records its incarnation, and
    /// the newest renewal is recent enough.
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

    /// Peers whose latest attestation is no older than `within`.
    pub fn live_peers(&self, now: Time, within: Duration) -> Vec<HostId> {
        let fresh = |received: &Received| now.saturating_sub(received.at) <= within;
        self.attestations
            .iter()
            .filter(|(_, received)| fresh(received))
            .map(|(host, _)| *host)
            .collect()
    }

    /// Whether a majority of the members was at this revision within the validity, as far as this
    /// host has heard it from them or from a peer that has.
    fn is_attested(&self, now: Time) -> bool {
        self.majority_age(now).is_some_and(|age| age <= self.limits.validity)
    }

    /// Age of the newest time as of which a majority of the members is known to have been at this
    /// revision; none if there is no such time.
    ///
    /// A peer's report of a majority counts like attestations of its members: who waits until no
    /// majority attests an older revision has confirmations of members that no later majority can
    /// do without.
    pub fn majority_age(&self, now: Time) -> Option<Duration> {
        let agrees = |host: &HostId| {
            let received = self.attestations.get(host)?;
            let is_same = received.attestation.revision == self.revision
                && self.is_current_incarnation(host, received.attestation.incarnation);
            is_same.then_some(received.at)
        };
        let others = self.members.keys().filter(|host| **host != self.own.0);
        let mut times: Vec<Time> = others.filter_map(agrees).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        // This host itself agrees now.
        let heard_at = match majority(self.members.len()) {
            0 | 1 => Some(now),
            majority => times.get(majority - 2).copied(),
        };
        heard_at.max(self.relayed_majority_at).map(|at| now.saturating_sub(at))
    }

    fn is_current_incarnation(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.members.get(host).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether `host` has adopted `revision` and has no work in flight under an older one. A later
    /// era proves nothing: its table may lack the change.
    fn has_quiesced(&self, host: &HostId, revision: Revision) -> bool {
        self.attestations.get(host).is_some_and(|received| {
            let quiesced = received.attestation.quiesced;
            self.is_current_incarnation(host, received.attestation.incarnation)
                && quiesced.era == revision.era
                && quiesced >= revision
        })
    }

    /// Whether every other member has quiesced at `revision`.
    pub fn has_quiesced_everywhere(&self, revision: Revision) -> bool {
        let mut others = self.members.keys().filter(|host| **host != self.own.0);
        others.all(|host| self.has_quiesced(host, revision))
    }

    /// Whether so many members have quiesced at `revision` that the rest can form no majority that
    /// attests an older one.
    ///
    /// Members that entered within the longest time for which a lease may last are not counted:
    /// other hosts may still act on a table without them, in which a smaller number is a majority.
    /// False before the platform's clock was read.
    pub fn has_majority_quiesced(&self, now: Time, revision: Revision) -> bool {
        self.breaks_majority(now, &self.members, |host| self.has_quiesced(host, revision))
    }

    /// Whether every other one of `members` has reconciled `era`.
    pub fn is_reconciled_everywhere(&self, members: &BTreeMap<HostId, Member>, era: Era) -> bool {
        let mut others = members.keys().filter(|host| **host != self.own.0);
        others.all(|host| self.has_reconciled(members, host, era))
    }

    /// Whether so many of `members` have reconciled `era` that the rest can form no majority that
    /// attests the era before. Members that entered lately are not counted, as for
    /// [`Lease::has_majority_quiesced`].
    pub fn is_majority_reconciled(
        &self,
        now: Time,
        members: &BTreeMap<HostId, Member>,
        era: Era,
    ) -> bool {
        self.breaks_majority(now, members, |host| self.has_reconciled(members, host, era))
    }

    fn has_reconciled(&self, members: &BTreeMap<HostId, Member>, host: &HostId, era: Era) -> bool {
        let received = self.attestations.get(host);
        received.zip(members.get(host)).is_some_and(|(received, member)| {
            received.attestation.incarnation == member.incarnation
                && received.attestation.reconciled.is_some_and(|reconciled| reconciled >= era)
        })
    }

    /// Whether the members without `has_confirmed` can form no majority. Members that entered
    /// within the longest time for which a lease may last do not count as confirmed.
    fn breaks_majority(
        &self,
        now: Time,
        members: &BTreeMap<HostId, Member>,
        has_confirmed: impl Fn(&HostId) -> bool,
    ) -> bool {
        let recent = self.limits.max_attested_age + self.limits.validity;
        let Some(platform_now) = self.platform_now(now) else { return false };
        let is_new = |host: &HostId| {
            let entered = members.get(host).map(|member| member.entered);
            entered.is_none_or(|entered| platform_now.saturating_sub(entered) < recent)
        };
        let others = members.keys().filter(|host| **host != self.own.0);
        let confirmed = others.filter(|host| !is_new(host) && has_confirmed(host));
        let count = confirmed.count() + usize::from(!is_new(&self.own.0));
        count > members.len() - majority(members.len())
    }
}

/// Barrier that is passed once no other host acts on a revision older than the one that was
/// written.
#[derive(Debug, Clone, Copy)]
pub struct Barrier {
    revision: Revision,
    expiry: Expiry,
}

impl Barrier {
    /// Creates the barrier for `revision`, whose write was confirmed at `written`.
    pub fn new(revision: Revision, written: Time) -> Barrier {
        Barrier { revision, expiry: Expiry::new(written) }
    }

    /// Has the barrier wait for the work that members may finish within `handover` after their lease
    /// on the older revision has ended. They report it as long as they are heard.
    pub fn with_handover(mut self, handover: Duration) -> Barrier {
        self.expiry.handover = handover;
        self
    }

    /// Whether the barrier is passed. It has to be polled: the time from which a majority had
    /// quiesced is taken from the calls.
    pub fn has_passed(&mut self, lease: &Lease, now: Time) -> bool {
        let revision = self.revision;
        lease.has_quiesced_everywhere(revision)
            || self
                .expiry
                .has_come(now, lease.limits(), || lease.has_majority_quiesced(now, revision))
    }
}

/// Wait until the leases of members that do not confirm a change have expired.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expiry {
    /// When the change was made.
    pub(super) since: Time,
    /// Time for which members may finish older work after the end of their lease.
    handover: Duration,
    majority_confirmed_at: Option<Time>,
}

impl Expiry {
    /// Creates the wait for a change made at `since`.
    pub(super) fn new(since: Time) -> Expiry {
        Expiry { since, handover: Duration::ZERO, majority_confirmed_at: None }
    }

    /// Whether the leases have expired: the validity has passed since the members that do not
    /// confirm form no majority, or the longest time for which a lease may last has passed. It has
    /// to be polled.
    pub(super) fn has_come(
        &mut self,
        now: Time,
        limits: Limits,
        is_majority_confirmed: impl FnOnce() -> bool,
    ) -> bool {
        if self.majority_confirmed_at.is_none() && is_majority_confirmed() {
            self.majority_confirmed_at = Some(now);
        }
        let validity = limits.validity + limits.clock_drift_margin + self.handover;
        let majority =
            self.majority_confirmed_at.is_some_and(|at| now.saturating_sub(at) >= validity);
        majority || now.saturating_sub(self.since) >= validity + limits.max_attested_age
    }
}

/// Least number of hosts that is more than half of `members`.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}
