//! Periodic maintenance of a session host: probes of targets, observations of primaries, removal of
//! silent members, shares of rates, readiness. Also the host's own statements to targets.

use crate::boot_clock;
use crate::caller::work;
use crate::evacuation;
use crate::event::{Event, millis};
use crate::fleet::{feed, follow, member, peer};
use crate::pool::connection::{Bounds, Connection, Failure, is_clean};
use crate::pool::{ConnectionRequest, acquire};
use crate::state::Host;
use crate::status::view_label;
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::catalog::Consistency;
use bergamotvale_core::proxy::directory::{Entry, TargetName};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::record::Term;
use bergamotvale_platform::line::{self, Answer, End};
use bergamotvale_platform::text::{self, Status};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the newest observation from which the primary is probed for its position.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(400);
/// Part of the shortest staleness bound of the routes that an observation may be old before a host
/// probes for itself that gets the observations of the host that renews the lease.
const RELAYED_AGE_DIVISOR: u32 = 2;
/// Time in which a probe has to be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence of a member after which its row is removed. Longer than a lease can last on
/// attestations of peers.
const MEMBER_SILENCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Priority of the host's own statements, ahead of all statements of callers.
const OWN_PRIORITY: u32 = 0;
/// Account under which probes connect if no client account is configured.
const NO_ACCOUNT: &str = "-";

/// Runs rounds of maintenance until the process ends.
pub async fn run(host: Rc<Host>) {
    let probing: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    let mut views = host.targets.views();
    let started = boot_clock::now();
    let mut ready = false;
    let mut last_store_read = started;
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        follow::record_outage(&host, &mut last_store_read);
        probe_targets(&host, &probing);
        remove_unlisted_targets(&host);
        evacuation::tick(&host);
        log_views(&host, &mut views);
        host.quota.meter.borrow_mut().tick(boot_clock::now());
        remove_silent_members(&host, started).await;
        log_readiness(&host, &mut ready);
    }
}

/// Whether the host may accept new sessions: it has a configuration, targets, its shares of the
/// rates and the lease, and is not stopping.
pub fn is_ready(host: &Host) -> bool {
    let is_configured = host.catalog.borrow().version > 0 && !host.directory.borrow().is_empty();
    is_configured && host.has_shares() && !host.stop.is_under_way() && host.holds_lease()
}

fn log_readiness(host: &Host, known: &mut bool) {
    let ready = is_ready(host);
    if ready == *known {
        return;
    }
    *known = ready;
    let proof_age_ms = host.lease.borrow().renewal_age(boot_clock::now()).map(millis);
    host.journal.write(&Event::Ready {
        ready,
        lease: host.holds_lease(),
        proof_age_ms,
        configured: host.catalog.borrow().version > 0,
    });
}

fn log_views(host: &Host, known: &mut BTreeMap<TargetName, View>) {
    let views = host.targets.views();
    for (target, view) in &views {
        if known.get(target).copied().unwrap_or_default() == *view {
            continue;
        }
        let directory = host.directory.borrow();
        let entry = directory.get(target);
        host.journal.write(&Event::Target {
            target,
            service: entry.map_or("", |entry| entry.service.as_str()),
            view: view_label(*view),
            leaving: entry.is_some_and(|entry| entry.is_leaving),
        });
    }
    if views != *known {
        host.changed.notify_waiters();
        if is_any_primary(host, &views, known) {
            host.peers.heartbeat_now.notify_one();
        }
    }
    *known = views;
}

/// Whether the view of a group's primary is among those that differ: heartbeats report only these.
fn is_any_primary(
    host: &Host,
    views: &BTreeMap<TargetName, View>,
    known: &BTreeMap<TargetName, View>,
) -> bool {
    let records = host.records.borrow();
    let mut primaries = records.values().map(|stored| &stored.record.primary);
    primaries.any(|name| views.get(name) != known.get(name))
}

/// Starts the probes that are due, at most one per target at a time.
fn probe_targets(host: &Rc<Host>, probing: &Rc<RefCell<BTreeSet<String>>>) {
    let directory = host.directory.borrow().clone();
    for entry in directory.values() {
        let Some(probe) = due_probe(host, entry) else { continue };
        if !probing.borrow_mut().insert(entry.name.clone()) {
            continue;
        }
        let (host, probing, entry) = (host.clone(), probing.clone(), entry.clone());
        tokio::task::spawn_local(async move {
            host.metrics.count("probes");
            match probe {
                Probe::Liveness => probe_liveness(&host, &entry).await,
                Probe::Position => probe_position(&host, &entry).await,
            }
            probing.borrow_mut().remove(&entry.name);
        });
    }
}

/// What a probe checks.
enum Probe {
    /// Whether a new connection is answered.
    Liveness,
    /// The position of a primary.
    Position,
}

fn due_probe(host: &Host, entry: &Entry) -> Option<Probe> {
    let target = host.targets.get(&entry.name);
    if target.view() == View::Lost || target.needs_probe(boot_clock::now()) {
        return Some(Probe::Liveness);
    }
    let is_primary = host.primary(&entry.service).is_ok_and(|p| p.target == entry.name);
    let newest = host.histories.borrow().get(&entry.service).and_then(|h| h.newest());
    let max_age = max_observation_age(host);
    let is_old = newest.is_none_or(|o| host.now().saturating_sub(o.at) >= max_age);
    (is_primary && is_old).then_some(Probe::Position)
}

/// Age of the newest observation from which this host probes a primary for its position. In a fleet
/// that is not small the host that renews the lease passes its observations on, so that few hosts
/// probe.
fn max_observation_age(host: &Host) -> Duration {
    if peer::is_small_fleet(host) || follow::is_renewer(host) {
        return MAX_OBSERVATION_AGE;
    }
    let catalog = host.catalog.borrow();
    let bounds = catalog.routes.values().filter_map(|route| match route.consistency {
        Consistency::Primary => None,
        Consistency::Bounded(bound) | Consistency::ReadYourWrites(bound) => Some(bound),
    });
    bounds.min().map_or(MAX_OBSERVATION_AGE, |bound| bound / RELAYED_AGE_DIVISOR)
}

/// Opens a connection to a target; the outcome becomes evidence of its health.
async fn probe_liveness(host: &Host, entry: &Entry) {
    let target = host.targets.get(&entry.name);
    let account = any_account(host, entry);
    let deadline = Instant::now() + PROBE_TIMEOUT;
    // `open` records the outcome with the target.
    drop(Connection::open(host, &target, entry, &account, deadline).await);
}

/// Queries a primary's status and records its position as an observation.
async fn probe_position(host: &Rc<Host>, entry: &Entry) {
    let Ok(primary) = host.primary(&entry.service) else { return };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let sent = host.now();
    let answer = query(host, entry, text::STATUS, deadline).await;
    if let Ok(answer) = answer
        && host.is_current(&entry.service, primary.fence)
    {
        work::record_observation(host, &entry.service, sent, &answer);
        host.changed.notify_waiters();
    }
}

/// Sends a statement of the host's own to a target.
async fn query(
    host: &Host,
    entry: &Entry,
    text: &str,
    deadline: Instant,
) -> Result<Answer, Failure> {
    let account = any_account(host, entry);
    let request = ConnectionRequest {
        account: &account,
        priority: OWN_PRIORITY,
        deadline,
        max_wait: PROBE_TIMEOUT,
        is_last_resort: true,
    };
    let mut checkout = acquire(host, entry, request).await?;
    let target = checkout.target.clone();
    let message = line::query(line::HOST_STATEMENT_ID, text);
    let bounds = Bounds { deadline, fence: None };
    let answer = checkout.connection().exchange(host, &target, &message, bounds).await?;
    if is_clean(&answer) {
        checkout.release();
    }
    Ok(answer)
}

/// Queries a target's status.
pub async fn status(host: &Host, entry: &Entry, deadline: Instant) -> Result<Status, Failure> {
    command(host, entry, text::STATUS, deadline).await
}

/// Sends a command that the target answers with its status after executing it.
async fn command(
    host: &Host,
    entry: &Entry,
    text: &str,
    deadline: Instant,
) -> Result<Status, Failure> {
    let answer = query(host, entry, text, deadline).await?;
    if let End::Error(code) = answer.end {
        return Err(Failure::Refused(code));
    }
    answer.first_row().and_then(text::parse_status).ok_or(Failure::Lost)
}

/// Makes a primary of a term below `term` a replica.
pub async fn demote(
    host: &Host,
    entry: &Entry,
    term: Term,
    deadline: Instant,
) -> Result<Status, Failure> {
    command(host, entry, &text::demote(term), deadline).await
}

/// Stops a replica from receiving commits of terms below `term`.
pub async fn pause(
    host: &Host,
    entry: &Entry,
    term: Term,
    deadline: Instant,
) -> Result<Status, Failure> {
    command(host, entry, &text::pause(term), deadline).await
}

/// Returns an account that has an idle connection to the target, or else any account.
fn any_account(host: &Host, entry: &Entry) -> String {
    let target = host.targets.get(&entry.name);
    if let Some(account) = target.pool.borrow().idle_account() {
        return account.to_owned();
    }
    let catalog = host.catalog.borrow();
    catalog.accounts.keys().next().map_or(NO_ACCOUNT, String::as_str).to_owned()
}

/// Removes the state of targets that have left the directory, and their idle connections.
fn remove_unlisted_targets(host: &Host) {
    let directory = host.directory.borrow();
    for target in host.targets.all() {
        if !directory.contains_key(&target.name) {
            target.pool.borrow_mut().close_idle();
        }
    }
    host.targets.retain(|name| directory.contains_key(name));
}

/// Removes the row of a member that has sent this host no heartbeat for [`MEMBER_SILENCE_TIMEOUT`];
/// at most one per round.
async fn remove_silent_members(host: &Host, started: Time) {
    let now = boot_clock::now();
    let is_new = now.saturating_sub(started) < MEMBER_SILENCE_TIMEOUT;
    if is_new || !host.holds_lease() || host.is_restoring() {
        return;
    }
    let is_silent = |id: &HostId| {
        let last_received = host.peers.last_received(*id).unwrap_or(started);
        *id != host.id && now.saturating_sub(last_received) > MEMBER_SILENCE_TIMEOUT
    };
    let silent_member = host.lease.borrow().members().keys().copied().find(is_silent);
    let Some(silent_member) = silent_member else { return };
    match member::remove_member(host, silent_member, feed::CALL_TIMEOUT).await {
        Ok(()) => host.metrics.count("members_removed"),
        Err(error) => log::info!("cannot remove silent member {silent_member}: {error}"),
    }
}
