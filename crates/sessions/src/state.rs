//! What the tasks of one host share.

use crate::boot_clock;
use crate::event::{Event, Journal, millis};
use crate::metric::Registry;
use crate::peer::{self, Peers};
use crate::quota::Quota;
use crate::settings::Settings;
use crate::target::Targets;
use bergamotvale_core::id::{HostId, Incarnation, Time};
use bergamotvale_core::proxy::catalog::Catalog;
use bergamotvale_core::proxy::directory::{Directory, TargetName};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::floor::History;
use bergamotvale_core::proxy::lease::{Lease, Limits, Revision};
use bergamotvale_core::proxy::record::{Fence, Record};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Limits of the lease on the table of groups and members.
pub const LEASE: Limits = Limits {
    validity: Duration::from_millis(1200),
    max_attested_age: Duration::from_secs(12),
    clock_drift_margin: Duration::from_millis(60),
};

/// Time before the end of a target's drain at which it gets no more work: statements take time to
/// reach it.
const DRAIN_MARGIN: Duration = Duration::from_millis(1000);
/// Heartbeats that a peer may miss before it has no say.
const MISSED_BEATS: u32 = 3;
/// Time that a heartbeat may be on its way.
const BEAT_DELAY: Duration = Duration::from_millis(100);

/// A group's record with the revision that wrote it.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The record.
    pub record: Record,
    /// Revision of its row.
    pub revision: Revision,
}

/// Why a group's primary may not be used now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// This host does not hold the lease.
    NoLease,
    /// No primary is established.
    Promoting,
    /// The primary does not answer.
    Unreachable,
}

impl Unavailable {
    /// Word for logs.
    pub fn label(self) -> &'static str {
        match self {
            Unavailable::NoLease => "lease_lapsed",
            Unavailable::Promoting => "no_primary",
            Unavailable::Unreachable => "primary_lost",
        }
    }
}

/// A primary that may be used, under the fence that made it one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// Its name.
    pub target: TargetName,
    /// Fence of its record.
    pub fence: Fence,
}

/// State of one host.
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// Its id.
    pub id: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its log.
    pub journal: Journal,
    /// Its counters and times.
    pub metrics: Registry,
    /// The configuration.
    pub catalog: RefCell<Rc<Catalog>>,
    /// The targets.
    pub directory: RefCell<Directory>,
    /// When targets that leave were first seen to say so.
    pub leaving_since: RefCell<BTreeMap<TargetName, Time>>,
    /// The groups' records.
    pub records: RefCell<BTreeMap<String, Stored>>,
    /// The lease on the records and the members.
    pub lease: RefCell<Lease>,
    /// What the primaries' logs held.
    pub histories: RefCell<BTreeMap<String, History>>,
    /// Connections and evidence by target.
    pub targets: Targets,
    /// Other hosts.
    pub peers: Peers,
    /// Rates of client accounts.
    pub quota: Quota,
    /// Work under way that rests on a primary: service and fence by number.
    uses: RefCell<BTreeMap<u64, (String, Fence)>>,
    next_use: Cell<u64>,
    settled: Cell<Revision>,
    /// Whether the host was told to stop.
    pub stopping: Cell<bool>,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    /// Wakes whoever waits for a change of any of this.
    pub changed: Notify,
    /// Whether the members' table held a row of an earlier run of this host.
    pub was_member: Cell<bool>,
    /// When this run first had a part of the rates.
    pub member_since: Cell<Option<Time>>,
    /// Whether this run's row has been seen in the members' table.
    pub has_joined: Cell<bool>,
    /// When the store was last found to be away for everybody.
    pub store_away_at: Cell<Time>,
    lease_known: Cell<bool>,
}

impl Host {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Rc<Host> {
        let id = match settings.listen.peers.ip() {
            IpAddr::V4(address) => HostId::from(address),
            IpAddr::V6(address) => u128::from(address) as HostId,
        };
        Rc::new(Host {
            id,
            incarnation,
            journal: Journal::default(),
            metrics: Registry::default(),
            catalog: RefCell::default(),
            directory: RefCell::default(),
            leaving_since: RefCell::default(),
            records: RefCell::default(),
            lease: RefCell::new(Lease::new(id, incarnation, LEASE)),
            histories: RefCell::default(),
            targets: Targets::default(),
            peers: Peers::default(),
            quota: Quota::new(LEASE.validity + LEASE.clock_drift_margin),
            uses: RefCell::default(),
            next_use: Cell::new(0),
            settled: Cell::new(0),
            stopping: Cell::new(false),
            sessions: Cell::new(0),
            changed: Notify::new(),
            was_member: Cell::new(false),
            member_since: Cell::new(None),
            has_joined: Cell::new(false),
            store_away_at: Cell::default(),
            lease_known: Cell::new(false),
            settings,
        })
    }

    /// Whether the host may act on its copy of the table, now.
    pub fn holds_lease(&self) -> bool {
        let now = boot_clock::now();
        let (held, revision, age) = {
            let lease = self.lease.borrow();
            (lease.is_held(now), lease.revision(), lease.renewal_age(now))
        };
        if self.lease_known.replace(held) != held {
            self.metrics.count(if held { "lease_gained" } else { "lease_lost" });
            let proof_age_ms = age.map(millis);
            self.journal.write(&Event::Lease { held, revision, proof_age_ms });
        }
        held
    }

    /// The primary of a group, if this host may use it now.
    pub fn primary(&self, service: &str) -> Result<Primary, Unavailable> {
        if !self.holds_lease() {
            return Err(Unavailable::NoLease);
        }
        let records = self.records.borrow();
        let stored = records.get(service).ok_or(Unavailable::Promoting)?;
        if !stored.record.established {
            return Err(Unavailable::Promoting);
        }
        let target = &stored.record.primary;
        let is_listed = self.directory.borrow().contains_key(target);
        if !is_listed || self.has_drained(target) || self.targets.view(target) == View::Lost {
            return Err(Unavailable::Unreachable);
        }
        Ok(Primary { target: target.clone(), fence: stored.record.fence })
    }

    /// Whether the host's parts of the rates are in force: at once for one that had them in an
    /// earlier run, else once all others have made room.
    pub fn has_parts(&self) -> bool {
        let settle = LEASE.validity + LEASE.clock_drift_margin;
        let since = self.member_since.get();
        since.is_some_and(|at| self.was_member.get() || self.now().saturating_sub(at) >= settle)
    }

    /// Whether a target said so long ago that it leaves that it may get no more work.
    fn has_drained(&self, target: &TargetName) -> bool {
        let limit = self.settings.times.drain.saturating_sub(DRAIN_MARGIN);
        let since = self.leaving_since.borrow().get(target).copied();
        since.is_some_and(|at| self.now().saturating_sub(at) >= limit)
    }

    /// Time within which a peer has to have been heard of to have a say.
    pub fn peer_limit(&self) -> Duration {
        peer::interval(self) * MISSED_BEATS + BEAT_DELAY
    }

    /// Whether `fence` still is the newest that this host knows for the group, and the lease holds.
    pub fn is_current(&self, service: &str, fence: Fence) -> bool {
        self.fence(service) == fence && self.holds_lease()
    }

    /// Newest fence of a group.
    pub fn fence(&self, service: &str) -> Fence {
        self.records.borrow().get(service).map_or(0, |stored| stored.record.fence)
    }

    /// Whether the group's promotion under way waits for open work at the primary.
    pub fn has_planned_promotion(&self, service: &str) -> bool {
        self.records
            .borrow()
            .get(service)
            .is_some_and(|stored| !stored.record.established && stored.record.planned)
    }

    /// Takes a newer record, and wakes whoever rests on the older one.
    pub fn adopt_record(&self, service: &str, record: Record, revision: Revision) {
        let known = self.records.borrow().get(service).map(|stored| stored.revision);
        if known.is_some_and(|known| known >= revision) {
            return;
        }
        if record.established {
            self.targets.record_primary(&record.primary);
        }
        self.journal.write(&Event::Primary {
            service,
            target: &record.primary,
            fence: record.fence,
            established: record.established,
            term: record.term,
            revision,
        });
        self.records.borrow_mut().insert(service.to_owned(), Stored { record, revision });
        self.changed.notify_waiters();
    }

    /// Registers work that rests on a group's primary, until the guard is dropped.
    pub fn register_work(self: &Rc<Host>, service: &str, fence: Fence) -> WorkGuard {
        let number = self.next_use.get();
        self.next_use.set(number + 1);
        self.uses.borrow_mut().insert(number, (service.to_owned(), fence));
        WorkGuard { host: self.clone(), number }
    }

    /// Revision below which no work of this host is under way.
    pub fn settled(&self) -> Revision {
        let is_outdated = |(service, fence): &(String, Fence)| *fence < self.fence(service);
        if !self.uses.borrow().values().any(is_outdated) {
            self.settled.set(self.lease.borrow().revision());
        }
        self.settled.get()
    }

    /// Waits for a change of the shared state, at most until `until` on the runtime's clock.
    pub async fn wait_for_change(&self, until: tokio::time::Instant) {
        drop(tokio::time::timeout_at(until, self.changed.notified()).await);
    }

    /// Time now.
    pub fn now(&self) -> Time {
        boot_clock::now()
    }
}

/// Work that rests on a primary.
pub struct WorkGuard {
    host: Rc<Host>,
    number: u64,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.host.uses.borrow_mut().remove(&self.number);
    }
}
