//! What is known of one target.

use crate::group::Status;
use crate::id::Time;
use std::time::Duration;

/// Failures of work in a row that make a target poisoned.
pub(super) const MIN_WORK_FAILURES: u32 = 3;
/// Time for which any probe may take.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(200);
/// Refusals in a row that show that nothing listens.
pub(super) const MIN_REFUSALS: u32 = 2;

/// A run of one kind of failure.
#[derive(Debug, Clone, Copy)]
struct Run {
    since: Time,
    last: Time,
    count: u32,
}

/// What is known of one target.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Its last answer.
    pub status: Option<Status>,
    /// When that answer came.
    pub answered_at: Time,
    /// Whether work has failed on it since the last that went well.
    pub suspected: bool,
    asked: Option<Time>,
    refused: Option<Run>,
    failed: Option<Run>,
}

impl Health {
    pub(super) fn record_probe_sent(&mut self, now: Time) {
        self.asked.get_or_insert(now);
    }

    pub(super) fn record_probe_answer(&mut self, now: Time, status: Status) {
        self.status = Some(status);
        self.answered_at = now;
        self.asked = None;
        self.refused = None;
    }

    pub(super) fn record_refusal(&mut self, now: Time) {
        extend(&mut self.refused, now);
    }

    pub(super) fn record_overload(&mut self) {
        self.asked = None;
        self.refused = None;
    }

    pub(super) fn record_work(&mut self, now: Time, well: bool) {
        self.suspected = !well;
        if well {
            self.failed = None;
        } else {
            extend(&mut self.failed, now);
        }
    }

    /// Whether a probe is unanswered.
    pub(super) fn is_waiting(&self) -> bool {
        self.asked.is_some()
    }

    /// Since when it has left probes unanswered.
    pub(super) fn silent_since(&self, now: Time) -> Option<Time> {
        self.asked.filter(|asked| now.saturating_sub(*asked) >= MIN_SILENCE)
    }

    /// Since when it has refused connections.
    pub(super) fn refusing_since(&self) -> Option<Time> {
        self.refused.filter(|run| run.count >= MIN_REFUSALS).map(|run| run.since)
    }

    /// Since when it has failed its work, if it still did so within `recent`.
    pub(super) fn failing_since(&self, now: Time, recent: Duration) -> Option<Time> {
        let going_on = |run: &Run| now.saturating_sub(run.last) <= recent;
        let failed = self.failed.filter(going_on);
        failed.filter(|run| run.count >= MIN_WORK_FAILURES).map(|run| run.since)
    }

    pub(super) fn forget_work(&mut self) {
        self.failed = None;
    }

    pub(super) fn forget_failures(&mut self) {
        self.asked = None;
        self.refused = None;
        self.failed = None;
    }
}

fn extend(run: &mut Option<Run>, now: Time) {
    let run = run.get_or_insert(Run { since: now, last: now, count: 0 });
    run.last = now;
    run.count += 1;
}
