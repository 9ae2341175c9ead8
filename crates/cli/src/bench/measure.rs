//! Computes the reported measures from a recorded history: the share of reads from replicas, the
//! failover gaps and how each account was served, with latencies and a timeline besides.

use crate::bench::admission;
use crate::bench::check::{self, Findings};
use crate::bench::history::{
    AccountIndex, Fault, History, Kind, Op, Outcome, ServiceIndex, Verdict,
};
use crate::bench::phase::{self, PhaseCounts, Phases};
use bergamotvale_core::refusal::Reason;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest latency that the histograms can represent; longer ones are recorded as this one.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Significant decimal digits of the histograms.
const LATENCY_DIGITS: u8 = 3;
/// Length of the interval that a point of the timeline covers.
const TIMELINE_STEP: Duration = Duration::from_millis(250);

/// Why a request within the rate was not served correctly and on time: the reason of its refusal,
/// [`LATE`] or [`NO_ANSWER`].
pub type Cause = String;

/// Cause of requests that were answered, but not on time.
pub const LATE: &str = "late";
/// Cause of requests without a complete response, or refused without a known reason.
pub const NO_ANSWER: &str = "no_answer";

/// Everything that is reported about one run.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// Operations that were due.
    pub offered: u64,
    /// Operations that were acknowledged.
    pub answered: u64,
    /// Share of the answered reads that replicas served; 0 without answered reads.
    pub replica_share: f64,
    /// Share of the answered aged reads that replicas served; 0 without any.
    pub aged_replica_share: f64,
    /// Failover gaps, one for each fault that made a primary unavailable.
    pub gaps: Vec<Gap>,
    /// Client accounts, the worst-served first.
    pub accounts: Vec<Account>,
    /// Refusals of requests within their account's rate, by reason.
    pub wrongful: BTreeMap<Reason, u64>,
    /// Requests within the rate that were refused, late or unanswered, by cause and phase.
    pub missed: BTreeMap<Cause, PhaseCounts>,
    /// Requests without a complete response, or refused without a known reason.
    pub failed: u64,
    /// Writes of unknown outcome.
    pub unknown: u64,
    /// Latency of the acknowledged operations by kind; kinds without any are absent.
    pub latency: BTreeMap<Kind, Latency>,
    /// Violations of the invariants.
    pub findings: Findings,
    /// Outcomes in consecutive time steps from the start of the run, empty steps included.
    pub timeline: Vec<Point>,
    /// Faults with the time at which their injection began, in seconds from the start.
    pub faults: Vec<(f64, String)>,
}

/// The time without acknowledged writes around a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gap {
    /// Name of the fault.
    pub fault: String,
    /// Time from the last acknowledged write before the fault to the first after it, in ms; none
    /// when none came after it.
    pub gap_ms: Option<f64>,
}

/// The measures of one client account.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Operations that were due.
    pub offered: u64,
    /// Operations that an ideal limiter would have admitted.
    pub within: u64,
    /// Operations answered correctly and on time.
    pub good: u64,
    /// `good` as a share of `within`, at most 1; 1 when nothing was within the rate.
    pub share: f64,
    /// Share of the operations within the rate in steady state that were neither wrongfully refused
    /// nor late nor unanswered; 1 when there were none.
    pub steady_share: f64,
    /// Largest number of requests above rate and burst in any window; must be 0.
    pub excess: f64,
    /// Refusals of requests within the rate.
    pub wrongful: u64,
    /// 99th percentile of the latency of acknowledged operations, in ms.
    pub p99_ms: f64,
}

/// Quantiles of a latency, in ms. For the operations of a run it counts from their due time; the
/// cost measurements count from the sending.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Latency {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Longest; 0 without samples.
    pub max_ms: f64,
    /// Quantiles for a plot, as pairs of the share below and the latency in ms.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub curve: Vec<(f64, f64)>,
}

/// Numbers of operations that ended within one step of the timeline.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Point {
    /// Start of the step, in seconds from the start of the run.
    pub at_s: f64,
    /// Acknowledged operations.
    pub answered: u64,
    /// Acknowledged writes, which `answered` includes.
    pub writes: u64,
    /// Operations refused because the account was over its rate.
    pub over_rate: u64,
    /// Operations refused for another reason, or unanswered.
    pub refused: u64,
}

/// Computes the measures of `history`. An operation is on time if it ends within `on_time` of its
/// due time.
pub fn measure(history: &History, on_time: Duration) -> Measures {
    let findings = check::check(history);
    let phases = Phases::new(history);
    let indexes = 0..history.accounts.len();
    let admissions: Vec<_> =
        indexes.clone().map(|account| admission::assess(history, &phases, account)).collect();
    let late: Vec<_> =
        indexes.map(|account| count_late(history, &phases, account, on_time)).collect();
    let writes = history.ops.iter().filter(|op| op.kind.is_write());
    Measures {
        offered: history.ops.len() as u64,
        answered: count(&history.ops, |op| op.verdict() == Verdict::Acknowledged),
        replica_share: replica_share(history, Kind::is_read),
        aged_replica_share: replica_share(history, |kind| kind == Kind::AgedRead),
        gaps: gaps(history),
        accounts: accounts(history, &findings, &admissions, &late, on_time),
        wrongful: wrongful_by_reason(&admissions),
        missed: missed_by_cause(&admissions, &late),
        failed: admissions.iter().map(|account| account.failed.total()).sum(),
        unknown: writes.filter(|op| op.verdict() == Verdict::Unknown).count() as u64,
        latency: latencies(history),
        findings,
        timeline: timeline(history),
        faults: history.faults.iter().map(|f| (f.begun.as_secs_f64(), f.name.clone())).collect(),
    }
}

fn count(ops: &[Op], predicate: impl Fn(&Op) -> bool) -> u64 {
    ops.iter().filter(|op| predicate(op)).count() as u64
}

fn wrongful_by_reason(admissions: &[admission::Assessment]) -> BTreeMap<Reason, u64> {
    let mut sum = BTreeMap::new();
    for (reason, count) in admissions.iter().flat_map(|account| &account.wrongful) {
        *sum.entry(*reason).or_default() += count.total();
    }
    sum
}

fn missed_by_cause(
    admissions: &[admission::Assessment],
    late: &[PhaseCounts],
) -> BTreeMap<Cause, PhaseCounts> {
    let refused = admissions.iter().flat_map(|account| &account.wrongful);
    let refused = refused.map(|(reason, count)| (reason.to_string(), *count));
    let late = late.iter().map(|count| (LATE.to_owned(), *count));
    let failed = admissions.iter().map(|account| (NO_ANSWER.to_owned(), account.failed));
    let mut sum = BTreeMap::<Cause, PhaseCounts>::new();
    for (cause, count) in refused.chain(late).chain(failed).filter(|(_, c)| c.total() > 0) {
        sum.entry(cause).or_default().merge(count);
    }
    sum
}

/// Counts the acknowledged operations of an account that were not on time.
fn count_late(
    history: &History,
    phases: &Phases,
    account: AccountIndex,
    on_time: Duration,
) -> PhaseCounts {
    let ops = history.ops.iter().filter(|op| op.account == account && op.kind != Kind::Foreign);
    let answered = ops.filter(|op| op.verdict() == Verdict::Acknowledged);
    let is_late = |op: &&Op| op.latency().is_some_and(|latency| latency > on_time);
    let mut count = PhaseCounts::default();
    for op in answered.filter(is_late) {
        let ended = op.decisive_attempt().map_or(op.scheduled, |attempt| attempt.ended);
        count.add(phases.of_interval(op.service, op.scheduled, ended));
    }
    count
}

/// Share of the answered reads of the selected kinds that a replica served; 0 without any.
fn replica_share(history: &History, is_selected: impl Fn(Kind) -> bool) -> f64 {
    let reads = history.ops.iter().filter(|op| is_selected(op.kind));
    let by_replica: Vec<bool> = reads.filter_map(served_by_replica).collect();
    let replica_count = by_replica.iter().filter(|replica| **replica).count();
    if by_replica.is_empty() { 0.0 } else { replica_count as f64 / by_replica.len() as f64 }
}

fn served_by_replica(op: &Op) -> Option<bool> {
    match op.decisive_attempt()?.outcome {
        Outcome::Done { replica, .. } => replica,
        _ => None,
    }
}

/// The failover gap of each fault that made a primary unavailable.
pub fn gaps(history: &History) -> Vec<Gap> {
    let faults = history.faults.iter().filter_map(|fault| Some((fault, fault.primary_of?)));
    faults
        .map(|(fault, service)| Gap {
            fault: fault.name.clone(),
            gap_ms: gap_length(history, fault, service).map(|gap| gap.as_secs_f64() * 1e3),
        })
        .collect()
}

/// The time from the last acknowledged write that ended before the fault to the end of the first
/// that was sent after it, so that a write already in flight does not count as recovery.
fn gap_length(history: &History, fault: &Fault, service: ServiceIndex) -> Option<Duration> {
    let acknowledged = || {
        let ops = history.ops.iter().filter(move |op| op.service == service && op.kind.is_write());
        ops.filter(|op| op.verdict() == Verdict::Acknowledged).filter_map(Op::decisive_attempt)
    };
    let before =
        acknowledged().map(|attempt| attempt.ended).filter(|ended| *ended <= fault.begun).max();
    let after = phase::recovery_end(history, fault, service);
    Some(after?.saturating_sub(before.unwrap_or(fault.begun)))
}

/// Median and worst of the gaps, in ms; none when there are no gaps or one did not end.
pub fn gap_summary(gaps: &[Gap]) -> Option<(f64, f64)> {
    let mut lengths = gaps.iter().map(|gap| gap.gap_ms).collect::<Option<Vec<_>>>()?;
    lengths.sort_by(f64::total_cmp);
    let worst = *lengths.last()?;
    Some((lengths[lengths.len() / 2], worst))
}

fn accounts(
    history: &History,
    findings: &Findings,
    admissions: &[admission::Assessment],
    late: &[PhaseCounts],
    on_time: Duration,
) -> Vec<Account> {
    let mut accounts: Vec<_> = admissions
        .iter()
        .zip(late)
        .enumerate()
        .map(|(index, (admission, late))| {
            let steady_share = steady_share(admission, *late);
            let measured = account(history, findings, admission, index, on_time);
            Account { steady_share, ..measured }
        })
        .collect();
    accounts.sort_by(|a, b| a.share.total_cmp(&b.share));
    accounts
}

fn steady_share(admission: &admission::Assessment, late: PhaseCounts) -> f64 {
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
    admission: &admission::Assessment,
    index: AccountIndex,
    on_time: Duration,
) -> Account {
    let account = &history.accounts[index];
    let ops = || history.ops.iter().filter(|op| op.account == index && op.kind != Kind::Foreign);
    let good = ops().filter(|op| is_good(op, findings, on_time)).count() as u64;
    let within = admission.within;
    let share = if within == 0 { 1.0 } else { (good as f64 / within as f64).min(1.0) };
    let answered = ops().filter(|op| op.verdict() == Verdict::Acknowledged);
    let intervals = admission::admitted(history, index);
    Account {
        name: account.name.clone(),
        offered: admission.offered,
        within,
        good,
        share,
        steady_share: 1.0,
        excess: admission::excess(&intervals, account.rate, account.burst),
        wrongful: admission.wrongful.values().map(|count| count.total()).sum(),
        p99_ms: latency(answered).p99_ms,
    }
}

fn is_good(op: &Op, findings: &Findings, on_time: Duration) -> bool {
    let violations = [
        &findings.lost,
        &findings.duplicated,
        &findings.stale_session,
        &findings.stale_aged,
        &findings.mixed,
        &findings.wrong_account,
    ];
    op.verdict() == Verdict::Acknowledged
        && op.latency().is_some_and(|latency| latency <= on_time)
        && !violations.iter().any(|ids| ids.contains(&op.id))
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

/// An empty histogram for latencies in µs.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS)
        .expect("histogram bounds and digits must be valid")
}

/// Summarizes a histogram of latencies in µs.
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
        let Some(last) = op.decisive_attempt() else { continue };
        let index = (last.ended.as_micros() / TIMELINE_STEP.as_micros()) as usize;
        while points.len() <= index {
            let at_s = points.len() as f64 * TIMELINE_STEP.as_secs_f64();
            points.push(Point { at_s, ..Point::default() });
        }
        points[index].record(op);
    }
    points
}

impl Point {
    fn record(&mut self, op: &Op) {
        let Some(last) = op.decisive_attempt() else { return };
        if op.verdict() == Verdict::Acknowledged {
            self.answered += 1;
            self.writes += u64::from(op.kind.is_write());
            return;
        }
        match last.outcome {
            Outcome::Refused { reason: Some(Reason::RateExceeded), .. } => self.over_rate += 1,
            _ => self.refused += 1,
        }
    }
}
