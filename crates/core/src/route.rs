//! Choice of a target for a read, and the check of what it answered.
//!
//! What is known of a target's position is a memory: the target may have been rebuilt since, or
//! its connection may lead to another. So [`candidates`] only orders the targets, and [`verify`]
//! judges the position that the connection itself answered, in the same round trip and before the
//! statement's snapshot. Only a verified answer goes to the caller.

pub use crate::group::Role;
use crate::id::{FailureDomainId, TargetId, Time};
use crate::log::Position;
use crate::statement::Freshness;
use std::collections::BTreeMap;
use std::time::Duration;

/// Least stated age of a read that counts towards the replicas' share.
pub const MIN_REPLICA_SHARE_AGE: Duration = Duration::from_secs(1);
/// Requests in flight that a target of the host's own failure domain may have more than another.
const LOCAL_PREFERENCE: u32 = 2;

/// What is remembered of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Its role.
    pub role: Role,
    /// Position that it had applied.
    pub applied: Position,
    /// Age of its data when it was observed.
    pub age: Duration,
    /// When it was observed.
    pub observed: Time,
    /// Requests of this host in flight on it.
    pub in_flight: u32,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether its failures have taken it out for now.
    pub ejected: bool,
    /// Whether it fails its work, but is not taken out.
    pub suspect: bool,
    /// Whether it may receive no new work.
    pub draining: bool,
}

/// What a read asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirement {
    /// Position that the session has seen.
    pub token: Option<Position>,
    /// Stated freshness.
    pub freshness: Freshness,
}

/// Bounds on the age of what is served without a stated age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Age of a primary's authority, so that a primary that was cut off serves nothing as fresh.
    pub primary_age: Duration,
    /// Age of a replica's data in a read that only carries a session token.
    pub session_age: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { primary_age: Duration::from_secs(1), session_age: Duration::from_secs(5) }
    }
}

/// What a target said of itself on the connection that served the read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Position applied before the statement's snapshot.
    pub applied: Position,
    /// Highest position that it knows to be on a majority.
    pub confirmed: Position,
    /// Age of its data.
    pub age: Duration,
}

/// What a verified read advances the session to, or why it may not be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Serve; the token's new position, if any.
    Serve(Option<Position>),
    /// The target does not cover the token.
    Behind,
    /// The target's data is too old.
    Stale,
}

impl Requirement {
    /// Whether only the primary may serve it: it carries neither a token nor an age.
    pub fn needs_primary(&self) -> bool {
        self.token.is_none() && self.freshness == Freshness::Session
    }

    fn bound(&self, role: Role, bounds: &Bounds) -> Duration {
        match self.freshness {
            Freshness::MaxAge(age) => age,
            Freshness::Session if role == Role::Primary => bounds.primary_age,
            Freshness::Session => bounds.session_age,
        }
    }
}

/// How promising a target is; the order of the variants is the order of choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// It was seen to cover the demand.
    Known,
    /// It should cover the demand by now, by its lag.
    Expected,
    /// The primary, which holds everything.
    Primary,
    /// It was behind when it was last seen, or fails its work.
    Unlikely,
    /// It fails its work; the last resort.
    Ejected,
}

/// Targets for a read, best first; `random` breaks ties.
pub fn candidates(
    demand: &Requirement,
    views: &BTreeMap<TargetId, View>,
    home: FailureDomainId,
    bounds: &Bounds,
    now: Time,
    random: u64,
) -> Vec<TargetId> {
    let primary = views.values().find(|view| view.role == Role::Primary);
    let mut ranked: Vec<_> = views
        .iter()
        .filter(|(_, view)| is_eligible(demand, view))
        .map(|(id, view)| {
            let preference = preference(demand, view, primary, bounds, now);
            let distance = if view.failure_domain == home { 0 } else { LOCAL_PREFERENCE };
            let tie = (random ^ u64::from(*id)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (preference, view.in_flight + distance, tie, *id)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, _, id)| id).collect()
}

/// Whether replicas should serve the read: it states an age of [`MIN_REPLICA_SHARE_AGE`] or more, and at least
/// one replica that takes work is that fresh for sure.
pub fn counts_towards_replica_share(
    demand: &Requirement,
    views: &BTreeMap<TargetId, View>,
    now: Time,
) -> bool {
    let Freshness::MaxAge(age) = demand.freshness else { return false };
    let is_fresh = |view: &View| view.age.saturating_add(now.saturating_sub(view.observed)) <= age;
    let mut replicas = views.values().filter(|view| view.role == Role::Replica && !view.draining);
    age >= MIN_REPLICA_SHARE_AGE && replicas.any(is_fresh)
}

/// Judges the position that a target of `role` answered on the connection that served the read.
pub fn verify(demand: &Requirement, role: Role, answer: &Report, bounds: &Bounds) -> Verdict {
    if demand.token.is_some_and(|token| !answer.applied.covers(token)) {
        return Verdict::Behind;
    }
    if answer.age > demand.bound(role, bounds) {
        return Verdict::Stale;
    }
    Verdict::Serve(demand.token.max(acknowledged(answer)))
}

/// The highest position that the answer proves to be both seen and acknowledged.
///
/// A target whose log ends in an older term than the confirmed one may hold a tail past the fork;
/// its position proves nothing.
fn acknowledged(answer: &Report) -> Option<Position> {
    if answer.applied.term < answer.confirmed.term || answer.confirmed == Position::default() {
        return None;
    }
    Some(answer.applied.min(answer.confirmed))
}

fn is_eligible(demand: &Requirement, view: &View) -> bool {
    match view.role {
        // A draining primary still holds the writes until another is promoted.
        Role::Primary => true,
        Role::Replica => !view.draining && !demand.needs_primary(),
        Role::Rebuilding => false,
    }
}

fn preference(
    demand: &Requirement,
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
    if view.suspect || view.age > demand.bound(view.role, bounds) {
        return Preference::Unlikely;
    }
    let Some(token) = demand.token else { return Preference::Known };
    if view.applied.covers(token) {
        return Preference::Known;
    }
    // What the primary held longer ago than the replica's lag should have arrived.
    let arrived = primary.is_some_and(|primary| {
        primary.applied.covers(token) && now.saturating_sub(primary.observed) >= view.age
    });
    if arrived { Preference::Expected } else { Preference::Unlikely }
}
