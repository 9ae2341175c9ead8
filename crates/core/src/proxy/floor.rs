//! Which part of a group's log a read has to see.
//!
//! An observation says that the leased primary answered, to a question sent at `at`, with
//! `position`: every commit that was acknowledged before `at` lies at or below that position. The
//! oldest observation that a route's bound permits gives the lowest floor, so that lagging
//! replicas stay of use. Positions of an older term say nothing past the fork at which the new term
//! began; a session that holds one has to see the beginning of the new term instead.

use super::record::Term;
use crate::id::Time;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// A place in a group's log.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Display, Serialize, Deserialize,
)]
#[display("{term}.{number}")]
pub struct Position {
    /// Term of the log.
    pub term: Term,
    /// Number of the commit.
    pub number: u64,
}

/// What the primary's log held at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Commits acknowledged before this lie at or below the position.
    pub at: Time,
    /// Position of the primary's log.
    pub position: Position,
}

/// Least distance between two observations that are kept.
const SPACING: Duration = Duration::from_millis(40);
/// Time for which observations are kept; bounds on staleness above it act as if they were this.
const KEPT: Duration = Duration::from_secs(10);

/// Observations of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct History {
    observations: VecDeque<Observation>,
    term_start: Position,
}

impl History {
    /// Takes an observation; those of a newer term replace all others.
    pub fn observe(&mut self, now: Time, seen: Observation) {
        if seen.position.term < self.term_start.term {
            return;
        }
        if seen.position.term > self.term_start.term {
            self.observations.clear();
            self.term_start = seen.position;
        }
        self.insert(seen);
        self.merge(now);
    }

    fn insert(&mut self, seen: Observation) {
        let index = self.observations.partition_point(|o| o.at <= seen.at);
        let before = index.checked_sub(1).and_then(|i| self.observations.get(i));
        let is_close =
            before.is_some_and(|o| seen.at - o.at < SPACING) && index < self.observations.len();
        if !is_close {
            self.observations.insert(index, seen);
        }
    }

    /// Drops observations that are old, or so close together that they add nothing.
    fn merge(&mut self, now: Time) {
        while self.observations.len() > 2 && now.saturating_sub(self.observations[1].at) > KEPT {
            self.observations.pop_front();
        }
        let count = self.observations.len();
        if count > 2 && self.observations[count - 2].at - self.observations[count - 3].at < SPACING
        {
            self.observations.remove(count - 2);
        }
    }

    /// The newest observation.
    pub fn newest(&self) -> Option<Observation> {
        self.observations.back().copied()
    }

    /// Highest term that an observation was made in; 0 before the first.
    pub fn term(&self) -> Term {
        self.term_start.term
    }

    /// Lowest position that covers all commits acknowledged more than `bound` before `now`.
    pub fn bounded_floor(&self, now: Time, bound: Duration) -> Option<Position> {
        let since = now.saturating_sub(bound);
        let index = self.observations.partition_point(|o| o.at < since);
        self.observations.get(index).map(|o| o.position)
    }

    /// What a session that saw `position` has to see now.
    pub fn session_floor(&self, position: Position) -> Position {
        if position.term < self.term_start.term { self.term_start } else { position }
    }
}
