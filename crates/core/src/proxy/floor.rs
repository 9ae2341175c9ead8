//! The lowest log position that a read accepts (its floor).
//!
//! An observation records that the leased primary responded with `position` to a request sent at
//! `at`: every commit acknowledged before `at` lies at or below that position. A read uses the
//! oldest observation that the staleness bound of its route permits. That gives the lowest floor,
//! so that lagging replicas can still serve reads.
//!
//! A position of an older term means nothing past the fork at which the new term began. A session
//! that holds one has to see the start of the new term instead.

use super::record::Term;
use crate::id::Time;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// A position in a group's log; positions of a later term compare greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Display, Serialize, Deserialize,
)]
#[display("{term}.{number}")]
pub struct Position {
    /// Term in which the commit was made.
    pub term: Term,
    /// Number of the commit in the log.
    pub number: u64,
}

/// A position that covers all commits acknowledged before a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// When the request was sent; commits acknowledged before lie at or below the position.
    pub at: Time,
    /// Position of the primary's log in its response.
    pub position: Position,
}

/// Minimum time between two retained observations, to bound their number.
const MIN_OBSERVATION_SPACING: Duration = Duration::from_millis(40);
/// Time for which observations are retained; staleness bounds above it act as if they were this.
const OBSERVATION_RETENTION: Duration = Duration::from_secs(10);

/// Observations of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct History {
    observations: VecDeque<Observation>,
    term_start: Position,
}

impl History {
    /// Adds an observation. The first of a newer term replaces all others; one of an older term is
    /// dropped.
    pub fn observe(&mut self, now: Time, seen: Observation) {
        if seen.position.term < self.term_start.term {
            return;
        }
        if seen.position.term > self.term_start.term {
            self.observations.clear();
            self.term_start = seen.position;
        }
        self.insert(seen);
        self.prune(now);
    }

    fn insert(&mut self, seen: Observation) {
        let index = self.observations.partition_point(|o| o.at <= seen.at);
        let before = index.checked_sub(1).and_then(|i| self.observations.get(i));
        let is_close = before.is_some_and(|o| seen.at - o.at < MIN_OBSERVATION_SPACING)
            && index < self.observations.len();
        if !is_close {
            self.observations.insert(index, seen);
        }
    }

    /// Drops observations past their retention, and those closer together than the minimum spacing.
    fn prune(&mut self, now: Time) {
        while self.observations.len() > 2
            && now.saturating_sub(self.observations[1].at) > OBSERVATION_RETENTION
        {
            self.observations.pop_front();
        }
        let count = self.observations.len();
        if count > 2
            && self.observations[count - 2].at - self.observations[count - 3].at
                < MIN_OBSERVATION_SPACING
        {
            self.observations.remove(count - 2);
        }
    }

    /// The newest observation; none before the first.
    pub fn newest(&self) -> Option<Observation> {
        self.observations.back().copied()
    }

    /// Highest term of all observations; 0 before the first.
    pub fn term(&self) -> Term {
        self.term_start.term
    }

    /// Lowest known position that covers all commits acknowledged more than `bound` before `now`;
    /// none without an observation within `bound`.
    pub fn bounded_floor(&self, now: Time, bound: Duration) -> Option<Position> {
        let since = now.saturating_sub(bound);
        let index = self.observations.partition_point(|o| o.at < since);
        self.observations.get(index).map(|o| o.position)
    }

    /// Floor of a session that has seen `position`: the start of the current term if `position` is
    /// of an older one.
    pub fn session_floor(&self, position: Position) -> Position {
        if position.term < self.term_start.term { self.term_start } else { position }
    }
}
