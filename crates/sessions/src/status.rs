//! What a host believes, for operators: one JSON document.

use crate::boot_clock;
use crate::event::millis;
use crate::maintenance;
use crate::quota::account_id;
use crate::state::Host;
use bergamotvale_core::id::{HostId, Incarnation, Version};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::lease::Revision;
use bergamotvale_core::proxy::record::{Fence, Term};
use bergamotvale_core::rate::bucket::MICRO;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it takes new sessions.
    pub ready: bool,
    /// Sessions that are open.
    pub sessions: usize,
    /// Version of the configuration in force.
    pub version: Version,
    /// The lease on groups and members.
    pub lease: LeaseState,
    /// Recorded hosts.
    pub members: Vec<HostId>,
    /// Groups by service.
    pub groups: BTreeMap<String, GroupState>,
    /// Targets by name.
    pub targets: BTreeMap<String, TargetState>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, AccountState>,
}

/// Whether the host may act on its copy of groups and members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseState {
    /// Whether it may.
    pub held: bool,
    /// Revision of the copy.
    pub revision: Revision,
    /// Age of the proof that nothing newer exists, in milliseconds; none without one.
    pub proof_age_ms: Option<u64>,
}

/// Who leads a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupState {
    /// The primary, or the candidate of a promotion under way.
    pub primary: String,
    /// Number of the promotion.
    pub fence: Fence,
    /// Term of the log.
    pub term: Term,
    /// Whether the primary was seen to lead.
    pub established: bool,
    /// Newest position seen at the primary.
    pub position: Option<String>,
}

/// One target as the host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetState {
    /// Its service.
    pub service: String,
    /// Whether it answers: alive, lost or deposed.
    pub view: String,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Position that it was last seen at.
    pub position: String,
    /// Connections of this host.
    pub connections: u32,
    /// Connections that this host may have.
    pub connection_limit: u32,
    /// Statements of this host that run or wait there.
    pub running: u32,
}

/// Part of a client account's rate that this host has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountState {
    /// Requests a second, over all hosts.
    pub rate: u32,
    /// Requests a second, of this host.
    pub rate_part: f64,
    /// Requests at once, of this host.
    pub burst_part: f64,
}

/// Word for a view.
pub fn view_label(view: View) -> &'static str {
    match view {
        View::Alive => "alive",
        View::Lost => "lost",
        View::Deposed => "deposed",
    }
}

/// State of a host now.
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
        let lane = target.lane.borrow();
        let state = TargetState {
            service: entry.service.clone(),
            view: view_label(target.view()).to_owned(),
            leaving: entry.is_leaving,
            position: target.position().to_string(),
            connections: lane.open(),
            connection_limit: lane.limit(),
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
