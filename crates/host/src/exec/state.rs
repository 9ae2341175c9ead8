//! State of the data path that all requests of one host share: retry budgets, idempotency keys
//! in use, health of replicas, requests in flight and open transactions.

use super::{confirm, transaction};
use crate::settings::Settings;
use crate::target::Key;
use bergamotvale_core::id::{Incarnation, ServiceId, TargetId, Time};
use bergamotvale_core::idempotency::InFlight;
use bergamotvale_core::outlier;
use bergamotvale_core::random::Source;
use bergamotvale_core::retry::Budgets;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Shared state of the data path of one host.
pub struct State {
    /// Commits that wait until a majority has them.
    pub confirm: confirm::Tracker,
    /// Transactions that this host owns.
    pub transactions: transaction::Registry,
    budgets: Mutex<Budgets>,
    keys_in_use: Mutex<InFlight>,
    outliers: Mutex<BTreeMap<ServiceId, outlier::Detector>>,
    in_flight: Mutex<BTreeMap<Key, u32>>,
    random: Mutex<Source>,
    keyed_writes: AtomicU64,
}

/// Health of a target as judged by the outcomes of its work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    /// The target is ejected: reads skip it for the time being.
    pub ejected: bool,
    /// The target fails requests but is not ejected.
    pub suspect: bool,
}

/// Counts a request as in flight on a target until it is dropped.
pub struct InFlightGuard<'a> {
    state: &'a State,
    key: Key,
}

impl State {
    /// State of a host that has served no request yet.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> State {
        State {
            confirm: confirm::Tracker::new(),
            transactions: transaction::Registry::new(settings, incarnation),
            budgets: Mutex::default(),
            keys_in_use: Mutex::default(),
            outliers: Mutex::default(),
            in_flight: Mutex::default(),
            random: Mutex::new(Source::new(settings.policy.seed ^ u64::from(settings.host))),
            keyed_writes: AtomicU64::new(0),
        }
    }

    /// Retry budgets by service and client account.
    pub fn budgets(&self) -> MutexGuard<'_, Budgets> {
        lock(&self.budgets)
    }

    /// Idempotency keys of the writes in progress on this host.
    pub fn keys_in_use(&self) -> MutexGuard<'_, InFlight> {
        lock(&self.keys_in_use)
    }

    /// A new seed, for the choice of targets and the jitter of retry delays.
    pub fn next_seed(&self) -> u64 {
        lock(&self.random).bits()
    }

    /// Counts a write with an idempotency key and returns the number of such writes so far.
    pub fn count_keyed_write(&self) -> u64 {
        self.keyed_writes.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Counts a request as in flight on a target until the returned guard is dropped.
    pub fn track_in_flight(&self, key: Key) -> InFlightGuard<'_> {
        *lock(&self.in_flight).entry(key).or_default() += 1;
        InFlightGuard { state: self, key }
    }

    /// Number of requests in flight on a target.
    pub fn in_flight(&self, key: Key) -> u32 {
        lock(&self.in_flight).get(&key).copied().unwrap_or(0)
    }

    /// Records whether a target executed a request, as input for ejection.
    pub fn record_work(&self, (service, target): Key, succeeded: bool, now: Time) {
        let mut outliers = lock(&self.outliers);
        let detector = outliers.entry(service).or_insert_with(new_detector);
        if succeeded {
            detector.record_success(target)
        } else {
            detector.record_failure(target, now)
        }
    }

    /// Starts and ends the ejections that are due among the `replicas` of `service`, and returns
    /// the health of each.
    pub fn update_health(
        &self,
        service: ServiceId,
        replicas: &[TargetId],
        now: Time,
    ) -> BTreeMap<TargetId, Health> {
        let mut outliers = lock(&self.outliers);
        let detector = outliers.entry(service).or_insert_with(new_detector);
        for target in detector.sweep(replicas, now) {
            log::warn!("target {target} of service {service} fails requests and is ejected");
        }
        let health = |target: &TargetId| Health {
            ejected: detector.is_ejected(*target),
            suspect: detector.is_suspect(*target),
        };
        replicas.iter().map(|target| (*target, health(target))).collect()
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.state.in_flight);
        if let Some(count) = in_flight.get_mut(&self.key) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Locks `mutex`; panics if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

fn new_detector() -> outlier::Detector {
    outlier::Detector::new(outlier::Policy::default())
}
