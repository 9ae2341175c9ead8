//! Ejection of targets that answer their probes and fail their work.
//!
//! A probe is a target's opinion of itself; the outcomes of real work are its callers' opinion.
//! After some failures in a row a replica leaves the choice for a time that doubles with each
//! ejection. The ceiling keeps a common cause from ejecting everything: never more than half of a
//! group's replicas, and never the last target. The scheme and its ceiling follow "Ready, Running,
//! and Serving Nothing but 500s"; `docs/design/retries.md` has the comparison. A target that fails
//! and stays in because of the ceiling is under suspicion for the time of a first ejection: it is
//! chosen after the primary, which may be the one target that works.

use crate::id::{TargetId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// How targets are ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Failures in a row after which a target is ejected.
    pub failure_threshold: u32,
    /// Time between sweeps, in which ejections begin and end.
    pub sweep_interval: Duration,
    /// Length of the first ejection.
    pub base_ejection: Duration,
    /// Longest ejection.
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

/// What is held against one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Record {
    failures: u32,
    ejections: u32,
    until: Option<Time>,
    /// When it last failed.
    failed: Time,
    /// Since when it has not been out, nor been forgiven an ejection.
    calm: Time,
}

/// The replicas of one group, as this host's work finds them.
#[derive(Debug, Clone)]
pub struct Detector {
    policy: Policy,
    records: BTreeMap<TargetId, Record>,
    swept: Time,
}

impl Detector {
    /// A group with nothing held against anyone.
    pub fn new(policy: Policy) -> Detector {
        Detector { policy, records: BTreeMap::new(), swept: Time::ZERO }
    }

    /// Notes work that the target did, or failed through the caller's own fault.
    pub fn record_success(&mut self, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.failures = 0;
        }
    }

    /// Notes work that the target failed.
    pub fn record_failure(&mut self, target: TargetId, now: Time) {
        let record = self.records.entry(target).or_default();
        record.failures += 1;
        record.failed = now;
    }

    /// Whether the target fails its work and is in only because of the ceiling.
    pub fn is_suspect(&self, target: TargetId) -> bool {
        let is_due = |r: &Record| r.until.is_none() && r.failures >= self.policy.failure_threshold;
        self.records.get(&target).is_some_and(is_due)
    }

    /// Whether the target is out at present.
    pub fn is_ejected(&self, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(|record| record.until.is_some())
    }

    /// Begins and ends ejections among `replicas`; answers with those newly ejected.
    pub fn sweep(&mut self, replicas: &[TargetId], now: Time) -> Vec<TargetId> {
        if now.saturating_sub(self.swept) < self.policy.sweep_interval {
            return Vec::new();
        }
        self.swept = now;
        self.records.retain(|target, _| replicas.contains(target));
        self.readmit(now);
        self.eject(replicas.len(), now)
    }

    fn readmit(&mut self, now: Time) {
        for record in self.records.values_mut() {
            if record.until.is_some_and(|until| now >= until) {
                record.until = None;
                record.failures = 0;
                record.calm = now;
            }
            let is_old = now.saturating_sub(record.failed) >= self.policy.base_ejection;
            if record.until.is_none() && record.failures >= self.policy.failure_threshold && is_old
            {
                record.failures = 0;
            }
            let is_calm = record.until.is_none() && record.failures == 0;
            if is_calm && now.saturating_sub(record.calm) >= self.policy.max_ejection {
                record.ejections = record.ejections.saturating_sub(1);
                record.calm = now;
            }
        }
    }

    fn eject(&mut self, replicas: usize, now: Time) -> Vec<TargetId> {
        let ceiling = replicas / 2;
        let mut out = self.records.values().filter(|record| record.until.is_some()).count();
        let mut ejected = Vec::new();
        let mut worst: Vec<_> = self.records.iter().map(|(id, r)| (r.failures, *id)).collect();
        worst.sort_unstable_by(|a, b| b.cmp(a));
        for (failures, target) in worst {
            let record = self.records.entry(target).or_default();
            if failures < self.policy.failure_threshold || record.until.is_some() || out >= ceiling
            {
                continue;
            }
            let length = self.policy.base_ejection * (1 << record.ejections.min(16));
            record.until = Some(now + length.min(self.policy.max_ejection));
            record.ejections += 1;
            out += 1;
            ejected.push(target);
        }
        ejected
    }
}
