//! Ledger of the responses that callers received, and the checks on it.
//!
//! Each writer writes increasing numbers to an item of its own, so that the number a read returns
//! can be compared with the numbers that were acknowledged before the read.

use bergamotvale_standin::lines::Target;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Window over which a rate limit is checked; as in the hosts' settings.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Fraction of rate and burst that may be exceeded, and number of requests beyond that; as in the
/// hosts' settings.
const MAX_OVERAGE: f64 = 0.1;
const SLACK_REQUESTS: f64 = 20.0;

/// Outcomes of the writes to one writer's item.
#[derive(Debug, Default)]
struct Item {
    /// Acknowledged numbers, in order, with the time of the response.
    acknowledged: Vec<(u64, Instant)>,
    /// Numbers that were refused with a code that guarantees no effect.
    refused: BTreeSet<u64>,
}

/// Outcomes that all callers observed, and the violations found so far.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    items: Mutex<BTreeMap<String, Item>>,
    findings: Mutex<Vec<String>>,
    /// Times at which requests of the rate-limited account were served.
    served: Mutex<Vec<Instant>>,
    acknowledged: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
    reads: AtomicU64,
}

impl Ledger {
    pub(super) fn record_acknowledged(&self, item: &str, number: u64) {
        let mut items = self.items.lock().expect("the mutex is not poisoned");
        let entry = items.entry(item.to_owned()).or_default();
        entry.acknowledged.push((number, Instant::now()));
        self.acknowledged.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn record_refused(&self, item: &str, number: u64) {
        let mut items = self.items.lock().expect("the mutex is not poisoned");
        items.entry(item.to_owned()).or_default().refused.insert(number);
        self.refused.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn record_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn record_served(&self) {
        self.served.lock().expect("the mutex is not poisoned").push(Instant::now());
    }

    /// Newest number of an item that was acknowledged before `before`.
    pub(super) fn newest_acknowledged(&self, item: &str, before: Instant) -> u64 {
        let items = self.items.lock().expect("the mutex is not poisoned");
        let acknowledged = items.get(item).map(|item| item.acknowledged.as_slice());
        let earlier = acknowledged.unwrap_or_default().iter().rev().find(|(_, at)| *at < before);
        earlier.map_or(0, |(number, _)| *number)
    }

    /// Reports a read that returned `seen` if that is older than `min_expected`, or was refused.
    pub(super) fn check_read(&self, label: &str, item: &str, min_expected: u64, seen: u64) {
        self.reads.fetch_add(1, Ordering::SeqCst);
        if seen < min_expected {
            self.report(format!(
                "{label}: {item} reads {seen}, but {min_expected} was acknowledged before"
            ));
        }
        let items = self.items.lock().expect("the mutex is not poisoned");
        let is_refused = items.get(item).is_some_and(|item| item.refused.contains(&seen));
        drop(items);
        if is_refused {
            self.report(format!(
                "{label}: {item} reads {seen}, which was refused as having no effect"
            ));
        }
    }

    pub(super) fn report(&self, finding: String) {
        self.findings.lock().expect("the mutex is not poisoned").push(finding);
    }

    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::SeqCst)
    }

    pub(super) fn refused(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }

    pub(super) fn unknown(&self) -> u64 {
        self.unknown.load(Ordering::SeqCst)
    }

    pub(super) fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    /// Returns the violations reported during the run, and those that the primary's log and the
    /// rate limit show at its end.
    pub(super) fn verify(&self, primary: &Target, rate: u32) -> Vec<String> {
        let mut findings = self.findings.lock().expect("the mutex is not poisoned").clone();
        for (name, item) in self.items.lock().expect("the mutex is not poisoned").iter() {
            verify_item(name, item, &primary.history(name), &mut findings);
        }
        let served = self.served.lock().expect("the mutex is not poisoned");
        findings.extend(verify_rate(&served, rate));
        findings
    }
}

/// Compares the outcomes of the writes to an item with all data that the log holds for it.
fn verify_item(name: &str, item: &Item, log: &[String], findings: &mut Vec<String>) {
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for number in log.iter().filter_map(|data| data.parse().ok()) {
        *counts.entry(number).or_default() += 1;
    }
    for (number, _) in item.acknowledged.iter().filter(|(n, _)| !counts.contains_key(n)) {
        findings
            .push(format!("lost: {name} has no {number} in the log, though it was acknowledged"));
    }
    for (number, count) in counts.iter().filter(|(_, count)| **count > 1) {
        findings.push(format!("duplicate: {name} has {number} {count} times in the log"));
    }
    for number in item.refused.iter().filter(|number| counts.contains_key(number)) {
        findings.push(format!(
            "applied after refusal: {name} has {number} in the log, refused as having no effect"
        ));
    }
}

/// Reports if more requests were served in some window than rate, burst and tolerance permit.
fn verify_rate(served: &[Instant], rate: u32) -> Option<String> {
    let nominal = f64::from(rate) * (RATE_WINDOW.as_secs_f64() + 1.0);
    let permitted = nominal * (1.0 + MAX_OVERAGE) + SLACK_REQUESTS;
    let max_served = served.iter().map(|from| {
        served.iter().filter(|at| *at >= from && at.duration_since(*from) < RATE_WINDOW).count()
    });
    let max_served = max_served.max().unwrap_or_default();
    (max_served as f64 > permitted)
        .then(|| format!("rate: {max_served} served in a window, {permitted} permitted"))
}

/// Guards against checks that pass whatever happens: each has to detect its violation.
#[test]
fn each_check_finds_its_defect() {
    let now = Instant::now();
    let item = Item { acknowledged: vec![(1, now), (2, now)], refused: [3].into() };
    let found_in = |log: &[&str]| {
        let log: Vec<String> = log.iter().map(|data| (*data).to_owned()).collect();
        let mut findings = Vec::new();
        verify_item("a", &item, &log, &mut findings);
        findings.iter().map(|text| text.split(':').next().unwrap().to_owned()).collect::<Vec<_>>()
    };
    assert_eq!(found_in(&["1", "2", "4"]), [] as [&str; 0]);
    assert_eq!(found_in(&["1"]), ["lost"]);
    assert_eq!(found_in(&["1", "2", "2"]), ["duplicate"]);
    assert_eq!(found_in(&["1", "2", "3"]), ["applied after refusal"]);
    assert_eq!(verify_rate(&vec![now; 152], 20), None);
    assert!(verify_rate(&vec![now; 153], 20).is_some());
    let ledger = Ledger::default();
    ledger.record_acknowledged("a", 5);
    ledger.record_refused("a", 6);
    ledger.check_read("stale", "a", 5, 4);
    ledger.check_read("refused", "a", 5, 6);
    ledger.check_read("fine", "a", 5, 7);
    assert_eq!(ledger.findings.lock().unwrap().len(), 2);
}
