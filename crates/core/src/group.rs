//! State that the targets of a database group report about themselves.

use crate::id::TargetId;
use crate::log::{Index, Position, Term};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Role of a target in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Applies the primary's log.
    Replica,
    /// Restarted without its log and has not caught up yet.
    Rebuilding,
}

/// Result of `group_status()`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its current role.
    pub role: Role,
    /// Highest term that it has granted.
    pub accepted_term: Term,
    /// Last entry of its log.
    pub entry: Position,
    /// Last entry that is applied, and so visible to reads.
    pub applied: Position,
    /// Highest entry that it knows a majority to have.
    pub confirmed: Position,
    /// Maximum age of its data; on a primary, time since a majority acknowledged its term.
    pub age: Duration,
    /// The primary that it replicates from, if it knows one.
    pub primary: Option<TargetId>,
    /// Index of the first entry in the term of its last entry.
    pub term_start: Index,
}

impl Status {
    /// Whether it is the primary, and has not granted a higher term than that of its log.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.accepted_term == self.entry.term
    }
}

/// Result of `group_fence()` and `group_promote()`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermResponse {
    /// Whether the target granted the request.
    pub granted: bool,
    /// Highest term that it has granted.
    pub accepted: Term,
    /// Last entry of its log.
    pub entry: Position,
    /// Whether its grant counts towards a majority.
    pub voter: bool,
}

/// Returns the number of targets that form a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
