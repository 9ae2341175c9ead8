//! What the targets of a database group say about themselves.

use crate::id::TargetId;
use crate::log::{Index, Position, Term};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a target does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary.
    Replica,
    /// Came back without its log and has not caught up.
    Rebuilding,
}

/// Answer to `group_status()`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// What it does.
    pub role: Role,
    /// Highest term that it has granted.
    pub accepted_term: Term,
    /// Last entry of its log.
    pub entry: Position,
    /// Last entry that its reads see.
    pub applied: Position,
    /// Highest entry that it knows to be on a majority.
    pub confirmed: Position,
    /// How old its data may be; on a primary, time since a majority acknowledged its term.
    pub age: Duration,
    /// The primary that it follows.
    pub primary: Option<TargetId>,
    /// First entry of the term of its last entry.
    pub term_start: Index,
}

impl Status {
    /// Whether it is the primary of the highest term that it knows.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.accepted_term == self.entry.term
    }
}

/// Answer to `group_fence()` and `group_promote()`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermResponse {
    /// Whether it did what it was asked.
    pub granted: bool,
    /// Highest term that it has granted.
    pub accepted: Term,
    /// Last entry of its log.
    pub entry: Position,
    /// Whether its grant counts for a majority.
    pub voter: bool,
}

/// Targets that make a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
