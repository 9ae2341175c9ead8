//! How long each sign of failure must last.

use derive_more::Display;
use std::time::Duration;

/// Why a primary counts as failing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// It leaves probes unanswered.
    Silent,
    /// It refuses connections.
    Refused,
    /// It answers probes and fails its work.
    Poisoned,
    /// No majority of the group acknowledges it.
    Isolated,
    /// No target is the primary of the highest term.
    Leaderless,
}

/// How long each sign must last, and how often hosts look.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time between two calls of [`Detector::tick`].
    pub tick: Duration,
    /// A gap between ticks that shows that this host was stalled.
    pub stall: Duration,
    /// Unanswered probes.
    pub silent: Duration,
    /// Refused connections.
    pub refused: Duration,
    /// Failed work with answered probes.
    pub poisoned: Duration,
    /// A primary that no majority acknowledges.
    pub isolated: Duration,
    /// No primary of the highest term.
    pub leaderless: Duration,
    /// Age of the replicas' data that shows that they too have lost the primary.
    pub abandoned: Duration,
    /// Time for which a status or a peer's opinion counts.
    pub recent: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::new(Duration::from_millis(1_200))
    }
}

impl Settings {
    /// Settings that depose a primary which has given no sign of life for `after`.
    ///
    /// Where nothing listens any more, a fraction of it is enough.
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
