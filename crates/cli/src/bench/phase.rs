//! When a request was sent: in steady state, in a failover gap, or soon after a fault.
//!
//! A gap of a service begins when a fault takes its primary away and ends with the first good write
//! that was sent after the fault; without one it lasts to the end of the run. What is sent within
//! [`SETTLING`] of a gap's end, or of a fault that takes no primary away, comes after it. All else
//! is steady state, also while such a fault lasts: it should pass unnoticed by then.

use crate::bench::history::{Attempt, Fault, History, Op, ServiceIndex, Verdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a fault may still be felt after its gap.
const SETTLING: Duration = Duration::from_secs(2);

/// A part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No fault is felt.
    Steady,
    /// The service has no primary that takes writes.
    Gap,
    /// A fault or its gap has just ended.
    After,
}

/// Numbers by phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Count {
    /// In steady state.
    pub steady: u64,
    /// In a gap.
    pub gap: u64,
    /// Soon after a fault.
    pub after: u64,
}

impl Count {
    /// Adds one.
    pub fn add(&mut self, phase: Phase) {
        match phase {
            Phase::Steady => self.steady += 1,
            Phase::Gap => self.gap += 1,
            Phase::After => self.after += 1,
        }
    }

    /// Adds the numbers of `other`.
    pub fn merge(&mut self, other: Count) {
        self.steady += other.steady;
        self.gap += other.gap;
        self.after += other.after;
    }

    /// The sum over all phases.
    pub fn total(self) -> u64 {
        self.steady + self.gap + self.after
    }
}

/// The faults of a run with their gaps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Phases(Vec<Reach>);

/// Whom a fault concerns and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reach {
    /// The service that lost its primary; none concerns all.
    service: Option<ServiceIndex>,
    begun: Duration,
    ended: Duration,
}

impl Phases {
    /// The phases of `history`.
    pub fn new(history: &History) -> Phases {
        Phases(history.faults.iter().map(|fault| reach(history, fault)).collect())
    }

    /// The phase of a request that was on its way from `sent` to `ended`.
    pub fn at(&self, service: ServiceIndex, sent: Duration, ended: Duration) -> Phase {
        let concerns = |reach: &&Reach| reach.service.is_none_or(|known| known == service);
        let reaches = || self.0.iter().filter(concerns);
        let is_in_gap =
            |reach: &Reach| reach.service.is_some() && sent < reach.ended && ended > reach.begun;
        let is_after =
            |reach: &Reach| ended > reach.begun && sent < reach.ended.saturating_add(SETTLING);
        if reaches().any(is_in_gap) {
            return Phase::Gap;
        }
        if reaches().any(is_after) { Phase::After } else { Phase::Steady }
    }

    /// The phase of an attempt of `op`.
    pub fn of(&self, op: &Op, attempt: &Attempt) -> Phase {
        self.at(op.service, attempt.sent, attempt.ended)
    }
}

fn reach(history: &History, fault: &Fault) -> Reach {
    let service = fault.primary_of;
    let ended = service.map_or(Some(fault.done), |service| first_good(history, fault, service));
    Reach { service, begun: fault.begun, ended: ended.unwrap_or(Duration::MAX) }
}

/// End of the first good write that was sent after `fault`.
pub fn first_good(history: &History, fault: &Fault, service: ServiceIndex) -> Option<Duration> {
    let writes = history.ops.iter().filter(|op| op.service == service && op.kind.writes());
    let good = writes.filter(|op| op.verdict() == Verdict::Acknowledged);
    let sent_after = good.filter_map(Op::settled).filter(|attempt| attempt.sent >= fault.done);
    sent_after.map(|attempt| attempt.ended).min()
}
