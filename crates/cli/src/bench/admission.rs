//! The account's rate, judged from outside.
//!
//! A host decides about a request somewhere between the moments at which its caller sent it and
//! had its answer. [`excess`] therefore counts, for every window, only requests that lie whole in
//! it: whatever it finds was certainly above burst + rate × window. [`wrongful`] plays the ideal
//! limiter: one bucket over all hosts, charged with what was really let through.

use crate::bench::history::{AccountIndex, Attempt, History, Kind, Op, Outcome, Step, Verdict};
use crate::bench::phase::{Count, Phase, Phases};
use bergamotvale_core::invariant::admission::Bucket;
use bergamotvale_core::refusal::{Ran, Reason};
use std::collections::BTreeMap;
use std::time::Duration;

/// When a request was sent and when its outcome was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Sent.
    pub sent: Duration,
    /// Known.
    pub ended: Duration,
}

/// Requests of an account that were let through for certain.
pub fn admitted(history: &History, account: AccountIndex) -> Vec<Span> {
    let attempts = charged(history, account).map(|charge| charge.attempt);
    let admitted = attempts.filter(|attempt| attempt.was_admitted());
    admitted.map(|attempt| Span { sent: attempt.sent, ended: attempt.ended }).collect()
}

/// Requests that the account's rate pays for: of a transaction, its beginning.
fn charged(history: &History, account: AccountIndex) -> impl Iterator<Item = Charge<'_>> {
    let is_own = move |op: &&Op| op.account == account && op.kind != Kind::Foreign;
    let ops = history.ops.iter().filter(is_own);
    ops.flat_map(|op| {
        let paid = |attempt: &&Attempt| matches!(attempt.step, Step::Whole | Step::Begin);
        let attempts = op.attempts.iter().filter(paid).enumerate();
        attempts.map(move |(place, attempt)| Charge { op, attempt, is_first: place == 0 })
    })
}

/// A request that the account's rate pays for.
struct Charge<'a> {
    op: &'a Op,
    attempt: &'a Attempt,
    /// Whether it is its operation's first, not a repeat.
    is_first: bool,
}

/// Most requests by which any window holds more than `burst` + `rate` × its length; 0 at best.
///
/// Windows run from the sending of one request to the end of another. Over the windows' starts,
/// a tree of maxima keeps the requests counted so far plus `rate` × start.
pub fn excess(spans: &[Span], rate: f64, burst: f64) -> f64 {
    let mut starts: Vec<_> = spans.iter().map(|span| span.sent).collect();
    starts.sort();
    starts.dedup();
    let mut by_end = spans.to_vec();
    by_end.sort_by_key(|span| span.ended);
    let mut tree = Tree::new(starts.len());
    let mut opened = 0;
    let mut worst = 0.0_f64;
    for span in by_end {
        let place = starts.partition_point(|start| *start <= span.sent);
        // A window that starts later than everything counted so far holds nothing yet.
        for (leaf, start) in starts.iter().enumerate().take(place).skip(opened) {
            tree.open(leaf, rate * start.as_secs_f64());
        }
        opened = opened.max(place);
        tree.add_below(place);
        let held = tree.max() - rate * span.ended.as_secs_f64();
        worst = worst.max(held - burst);
    }
    // Sums of floats may be off by far less than one request.
    if worst < 1e-6 { 0.0 } else { worst }
}

/// A complete binary tree of maxima that adds one to a prefix of its leaves.
struct Tree {
    leaves: usize,
    max: Vec<f64>,
    pending: Vec<f64>,
}

impl Tree {
    fn new(count: usize) -> Tree {
        let leaves = count.next_power_of_two();
        Tree { leaves, max: vec![f64::NEG_INFINITY; 2 * leaves], pending: vec![0.0; 2 * leaves] }
    }

    /// Gives a leaf, to which nothing was added before, its first value.
    fn open(&mut self, leaf: usize, value: f64) {
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
    fn add_below(&mut self, count: usize) {
        self.add(1, 0, self.leaves, count);
    }

    fn add(&mut self, node: usize, from: usize, to: usize, count: usize) {
        if from >= count {
            return;
        }
        if to <= count {
            self.max[node] += 1.0;
            self.pending[node] += 1.0;
            return;
        }
        let middle = usize::midpoint(from, to);
        self.add(2 * node, from, middle, count);
        self.add(2 * node + 1, middle, to, count);
        self.max[node] = self.max[2 * node].max(self.max[2 * node + 1]) + self.pending[node];
    }
}

/// How an account's requests went against the ideal limiter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Account {
    /// Operations.
    pub offered: u64,
    /// Operations that the ideal limiter would have let through, had it decided alone.
    pub within: u64,
    /// Of those, the ones in steady state.
    pub within_steady: u64,
    /// Refusals of requests for which there was a token, or which may have run, by reason.
    pub wrongful: BTreeMap<Reason, Count>,
    /// Requests without a whole answer or a known reason.
    pub failed: Count,
}

/// Plays the ideal limiter over the requests of an account.
pub fn wrongful(history: &History, phases: &Phases, account: AccountIndex) -> Account {
    let known = &history.accounts[account];
    let mut charges: Vec<_> = charged(history, account).collect();
    charges.sort_by_key(|charge| charge.attempt.sent);
    let mut alone = Bucket::new(known.rate, known.burst);
    let mut real = Bucket::new(known.rate, known.burst);
    let mut found = Account::default();
    for Charge { op, attempt, is_first } in charges {
        let phase = phases.of(op, attempt);
        let is_within = alone.admit(attempt.sent) && is_first;
        found.offered += u64::from(is_first);
        found.within += u64::from(is_within);
        found.within_steady += u64::from(is_within && phase == Phase::Steady);
        found.judge(attempt, phase, &mut real);
    }
    found
}

impl Account {
    fn judge(&mut self, attempt: &Attempt, phase: Phase, bucket: &mut Bucket) {
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
