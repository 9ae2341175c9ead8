//! State that the tasks of one session host share: its copies of the platform's tables, its lease,
//! and what it knows of targets and peers.
//!
//! All tasks run on one thread, so cells suffice. Tasks wait for changes on [`Host::changed`].

use crate::boot_clock;
use crate::caller::quota::Quota;
use crate::evacuation::{EVACUATED, Evacuation};
use crate::event::{Event, Journal, millis};
use crate::fleet::peer::{self, Peers};
use crate::forward::Forward;
use crate::metric::Registry;
use crate::overload::Overload;
use crate::pool::target::{Target, Targets};
use crate::settings::Settings;
use crate::stop::Stop;
use bergamotvale_core::id::{HostId, Incarnation, Time};
use bergamotvale_core::proxy::budget;
use bergamotvale_core::proxy::catalog::Catalog;
use bergamotvale_core::proxy::directory::{Directory, Entry, TargetName};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::failover::HANDOVER_TIME;
use bergamotvale_core::proxy::floor::History;
use bergamotvale_core::proxy::home::Owner;
use bergamotvale_core::proxy::lease::{Lease, Limits, Member};
use bergamotvale_core::proxy::record::{Fence, Record};
use bergamotvale_core::proxy::revision::{Era, Revision};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Limits of the lease on the table of groups and members.
pub const LEASE_LIMITS: Limits = Limits {
    validity: Duration::from_millis(1200),
    max_attested_age: Duration::from_secs(12),
    clock_drift_margin: Duration::from_millis(60),
};

/// Time before the end of a target's drain from which it gets no more work, because statements take
/// time to reach it.
const DRAIN_MARGIN: Duration = Duration::from_millis(1000);
/// Heartbeats that a peer may miss before it no longer counts as alive.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Longest expected transmission time of a heartbeat.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);

/// A group's record and the revision at which it was written.
#[derive(Debug, Clone)]
pub struct StoredRecord {
    /// The decoded row.
    pub record: Record,
    /// Revision of the row; the next conditional write of the record expects it.
    pub revision: Revision,
    /// When this host's lease on the record before ended, as far as it was held then.
    superseded_lease_end: Time,
}

impl StoredRecord {
    /// Creates a record that replaces none that this host has acted on.
    pub fn new(record: Record, revision: Revision) -> StoredRecord {
        StoredRecord { record, revision, superseded_lease_end: Time::ZERO }
    }

    /// Until when this host may finish work at the previous primary while the promotion is not
    /// established.
    fn handover_end(&self) -> Time {
        let handover = if self.record.planned { HANDOVER_TIME } else { Duration::ZERO };
        self.superseded_lease_end + handover
    }
}

/// Why a group's primary, or any target of the group, may not be used now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// This host does not hold the lease.
    NoLease,
    /// The group has no record, or a promotion is in progress.
    Promoting,
    /// The target does not answer, has left the directory or is at the end of its drain.
    Unreachable,
    /// The targets are in no home region of the route or the client account.
    NotAtHome(Owner),
    /// The target is in an evacuated failure domain. Waiting is of no use, because the domain is
    /// evacuated until an operator ends it.
    Evacuated,
}

impl Unavailable {
    /// Reason as written to log lines and answers.
    pub fn label(self) -> &'static str {
        match self {
            Unavailable::NoLease => "lease_lapsed",
            Unavailable::Promoting => "no_primary",
            Unavailable::Unreachable => "primary_lost",
            Unavailable::NotAtHome(Owner::Route) => "home_of_route",
            Unavailable::NotAtHome(Owner::Account) => "home_of_account",
            Unavailable::Evacuated => EVACUATED,
        }
    }
}

/// A primary that this host may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// Name of the target.
    pub target: TargetName,
    /// Fence of the promotion that made it the primary.
    pub fence: Fence,
}

/// State of one host.
pub struct Host {
    /// Settings as read at the start; a later change of the file does not alter them.
    pub settings: Settings,
    /// Id among the members, derived from the address for peers.
    pub id: HostId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Log of events.
    pub journal: Journal,
    /// Counters and latencies.
    pub metrics: Registry,
    /// Newest configuration; version 0 until one has been read.
    pub catalog: RefCell<Rc<Catalog>>,
    /// Entries of all targets.
    pub directory: RefCell<Directory>,
    /// When this host first saw that a target is leaving; holds leaving targets only.
    pub leaving_since: RefCell<BTreeMap<TargetName, Time>>,
    /// Records of the groups by service.
    pub records: RefCell<BTreeMap<String, StoredRecord>>,
    /// Lease on the records and the members.
    pub lease: RefCell<Lease>,
    /// Observed positions of each group's primary, by service.
    pub histories: RefCell<BTreeMap<String, History>>,
    /// Connections to targets and evidence of their health.
    pub targets: Targets,
    /// State of other hosts, and the socket to reach them.
    pub peers: Peers,
    /// Evacuations of failure domains.
    pub evacuation: Evacuation,
    /// This host's shares of the client accounts' rates.
    pub quota: Quota,
    /// Work in flight that depends on a primary: service and fence, by number.
    in_flight_work: RefCell<BTreeMap<u64, (String, Fence)>>,
    next_work_number: Cell<u64>,
    quiesced_revision: Cell<Revision>,
    /// Bounds on what callers make this host hold.
    pub overload: Overload,
    /// Hops to and from other hosts.
    pub forward: Forward,
    /// The planned stop of the process.
    pub stop: Stop,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Notifies the tasks that wait for a change of this state.
    pub changed: Notify,
    /// Whether the table of members held a row of an earlier incarnation of this host.
    pub was_member: Cell<bool>,
    /// When this incarnation first had shares of the rates; `None` before.
    pub shares_since: Cell<Option<Time>>,
    /// Whether this incarnation's row has been seen in the table of members.
    pub has_joined: Cell<bool>,
    /// When the store was last found to be unreachable for this host and its peers, or restored;
    /// zero before.
    pub last_store_outage: Cell<Time>,
    /// Newest era of the store that this host knows of; `None` before the first answer.
    pub store_era: Cell<Option<Era>>,
    /// Newest era whose table this host has completed with what it remembers.
    pub reconciled: Cell<Option<Era>>,
    /// Members that a restored table names; empty while the table is settled.
    pub restored_members: RefCell<BTreeMap<HostId, Member>>,
    /// Notified when the copy of the table has a restored one that is not settled.
    pub restore_noticed: Notify,
    logged_lease_state: Cell<bool>,
}

impl Host {
    /// Returns the state of a host that has read no table and received no heartbeat.
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
            lease: RefCell::new(Lease::new(id, incarnation, LEASE_LIMITS)),
            histories: RefCell::default(),
            targets: Targets::default(),
            peers: Peers::new(id),
            evacuation: Evacuation::new(settings.times.evacuation),
            quota: Quota::new(LEASE_LIMITS.validity + LEASE_LIMITS.clock_drift_margin),
            in_flight_work: RefCell::default(),
            next_work_number: Cell::new(0),
            quiesced_revision: Cell::default(),
            overload: Overload::new(budget::Limits::new(settings.memory, settings.descriptors)),
            forward: Forward::default(),
            stop: Stop::new(settings.times.grace),
            sessions: Cell::new(0),
            changed: Notify::new(),
            was_member: Cell::new(false),
            shares_since: Cell::new(None),
            has_joined: Cell::new(false),
            last_store_outage: Cell::default(),
            store_era: Cell::default(),
            reconciled: Cell::default(),
            restored_members: RefCell::default(),
            restore_noticed: Notify::new(),
            logged_lease_state: Cell::new(false),
            settings,
        })
    }

    /// Whether the host may act on its copy of the records and members now. Logs each change.
    pub fn holds_lease(&self) -> bool {
        let now = boot_clock::now();
        let (held, revision, age) = {
            let lease = self.lease.borrow();
            (lease.is_held(now), lease.revision(), lease.renewal_age(now))
        };
        if self.logged_lease_state.replace(held) != held {
            self.metrics.count(if held { "lease_gained" } else { "lease_lost" });
            let proof_age_ms = age.map(millis);
            self.journal.write(&Event::Lease { held, revision, proof_age_ms });
        }
        held
    }

    /// Records that the store has reported an era, to this host or to a peer.
    pub fn record_era(&self, era: Era) {
        let known = self.store_era.get();
        if known.is_some_and(|known| known >= era) {
            return;
        }
        self.store_era.set(Some(era));
        if known.is_some() {
            self.journal.write(&Event::StoreRestored { era });
            self.metrics.count("store_restored");
            self.last_store_outage.set(self.now());
            self.changed.notify_waiters();
        }
    }

    /// Records that a target failed a request, or did not answer it, for its learned limit.
    pub fn record_target_failure(&self, target: &Target) {
        if self.settings.learned_limits {
            self.metrics.count("limited_target_failures");
            self.targets.capacity.borrow_mut().record_failure(&target.name, boot_clock::now());
        }
    }

    /// Whether the store was restored and its table is not settled yet. Until then no change of the
    /// table that depends on this host's copy may be written.
    pub fn is_restoring(&self) -> bool {
        let copy = self.lease.borrow().revision().era;
        self.store_era.get().is_some_and(|era| era > copy)
    }

    /// Members that this host's copy of the table records, and those that a restored table names.
    pub fn known_members(&self) -> BTreeMap<HostId, Member> {
        let mut members = self.lease.borrow().members().clone();
        members.extend(self.restored_members.borrow().clone());
        members
    }

    /// Returns the primary of a group if this host may use it now.
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
        let entry = self.directory.borrow().get(target).cloned();
        if entry.as_ref().is_some_and(|entry| self.evacuation.is_closed(entry)) {
            return Err(Unavailable::Evacuated);
        }
        if entry.is_none() || self.has_drained(target) || self.targets.view(target) == View::Lost {
            return Err(Unavailable::Unreachable);
        }
        Ok(Primary { target: target.clone(), fence: stored.record.fence })
    }

    /// Region of a target; `None` if the settings do not state it.
    pub fn region(&self, entry: &Entry) -> Option<&str> {
        self.settings.regions.get(&entry.domain).map(String::as_str)
    }

    /// Whether the host's shares of the rates are in force: at once if an earlier incarnation had
    /// them, otherwise once all other hosts have reduced theirs.
    pub fn has_shares(&self) -> bool {
        let delay = LEASE_LIMITS.validity + LEASE_LIMITS.clock_drift_margin;
        let since = self.shares_since.get();
        since.is_some_and(|at| self.was_member.get() || self.now().saturating_sub(at) >= delay)
    }

    /// Whether a target has been leaving for so long that it may get no more work.
    fn has_drained(&self, target: &TargetName) -> bool {
        let limit = self.settings.times.drain.saturating_sub(DRAIN_MARGIN);
        let since = self.leaving_since.borrow().get(target).copied();
        since.is_some_and(|at| self.now().saturating_sub(at) >= limit)
    }

    /// Age of a peer's last heartbeat above which the peer does not count as alive.
    pub fn peer_timeout(&self) -> Duration {
        peer::heartbeat_interval(self) * MAX_MISSED_HEARTBEATS + MAX_HEARTBEAT_DELAY
    }

    /// Whether `fence` is the newest that this host knows for the group, and it holds the lease.
    pub fn is_current(&self, service: &str, fence: Fence) -> bool {
        self.fence(service) == fence && self.holds_lease()
    }

    /// Returns the entry of a target of the group, also of one that only the group's roster has.
    pub fn find_target(&self, service: &str, name: &TargetName) -> Option<Entry> {
        let listed = self.directory.borrow().get(name).cloned();
        let records = self.records.borrow();
        listed.or_else(|| records.get(service)?.record.roster.entry(service, name))
    }

    /// Returns the newest known fence of a group; 0 without a record.
    pub fn fence(&self, service: &str) -> Fence {
        self.records.borrow().get(service).map_or(0, |stored| stored.record.fence)
    }

    /// Whether a planned promotion of the group is in progress, and open work at the previous primary
    /// may still finish.
    pub fn has_planned_promotion(&self, service: &str) -> bool {
        let records = self.records.borrow();
        let stored = records.get(service).filter(|stored| stored.record.planned);
        stored.is_some_and(|stored| self.may_finish_older_work(stored))
    }

    /// Whether a commit at a primary that is being replaced may be acknowledged.
    ///
    /// It may while this host holds the lease and within the time for which the promotion waits for
    /// it, see [`bergamotvale_core::proxy::lease::Barrier`].
    pub fn may_acknowledge(&self, service: &str) -> bool {
        let may_finish = {
            let records = self.records.borrow();
            records.get(service).is_some_and(|stored| self.may_finish_older_work(stored))
        };
        may_finish && self.holds_lease()
    }

    fn may_finish_older_work(&self, stored: &StoredRecord) -> bool {
        !stored.record.established && self.now() <= stored.handover_end()
    }

    /// Stores a record if it is newer than the known one, and wakes the tasks that depend on the
    /// older one.
    pub fn adopt_record(&self, service: &str, record: Record, revision: Revision) {
        let known = self.records.borrow().get(service).cloned();
        if known.as_ref().is_some_and(|known| known.revision >= revision) {
            return;
        }
        let is_same = known.as_ref().is_some_and(|known| known.record.fence == record.fence);
        let superseded_lease_end = match &known {
            Some(known) if is_same => known.superseded_lease_end,
            Some(_) => self.lease.borrow().end_if_superseded(),
            None => Time::ZERO,
        };
        if known.is_some() && !is_same {
            self.targets.restart_evidence_of(&record.primary);
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
        let stored = StoredRecord { record, revision, superseded_lease_end };
        self.records.borrow_mut().insert(service.to_owned(), stored);
        self.changed.notify_waiters();
    }

    /// Registers work that depends on the group's primary under `fence`, until the guard is
    /// dropped.
    ///
    /// [`Host::quiesced_revision`] does not advance past a newer record while the work is
    /// registered.
    pub fn register_work(self: &Rc<Host>, service: &str, fence: Fence) -> WorkGuard {
        let number = self.next_work_number.get();
        self.next_work_number.set(number + 1);
        self.in_flight_work.borrow_mut().insert(number, (service.to_owned(), fence));
        WorkGuard { host: self.clone(), number }
    }

    /// Returns the revision below which this host has no work in flight. Heartbeats report it.
    pub fn quiesced_revision(&self) -> Revision {
        let is_outdated = |(service, fence): &(String, Fence)| *fence != self.fence(service);
        if !self.in_flight_work.borrow().values().any(is_outdated) {
            self.quiesced_revision.set(self.lease.borrow().revision());
        }
        self.quiesced_revision.get()
    }

    /// Waits until the shared state changes or the deadline has passed.
    pub async fn wait_for_change(&self, deadline: tokio::time::Instant) {
        drop(tokio::time::timeout_at(deadline, self.changed.notified()).await);
    }

    /// Returns the current time on the clock of [`boot_clock`].
    pub fn now(&self) -> Time {
        boot_clock::now()
    }
}

/// Keeps work that depends on a primary registered with the host.
pub struct WorkGuard {
    host: Rc<Host>,
    number: u64,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let removed = self.host.in_flight_work.borrow_mut().remove(&self.number);
        // A promotion may wait for the end of this work.
        if removed.is_some_and(|(service, fence)| fence != self.host.fence(&service)) {
            peer::notify_change(&self.host);
        }
    }
}
