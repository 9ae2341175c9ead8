//! Which target holds every commit that a group's callers were told of.
//!
//! In a group with synchronous replicas a commit is acknowledged once enough replicas have received
//! it. Before another target is promoted, the primary must be kept from acknowledging more, and one
//! that has all it did acknowledge must be found. Two ways do that: so many replicas have stopped
//! receiving that too few are left for any acknowledgement, or the primary itself has stepped down.
//! Positions are those at which the targets stopped, so they no longer change.

use super::directory::TargetName;
use super::floor::Position;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Targets of a group that have stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Survey {
    /// Replicas that must have received a commit before it is acknowledged.
    sync_replicas: usize,
    /// Replicas of the group.
    replicas: usize,
    /// Replicas that receive nothing more, with what they have.
    stopped: BTreeMap<TargetName, Position>,
    /// Position that the primary before is known to have reached.
    reached: Position,
    /// The primary before, once it takes no more commits, with what it has.
    deposed: Option<(TargetName, Position)>,
}

impl Survey {
    /// A group of `replicas` besides its primary, none of which has stopped; the primary is known
    /// to have reached a position.
    pub fn new(sync_replicas: usize, replicas: usize, reached: Position) -> Survey {
        Survey { sync_replicas, replicas, stopped: BTreeMap::new(), reached, deposed: None }
    }

    /// A replica has stopped receiving.
    pub fn record_stopped(&mut self, replica: &TargetName, position: Position) {
        self.stopped.insert(replica.clone(), position);
    }

    /// The primary before has stepped down. One that has less than it had once has lost its log
    /// and says nothing of what was acknowledged.
    pub fn record_deposed(&mut self, primary: &TargetName, position: Position) {
        if position >= self.reached {
            self.deposed = Some((primary.clone(), position));
        }
    }

    /// Whether a replica has stopped.
    pub fn has_stopped(&self, replica: &TargetName) -> bool {
        self.stopped.contains_key(replica)
    }

    /// Whether nothing more can be acknowledged, and all that was is held by a target that stopped.
    pub fn is_complete(&self) -> bool {
        self.deposed.is_some() || self.stopped.len() + self.sync_replicas > self.replicas
    }

    /// The target that has most of the log, `named` among equals; none before the survey is
    /// complete.
    pub fn most_advanced(&self, named: &TargetName) -> Option<&TargetName> {
        if !self.is_complete() {
            return None;
        }
        let deposed = self.deposed.iter().map(|(name, position)| (name, position));
        let key = |(name, position): &(&TargetName, &Position)| {
            (**position, *name == named, Reverse((*name).clone()))
        };
        self.stopped.iter().chain(deposed).max_by_key(key).map(|(name, _)| name)
    }
}
