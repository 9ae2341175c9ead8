//! What the requests of one host share.

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

/// State of the data path of one host.
pub struct State {
    /// Waits for confirmation.
    pub confirm: confirm::Waits,
    /// Transactions that this host owns.
    pub transactions: transaction::Owned,
    budgets: Mutex<Budgets>,
    running: Mutex<InFlight>,
    outliers: Mutex<BTreeMap<ServiceId, outlier::Detector>>,
    in_flight: Mutex<BTreeMap<Key, u32>>,
    jitter: Mutex<Source>,
    keyed_writes: AtomicU64,
}

/// What a target's work says about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    /// It is out for now.
    pub ejected: bool,
    /// It fails, but is in.
    pub suspect: bool,
}

/// A request in flight on a target.
pub struct Flight<'a> {
    state: &'a State,
    key: Key,
}

impl State {
    /// State of a host that has served nothing.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> State {
        State {
            confirm: confirm::Waits::new(),
            transactions: transaction::Owned::new(settings, incarnation),
            budgets: Mutex::default(),
            running: Mutex::default(),
            outliers: Mutex::default(),
            in_flight: Mutex::default(),
            jitter: Mutex::new(Source::new(settings.policy.seed ^ u64::from(settings.host))),
            keyed_writes: AtomicU64::new(0),
        }
    }

    /// Retry budgets.
    pub fn budgets(&self) -> MutexGuard<'_, Budgets> {
        lock(&self.budgets)
    }

    /// Idempotency keys in use here.
    pub fn running(&self) -> MutexGuard<'_, InFlight> {
        lock(&self.running)
    }

    /// A new seed.
    pub fn seed(&self) -> u64 {
        lock(&self.jitter).bits()
    }

    /// Counts a write with an idempotency key; answers with their number.
    pub fn keyed_write(&self) -> u64 {
        self.keyed_writes.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Notes a request that leaves for a target, until the result is dropped.
    pub fn fly(&self, key: Key) -> Flight<'_> {
        *lock(&self.in_flight).entry(key).or_default() += 1;
        Flight { state: self, key }
    }

    /// Requests in flight on a target.
    pub fn in_flight(&self, key: Key) -> u32 {
        lock(&self.in_flight).get(&key).copied().unwrap_or(0)
    }

    /// Notes how a target did its work.
    pub fn worked(&self, (service, target): Key, well: bool, now: Time) {
        let mut outliers = lock(&self.outliers);
        let group = outliers.entry(service).or_insert_with(new_group);
        if well { group.record_success(target) } else { group.record_failure(target, now) }
    }

    /// Health of the `replicas` of `service`; begins and ends ejections when it is time.
    pub fn update_health(
        &self,
        service: ServiceId,
        replicas: &[TargetId],
        now: Time,
    ) -> BTreeMap<TargetId, Health> {
        let mut outliers = lock(&self.outliers);
        let group = outliers.entry(service).or_insert_with(new_group);
        for target in group.sweep(replicas, now) {
            log::warn!("target {target} of service {service} fails its work and is passed over");
        }
        let standing = |target: &TargetId| Health {
            ejected: group.is_ejected(*target),
            suspect: group.is_suspect(*target),
        };
        replicas.iter().map(|target| (*target, standing(target))).collect()
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.state.in_flight);
        if let Some(count) = in_flight.get_mut(&self.key) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Locks `mutex`.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

fn new_group() -> outlier::Detector {
    outlier::Detector::new(outlier::Policy::default())
}
