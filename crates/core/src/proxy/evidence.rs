//! Whether a target is alive, judged from this host's own traffic with it.
//!
//! Any byte from a target shows that it is alive. Silence counts only while a request is pending.
//! A refused connection counts sooner, because the machine that refuses it is up and the target's
//! process is not running.

use crate::id::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Silence with a request pending after which a target counts as [`View::Lost`].
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Silence with a request pending after which a new connection should probe the target.
pub const PROBE_DELAY: Duration = Duration::from_millis(150);
/// Time from the first failed connection to [`View::Lost`], and from the first write that the
/// target refused as not the primary to [`View::Deposed`], unless it has shown otherwise since.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(150);

/// One host's view of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum View {
    /// No request has been pending for too long, and connections work.
    #[default]
    Alive,
    /// Unreachable: it does not respond, or connections fail.
    Lost,
    /// It responds, but refuses writes because it is not the primary.
    Deposed,
}

/// What one host has observed of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    pending_since: Option<Time>,
    failing_since: Option<Time>,
    deposed_since: Option<Time>,
}

impl Evidence {
    /// Records that a request was sent.
    pub fn record_request(&mut self, now: Time) {
        self.pending_since.get_or_insert(now);
    }

    /// Records that bytes arrived; `has_pending` tells whether other requests are still pending.
    pub fn record_response(&mut self, now: Time, has_pending: bool) {
        self.pending_since = has_pending.then_some(now);
        self.failing_since = None;
    }

    /// Records that a connection was refused or reset.
    pub fn record_connection_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the target refused a write because it is not the primary.
    pub fn record_deposed(&mut self, now: Time) {
        self.deposed_since.get_or_insert(now);
    }

    /// Records that the target took a write, or was made the primary again.
    pub fn clear_deposed(&mut self) {
        self.deposed_since = None;
    }

    /// Whether a request has been pending for [`PROBE_DELAY`], or connections fail.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.failing_since.is_some()
            || self.pending_since.is_some_and(|at| now.saturating_sub(at) >= PROBE_DELAY)
    }

    /// This host's view of the target at `now`.
    pub fn view(&self, now: Time) -> View {
        let has_elapsed = |since: Option<Time>, timeout: Duration| {
            since.is_some_and(|at| now.saturating_sub(at) >= timeout)
        };
        if has_elapsed(self.pending_since, RESPONSE_TIMEOUT)
            || has_elapsed(self.failing_since, FAILURE_TIMEOUT)
        {
            View::Lost
        } else if has_elapsed(self.deposed_since, FAILURE_TIMEOUT) {
            View::Deposed
        } else {
            View::Alive
        }
    }
}
