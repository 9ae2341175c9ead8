//! Thresholds of failure detection.

use derive_more::Display;
use std::time::Duration;

/// Kind of evidence that a primary is failing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// The primary leaves probes unanswered.
    Silent,
    /// The primary refuses connections.
    Refused,
    /// The primary answers probes but fails its work.
    Poisoned,
    /// No majority of the group acknowledges the primary's entries.
    Isolated,
    /// No target is the primary of the highest term.
    Leaderless,
}

/// How long each sign of failure must last before the primary counts as failed, and related times.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Interval between calls of [`Detector::tick`](super::Detector::tick).
    pub tick: Duration,
    /// Gap between ticks above which this host counts as stalled.
    pub stall: Duration,
    /// Threshold for [`Cause::Silent`].
    pub silent: Duration,
    /// Threshold for [`Cause::Refused`].
    pub refused: Duration,
    /// Threshold for [`Cause::Poisoned`].
    pub poisoned: Duration,
    /// Threshold for [`Cause::Isolated`].
    pub isolated: Duration,
    /// Threshold for [`Cause::Leaderless`].
    pub leaderless: Duration,
    /// Age of a replica's data at which it counts as having lost contact with the primary.
    pub abandoned: Duration,
    /// Age up to which a status, a failure of work or a peer's opinion is used.
    pub recent: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::new(Duration::from_millis(1_200))
    }
}

impl Settings {
    /// Settings under which a primary is replaced once it has been silent for `after`.
    ///
    /// A quarter of it is enough for refused connections, since nothing listens any more, and half
    /// of it for a group without a primary.
    pub fn new(after: Duration) -> Settings {
        Settings {
            tick: Duration::from_millis(50),
            stall: Duration::from_millis(300),
            silent: after,
            refused: after / 4,
            poisoned: after,
            isolated: after,
            leaderless: after / 2,
            abandoned: after + after / 4,
            recent: Duration::from_millis(1_500),
        }
    }

    pub(super) fn threshold(&self, cause: Cause) -> Duration {
        match cause {
            Cause::Silent => self.silent,
            Cause::Refused => self.refused,
            Cause::Poisoned => self.poisoned,
            Cause::Isolated => self.isolated,
            Cause::Leaderless => self.leaderless,
        }
    }
}
