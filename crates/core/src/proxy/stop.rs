//! The schedule of a planned stop: until when a stopping host takes sessions, transactions and
//! statements.
//!
//! A stop is a budget: the process is killed at the end of its grace period, so whatever the host
//! takes has to be able to end before. At each moment a statement has its whole timeout left or is
//! refused at once. The schedule has three parts:
//!
//! 1. until [`Schedule::notice_end`] the balancer may still send new sessions, which are served;
//! 2. until [`Schedule::close_end`] idle sessions are closed one after the other, so that callers
//!    spread their return over the other hosts;
//! 3. until [`Schedule::work_end`] the statements that were taken end. Then those that are still at
//!    work are answered as unknown or as not kept, and the host leaves.
//!
//! All times count from the signal to stop.

use std::time::Duration;

/// Time after which the balancer has noticed that a host is not ready.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2400);
/// Time over which the closing of idle sessions is spread.
const IDLE_CLOSE_PERIOD: Duration = Duration::from_millis(800);
/// Time that is left after the end of work, to send the last answers, to close the sessions and to
/// leave the members.
const EXIT_RESERVE: Duration = Duration::from_millis(800);

/// Schedule of one stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    notice_end: Duration,
    close_end: Duration,
    work_end: Duration,
}

impl Schedule {
    /// Creates the schedule of a stop after which the process is killed once `grace` has passed.
    /// The parts of a short grace period are shorter in proportion.
    pub fn new(grace: Duration) -> Schedule {
        let notice_end = BALANCER_NOTICE_TIME.min(grace * 2 / 5);
        let close_end = notice_end + IDLE_CLOSE_PERIOD.min(grace / 5);
        let work_end = grace.saturating_sub(EXIT_RESERVE.min(grace / 4));
        Schedule { notice_end, close_end, work_end }
    }

    /// When the balancer sends no new sessions any more.
    pub fn notice_end(&self) -> Duration {
        self.notice_end
    }

    /// When all idle sessions have been closed.
    pub fn close_end(&self) -> Duration {
        self.close_end
    }

    /// When all statements have been answered.
    pub fn work_end(&self) -> Duration {
        self.work_end
    }

    /// Time between the closing of two of `count` idle sessions.
    pub fn close_interval(&self, count: usize) -> Duration {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        (self.close_end - self.notice_end) / count.max(1)
    }

    /// Whether a new session or transaction may begin at `elapsed`.
    pub fn takes_sessions(&self, elapsed: Duration) -> bool {
        elapsed < self.notice_end
    }

    /// Whether a statement that arrives at `elapsed` has its whole timeout before the end of work.
    pub fn takes_statement(&self, elapsed: Duration, timeout: Duration) -> bool {
        elapsed.saturating_add(timeout) <= self.work_end
    }
}
