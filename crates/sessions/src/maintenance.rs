//! What has to be looked after all the time: signs of life of targets, observations of primaries,
//! members that are gone, parts of rates, readiness.

use crate::boot_clock;
use crate::connection::{Bounds, Connection, Failure, is_clean};
use crate::event::{Event, millis};
use crate::pool::{Wish, acquire};
use crate::state::Host;
use crate::status::view_label;
use crate::work;
use crate::{feed, follow, member};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::directory::Entry;
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::record::Term;
use bergamotvale_platform::line::{self, Answer, End};
use bergamotvale_platform::text::{self, Status};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between rounds.
const ROUND: Duration = Duration::from_millis(100);
/// Age of the newest observation at which the primary is asked for its position.
const OBSERVE_AFTER: Duration = Duration::from_millis(400);
/// Time in which a probe has to be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence of a member after which its row is removed: longer than others could vouch for it.
const MEMBER_LIMIT: Duration = Duration::from_secs(15);
/// Priority of the host's own statements: ahead of callers'.
const OWN_PRIORITY: u32 = 0;
/// Account under which probes connect where no client account is configured.
const NO_ACCOUNT: &str = "-";

/// Looks after everything until the process ends.
pub async fn run(host: Rc<Host>) {
    let probing: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    let mut views = host.targets.views();
    let started = boot_clock::now();
    let mut ready = false;
    let mut store_heard = started;
    loop {
        tokio::time::sleep(ROUND).await;
        follow::record_outage(&host, &mut store_heard);
        probe_targets(&host, &probing);
        forget_targets(&host);
        log_views(&host, &mut views);
        host.quota.meter.borrow_mut().tick(boot_clock::now());
        remove_silent_members(&host, started).await;
        log_readiness(&host, &mut ready);
    }
}

/// Whether the host may take new sessions.
pub fn is_ready(host: &Host) -> bool {
    let is_configured = host.catalog.borrow().version > 0 && !host.directory.borrow().is_empty();
    is_configured && host.has_shares() && !host.stopping.get() && host.holds_lease()
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

fn log_views(host: &Host, known: &mut std::collections::BTreeMap<String, View>) {
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
        host.peers.heartbeat_now.notify_one();
    }
    *known = views;
}

/// Starts the probes that are due.
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
                Probe::Life => connect(&host, &entry).await,
                Probe::Position => observe(&host, &entry).await,
            }
            probing.borrow_mut().remove(&entry.name);
        });
    }
}

/// What a probe asks.
enum Probe {
    /// Whether a new connection is answered.
    Life,
    /// The position of a primary.
    Position,
}

fn due_probe(host: &Host, entry: &Entry) -> Option<Probe> {
    let target = host.targets.get(&entry.name);
    if target.view() == View::Lost || target.is_silent(boot_clock::now()) {
        return Some(Probe::Life);
    }
    let is_primary = host.primary(&entry.service).is_ok_and(|p| p.target == entry.name);
    let newest = host.histories.borrow().get(&entry.service).and_then(|h| h.newest());
    let is_old = newest.is_none_or(|o| host.now().saturating_sub(o.at) >= OBSERVE_AFTER);
    (is_primary && is_old).then_some(Probe::Position)
}

/// Opens a connection; its outcome is a sign of life or of death.
async fn connect(host: &Host, entry: &Entry) {
    let target = host.targets.get(&entry.name);
    let account = any_account(host, entry);
    let until = Instant::now() + PROBE_TIMEOUT;
    // The outcome is noted with the target.
    drop(Connection::open(host, &target, entry, &account, until).await);
}

/// Asks the primary for its position.
async fn observe(host: &Rc<Host>, entry: &Entry) {
    let Ok(primary) = host.primary(&entry.service) else { return };
    let until = Instant::now() + PROBE_TIMEOUT;
    let sent = host.now();
    let answer = ask(host, entry, text::STATUS, until).await;
    if let Ok(answer) = answer
        && host.is_current(&entry.service, primary.fence)
    {
        work::observe(host, &entry.service, sent, &answer);
        host.changed.notify_waiters();
    }
}

/// Sends a statement of the host's own to a target.
async fn ask(host: &Host, entry: &Entry, text: &str, until: Instant) -> Result<Answer, Failure> {
    let account = any_account(host, entry);
    let wish = Wish { account: &account, priority: OWN_PRIORITY, until, patience: PROBE_TIMEOUT };
    let mut leased = acquire(host, entry, wish).await?;
    let target = leased.target.clone();
    let message = line::query(line::HOST_STATEMENT_ID, text);
    let bounds = Bounds { until, fence: None };
    let answer = leased.connection().exchange(host, &target, &message, bounds).await?;
    if is_clean(&answer) {
        leased.give_back();
    }
    Ok(answer)
}

/// Asks a target for its status.
pub async fn status(host: &Host, entry: &Entry, until: Instant) -> Result<Status, Failure> {
    command(host, entry, text::STATUS, until).await
}

/// Sends a command to a target that answers with its status then.
async fn command(
    host: &Host,
    entry: &Entry,
    text: &str,
    until: Instant,
) -> Result<Status, Failure> {
    let answer = ask(host, entry, text, until).await?;
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
    until: Instant,
) -> Result<Status, Failure> {
    command(host, entry, &text::demote(term), until).await
}

/// Stops a replica from receiving in terms below `term`.
pub async fn pause(
    host: &Host,
    entry: &Entry,
    term: Term,
    until: Instant,
) -> Result<Status, Failure> {
    command(host, entry, &text::pause(term), until).await
}

/// An account that has an idle connection there, or any.
fn any_account(host: &Host, entry: &Entry) -> String {
    let target = host.targets.get(&entry.name);
    if let Some(account) = target.lane.borrow().idle_account() {
        return account.to_owned();
    }
    let catalog = host.catalog.borrow();
    catalog.accounts.keys().next().map_or(NO_ACCOUNT, String::as_str).to_owned()
}

/// Forgets targets that left the directory.
fn forget_targets(host: &Host) {
    let directory = host.directory.borrow();
    for target in host.targets.all() {
        if !directory.contains_key(&target.name) {
            target.lane.borrow_mut().clear();
        }
    }
    host.targets.retain(|name| directory.contains_key(name));
}

/// Removes the rows of members that nobody has heard of for long.
async fn remove_silent_members(host: &Host, started: Time) {
    let now = boot_clock::now();
    if !host.holds_lease() || now.saturating_sub(started) < MEMBER_LIMIT {
        return;
    }
    let silent = |id: &HostId| {
        let heard = host.peers.last_received(*id).unwrap_or(started);
        *id != host.id && now.saturating_sub(heard) > MEMBER_LIMIT
    };
    let gone = host.lease.borrow().members().keys().copied().find(silent);
    let Some(gone) = gone else { return };
    match member::remove_member(host, gone, feed::CALL_TIMEOUT).await {
        Ok(()) => host.metrics.count("members_removed"),
        Err(error) => log::info!("silent member {gone} not removed: {error}"),
    }
}
