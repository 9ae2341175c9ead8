//! Finds the target to promote that has every commit acknowledged to a group's callers.
//!
//! In a group with synchronous replicas, a commit is acknowledged once enough replicas have
//! received it. Before another target is promoted, the primary must be kept from acknowledging more
//! commits, and a target must be found that has all acknowledged ones. Either of two things
//! achieves that: so many replicas have stopped receiving that too few are left for an
//! acknowledgement, or the primary itself has stepped down. A recorded position is the one at which
//! a target stopped, so it no longer changes.

use super::directory::TargetName;
use super::floor::Position;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// What is known of the targets of a group that have stopped, while a promotion is prepared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Survey {
    /// Number of replicas that must have received a commit before it is acknowledged.
    sync_replicas: usize,
    /// Number of replicas in the group, without the previous primary.
    replicas: usize,
    /// Replicas that have stopped receiving, with their last position.
    stopped: BTreeMap<TargetName, Position>,
    /// Position that the previous primary is known to have reached.
    reached: Position,
    /// The previous primary once it has stepped down, with its last position.
    deposed: Option<(TargetName, Position)>,
}

impl Survey {
    /// Creates a survey of a group with `replicas` besides its primary, none of which has stopped.
    /// The primary is known to have reached the position `reached`.
    pub fn new(sync_replicas: usize, replicas: usize, reached: Position) -> Survey {
        Survey { sync_replicas, replicas, stopped: BTreeMap::new(), reached, deposed: None }
    }

    /// Records that a replica has stopped receiving at `position`.
    pub fn record_stopped(&mut self, replica: &TargetName, position: Position) {
        self.stopped.insert(replica.clone(), position);
    }

    /// Records that the previous primary has stepped down at `position`. Ignored if that is below
    /// what it is known to have reached: it has lost its log, so its position does not show what
    /// was acknowledged.
    pub fn record_deposed(&mut self, primary: &TargetName, position: Position) {
        if position >= self.reached {
            self.deposed = Some((primary.clone(), position));
        }
    }

    /// Whether a replica was recorded as stopped.
    pub fn has_stopped(&self, replica: &TargetName) -> bool {
        self.stopped.contains_key(replica)
    }

    /// Whether no more commits can be acknowledged, and every acknowledged one is at a target that
    /// has stopped.
    pub fn is_complete(&self) -> bool {
        self.deposed.is_some() || self.stopped.len() + self.sync_replicas > self.replicas
    }

    /// Returns the stopped target with the highest position; none before the survey is complete.
    /// Among equals it prefers `named`, then the first by name.
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
