//! State as the host knows it, for operators: one JSON document.

use crate::boot_clock;
use crate::caller::quota::account_id;
use crate::event::millis;
use crate::maintenance;
use crate::state::Host;
use bergamotvale_core::id::{HostId, Incarnation, Version};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::record::{Fence, Term};
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::rate::bucket::MICRO;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name from the settings.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the host accepts new sessions.
    pub ready: bool,
    /// Number of open sessions.
    pub sessions: usize,
    /// Version of the configuration in force; 0 before the first.
    pub version: Version,
    /// Lease on the records and members.
    pub lease: LeaseState,
    /// Ids of the hosts in the table of members.
    pub members: Vec<HostId>,
    /// Groups by service.
    pub groups: BTreeMap<String, GroupState>,
    /// Listed targets by name.
    pub targets: BTreeMap<String, TargetState>,
    /// Configured client accounts by name.
    pub accounts: BTreeMap<String, AccountState>,
}

/// Lease on the host's copy of the records and members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseState {
    /// Whether the host may act on the copy.
    pub held: bool,
    /// Revision of the copy.
    pub revision: Revision,
    /// Age of the lease's renewal, in milliseconds; `None` if this revision was never renewed.
    pub proof_age_ms: Option<u64>,
}

/// Record of one group, and what was observed of its primary.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupState {
    /// Primary, or candidate of a promotion in progress.
    pub primary: String,
    /// Number of the last promotion.
    pub fence: Fence,
    /// Term in which the primary leads; while not established, the highest term before.
    pub term: Term,
    /// Whether the primary was seen to lead; false while a promotion is in progress.
    pub established: bool,
    /// Newest observed position of the primary's log; `None` before the first observation.
    pub position: Option<String>,
}

/// One target as this host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetState {
    /// Service that the target belongs to.
    pub service: String,
    /// `alive`, `lost` if it does not answer, `deposed` if it answers that it is not the primary.
    pub view: String,
    /// Whether the target is about to stop.
    pub leaving: bool,
    /// Position that the target last reported.
    pub position: String,
    /// Open connections from this host.
    pub connections: u32,
    /// Number of connections that this host may open to the target.
    pub connection_limit: u32,
    /// Number of this host's requests at the target that have no answer yet.
    pub running: u32,
}

/// Rate of a client account, and this host's share of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountState {
    /// Requests per second over all hosts.
    pub rate: u32,
    /// This host's share of the rate, in requests per second.
    pub rate_part: f64,
    /// This host's share of the burst, in requests.
    pub burst_part: f64,
}

/// Returns the label of a view in logs and in the status.
pub fn view_label(view: View) -> &'static str {
    match view {
        View::Alive => "alive",
        View::Lost => "lost",
        View::Deposed => "deposed",
    }
}

/// Returns the present state of a host.
pub fn of(host: &Host) -> Status {
    let now = boot_clock::now();
    let held = host.holds_lease();
    let lease = host.lease.borrow();
    Status {
        host: host.settings.name.clone(),
        domain: host.settings.domain.clone(),
        incarnation: host.incarnation,
        ready: maintenance::is_ready(host),
        sessions: host.sessions.get(),
        version: host.catalog.borrow().version,
        lease: LeaseState {
            held,
            revision: lease.revision(),
            proof_age_ms: lease.renewal_age(now).map(millis),
        },
        members: lease.members().keys().copied().collect(),
        groups: groups(host),
        targets: targets(host),
        accounts: accounts(host),
    }
}

fn groups(host: &Host) -> BTreeMap<String, GroupState> {
    let histories = host.histories.borrow();
    let records = host.records.borrow();
    let state = |service: &String| {
        let record = &records[service].record;
        let newest = histories.get(service).and_then(|history| history.newest());
        GroupState {
            primary: record.primary.clone(),
            fence: record.fence,
            term: record.term,
            established: record.established,
            position: newest.map(|observation| observation.position.to_string()),
        }
    };
    records.keys().map(|service| (service.clone(), state(service))).collect()
}

fn targets(host: &Host) -> BTreeMap<String, TargetState> {
    let directory = host.directory.borrow();
    let states = directory.values().map(|entry| {
        let target = host.targets.get(&entry.name);
        let pool = target.pool.borrow();
        let state = TargetState {
            service: entry.service.clone(),
            view: view_label(target.view()).to_owned(),
            leaving: entry.is_leaving,
            position: target.position().to_string(),
            connections: pool.open_count(),
            connection_limit: pool.limit(),
            running: target.in_flight.get(),
        };
        (entry.name.clone(), state)
    });
    states.collect()
}

fn accounts(host: &Host) -> BTreeMap<String, AccountState> {
    let catalog = host.catalog.borrow();
    let meter = host.quota.meter.borrow();
    let states = catalog.accounts.values().map(|account| {
        let (rate, burst) = meter.share(account_id(&account.name));
        let state = AccountState {
            rate: account.rate,
            rate_part: rate as f64 / MICRO as f64,
            burst_part: burst as f64 / MICRO as f64,
        };
        (account.name.clone(), state)
    });
    states.collect()
}
