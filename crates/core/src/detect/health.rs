//! Evidence about the health of one target.

use crate::group::Status;
use crate::id::Time;
use std::time::Duration;

/// Consecutive failures of work after which a target counts as poisoned.
pub(super) const MIN_WORK_FAILURES: u32 = 3;
/// Time that any probe may take; a target counts as silent only after it.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(200);
/// Consecutive refusals after which a target counts as refusing connections.
pub(super) const MIN_REFUSALS: u32 = 2;

/// A series of consecutive failures of one kind.
#[derive(Debug, Clone, Copy)]
struct Series {
    since: Time,
    last: Time,
    count: u32,
}

/// Evidence about one target.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Last answer to a probe.
    pub status: Option<Status>,
    /// Time of that answer.
    pub answered_at: Time,
    /// Whether work has failed or timed out since the last success.
    pub suspected: bool,
    unanswered_since: Option<Time>,
    refused: Option<Series>,
    failed: Option<Series>,
}

impl Health {
    pub(super) fn record_probe_sent(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    pub(super) fn record_probe_answer(&mut self, now: Time, status: Status) {
        self.status = Some(status);
        self.answered_at = now;
        self.unanswered_since = None;
        self.refused = None;
    }

    pub(super) fn record_refusal(&mut self, now: Time) {
        extend(&mut self.refused, now);
    }

    pub(super) fn record_overload(&mut self) {
        self.unanswered_since = None;
        self.refused = None;
    }

    pub(super) fn record_work(&mut self, now: Time, succeeded: bool) {
        self.suspected = !succeeded;
        if succeeded {
            self.failed = None;
        } else {
            extend(&mut self.failed, now);
        }
    }

    /// Whether a probe is outstanding.
    pub(super) fn is_waiting(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Time since which probes are unanswered, if that is long enough to count.
    pub(super) fn silent_since(&self, now: Time) -> Option<Time> {
        self.unanswered_since.filter(|since| now.saturating_sub(*since) >= MIN_SILENCE)
    }

    /// Time since which connections are refused, if often enough to count.
    pub(super) fn refusing_since(&self) -> Option<Time> {
        self.refused.filter(|series| series.count >= MIN_REFUSALS).map(|series| series.since)
    }

    /// Time since which work fails, if often enough to count and last within `recent`.
    pub(super) fn failing_since(&self, now: Time, recent: Duration) -> Option<Time> {
        let is_recent = |series: &Series| now.saturating_sub(series.last) <= recent;
        let failed = self.failed.filter(is_recent);
        failed.filter(|series| series.count >= MIN_WORK_FAILURES).map(|series| series.since)
    }

    pub(super) fn forget_work(&mut self) {
        self.failed = None;
    }

    pub(super) fn forget_failures(&mut self) {
        self.unanswered_since = None;
        self.refused = None;
        self.failed = None;
    }
}

fn extend(series: &mut Option<Series>, now: Time) {
    let series = series.get_or_insert(Series { since: now, last: now, count: 0 });
    series.last = now;
    series.count += 1;
}
