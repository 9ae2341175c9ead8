//! State that the targets of a group share: settings, partitions, and references to each other.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use super::target::Target;
use crate::sync::lock;

/// Shared state of a group.
#[derive(Debug)]
pub(crate) struct Shared {
    /// One-way delay between targets.
    pub(crate) replication_delay: Duration,
    /// Interval between two heartbeats of a primary.
    pub(crate) heartbeat_interval: Duration,
    /// Initial maximum number of connections of a target.
    pub(crate) connection_limit: u64,
    /// Delay added to the setup of a connection.
    pub(crate) connect_delay: Duration,
    /// One-way delay between a target and its callers.
    pub(crate) network_delay: Duration,
    /// Time after which an idle transaction is rolled back and its connection closed.
    pub(crate) idle_timeout: Duration,
    targets: OnceLock<Vec<Weak<Target>>>,
    /// Pairs of target numbers, the lower one first.
    partitioned_links: Mutex<BTreeSet<(usize, usize)>>,
    ended: AtomicBool,
}

impl Shared {
    /// Shared state without targets; `set_targets` adds them.
    pub(crate) fn new(options: &super::Options) -> Self {
        Shared {
            replication_delay: options.replication_delay,
            heartbeat_interval: options.heartbeat_interval,
            connection_limit: options.connection_limit,
            connect_delay: options.connect_delay,
            network_delay: options.network_delay,
            idle_timeout: options.idle_timeout,
            targets: OnceLock::new(),
            partitioned_links: Mutex::default(),
            ended: AtomicBool::new(false),
        }
    }

    /// Sets the targets; must be called once.
    pub(crate) fn set_targets(&self, targets: &[Arc<Target>]) {
        let weak = targets.iter().map(Arc::downgrade).collect();
        self.targets.set(weak).expect("targets are set once");
    }

    /// Number of targets in the group.
    pub(crate) fn size(&self) -> usize {
        self.targets.get().map_or(0, Vec::len)
    }

    /// A target by number; none once the group is dropped.
    pub(crate) fn target(&self, number: usize) -> Option<Arc<Target>> {
        self.targets.get()?.get(number)?.upgrade()
    }

    /// Whether two targets are partitioned from each other.
    pub(crate) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        lock(&self.partitioned_links).contains(&(a.min(b), a.max(b)))
    }

    /// Partitions two targets from each other, in both directions, or ends that.
    pub(crate) fn set_partitioned(&self, a: usize, b: usize, partitioned: bool) {
        let link = (a.min(b), a.max(b));
        let mut partitioned_links = lock(&self.partitioned_links);
        if partitioned {
            partitioned_links.insert(link);
        } else {
            partitioned_links.remove(&link);
        }
    }

    /// Ends all partitions of a target.
    pub(crate) fn heal(&self, target: usize) {
        lock(&self.partitioned_links).retain(|link| link.0 != target && link.1 != target);
    }

    /// Whether the group's threads must exit.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Makes the group's threads exit.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}
