//! Whether a target is alive, from what work on it shows.
//!
//! Any byte from a target is a sign of life. Silence counts only while something was asked; a
//! refused connection counts at once, since the machine that refuses it is up and the target's
//! process is not.

use crate::id::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Silence after a question that makes a target suspect.
pub const SILENCE: Duration = Duration::from_millis(450);
/// Silence after a question at which a second one, on a new connection, should check for life.
pub const DOUBT: Duration = Duration::from_millis(150);
/// Time for which refused or broken connections without any sign of life make a target suspect.
pub const REFUSED: Duration = Duration::from_millis(150);

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
    asked: Option<Time>,
    broken: Option<Time>,
    deposed: Option<Time>,
}

impl Evidence {
    /// A question was sent.
    pub fn ask(&mut self, now: Time) {
        self.asked.get_or_insert(now);
    }

    /// Bytes arrived; `is_waiting` says whether other questions are still open.
    pub fn answer(&mut self, now: Time, is_waiting: bool) {
        self.asked = is_waiting.then_some(now);
        self.broken = None;
    }

    /// A connection was refused or reset.
    pub fn fail(&mut self, now: Time) {
        self.broken.get_or_insert(now);
    }

    /// The target said that it takes no writes.
    pub fn depose(&mut self, now: Time) {
        self.deposed.get_or_insert(now);
    }

    /// The target took a write, or was made the primary again.
    pub fn lead(&mut self) {
        self.deposed = None;
    }

    /// Whether a question has been open for long, or connections break.
    pub fn is_silent(&self, now: Time) -> bool {
        self.broken.is_some() || self.asked.is_some_and(|at| now.saturating_sub(at) >= DOUBT)
    }

    /// The view at `now`.
    pub fn view(&self, now: Time) -> View {
        let passed = |since: Option<Time>, limit: Duration| {
            since.is_some_and(|at| now.saturating_sub(at) >= limit)
        };
        if passed(self.asked, SILENCE) || passed(self.broken, REFUSED) {
            View::Lost
        } else if passed(self.deposed, REFUSED) {
            View::Deposed
        } else {
            View::Alive
        }
    }
}
