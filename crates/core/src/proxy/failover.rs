//! When a group's primary is replaced, and by whom.
//!
//! Every host looks at the same snapshot and may act; a conditional write of the record lets one of
//! them through. Hosts act in an order of rank, so that they rarely collide.

use super::directory::{Directory, Entry, TargetName, of_service};
use super::evidence::View;
use super::floor::Position;
use super::record::Record;
use crate::id::{HostId, Time};
use derive_more::Display;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time by which each rank waits longer than the one before.
const RANK_STEP: Duration = Duration::from_millis(150);
/// Time after which a promotion that has not ended is taken over.
const PROMOTION_LIMIT: Duration = Duration::from_secs(4);
/// The same if nobody is known to carry it out.
const ABANDONED_LIMIT: Duration = Duration::from_millis(600);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// It is about to stop.
    Leaving,
    /// Most hosts get no answer from it, or it has left the directory.
    Lost,
    /// It answers that it is not the primary.
    Deposed,
    /// A promotion did not end.
    Stuck,
}

/// A replacement that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// Why.
    pub cause: Cause,
    /// The target to promote.
    pub candidate: TargetName,
}

/// What is known of one group.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// The service.
    pub service: &'a str,
    /// Its record.
    pub record: &'a Record,
    /// All targets.
    pub directory: &'a Directory,
    /// This host's view of each target.
    pub views: &'a BTreeMap<TargetName, View>,
    /// Live peers' views of the recorded primary.
    pub peer_views: &'a BTreeMap<HostId, View>,
    /// Positions that targets were last seen at.
    pub positions: &'a BTreeMap<TargetName, Position>,
    /// Whether the record's holder may be carrying its promotion out: it is alive, and not this
    /// host, or this host is at it.
    pub is_holder_active: bool,
}

impl Snapshot<'_> {
    /// Why the primary should be replaced, if it should.
    pub fn cause(&self) -> Option<Cause> {
        let own = self.view(&self.record.primary);
        let entry = self.directory.get(&self.record.primary);
        match entry {
            None => Some(Cause::Lost),
            Some(entry) if entry.is_leaving => Some(Cause::Leaving),
            Some(_) => match own {
                View::Alive => None,
                _ if is_reachable_by_majority(self.peer_views) => None,
                View::Lost => Some(Cause::Lost),
                View::Deposed => Some(Cause::Deposed),
            },
        }
    }

    fn view(&self, target: &TargetName) -> View {
        self.views.get(target).copied().unwrap_or_default()
    }

    /// The replica to promote: the one that has most of the log, the present candidate if it may.
    pub fn candidate(&self) -> Option<&Entry> {
        let position = |entry: &Entry| self.positions.get(&entry.name).copied().unwrap_or_default();
        let is_fit = |entry: &&Entry| !entry.is_leaving && self.view(&entry.name) != View::Lost;
        of_service(self.directory, self.service)
            .filter(|entry| {
                self.record.established != (entry.name == self.record.primary)
                    || !self.record.established
            })
            .filter(is_fit)
            .max_by_key(|entry| {
                let is_named = !self.record.established && entry.name == self.record.primary;
                (is_named, position(entry), std::cmp::Reverse(&entry.name))
            })
    }
}

/// Whether a primary that this host has lost still works for more than half of its live peers, so
/// that it stays.
pub fn is_reachable_by_majority(peer_views: &BTreeMap<HostId, View>) -> bool {
    let alive = peer_views.values().filter(|view| **view == View::Alive).count();
    2 * alive > peer_views.len()
}

/// Waits of one host before it acts on one group.
#[derive(Debug, Default)]
pub struct Monitor {
    since: Option<(Cause, Time)>,
    record: Option<(u64, bool, Time)>,
}

impl Monitor {
    /// Says what to do now; `rank` is this host's place among those that may act.
    pub fn decide(
        &mut self,
        now: Time,
        rank: usize,
        snapshot: &Snapshot<'_>,
    ) -> Option<Replacement> {
        let record = snapshot.record;
        let age = self.record_age(now, record);
        let cause = if record.established {
            snapshot.cause()
        } else {
            let lost = snapshot.directory.get(&record.primary).is_none_or(|e| e.is_leaving)
                || snapshot.view(&record.primary) == View::Lost;
            let limit = if snapshot.is_holder_active { PROMOTION_LIMIT } else { ABANDONED_LIMIT };
            (age >= limit || lost).then_some(Cause::Stuck)
        };
        let Some(cause) = cause else {
            self.since = None;
            return None;
        };
        let since = match self.since {
            Some((known, since)) if known == cause => since,
            _ => now,
        };
        self.since = Some((cause, since));
        let patience = RANK_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        if now.saturating_sub(since) < patience {
            return None;
        }
        snapshot.candidate().map(|entry| Replacement { cause, candidate: entry.name.clone() })
    }

    fn record_age(&mut self, now: Time, record: &Record) -> Duration {
        match self.record {
            Some((fence, established, since))
                if fence == record.fence && established == record.established =>
            {
                now.saturating_sub(since)
            }
            _ => {
                self.record = Some((record.fence, record.established, now));
                self.since = None;
                Duration::ZERO
            }
        }
    }
}
