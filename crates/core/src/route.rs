//! Routing of reads: the choice of a target, and the check that its response is fresh enough.
//!
//! A host's view of a target's position may be outdated: the target may have been rebuilt, or the
//! connection may reach a different one. So [`candidates`] only ranks the targets, and [`verify`]
//! checks the position that the target reports on the same connection, in the same round trip and
//! before the statement's snapshot is taken. Only a verified result goes to the caller.

pub use crate::group::Role;
use crate::id::{FailureDomainId, TargetId, Time};
use crate::log::Position;
use crate::statement::Freshness;
use std::collections::BTreeMap;
use std::time::Duration;

/// Smallest maximum age with which a read counts towards the replicas' share.
pub const MIN_REPLICA_SHARE_AGE: Duration = Duration::from_secs(1);
/// Additional requests in flight up to which a target of the host's failure domain is preferred.
const LOCAL_PREFERENCE: u32 = 2;

/// The last observation of a target, and how this host currently uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Its role in the group when it was observed.
    pub role: Role,
    /// Last log position that its reads saw.
    pub applied: Position,
    /// Age of its data when it was observed.
    pub age: Duration,
    /// When it was observed.
    pub observed: Time,
    /// Number of requests that this host has in flight on it.
    pub in_flight: u32,
    /// The failure domain that it is in, compared with that of the host.
    pub failure_domain: FailureDomainId,
    /// Whether it is ejected because of its failures, see [`crate::outlier`].
    pub ejected: bool,
    /// Whether it fails requests but is not ejected because too many others are.
    pub suspect: bool,
    /// Whether it is draining: unless it is the primary, it receives no new work.
    pub draining: bool,
}

/// How fresh the data for a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirement {
    /// Position that the session has seen, and that the read has to cover.
    pub token: Option<Position>,
    /// The freshness that the caller requested.
    pub freshness: Freshness,
}

/// Bounds on the age of data for reads that don't state a maximum age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum time since a majority acknowledged the primary's term.
    ///
    /// Prevents a partitioned primary from serving its data as fresh.
    pub primary_age: Duration,
    /// Maximum age of a replica's data for a read that only carries a session token.
    pub session_age: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { primary_age: Duration::from_secs(1), session_age: Duration::from_secs(5) }
    }
}

/// What a target reported about itself on the connection that served the read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Log position that was applied before the statement's snapshot was taken.
    pub applied: Position,
    /// Highest position that it knows to be on a majority.
    pub confirmed: Position,
    /// Age of its data; on a primary, time since a majority acknowledged its term.
    pub age: Duration,
}

/// Whether a result may be served, and to which position it advances the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The result may be served; the session token's new position, if any.
    Serve(Option<Position>),
    /// The target has not applied the position in the session token.
    Behind,
    /// The target's data is older than the read allows.
    Stale,
}

impl Requirement {
    /// Whether only the primary may serve the read: it carries neither a token nor a maximum age.
    pub fn needs_primary(&self) -> bool {
        self.token.is_none() && self.freshness == Freshness::Session
    }

    fn max_age(&self, role: Role, bounds: &Bounds) -> Duration {
        match self.freshness {
            Freshness::MaxAge(age) => age,
            Freshness::Session if role == Role::Primary => bounds.primary_age,
            Freshness::Session => bounds.session_age,
        }
    }
}

/// How likely a target can serve a read; the variants are in order of choice, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// Its last observation meets the requirement.
    Known,
    /// It should meet the requirement by now, given its lag.
    Expected,
    /// The primary, which has every acknowledged entry.
    Primary,
    /// It was behind when last observed, or it fails requests.
    Unlikely,
    /// It is ejected; used only as the last resort.
    Ejected,
}

/// Returns the targets that may serve a read, best first; `random` breaks ties.
pub fn candidates(
    requirement: &Requirement,
    views: &BTreeMap<TargetId, View>,
    host_domain: FailureDomainId,
    bounds: &Bounds,
    now: Time,
    random: u64,
) -> Vec<TargetId> {
    let primary = views.values().find(|view| view.role == Role::Primary);
    let mut ranked: Vec<_> = views
        .iter()
        .filter(|(_, view)| is_eligible(requirement, view))
        .map(|(id, view)| {
            let preference = preference(requirement, view, primary, bounds, now);
            let penalty = if view.failure_domain == host_domain { 0 } else { LOCAL_PREFERENCE };
            let tie = (random ^ u64::from(*id)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (preference, view.in_flight + penalty, tie, *id)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, _, id)| id).collect()
}

/// Whether the read counts towards the replicas' share, because replicas should serve it.
///
/// This is so if it states a maximum age of at least [`MIN_REPLICA_SHARE_AGE`], and at least one
/// replica that takes reads is certainly that fresh.
pub fn counts_towards_replica_share(
    requirement: &Requirement,
    views: &BTreeMap<TargetId, View>,
    now: Time,
) -> bool {
    let Freshness::MaxAge(age) = requirement.freshness else { return false };
    let is_fresh = |view: &View| view.age.saturating_add(now.saturating_sub(view.observed)) <= age;
    let mut replicas = views.values().filter(|view| view.role == Role::Replica && !view.draining);
    age >= MIN_REPLICA_SHARE_AGE && replicas.any(is_fresh)
}

/// Checks the report of a target in `role` on the connection that served the read.
pub fn verify(requirement: &Requirement, role: Role, report: &Report, bounds: &Bounds) -> Verdict {
    if requirement.token.is_some_and(|token| !report.applied.covers(token)) {
        return Verdict::Behind;
    }
    if report.age > requirement.max_age(role, bounds) {
        return Verdict::Stale;
    }
    Verdict::Serve(requirement.token.max(acknowledged(report)))
}

/// Returns the highest position that the report proves to be both visible and acknowledged.
///
/// None if nothing is confirmed, or if the target's log ends in an older term than the confirmed
/// position: it may then end in entries that the newer term has discarded.
fn acknowledged(report: &Report) -> Option<Position> {
    if report.applied.term < report.confirmed.term || report.confirmed == Position::default() {
        return None;
    }
    Some(report.applied.min(report.confirmed))
}

fn is_eligible(requirement: &Requirement, view: &View) -> bool {
    match view.role {
        // A draining primary still takes the writes until another target is promoted.
        Role::Primary => true,
        Role::Replica => !view.draining && !requirement.needs_primary(),
        Role::Rebuilding => false,
    }
}

fn preference(
    requirement: &Requirement,
    view: &View,
    primary: Option<&View>,
    bounds: &Bounds,
    now: Time,
) -> Preference {
    if view.ejected {
        return Preference::Ejected;
    }
    if view.role == Role::Primary {
        return Preference::Primary;
    }
    if view.suspect || view.age > requirement.max_age(view.role, bounds) {
        return Preference::Unlikely;
    }
    let Some(token) = requirement.token else { return Preference::Known };
    if view.applied.covers(token) {
        return Preference::Known;
    }
    // What the primary had applied longer ago than the replica's lag should have arrived.
    let has_arrived = primary.is_some_and(|primary| {
        primary.applied.covers(token) && now.saturating_sub(primary.observed) >= view.age
    });
    if has_arrived { Preference::Expected } else { Preference::Unlikely }
}
