//! Evacuation of failure domains at this host: the copy of the operators' orders, what follows from
//! them for a target, and their exchange with peers.
//!
//! [`bergamotvale_core::proxy::evacuation`] makes the decisions. Nothing here has any effect unless
//! the settings state a time limit for evacuations.

use crate::boot_clock;
use crate::event::{Event, millis};
use crate::fleet::feed::Update;
use crate::fleet::{follow, peer};
use crate::state::Host;
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::directory::{Entry, TargetName};
use bergamotvale_core::proxy::evacuation::{Change, Evacuations, Report, Row};
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_platform::catalog;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Reason of refusals of what only targets in evacuated domains could run.
pub const EVACUATED: &str = "evacuated";
/// Time after which a caller may retry what was refused as [`EVACUATED`].
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a host tells its peers of the evacuations that it knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireReport {
    /// Number of the receiver's last heartbeat and the time since it arrived, as in a heartbeat.
    pub echo: Option<(u64, Duration)>,
    /// Revision of the store that the report reflects.
    pub revision: Revision,
    /// Evacuated domains and the time since the sender knew of each.
    pub domains: BTreeMap<String, Duration>,
    /// Domains whose row the sender cannot read.
    pub unreadable: BTreeSet<String>,
}

/// The evacuations that this host knows of.
pub struct Evacuation {
    /// `None` if the settings state no time limit.
    state: Option<RefCell<Evacuations>>,
}

impl Evacuation {
    /// Creates the state of a host that knows of no evacuation; `limit` is that of the settings.
    pub fn new(limit: Option<Duration>) -> Evacuation {
        Evacuation { state: limit.map(|limit| RefCell::new(Evacuations::new(limit))) }
    }

    /// Whether a target is in an evacuated domain, so that no read is sent to it.
    pub fn is_evacuated(&self, entry: &Entry) -> bool {
        self.state.as_ref().is_some_and(|state| state.borrow().is_evacuated(&entry.domain))
    }

    /// Whether nothing may be sent to a target any more, because its domain is evacuated.
    pub fn is_closed(&self, entry: &Entry) -> bool {
        let now = boot_clock::now();
        self.state.as_ref().is_some_and(|state| state.borrow().is_closed(&entry.domain, now))
    }

    /// Time from which nothing may be sent to a target; `None` if its domain is not evacuated.
    pub fn deadline(&self, entry: &Entry) -> Option<Instant> {
        let closes = self.state.as_ref()?.borrow().closes(&entry.domain)?;
        Some(Instant::now() + closes.saturating_sub(boot_clock::now()))
    }

    /// The evacuated domains.
    pub fn domains(&self) -> BTreeSet<String> {
        self.state.as_ref().map(|state| state.borrow().domains()).unwrap_or_default()
    }

    /// What to report to peers; `None` if there is nothing to report.
    pub fn report(&self, now: Time) -> Option<Report> {
        self.state.as_ref()?.borrow().report(now)
    }
}

/// Takes over the orders in rows that this host has read from the store.
pub fn adopt_rows(host: &Host, update: &Update) {
    let mut rows = BTreeMap::new();
    for row in &update.rows {
        let Some(domain) = catalog::evacuated_domain(&row.key) else { continue };
        let state = match row.value.as_ref().map(|value| catalog::decode_evacuation(domain, value))
        {
            None => Row::Removed,
            Some(Ok(())) => Row::Ordered,
            Some(Err(error)) => {
                follow::log_unreadable(host, catalog::TABLE, &row.key, &error);
                Row::Unreadable
            }
        };
        rows.insert(domain.to_owned(), state);
    }
    let Some(state) = &host.evacuation.state else {
        for domain in rows.keys() {
            host.metrics.count("evacuations_ignored");
            log_step(host, domain, "ignored");
        }
        return;
    };
    let now = boot_clock::now();
    let changes = state.borrow_mut().apply(now, update.revision, &rows, update.is_full_table);
    record(host, &changes, "ordered");
}

/// Takes over what a peer reports. `created_after` is a lower bound of the time at which it was
/// created, if there is one.
pub fn adopt_report(host: &Host, report: WireReport, created_after: Option<Time>) {
    let Some(state) = &host.evacuation.state else { return };
    let now = boot_clock::now();
    let delay = created_after.map(|created| now.saturating_sub(created));
    let WireReport { revision, domains, unreadable, .. } = report;
    let report = Report { revision, domains, unreadable };
    let changes = state.borrow_mut().learn(now, &report, delay);
    record(host, &changes, "seen");
}

/// Reports domains that have closed, and closes the idle connections to their targets.
pub fn tick(host: &Host) {
    let Some(state) = &host.evacuation.state else { return };
    let changes = state.borrow_mut().tick(boot_clock::now());
    record(host, &changes, "seen");
    for entry in host.directory.borrow().values() {
        if host.evacuation.is_closed(entry) {
            host.targets.get(&entry.name).pool.borrow_mut().close_idle();
        }
    }
}

/// Logs changes and wakes what depends on them. `begun` is the step that is logged for an
/// evacuation that has begun.
fn record(host: &Host, changes: &[Change], begun: &str) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let (domain, step) = match change {
            Change::Begun(domain) => (domain, begun),
            Change::Closed(domain) => (domain, "in_force"),
            Change::Ended(domain) => (domain, "ended"),
        };
        host.metrics.count(&format!("evacuations_{step}"));
        log_step(host, domain, step);
    }
    host.changed.notify_waiters();
    peer::notify_change(host);
}

fn log_step(host: &Host, domain: &str, step: &str) {
    let directory = host.directory.borrow();
    let targets: Vec<&TargetName> =
        directory.values().filter(|e| e.domain == domain).map(|e| &e.name).collect();
    let is_in = |name: &TargetName| targets.contains(&name);
    let records = host.records.borrow();
    let primaries = records.values().filter(|stored| is_in(&stored.record.primary)).count();
    let closes = directory.values().find(|e| e.domain == domain);
    let closes = closes.and_then(|entry| host.evacuation.deadline(entry));
    let closes_in_ms = closes.map(|at| millis(at.saturating_duration_since(Instant::now())));
    let targets = targets.len();
    host.journal.write(&Event::Evacuation { domain, step, targets, primaries, closes_in_ms });
}
