//! Checks the hosts' rate limits from the callers' observations.
//!
//! A host decides on a request at some time between its sending and its response. [`excess`]
//! therefore counts, for every window, only the requests that lie entirely within it, so what it
//! reports was certainly above burst + rate × window. [`assess`] simulates an ideal limiter: one
//! token bucket over all hosts, charged with the requests that were actually admitted.

use crate::bench::history::{AccountIndex, Attempt, History, Kind, Op, Outcome, Step, Verdict};
use crate::bench::phase::{Phase, PhaseCounts, Phases};
use bergamotvale_core::invariant::admission::Bucket;
use bergamotvale_core::refusal::{Ran, Reason};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time for which a request was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Interval {
    /// Time at which it was sent.
    pub sent: Duration,
    /// Time at which the caller knew its outcome.
    pub ended: Duration,
}

/// Requests of an account that were certainly admitted.
pub fn admitted(history: &History, account: AccountIndex) -> Vec<Interval> {
    let attempts = charged_attempts(history, account).map(|charged| charged.attempt);
    let admitted = attempts.filter(|attempt| attempt.was_admitted());
    admitted.map(|attempt| Interval { sent: attempt.sent, ended: attempt.ended }).collect()
}

/// Requests that are charged to the account's rate; of a transaction only its begin.
fn charged_attempts(
    history: &History,
    account: AccountIndex,
) -> impl Iterator<Item = ChargedAttempt<'_>> {
    let is_own = move |op: &&Op| op.account == account && op.kind != Kind::Foreign;
    let ops = history.ops.iter().filter(is_own);
    ops.flat_map(|op| {
        let is_charged = |attempt: &&Attempt| matches!(attempt.step, Step::Whole | Step::Begin);
        let attempts = op.attempts.iter().filter(is_charged).enumerate();
        attempts.map(move |(index, attempt)| ChargedAttempt { op, attempt, is_first: index == 0 })
    })
}

/// A request that is charged to its account's rate.
struct ChargedAttempt<'a> {
    op: &'a Op,
    attempt: &'a Attempt,
    /// Whether it is the first request of its operation and not a repeat.
    is_first: bool,
}

/// The largest number of requests by which any window exceeds `burst` + `rate` × its length; 0 if
/// none does.
///
/// Windows run from the sending of one request to the end of another. For each possible start, a
/// max tree holds the requests counted so far plus `rate` × start, so that each end needs one query
/// of the maximum instead of a pass over all starts.
pub fn excess(intervals: &[Interval], rate: f64, burst: f64) -> f64 {
    let mut starts: Vec<_> = intervals.iter().map(|interval| interval.sent).collect();
    starts.sort();
    starts.dedup();
    let mut by_end = intervals.to_vec();
    by_end.sort_by_key(|interval| interval.ended);
    let mut tree = MaxTree::new(starts.len());
    let mut opened = 0;
    let mut worst = 0.0_f64;
    for interval in by_end {
        let start_count = starts.partition_point(|start| *start <= interval.sent);
        // Starts that come after all requests counted so far begin with a count of zero.
        for (leaf, start) in starts.iter().enumerate().take(start_count).skip(opened) {
            tree.set_leaf(leaf, rate * start.as_secs_f64());
        }
        opened = opened.max(start_count);
        tree.add_to_prefix(start_count);
        let count_above_rate = tree.max() - rate * interval.ended.as_secs_f64();
        worst = worst.max(count_above_rate - burst);
    }
    // Rounding errors of the sums are far smaller than one request.
    if worst < 1e-6 { 0.0 } else { worst }
}

/// A segment tree of maxima that can add one to a prefix of its leaves.
struct MaxTree {
    leaves: usize,
    max: Vec<f64>,
    pending: Vec<f64>,
}

impl MaxTree {
    fn new(count: usize) -> MaxTree {
        let leaves = count.next_power_of_two();
        MaxTree { leaves, max: vec![f64::NEG_INFINITY; 2 * leaves], pending: vec![0.0; 2 * leaves] }
    }

    /// Sets the initial value of a leaf that no addition has covered yet.
    fn set_leaf(&mut self, leaf: usize, value: f64) {
        let mut node = self.leaves + leaf;
        self.max[node] = value;
        while node > 1 {
            node /= 2;
            self.max[node] = self.max[2 * node].max(self.max[2 * node + 1]) + self.pending[node];
        }
    }

    fn max(&self) -> f64 {
        self.max[1]
    }

    /// Adds one to the first `count` leaves.
    fn add_to_prefix(&mut self, count: usize) {
        self.add_to_node(1, 0, self.leaves, count);
    }

    fn add_to_node(&mut self, node: usize, from: usize, to: usize, count: usize) {
        if from >= count {
            return;
        }
        if to <= count {
            self.max[node] += 1.0;
            self.pending[node] += 1.0;
            return;
        }
        let middle = usize::midpoint(from, to);
        self.add_to_node(2 * node, from, middle, count);
        self.add_to_node(2 * node + 1, middle, to, count);
        self.max[node] = self.max[2 * node].max(self.max[2 * node + 1]) + self.pending[node];
    }
}

/// The requests of an account, compared with an ideal limiter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assessment {
    /// Operations that the account sent.
    pub offered: u64,
    /// Operations that the ideal limiter would have admitted if it alone had decided.
    pub within: u64,
    /// Operations counted in `within` that were sent in steady state.
    pub within_steady: u64,
    /// Refusals, by reason, of requests that may have run or for which a bucket charged with the
    /// admitted requests had a token.
    pub wrongful: BTreeMap<Reason, PhaseCounts>,
    /// Requests without a complete response, or refused without a known reason.
    pub failed: PhaseCounts,
}

/// Compares the outcomes of an account's requests with an ideal limiter.
pub fn assess(history: &History, phases: &Phases, account: AccountIndex) -> Assessment {
    let limits = &history.accounts[account];
    let mut charges: Vec<_> = charged_attempts(history, account).collect();
    charges.sort_by_key(|charged| charged.attempt.sent);
    let mut ideal = Bucket::new(limits.rate, limits.burst);
    let mut actual = Bucket::new(limits.rate, limits.burst);
    let mut assessment = Assessment::default();
    for ChargedAttempt { op, attempt, is_first } in charges {
        let phase = phases.of_attempt(op, attempt);
        let is_within = ideal.admit(attempt.sent) && is_first;
        assessment.offered += u64::from(is_first);
        assessment.within += u64::from(is_within);
        assessment.within_steady += u64::from(is_within && phase == Phase::Steady);
        assessment.record(attempt, phase, &mut actual);
    }
    assessment
}

impl Assessment {
    fn record(&mut self, attempt: &Attempt, phase: Phase, bucket: &mut Bucket) {
        if attempt.verdict() != Verdict::NotRun {
            bucket.charge(attempt.sent);
        }
        match attempt.outcome {
            Outcome::Done { .. } => {}
            Outcome::Refused { reason: Some(reason), ran: Ran::No } => {
                if bucket.admit(attempt.sent) {
                    self.wrongful.entry(reason).or_default().add(phase);
                }
            }
            Outcome::Refused { reason: Some(reason), .. } => {
                self.wrongful.entry(reason).or_default().add(phase);
            }
            Outcome::Refused { reason: None, .. } | Outcome::Cut | Outcome::Unsent => {
                self.failed.add(phase);
            }
        }
    }
}
