//! Limits on the load of targets that differ in speed, learned from the outcomes of this host's
//! requests.
//!
//! A limit is a fraction of a target's slots. It follows the ratio between the times of the target
//! and those of the fastest other target of its group, for the same kind of request, and the excess
//! of its share of failures over theirs. A slowdown of all targets at once leaves the ratios as they
//! are, so it reduces no limit. Evidence ages, and a target with a reduced limit gets a small share
//! of the reads as probes, so that its recovery is noticed. `docs/design/capacity-of-targets.md`
//! compares other schemes.

use super::directory::TargetName;
use crate::id::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which the weight of evidence halves.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Weight, in samples, that the evidence on one target and kind has at most.
const MAX_WEIGHT: f64 = 16.0;
/// Weight of comparable evidence from which a target's limit may be reduced.
const MIN_WEIGHT: f64 = 6.0;
/// Weight that the evidence on another target needs to be a reference.
const MIN_REFERENCE_WEIGHT: f64 = 3.0;
/// Ratio of times above which a limit is reduced. Means of six to sixteen samples of equal targets
/// differ by less in nearly all cases.
const SLOW_RATIO: f64 = 1.7;
/// Ratio of times below which a reduced limit returns to its full value.
const RECOVERED_RATIO: f64 = 1.3;
/// Excess share of failures above which a limit is reduced.
const FAILING_SHARE: f64 = 0.15;
/// Excess share of failures below which a reduced limit returns to its full value.
const RECOVERED_SHARE: f64 = 0.08;
/// Consecutive samples below [`RECOVERED_RATIO`] after which older times of a target are dropped.
const RECOVERY_SAMPLES: u32 = 4;
/// Consecutive successes after which older failures of a target are dropped. A target that fails four
/// of ten requests has so many in a row once in sixty times.
const RECOVERY_SUCCESSES: u32 = 8;
/// Time between two adjustments of a limit.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the distance to its goal by which a limit moves in one adjustment.
const STEP: f64 = 0.5;
/// Smallest limit, as a fraction of the slots.
const MIN_FRACTION: f64 = 1.0 / 16.0;
/// Reads of a group after which a target that gets none by its cost gets one as a probe.
const READS_PER_PROBE: u32 = 16;
/// Minimum number of reads between two probes where reads are rare, or if the last sample showed a
/// recovery.
const MIN_READS_PER_PROBE: u32 = 4;
/// Time without a sample after which [`MIN_READS_PER_PROBE`] reads suffice for a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum time between two probes of a target.
const MIN_PROBE_SPACING: Duration = Duration::from_millis(250);
/// Factor between two reported values of a limit.
const REPORTED_FACTOR: u32 = 2;

/// Limit of a target as a fraction of its slots, in thousandths; 1 to 1000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fraction(u32);

impl Fraction {
    /// The limit of a target that is as fast as the others of its group.
    pub const FULL: Fraction = Fraction(1000);

    /// Returns a fraction of so many thousandths, clamped to the valid range.
    pub fn from_permille(permille: u32) -> Fraction {
        Fraction(permille.clamp(1, 1000))
    }

    /// The fraction in thousandths.
    pub fn permille(self) -> u32 {
        self.0
    }

    /// Whether the target gets fewer requests than its slots permit.
    pub fn is_reduced(self) -> bool {
        self < Fraction::FULL
    }
}

/// A limit that changed much since it was last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the target.
    pub target: TargetName,
    /// The present limit.
    pub limit: Fraction,
}

/// Weighted mean that loses weight with time.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    weight: f64,
    value: f64,
    at: Time,
}

impl Mean {
    fn weight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.weight * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, sample: f64, now: Time) {
        let weight = self.weight(now).min(MAX_WEIGHT - 1.0) + 1.0;
        self.value += (sample - self.value) / weight;
        self.weight = weight;
        self.at = now;
    }
}

/// Evidence on one target, and its limit.
#[derive(Debug, Clone)]
struct Record {
    /// Durations in seconds by kind of request.
    times: BTreeMap<String, Mean>,
    /// Share of failed requests.
    failures: Mean,
    /// Consecutive samples that are as fast as those of the other targets.
    fast_samples: u32,
    /// Consecutive requests that did not fail.
    successes: u32,
    fraction: f64,
    reported: Fraction,
    adjusted_at: Time,
    /// Time of the last sample or probe.
    sampled_at: Time,
    /// Reads of the group since then.
    reads: u32,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            times: BTreeMap::new(),
            failures: Mean::default(),
            fast_samples: 0,
            successes: 0,
            fraction: 1.0,
            reported: Fraction::FULL,
            adjusted_at: Time::ZERO,
            sampled_at: Time::ZERO,
            reads: 0,
        }
    }
}

impl Record {
    fn limit(&self) -> Fraction {
        // Lies between MIN_FRACTION and 1, so the conversion keeps the value.
        Fraction::from_permille((self.fraction * 1000.0).round() as u32)
    }

    /// Whether the last sample speaks against what reduced the limit.
    fn shows_recovery(&self) -> bool {
        let was_failing = self.failures.value > RECOVERED_SHARE;
        self.fast_samples > 0 || (was_failing && self.successes > 0)
    }
}

/// Limits of all targets that this host sends requests to.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    records: BTreeMap<TargetName, Record>,
}

impl Capacity {
    /// Records that a target executed a request of a kind in the time `took`. `group` names the
    /// targets that it is compared with.
    pub fn record_time(
        &mut self,
        target: &str,
        group: &[TargetName],
        kind: &str,
        took: Duration,
        now: Time,
    ) {
        let took = took.as_secs_f64();
        let reference = self.reference(target, group, kind, now);
        let record = self.records.entry(target.to_owned()).or_default();
        record.successes = record.successes.saturating_add(1);
        if record.successes == RECOVERY_SUCCESSES {
            record.failures = Mean::default();
        }
        record.failures.record(0.0, now);
        record.sampled_at = now;
        record.reads = 0;
        let is_fast = reference.is_some_and(|reference| took < reference * RECOVERED_RATIO);
        record.fast_samples = if is_fast { record.fast_samples.saturating_add(1) } else { 0 };
        if record.fast_samples == RECOVERY_SAMPLES && record.limit().is_reduced() {
            record.times.clear();
        }
        record.times.entry(kind.to_owned()).or_default().record(took, now);
    }

    /// Records that a target failed a request, or did not answer it in time.
    pub fn record_failure(&mut self, target: &str, now: Time) {
        let record = self.records.entry(target.to_owned()).or_default();
        record.failures.record(1.0, now);
        record.fast_samples = 0;
        record.successes = 0;
        record.sampled_at = now;
        record.reads = 0;
    }

    /// The present limit of a target; the full one if nothing is known.
    pub fn limit(&self, target: &str) -> Fraction {
        self.records.get(target).map_or(Fraction::FULL, Record::limit)
    }

    /// Targets with a reduced limit.
    pub fn reduced(&self) -> BTreeMap<TargetName, Fraction> {
        let limits = self.records.iter().map(|(name, record)| (name.clone(), record.limit()));
        limits.filter(|(_, limit)| limit.is_reduced()).collect()
    }

    /// Adjusts the limits of a group's targets, and returns those that changed much.
    pub fn adjust(&mut self, group: &[TargetName], now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for target in group {
            let Some(record) = self.records.get(target) else { continue };
            if now.saturating_sub(record.adjusted_at) < STEP_INTERVAL {
                continue;
            }
            let goal = self.goal(target, group, now);
            let Some(record) = self.records.get_mut(target) else { continue };
            record.adjusted_at = now;
            record.fraction += (goal - record.fraction) * STEP;
            if goal == 1.0 && record.fraction > 0.9 {
                record.fraction = 1.0;
            }
            let limit = record.limit();
            if limit != record.reported && is_reported(record.reported, limit) {
                record.reported = limit;
                changes.push(Change { target: target.clone(), limit });
            }
        }
        changes
    }

    /// Counts a read of a group, and returns the target that should get it as a probe, if one is
    /// due. `avoided` names the targets that the choice by cost passes over, see
    /// [`avoided`](super::select::avoided).
    pub fn count_read(&mut self, avoided: &[TargetName], now: Time) -> Option<TargetName> {
        let mut due = None;
        for target in avoided {
            let Some(record) = self.records.get_mut(target) else { continue };
            record.reads = record.reads.saturating_add(1);
            let age = now.saturating_sub(record.sampled_at);
            let is_soon = record.shows_recovery() || age >= PROBE_INTERVAL;
            let reads = if is_soon { MIN_READS_PER_PROBE } else { READS_PER_PROBE };
            let is_due = record.reads >= reads && age >= MIN_PROBE_SPACING;
            if is_due && due.is_none() {
                record.reads = 0;
                record.sampled_at = now;
                due = Some(target.clone());
            }
        }
        due
    }

    /// Forgets targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.records.retain(|name, _| keep(name));
    }

    /// Mean time of the fastest other target of the group for a kind of request.
    fn reference(&self, target: &str, group: &[TargetName], kind: &str, now: Time) -> Option<f64> {
        // A target that fails requests may be fast since it does no work for them.
        self.others(target, group)
            .filter(|record| record.failures.value <= FAILING_SHARE)
            .filter_map(|record| record.times.get(kind))
            .filter(|mean| mean.weight(now) >= MIN_REFERENCE_WEIGHT)
            .map(|mean| mean.value)
            .min_by(f64::total_cmp)
    }

    fn others<'a>(
        &'a self,
        target: &'a str,
        group: &'a [TargetName],
    ) -> impl Iterator<Item = &'a Record> {
        group.iter().filter(move |name| *name != target).filter_map(|name| self.records.get(name))
    }

    /// Limit that the evidence on a target calls for.
    fn goal(&self, target: &str, group: &[TargetName], now: Time) -> f64 {
        let Some(record) = self.records.get(target) else { return 1.0 };
        let is_reduced = record.limit().is_reduced();
        let ratio = self.time_ratio(record, target, group, now);
        let slow_ratio = if is_reduced { RECOVERED_RATIO } else { SLOW_RATIO };
        let by_time = if ratio > slow_ratio { 1.0 / ratio } else { 1.0 };
        let share = self.excess_failures(record, target, group, now);
        let failing_share = if is_reduced { RECOVERED_SHARE } else { FAILING_SHARE };
        // Squared, since a failed request costs its caller a second attempt.
        let by_failures = if share > failing_share { (1.0 - share).powi(2) } else { 1.0 };
        (by_time * by_failures).max(MIN_FRACTION)
    }

    /// Mean ratio of a target's times to those of the fastest other target; 1 while the evidence is
    /// too weak.
    fn time_ratio(&self, record: &Record, target: &str, group: &[TargetName], now: Time) -> f64 {
        let (mut sum, mut total) = (0.0, 0.0);
        for (kind, mean) in &record.times {
            let Some(reference) = self.reference(target, group, kind, now) else { continue };
            if reference > 0.0 {
                sum += mean.weight(now) * mean.value / reference;
                total += mean.weight(now);
            }
        }
        // A reduced limit makes samples rare; less evidence is enough to keep it.
        let min_weight = if record.limit().is_reduced() { 1.0 } else { MIN_WEIGHT };
        if total < min_weight { 1.0 } else { sum / total }
    }

    /// By how much a target's share of failures exceeds the lowest one of the other targets; 0
    /// while the evidence is too weak.
    fn excess_failures(
        &self,
        record: &Record,
        target: &str,
        group: &[TargetName],
        now: Time,
    ) -> f64 {
        let min_weight = if record.limit().is_reduced() { 1.0 } else { MIN_WEIGHT };
        if record.failures.weight(now) < min_weight {
            return 0.0;
        }
        let lowest = self
            .others(target, group)
            .filter(|other| other.failures.weight(now) >= MIN_REFERENCE_WEIGHT)
            .map(|other| other.failures.value)
            .min_by(f64::total_cmp);
        // Others without evidence count as working: a target that fails fast would otherwise get all
        // reads, and so stay the only one with evidence.
        let has_others = group.iter().any(|name| name != target);
        let lowest = lowest.or(has_others.then_some(0.0));
        lowest.map_or(0.0, |lowest| (record.failures.value - lowest).max(0.0))
    }
}

/// Whether a limit differs so much from the reported one that it is reported again.
fn is_reported(reported: Fraction, limit: Fraction) -> bool {
    limit == Fraction::FULL
        || limit.0 * REPORTED_FACTOR <= reported.0
        || reported.0 * REPORTED_FACTOR <= limit.0
}
