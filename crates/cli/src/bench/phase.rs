//! Assigns requests to a phase of the run: steady state, a failover gap, or the time after a fault.
//!
//! A service's gap begins when a fault makes its primary unavailable and ends with the first
//! acknowledged write that was sent after the fault; if there is none, it lasts to the end of the
//! run. Requests within [`RECOVERY_TIME`] of the end of a gap, or of the injection of a fault that
//! leaves the primaries available, belong to the time after the fault. Everything else is steady
//! state, even while a fault of the latter kind lasts, since callers should no longer notice it by
//! then.

use crate::bench::history::{Attempt, Fault, History, Op, ServiceIndex, Verdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after a gap, or after a fault without a gap, during which requests may still be affected.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Phase of a run, as seen by the requests of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No fault affects requests.
    Steady,
    /// The service has no primary that acknowledges writes.
    Gap,
    /// A gap has just ended, or a fault without a gap was just injected.
    After,
}

/// Number of requests by phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PhaseCounts {
    /// Requests in steady state.
    pub steady: u64,
    /// Requests in a failover gap.
    pub gap: u64,
    /// Requests within the recovery time after a fault.
    pub after: u64,
}

impl PhaseCounts {
    /// Counts one request in `phase`.
    pub fn add(&mut self, phase: Phase) {
        match phase {
            Phase::Steady => self.steady += 1,
            Phase::Gap => self.gap += 1,
            Phase::After => self.after += 1,
        }
    }

    /// Adds the counts of `other`, phase by phase.
    pub fn merge(&mut self, other: PhaseCounts) {
        self.steady += other.steady;
        self.gap += other.gap;
        self.after += other.after;
    }

    /// The sum over all phases.
    pub fn total(self) -> u64 {
        self.steady + self.gap + self.after
    }
}

/// The times at which the faults of a run affect requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Phases(Vec<Window>);

/// The requests that a fault affects, by service and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Window {
    /// Service whose primary is unavailable; none for a fault without a gap, which affects every
    /// service.
    service: Option<ServiceIndex>,
    begun: Duration,
    ended: Duration,
}

impl Phases {
    /// Derives the phases from the faults and writes of `history`.
    pub fn new(history: &History) -> Phases {
        Phases(history.faults.iter().map(|fault| fault_window(history, fault)).collect())
    }

    /// The phase of a request to `service` that was in flight from `sent` to `ended`.
    pub fn of_interval(&self, service: ServiceIndex, sent: Duration, ended: Duration) -> Phase {
        let affects = |window: &&Window| window.service.is_none_or(|affected| affected == service);
        let windows = || self.0.iter().filter(affects);
        let is_in_gap = |w: &Window| w.service.is_some() && sent < w.ended && ended > w.begun;
        let is_after = |w: &Window| ended > w.begun && sent < w.ended.saturating_add(RECOVERY_TIME);
        if windows().any(is_in_gap) {
            return Phase::Gap;
        }
        if windows().any(is_after) { Phase::After } else { Phase::Steady }
    }

    /// The phase of an attempt of `op`, by the time it was in flight.
    pub fn of_attempt(&self, op: &Op, attempt: &Attempt) -> Phase {
        self.of_interval(op.service, attempt.sent, attempt.ended)
    }
}

fn fault_window(history: &History, fault: &Fault) -> Window {
    let service = fault.primary_of;
    let ended = service.map_or(Some(fault.done), |service| recovery_end(history, fault, service));
    Window { service, begun: fault.begun, ended: ended.unwrap_or(Duration::MAX) }
}

/// End of the first acknowledged write to `service` that was sent once `fault` was in effect; none
/// if the service did not recover.
pub fn recovery_end(history: &History, fault: &Fault, service: ServiceIndex) -> Option<Duration> {
    let writes = history.ops.iter().filter(|op| op.service == service && op.kind.is_write());
    let acknowledged = writes.filter(|op| op.verdict() == Verdict::Acknowledged);
    let sent_after =
        acknowledged.filter_map(Op::decisive_attempt).filter(|attempt| attempt.sent >= fault.done);
    sent_after.map(|attempt| attempt.ended).min()
}
