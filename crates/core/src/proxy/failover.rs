//! When a group's primary is replaced, by which target, and which host acts first.
//!
//! Every host decides on its own; a conditional write of the group's record lets only one of them
//! proceed. Hosts act in the order of their rank, so that their writes rarely conflict.

use super::directory::{Directory, Entry, TargetName, of_service};
use super::evidence::View;
use super::floor::Position;
use super::record::Record;
use crate::id::{HostId, Time};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Additional delay of each rank over the one before.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Time after which another host takes over an unfinished promotion whose holder may be executing
/// it.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);
/// As [`PROMOTION_TIMEOUT`], but for a promotion that no live host is known to execute.
const ABANDONED_PROMOTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for which evidence that started anew is gathered before a primary counts as lost.
/// Every host sends a heartbeat as soon as it adopts a record, in a fleet of any size.
const MAX_EVIDENCE_TIME: Duration = Duration::from_millis(700);
/// Time for which the host that promoted last is the first to promote again, and a host that
/// another one has taken over from does not take the group back. Two hosts that act in turn within
/// the users' lease time of 3 s count as two leaders.
const HOLDER_TENURE: Duration = Duration::from_secs(3);

/// Time for which transactions that are open at the previous primary may go on in a planned
/// promotion: about two statements and a pause between them.
pub const HANDOVER_TIME: Duration = Duration::from_secs(2);
/// Age of an unplanned promotion from which its evidence against the previous primary counts as
/// outdated: hosts may have used that primary since, and acknowledged commits that the candidate
/// lacks.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(800);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// The primary has announced that it will stop.
    Leaving,
    /// The primary is unreachable for this host and not reached by more than half of its live
    /// peers, or it is no longer in the directory.
    Lost,
    /// The recorded primary responds that it is not the primary.
    Deposed,
    /// The primary is in a failure domain that is evacuated.
    Evacuated,
    /// A promotion did not finish in time, or its candidate is unreachable, about to stop, in an
    /// evacuated failure domain or no longer in the directory.
    Stuck,
}

impl Cause {
    /// Whether the primary still works, so that open work may end there first.
    pub fn is_planned(self) -> bool {
        matches!(self, Cause::Leaving | Cause::Evacuated)
    }
}

/// A replacement of a group's primary that is due now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// Why the primary is replaced.
    pub cause: Cause,
    /// The target to promote.
    pub candidate: TargetName,
}

/// What this host knows of one group at the time of a decision.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// Service that the group belongs to.
    pub service: &'a str,
    /// Current record of the group.
    pub record: &'a Record,
    /// Targets of all services.
    pub directory: &'a Directory,
    /// This host's view of each target; a target without one counts as alive.
    pub views: &'a BTreeMap<TargetName, View>,
    /// Failure domains that are evacuated; no target in them is promoted.
    pub evacuated: &'a BTreeSet<String>,
    /// Live peers' views of the recorded primary.
    pub peer_views: &'a BTreeMap<HostId, View>,
    /// Last known log position of each target.
    pub positions: &'a BTreeMap<TargetName, Position>,
    /// What this host knows of the host that executes or has made the recorded promotion.
    pub holder: Holder,
    /// Silence after which a peer no longer counts as alive.
    pub peer_timeout: Duration,
}

/// The host that executes the recorded promotion, or has made it, as another one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// It is this host, which executes the promotion no longer.
    Own,
    /// It is another host that is alive.
    Alive,
    /// It is another host that does not count as alive.
    Silent,
}

impl Snapshot<'_> {
    /// Why an established primary should be replaced; none if it should stay.
    pub fn cause(&self) -> Option<Cause> {
        let own_view = self.view(&self.record.primary);
        let entry = self.directory.get(&self.record.primary);
        match entry {
            None => Some(Cause::Lost),
            Some(entry) if entry.is_leaving => Some(Cause::Leaving),
            Some(entry) => match own_view {
                View::Alive => self.evacuation_cause(entry),
                _ if is_reachable_by_majority(self.peer_views) => self.evacuation_cause(entry),
                View::Lost => Some(Cause::Lost),
                View::Deposed => Some(Cause::Deposed),
            },
        }
    }

    fn evacuation_cause(&self, entry: &Entry) -> Option<Cause> {
        self.is_evacuated(entry).then_some(Cause::Evacuated)
    }

    fn is_evacuated(&self, entry: &Entry) -> bool {
        self.evacuated.contains(&entry.domain)
    }

    fn view(&self, target: &TargetName) -> View {
        self.views.get(target).copied().unwrap_or_default()
    }

    /// The target to promote, none if no target is fit: the one with the highest log position, or
    /// the candidate of an unfinished promotion as long as that one is fit.
    pub fn candidate(&self) -> Option<&Entry> {
        let position = |entry: &Entry| self.positions.get(&entry.name).copied().unwrap_or_default();
        let is_fit = |entry: &&Entry| {
            !entry.is_leaving && !self.is_evacuated(entry) && self.view(&entry.name) != View::Lost
        };
        of_service(self.directory, self.service)
            .filter(|entry| {
                self.record.established != (entry.name == self.record.primary)
                    || !self.record.established
            })
            .filter(is_fit)
            .max_by_key(|entry| {
                let is_current = !self.record.established && entry.name == self.record.primary;
                (is_current, position(entry), std::cmp::Reverse(&entry.name))
            })
    }
}

/// Whether more than half of this host's live peers reach the primary, so that it stays although
/// this host does not reach it.
pub fn is_reachable_by_majority(peer_views: &BTreeMap<HostId, View>) -> bool {
    let alive = peer_views.values().filter(|view| **view == View::Alive).count();
    2 * alive > peer_views.len()
}

/// Tracks on one host how long a group has needed a replacement, to delay the host by its rank.
#[derive(Debug, Default)]
pub struct Monitor {
    cause_since: Option<(Cause, Time)>,
    /// Fence of the last record, whether it was established, and from when on it counts.
    record_since: Option<(u64, bool, Time)>,
    /// When this host's evidence last started anew: it began to watch, watched again or saw another
    /// fence. Views from before say nothing of the present primary, and peers may not have been
    /// heard yet. `None` if there is no such time.
    evidence_since: Option<Time>,
    /// When this host last saw a promotion begin or end.
    promotion_seen: Option<Time>,
    /// When this host last saw another host take over from it.
    taken_over: Option<Time>,
    /// Whether the last record seen was this host's own.
    was_holder: bool,
}

impl Monitor {
    /// Creates the monitor of a host that starts to watch at `now`.
    pub fn new(now: Time) -> Monitor {
        Monitor { evidence_since: Some(now), ..Monitor::default() }
    }

    /// Records that this host watches again after it was cut off or suspended. What others did
    /// meanwhile it has not seen, so all times count from `now` on.
    pub fn resume(&mut self, now: Time) {
        self.evidence_since = Some(now);
        self.cause_since = None;
        if let Some((_, _, since)) = &mut self.record_since {
            *since = now;
        }
    }

    /// Whether the holder of an unfinished promotion may be executing it.
    fn may_be_executing(&self, now: Time, snapshot: &Snapshot<'_>) -> bool {
        match snapshot.holder {
            Holder::Own => false,
            Holder::Alive => true,
            // Its heartbeat may still be on the way: it was alive when it wrote the record.
            Holder::Silent => !self.has_evidence(now, snapshot.peer_timeout),
        }
    }

    /// Whether `time` has passed since this host's evidence started anew.
    fn has_evidence(&self, now: Time, time: Duration) -> bool {
        self.evidence_since.is_none_or(|since| now.saturating_sub(since) >= time)
    }

    /// Returns the replacement that this host should make now, if any. `rank` is this host's
    /// position, from 0, among the hosts that may act.
    pub fn decide(
        &mut self,
        now: Time,
        rank: usize,
        snapshot: &Snapshot<'_>,
    ) -> Option<Replacement> {
        let record = snapshot.record;
        let age = self.record_age(now, record);
        self.record_holder(now, snapshot.holder);
        let cause = if record.established {
            let evidence_time = snapshot.peer_timeout.min(MAX_EVIDENCE_TIME);
            let has_evidence = self.has_evidence(now, evidence_time);
            snapshot.cause().filter(|cause| has_evidence || cause.is_planned())
        } else {
            let entry = snapshot.directory.get(&record.primary);
            let is_candidate_unfit = entry
                .is_none_or(|entry| entry.is_leaving || snapshot.is_evacuated(entry))
                || snapshot.view(&record.primary) == View::Lost;
            // The holder itself goes on with another candidate: hosts do not take turns.
            let is_due = if self.may_be_executing(now, snapshot) {
                age >= PROMOTION_TIMEOUT
            } else {
                age >= ABANDONED_PROMOTION_TIMEOUT || is_candidate_unfit
            };
            is_due.then_some(Cause::Stuck)
        };
        let Some(cause) = cause else {
            self.cause_since = None;
            return None;
        };
        let since = match self.cause_since {
            Some((known, since)) if known == cause => since,
            _ => now,
        };
        self.cause_since = Some((cause, since));
        let rank = u32::try_from(self.order(now, rank, snapshot.holder)).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(rank);
        if now.saturating_sub(since) < delay || self.must_not_take_back(now, snapshot.holder) {
            return None;
        }
        snapshot.candidate().map(|entry| Replacement { cause, candidate: entry.name.clone() })
    }

    /// Records whether the present record is this host's own.
    fn record_holder(&mut self, now: Time, holder: Holder) {
        let is_holder = holder == Holder::Own;
        if self.was_holder && !is_holder {
            self.taken_over = Some(now);
        }
        self.was_holder = is_holder;
    }

    /// Returns this host's place in the order in which hosts act: the host that promoted last comes
    /// first for a while.
    fn order(&self, now: Time, rank: usize, holder: Holder) -> usize {
        match holder {
            Holder::Own if is_recent(now, self.promotion_seen) => 0,
            Holder::Alive if is_recent(now, self.promotion_seen) => rank + 1,
            _ => rank,
        }
    }

    /// Whether another host that is alive has taken over from this one a short while ago.
    fn must_not_take_back(&self, now: Time, holder: Holder) -> bool {
        holder == Holder::Alive && is_recent(now, self.taken_over)
    }

    fn record_age(&mut self, now: Time, record: &Record) -> Duration {
        match self.record_since {
            Some((fence, established, since))
                if fence == record.fence && established == record.established =>
            {
                now.saturating_sub(since)
            }
            known => {
                if known.is_some_and(|(fence, ..)| fence != record.fence) {
                    self.evidence_since = Some(now);
                }
                if known.is_some() {
                    self.promotion_seen = Some(now);
                }
                self.record_since = Some((record.fence, record.established, now));
                self.cause_since = None;
                Duration::ZERO
            }
        }
    }
}

/// Whether `seen` lies within [`HOLDER_TENURE`] before `now`.
fn is_recent(now: Time, seen: Option<Time>) -> bool {
    seen.is_some_and(|at| now.saturating_sub(at) < HOLDER_TENURE)
}
