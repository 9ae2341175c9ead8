//! The three measures and what belongs to them, from a recorded history.

use crate::bench::admission;
use crate::bench::check::{self, Findings};
use crate::bench::history::{
    AccountIndex, Fault, History, Kind, Op, Outcome, ServiceIndex, Verdict,
};
use crate::bench::phase::{self, Count, Phases};
use bergamotvale_core::refusal::Reason;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest latency that the histograms tell apart, µs.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Digits that the histograms keep.
const LATENCY_DIGITS: u8 = 3;
/// Width of a point of the time line.
const TIMELINE_STEP: Duration = Duration::from_millis(250);

/// Why a request was not served well: a refusal's reason, [`LATE`] or [`NO_ANSWER`].
pub type Cause = String;

/// Answered, but not on time.
pub const LATE: &str = "late";
/// Without a whole answer or a known reason.
pub const NO_ANSWER: &str = "no_answer";

/// Everything that is reported about one run.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// Operations that were due.
    pub offered: u64,
    /// Operations that were answered.
    pub answered: u64,
    /// Share of answered reads that replicas served.
    pub replica_share: f64,
    /// The same of reads that stated an age.
    pub aged_replica_share: f64,
    /// Failover gaps, one a fault that took a primary away.
    pub gaps: Vec<Gap>,
    /// Client accounts, the worst served first.
    pub accounts: Vec<Account>,
    /// Refusals of requests within their account's rate, by reason.
    pub wrongful: BTreeMap<Reason, u64>,
    /// Requests within the rate that were not served well, by cause and phase.
    pub missed: BTreeMap<Cause, Count>,
    /// Requests without a whole answer or a known reason.
    pub failed: u64,
    /// Writes of unknown outcome.
    pub unknown: u64,
    /// Latency by kind of operation.
    pub latency: BTreeMap<Kind, Latency>,
    /// What may never happen.
    pub findings: Findings,
    /// Operations over time.
    pub timeline: Vec<Point>,
    /// Faults with the time at which they began, s.
    pub faults: Vec<(f64, String)>,
}

/// Time without a good write round a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gap {
    /// The fault.
    pub fault: String,
    /// From the last good write before the fault to the first after it, ms; none when no good
    /// write came after it.
    pub gap_ms: Option<f64>,
}

/// How a client account fared.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Requests that were due.
    pub offered: u64,
    /// Requests within rate and burst.
    pub within: u64,
    /// Operations answered correctly and on time.
    pub good: u64,
    /// Share of the requests within the rate that were answered correctly and on time.
    pub share: f64,
    /// Share of those in steady state that were neither refused wrongfully nor late or unanswered.
    pub steady_share: f64,
    /// Most requests above rate and burst in any window.
    pub excess: f64,
    /// Refusals within the rate.
    pub wrongful: u64,
    /// 99th percentile of latency, ms.
    pub p99_ms: f64,
}

/// Latency, counted from the moment at which each operation was due, ms.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Latency {
    /// Operations.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Longest.
    pub max_ms: f64,
    /// Quantiles for a plot: share below, ms.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub curve: Vec<(f64, f64)>,
}

/// What ended within a step of the time line.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Point {
    /// Start of the step, s.
    pub at_s: f64,
    /// Answered.
    pub answered: u64,
    /// Answered writes.
    pub writes: u64,
    /// Refused for the account's rate.
    pub over_rate: u64,
    /// Refused otherwise, or without answer.
    pub refused: u64,
}

/// Measures `history`; an answer is on time within `on_time` of the moment at which it was due.
pub fn measure(history: &History, on_time: Duration) -> Measures {
    let findings = check::check(history);
    let phases = Phases::new(history);
    let indexes = 0..history.accounts.len();
    let admissions: Vec<_> =
        indexes.clone().map(|account| admission::wrongful(history, &phases, account)).collect();
    let late: Vec<_> = indexes.map(|account| late(history, &phases, account, on_time)).collect();
    let writes = history.ops.iter().filter(|op| op.kind.writes());
    Measures {
        offered: history.ops.len() as u64,
        answered: count(&history.ops, |op| op.verdict() == Verdict::Acknowledged),
        replica_share: replica_share(history, Kind::reads),
        aged_replica_share: replica_share(history, |kind| kind == Kind::AgedRead),
        gaps: gaps(history),
        accounts: accounts(history, &findings, &admissions, &late, on_time),
        wrongful: wrongful(&admissions),
        missed: missed(&admissions, &late),
        failed: admissions.iter().map(|account| account.failed.total()).sum(),
        unknown: writes.filter(|op| op.verdict() == Verdict::Unknown).count() as u64,
        latency: latencies(history),
        findings,
        timeline: timeline(history),
        faults: history.faults.iter().map(|f| (f.begun.as_secs_f64(), f.name.clone())).collect(),
    }
}

fn count(ops: &[Op], holds: impl Fn(&Op) -> bool) -> u64 {
    ops.iter().filter(|op| holds(op)).count() as u64
}

fn wrongful(admissions: &[admission::Account]) -> BTreeMap<Reason, u64> {
    let mut sum = BTreeMap::new();
    for (reason, count) in admissions.iter().flat_map(|account| &account.wrongful) {
        *sum.entry(*reason).or_default() += count.total();
    }
    sum
}

fn missed(admissions: &[admission::Account], late: &[Count]) -> BTreeMap<Cause, Count> {
    let refused = admissions.iter().flat_map(|account| &account.wrongful);
    let refused = refused.map(|(reason, count)| (reason.to_string(), *count));
    let late = late.iter().map(|count| (LATE.to_owned(), *count));
    let failed = admissions.iter().map(|account| (NO_ANSWER.to_owned(), account.failed));
    let mut sum = BTreeMap::<Cause, Count>::new();
    for (cause, count) in refused.chain(late).chain(failed).filter(|(_, c)| c.total() > 0) {
        sum.entry(cause).or_default().merge(count);
    }
    sum
}

/// Answers of an account that were not on time.
fn late(history: &History, phases: &Phases, account: AccountIndex, on_time: Duration) -> Count {
    let ops = history.ops.iter().filter(|op| op.account == account && op.kind != Kind::Foreign);
    let answered = ops.filter(|op| op.verdict() == Verdict::Acknowledged);
    let is_late = |op: &&Op| op.latency().is_some_and(|latency| latency > on_time);
    let mut count = Count::default();
    for op in answered.filter(is_late) {
        let ended = op.settled().map_or(op.scheduled, |attempt| attempt.ended);
        count.add(phases.at(op.service, op.scheduled, ended));
    }
    count
}

/// Share of answered reads of some kinds that a replica served; 0 without answered ones.
fn replica_share(history: &History, counts: impl Fn(Kind) -> bool) -> f64 {
    let reads = history.ops.iter().filter(|op| counts(op.kind));
    let roles: Vec<bool> = reads.filter_map(served_by_replica).collect();
    let by_replicas = roles.iter().filter(|replica| **replica).count();
    if roles.is_empty() { 0.0 } else { by_replicas as f64 / roles.len() as f64 }
}

fn served_by_replica(op: &Op) -> Option<bool> {
    match op.settled()?.outcome {
        Outcome::Done { replica, .. } => replica,
        _ => None,
    }
}

/// The gap of every fault that took a primary away.
pub fn gaps(history: &History) -> Vec<Gap> {
    let faults = history.faults.iter().filter_map(|fault| Some((fault, fault.primary_of?)));
    faults
        .map(|(fault, service)| Gap {
            fault: fault.name.clone(),
            gap_ms: gap(history, fault, service).map(|gap| gap.as_secs_f64() * 1e3),
        })
        .collect()
}

/// From the last good write that ended before the fault to the end of the first that was sent
/// after it, so that an answer already under way does not count as recovery.
fn gap(history: &History, fault: &Fault, service: ServiceIndex) -> Option<Duration> {
    let good = || {
        let ops = history.ops.iter().filter(move |op| op.service == service && op.kind.writes());
        ops.filter(|op| op.verdict() == Verdict::Acknowledged).filter_map(Op::settled)
    };
    let before = good().map(|attempt| attempt.ended).filter(|ended| *ended <= fault.begun).max();
    let after = phase::first_good(history, fault, service);
    Some(after?.saturating_sub(before.unwrap_or(fault.begun)))
}

/// Median and worst of the gaps; none unless every fault was recovered from.
pub fn gap_summary(gaps: &[Gap]) -> Option<(f64, f64)> {
    let mut known = gaps.iter().map(|gap| gap.gap_ms).collect::<Option<Vec<_>>>()?;
    known.sort_by(f64::total_cmp);
    let worst = *known.last()?;
    Some((known[known.len() / 2], worst))
}

fn accounts(
    history: &History,
    findings: &Findings,
    admissions: &[admission::Account],
    late: &[Count],
    on_time: Duration,
) -> Vec<Account> {
    let mut accounts: Vec<_> = admissions
        .iter()
        .zip(late)
        .enumerate()
        .map(|(index, (admission, late))| {
            let steady_share = steady_share(admission, *late);
            let known = account(history, findings, admission, index, on_time);
            Account { steady_share, ..known }
        })
        .collect();
    accounts.sort_by(|a, b| a.share.total_cmp(&b.share));
    accounts
}

fn steady_share(admission: &admission::Account, late: Count) -> f64 {
    let refused: u64 = admission.wrongful.values().map(|count| count.steady).sum();
    let missed = refused + late.steady + admission.failed.steady;
    match admission.within_steady {
        0 => 1.0,
        within => within.saturating_sub(missed) as f64 / within as f64,
    }
}

fn account(
    history: &History,
    findings: &Findings,
    admission: &admission::Account,
    index: AccountIndex,
    on_time: Duration,
) -> Account {
    let known = &history.accounts[index];
    let ops = || history.ops.iter().filter(|op| op.account == index && op.kind != Kind::Foreign);
    let good = ops().filter(|op| is_good(op, findings, on_time)).count() as u64;
    let within = admission.within;
    let share = if within == 0 { 1.0 } else { (good as f64 / within as f64).min(1.0) };
    let answered = ops().filter(|op| op.verdict() == Verdict::Acknowledged);
    let spans = admission::admitted(history, index);
    Account {
        name: known.name.clone(),
        offered: admission.offered,
        within,
        good,
        share,
        steady_share: 1.0,
        excess: admission::excess(&spans, known.rate, known.burst),
        wrongful: admission.wrongful.values().map(|count| count.total()).sum(),
        p99_ms: latency(answered).p99_ms,
    }
}

fn is_good(op: &Op, findings: &Findings, on_time: Duration) -> bool {
    let wrong = [
        &findings.lost,
        &findings.duplicated,
        &findings.stale_session,
        &findings.stale_aged,
        &findings.mixed,
        &findings.wrong_account,
    ];
    op.verdict() == Verdict::Acknowledged
        && op.latency().is_some_and(|latency| latency <= on_time)
        && !wrong.iter().any(|ids| ids.contains(&op.id))
}

fn latencies(history: &History) -> BTreeMap<Kind, Latency> {
    let mut latencies = BTreeMap::new();
    for kind in Kind::ALL {
        let ops = history.ops.iter().filter(|op| op.kind == kind);
        let answered: Vec<_> = ops.filter(|op| op.verdict() == Verdict::Acknowledged).collect();
        if !answered.is_empty() {
            latencies.insert(kind, latency(answered.into_iter()));
        }
    }
    latencies
}

fn latency<'a>(ops: impl Iterator<Item = &'a Op>) -> Latency {
    let mut histogram = histogram();
    for latency in ops.filter_map(Op::latency) {
        histogram.saturating_record(latency.as_micros() as u64);
    }
    summary(&histogram)
}

/// A histogram of latencies in µs.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS)
        .expect("the bounds and digits are valid")
}

/// The quantiles that are reported.
pub fn summary(histogram: &Histogram<u64>) -> Latency {
    let quantile = |share: f64| histogram.value_at_quantile(share) as f64 / 1e3;
    let shares = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999];
    Latency {
        count: histogram.len(),
        p50_ms: quantile(0.5),
        p90_ms: quantile(0.9),
        p99_ms: quantile(0.99),
        p999_ms: quantile(0.999),
        max_ms: if histogram.is_empty() { 0.0 } else { histogram.max() as f64 / 1e3 },
        curve: shares.map(|share| (share, quantile(share))).to_vec(),
    }
}

fn timeline(history: &History) -> Vec<Point> {
    let mut points: Vec<Point> = Vec::new();
    for op in history.ops.iter().filter(|op| op.kind != Kind::Foreign) {
        let Some(last) = op.settled() else { continue };
        let place = (last.ended.as_micros() / TIMELINE_STEP.as_micros()) as usize;
        while points.len() <= place {
            let at_s = points.len() as f64 * TIMELINE_STEP.as_secs_f64();
            points.push(Point { at_s, ..Point::default() });
        }
        points[place].add(op);
    }
    points
}

impl Point {
    fn add(&mut self, op: &Op) {
        let Some(last) = op.settled() else { return };
        if op.verdict() == Verdict::Acknowledged {
            self.answered += 1;
            self.writes += u64::from(op.kind.writes());
            return;
        }
        match last.outcome {
            Outcome::Refused { reason: Some(Reason::RateExceeded), .. } => self.over_rate += 1,
            _ => self.refused += 1,
        }
    }
}
