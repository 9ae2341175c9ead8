//! Outlier detection: ejection of targets that pass their probes but fail requests.
//!
//! A probe shows a target's health as the target itself reports it; the outcomes of requests show
//! it as the callers see it. After several consecutive failures a replica is ejected, for a time
//! that doubles with each ejection. A ceiling prevents a common cause from ejecting everything: at
//! most half of a group's replicas are ejected, and never the last target. The scheme and its
//! ceiling follow "Ready, Running, and Serving Nothing but 500s"; `docs/design/retries.md` has the
//! comparison. A target that fails, but that the ceiling keeps from being ejected, is suspect for
//! the length of a first ejection: it is chosen after the primary, which may be the only target
//! that works.

use crate::id::{TargetId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// When targets are ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Number of consecutive failures after which a target is ejected.
    pub failure_threshold: u32,
    /// Time between sweeps; ejections begin and end only in a sweep.
    pub sweep_interval: Duration,
    /// Length of the first ejection; doubles with each further one.
    pub base_ejection: Duration,
    /// Maximum length of an ejection.
    pub max_ejection: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            failure_threshold: 5,
            sweep_interval: Duration::from_millis(250),
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
        }
    }
}

/// Failures and ejections of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    /// Time of its last failure.
    last_failure: Time,
    /// Time of its last readmission, or of the last decrement of `ejections`.
    calm_since: Time,
}

/// Detects outliers among the replicas of one group from the outcomes of this host's requests.
#[derive(Debug, Clone)]
pub struct Detector {
    policy: Policy,
    records: BTreeMap<TargetId, Record>,
    last_sweep: Time,
}

impl Detector {
    /// Creates a detector without recorded failures.
    pub fn new(policy: Policy) -> Detector {
        Detector { policy, records: BTreeMap::new(), last_sweep: Time::ZERO }
    }

    /// Records a request that the target executed, or that failed because of the caller.
    pub fn record_success(&mut self, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.failures = 0;
        }
    }

    /// Records a request that the target failed.
    pub fn record_failure(&mut self, target: TargetId, now: Time) {
        let record = self.records.entry(target).or_default();
        record.failures += 1;
        record.last_failure = now;
    }

    /// Whether the target fails requests, but the ceiling keeps it from being ejected.
    pub fn is_suspect(&self, target: TargetId) -> bool {
        let is_suspect =
            |r: &Record| r.ejected_until.is_none() && r.failures >= self.policy.failure_threshold;
        self.records.get(&target).is_some_and(is_suspect)
    }

    /// Whether the target is currently ejected.
    pub fn is_ejected(&self, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(|record| record.ejected_until.is_some())
    }

    /// Begins and ends ejections among `replicas`; returns the newly ejected targets.
    ///
    /// Does nothing within `sweep_interval` of the previous sweep.
    pub fn sweep(&mut self, replicas: &[TargetId], now: Time) -> Vec<TargetId> {
        if now.saturating_sub(self.last_sweep) < self.policy.sweep_interval {
            return Vec::new();
        }
        self.last_sweep = now;
        self.records.retain(|target, _| replicas.contains(target));
        self.readmit(now);
        self.eject(replicas.len(), now)
    }

    fn readmit(&mut self, now: Time) {
        for record in self.records.values_mut() {
            if record.ejected_until.is_some_and(|ejected_until| now >= ejected_until) {
                record.ejected_until = None;
                record.failures = 0;
                record.calm_since = now;
            }
            let is_old = now.saturating_sub(record.last_failure) >= self.policy.base_ejection;
            if record.ejected_until.is_none()
                && record.failures >= self.policy.failure_threshold
                && is_old
            {
                record.failures = 0;
            }
            let is_calm = record.ejected_until.is_none() && record.failures == 0;
            if is_calm && now.saturating_sub(record.calm_since) >= self.policy.max_ejection {
                record.ejections = record.ejections.saturating_sub(1);
                record.calm_since = now;
            }
        }
    }

    fn eject(&mut self, replicas: usize, now: Time) -> Vec<TargetId> {
        let ceiling = replicas / 2;
        let mut ejected_count =
            self.records.values().filter(|record| record.ejected_until.is_some()).count();
        let mut ejected = Vec::new();
        let mut worst_first: Vec<_> =
            self.records.iter().map(|(id, r)| (r.failures, *id)).collect();
        worst_first.sort_unstable_by(|a, b| b.cmp(a));
        for (failures, target) in worst_first {
            let record = self.records.entry(target).or_default();
            if failures < self.policy.failure_threshold
                || record.ejected_until.is_some()
                || ejected_count >= ceiling
            {
                continue;
            }
            let duration = self.policy.base_ejection * (1 << record.ejections.min(16));
            record.ejected_until = Some(now + duration.min(self.policy.max_ejection));
            record.ejections += 1;
            ejected_count += 1;
            ejected.push(target);
        }
        ejected
    }
}
