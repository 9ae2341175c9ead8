//! Whether a target is alive, from what work on it shows.
//!
//! Any byte from a target is a sign of life. Silence counts only while something was asked; a
//! refused connection counts at once, since the machine that refuses it is up and the target's
//! process is not.

use crate::id::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Silence after a question that makes a target suspect.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Silence after a question at which a second one, on a new connection, should check for life.
pub const PROBE_DELAY: Duration = Duration::from_millis(150);
/// Time for which refused or broken connections without any sign of life make a target suspect.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(150);

/// One host's view of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum View {
    /// It answered the last question, or none was asked.
    #[default]
    Alive,
    /// It stays silent, or refuses connections.
    Lost,
    /// It answers that it is not the primary.
    Deposed,
}

/// What one host has seen of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    pending_since: Option<Time>,
    failing_since: Option<Time>,
    deposed_since: Option<Time>,
}

impl Evidence {
    /// A question was sent.
    pub fn record_request(&mut self, now: Time) {
        self.pending_since.get_or_insert(now);
    }

    /// Bytes arrived; `has_pending` says whether other questions are still open.
    pub fn record_response(&mut self, now: Time, has_pending: bool) {
        self.pending_since = has_pending.then_some(now);
        self.failing_since = None;
    }

    /// A connection was refused or reset.
    pub fn record_connection_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
    }

    /// The target said that it takes no writes.
    pub fn record_deposed(&mut self, now: Time) {
        self.deposed_since.get_or_insert(now);
    }

    /// The target took a write, or was made the primary again.
    pub fn clear_deposed(&mut self) {
        self.deposed_since = None;
    }

    /// Whether a question has been open for long, or connections break.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.failing_since.is_some()
            || self.pending_since.is_some_and(|at| now.saturating_sub(at) >= PROBE_DELAY)
    }

    /// The view at `now`.
    pub fn view(&self, now: Time) -> View {
        let passed = |since: Option<Time>, limit: Duration| {
            since.is_some_and(|at| now.saturating_sub(at) >= limit)
        };
        if passed(self.pending_since, RESPONSE_TIMEOUT)
            || passed(self.failing_since, FAILURE_TIMEOUT)
        {
            View::Lost
        } else if passed(self.deposed_since, FAILURE_TIMEOUT) {
            View::Deposed
        } else {
            View::Alive
        }
    }
}
