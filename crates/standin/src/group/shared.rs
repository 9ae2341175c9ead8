//! What the targets of a group share: delays, links and each other.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use super::target::Target;
use crate::sync::lock;

/// Links and settings of a group.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Delay one way between targets.
    pub(crate) replication_delay: Duration,
    /// Time between two heartbeats of a primary.
    pub(crate) heartbeat: Duration,
    /// Connections of a target, at first.
    pub(crate) connection_limit: u64,
    /// Delay of a new connection.
    pub(crate) connect_delay: Duration,
    /// Delay one way between a target and its callers.
    pub(crate) network_delay: Duration,
    /// How long a transaction may be idle.
    pub(crate) idle_timeout: Duration,
    targets: OnceLock<Vec<Weak<Target>>>,
    cuts: Mutex<BTreeSet<(usize, usize)>>,
    ended: AtomicBool,
}

impl Shared {
    /// Settings of a group whose targets are not known yet.
    pub(crate) fn new(options: &super::Options) -> Self {
        Shared {
            replication_delay: options.replication_delay,
            heartbeat: options.heartbeat,
            connection_limit: options.connection_limit,
            connect_delay: options.connect_delay,
            network_delay: options.network_delay,
            idle_timeout: options.idle_timeout,
            targets: OnceLock::new(),
            cuts: Mutex::default(),
            ended: AtomicBool::new(false),
        }
    }

    /// Makes the targets known to each other, once.
    pub(crate) fn set_targets(&self, targets: &[Arc<Target>]) {
        let weak = targets.iter().map(Arc::downgrade).collect();
        self.targets.set(weak).expect("targets are set once");
    }

    /// Targets in the group.
    pub(crate) fn size(&self) -> usize {
        self.targets.get().map_or(0, Vec::len)
    }

    /// A target, while the group lives.
    pub(crate) fn target(&self, number: usize) -> Option<Arc<Target>> {
        self.targets.get()?.get(number)?.upgrade()
    }

    /// Whether the link between two targets is cut.
    pub(crate) fn cut(&self, a: usize, b: usize) -> bool {
        lock(&self.cuts).contains(&(a.min(b), a.max(b)))
    }

    /// Cuts or heals the link between two targets, both ways.
    pub(crate) fn set_cut(&self, a: usize, b: usize, cut: bool) {
        let link = (a.min(b), a.max(b));
        let mut cuts = lock(&self.cuts);
        if cut {
            cuts.insert(link);
        } else {
            cuts.remove(&link);
        }
    }

    /// Heals all links of a target.
    pub(crate) fn heal(&self, target: usize) {
        lock(&self.cuts).retain(|link| link.0 != target && link.1 != target);
    }

    /// Whether the group has ended.
    pub(crate) fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the group's threads.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}
