//! Replaces primaries: watches every group, and carries out the promotions that this host wins.

use crate::boot_clock;
use crate::connection::Failure;
use crate::event::{Event, millis};
use crate::feed::CALL_TIMEOUT;
use crate::follow::{TABLE, group_key};
use crate::peer;
use crate::state::{Host, LEASE_LIMITS, StoredRecord};
use crate::target::hash;
use crate::{maintenance, survey};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::directory::{Entry, Role, TargetName, of_service};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::failover::{Cause, Monitor, Replacement, Snapshot};
use bergamotvale_core::proxy::lease::{Barrier, Revision};
use bergamotvale_core::proxy::record::{Record, Term};
use bergamotvale_core::rendezvous::{Subject, choose};
use bergamotvale_platform::Error;
use bergamotvale_platform::promote::promote;
use bergamotvale_platform::store::{self, Store};
use bergamotvale_platform::text::Status;
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Outcome of a step that was done.
const OK: &str = "ok";
/// Time between looks at all groups.
const LOOK: Duration = Duration::from_millis(50);
/// Time between steps of a wait inside a promotion.
const STEP: Duration = Duration::from_millis(15);
/// Time in which the platform has to answer a promotion call.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a promotion call that failed is made again.
const PROMOTE_PAUSE: Duration = Duration::from_millis(100);
/// Time in which a promoted target has to lead.
const LEAD_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a call that the platform took has had its effect.
const TAKEN_EFFECT: Duration = Duration::from_secs(2);
/// Time that a planned promotion waits for its candidate to catch up.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(600);
/// Time in which the result of a conditional write that was not answered shows in the feed.
const READ_BACK_LIMIT: Duration = Duration::from_millis(1500);

/// Looks at all groups until the process ends.
pub async fn watch(host: Rc<Host>) {
    let mut watches: BTreeMap<String, Monitor> = BTreeMap::new();
    let running: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    loop {
        tokio::time::sleep(LOOK).await;
        if host.stopping.get() || !host.holds_lease() {
            continue;
        }
        let services: Vec<String> = host.catalog.borrow().groups.keys().cloned().collect();
        for service in services {
            if running.borrow().contains(&service) {
                continue;
            }
            let watch = watches.entry(service.clone()).or_default();
            let Some(task) = due(&host, &service, watch) else { continue };
            running.borrow_mut().insert(service.clone());
            let (host, running) = (host.clone(), running.clone());
            tokio::task::spawn_local(async move {
                carry_out(&host, &service, task).await;
                running.borrow_mut().remove(&service);
            });
        }
    }
}

/// Work on a group's record that is due.
enum Due {
    /// The group has no record yet.
    First(Record),
    /// Its primary has to be replaced.
    Change(StoredRecord, Replacement),
}

fn due(host: &Host, service: &str, watch: &mut Monitor) -> Option<Due> {
    let stored = host.records.borrow().get(service).cloned();
    let directory = host.directory.borrow();
    let Some(stored) = stored else {
        let is_first = rank(host, service) == 0;
        return Record::first(&directory, service, host.id).filter(|_| is_first).map(Due::First);
    };
    let snapshot = Snapshot {
        service,
        record: &stored.record,
        directory: &directory,
        views: &host.targets.views(),
        peer_views: &host.peers.views(service, stored.record.fence, host.peer_timeout()),
        positions: &host.targets.positions(),
        is_holder_active: is_alive(host, stored.record.holder),
    };
    let change = watch.decide(boot_clock::now(), rank(host, service), &snapshot)?;
    Some(Due::Change(stored.clone(), change))
}

/// Whether another host is alive. This one is not at the work of a group that it looks at.
fn is_alive(host: &Host, other: HostId) -> bool {
    let alive = host.lease.borrow().live_peers(boot_clock::now(), host.peer_timeout());
    alive.contains(&other)
}

/// This host's place among those that are alive, for a group.
fn rank(host: &Host, service: &str) -> usize {
    let now = boot_clock::now();
    let mut alive: BTreeSet<HostId> =
        host.lease.borrow().live_peers(now, host.peer_timeout()).into_iter().collect();
    alive.insert(host.id);
    let ranked = choose(&alive, Subject::Watch(hash(service)), alive.len());
    ranked.iter().position(|id| *id == host.id).unwrap_or_default()
}

async fn carry_out(host: &Rc<Host>, service: &str, due: Due) {
    match due {
        Due::First(record) => {
            if let Err(error) = write_record(host, service, &record, 0).await {
                log::info!("first record of {service} not written: {error}");
            }
        }
        Due::Change(stored, change) => {
            let planned = change.cause == Cause::Leaving;
            let seen = seen_term(host, service);
            let record = stored.record.promote(&change.candidate, host.id, planned, seen);
            let (cause, began) = (change.cause, boot_clock::now());
            let mut run = Run { host, service, record, cause, began };
            host.metrics.count(&format!("promotions_begun_{}", change.cause));
            run.all(stored.revision).await;
        }
    }
}

/// Highest term that this host has seen a target of the group in.
fn seen_term(host: &Host, service: &str) -> Term {
    let observed = host.histories.borrow().get(service).map_or(0, |history| history.term());
    let positions = host.targets.positions();
    let directory = host.directory.borrow();
    let terms = of_service(&directory, service).filter_map(|entry| positions.get(&entry.name));
    terms.map(|position| position.term).max().unwrap_or_default().max(observed)
}

/// Writes a record under the condition that its row has revision `expected`.
async fn write_record(
    host: &Host,
    service: &str,
    record: &Record,
    expected: Revision,
) -> Result<Revision, Error> {
    let key = group_key(service);
    let value = Some(Bytes::from(serde_json::to_vec(record)?));
    let change = store::Change { table: TABLE, key: &key, expected: Some(expected), value };
    let began = Instant::now();
    let written = Store::new(host.settings.store).change(change, CALL_TIMEOUT).await;
    host.metrics.time("store_change", began.elapsed());
    written
}

/// One promotion carried out by this host.
struct Run<'a> {
    host: &'a Rc<Host>,
    service: &'a str,
    record: Record,
    cause: Cause,
    began: Time,
}

/// Whether the candidate of a promotion has all that has to be kept.
enum Choice {
    /// It has.
    Keep,
    /// Another target has more.
    Better(TargetName),
    /// Too few targets answer to tell.
    Unknown,
}

impl Run<'_> {
    async fn all(&mut self, expected: Revision) {
        let Some(mut revision) = self.prepare(expected).await else { return };
        loop {
            let better = match self.check_candidate().await {
                Choice::Keep => return self.carry_through(revision).await,
                Choice::Unknown => return self.log("surveyed", "too few targets answer"),
                Choice::Better(target) => target,
            };
            let seen = seen_term(self.host, self.service);
            self.record = self.record.promote(&better, self.host.id, false, seen);
            match self.prepare(revision).await {
                Some(newer) => revision = newer,
                None => return,
            }
        }
    }

    /// Announces the promotion and waits until nobody in_flight_work the primary before.
    async fn prepare(&self, expected: Revision) -> Option<Revision> {
        let revision = self.announce(expected).await?;
        if !self.wait_in_force(revision).await {
            self.log("in_force", "superseded");
            return None;
        }
        self.log("in_force", OK);
        if self.record.planned {
            self.wait_caught_up().await;
        } else {
            self.demote_previous();
        }
        Some(revision)
    }

    /// Looks for a target that has more of what was acknowledged than the candidate.
    async fn check_candidate(&self) -> Choice {
        let groups = &self.host.catalog.borrow().clone().groups;
        let sync_replicas = groups.get(self.service).map_or(0, |group| group.sync_replicas);
        if sync_replicas == 0 {
            return Choice::Keep;
        }
        match survey::run(self.host, self.service, &self.record, sync_replicas).await {
            None => Choice::Unknown,
            Some(best) if best == self.record.primary => Choice::Keep,
            Some(best) => Choice::Better(best),
        }
    }

    /// Has the platform promote the candidate, and records it.
    async fn carry_through(&self, revision: Revision) {
        // Until the effect of the call is known, this host has not quiesced_revision any later record.
        let _pending = self.host.register_work(self.service, self.record.fence);
        if !self.call().await {
            return;
        }
        let Some(status) = self.wait_leads().await else {
            return self.log("leads", "timeout");
        };
        self.log("leads", OK);
        peer::establish(self.host, self.service, self.record.fence, status.term);
        self.finish(revision, status).await;
    }

    fn log(&self, step: &str, outcome: &str) {
        let elapsed = boot_clock::now().saturating_sub(self.began);
        if outcome == OK {
            self.host.metrics.time(&format!("promotion_{step}"), elapsed);
        }
        self.host.journal.write(&Event::Promotion {
            service: self.service,
            target: &self.record.primary,
            fence: self.record.fence,
            step,
            cause: &self.cause.to_string(),
            elapsed_ms: millis(elapsed),
            outcome,
        });
    }

    /// Writes the record; answers with its revision if this host won.
    async fn announce(&self, expected: Revision) -> Option<Revision> {
        match write_record(self.host, self.service, &self.record, expected).await {
            Ok(revision) => {
                self.log("announce", OK);
                self.host.adopt_record(self.service, self.record.clone(), revision);
                self.host.peers.heartbeat_now.notify_one();
                Some(revision)
            }
            Err(Error::Conflict) => {
                self.log("announce", "lost the race");
                // The feed brings the record that won.
                self.host.wait_for_change(Instant::now() + READ_BACK_LIMIT).await;
                None
            }
            Err(error) => {
                self.log("announce", &error.to_string());
                self.read_back().await
            }
        }
    }

    /// Whether a write that was not answered took effect, as the feed shows.
    async fn read_back(&self) -> Option<Revision> {
        let until = Instant::now() + READ_BACK_LIMIT;
        while Instant::now() < until {
            let stored = self.host.records.borrow().get(self.service).cloned();
            match stored {
                Some(stored) if stored.record == self.record => return Some(stored.revision),
                Some(stored) if stored.record.fence >= self.record.fence => return None,
                _ => self.host.wait_for_change(until).await,
            }
        }
        None
    }

    /// Whether the record that this run wrote still is the newest, and the lease is held.
    fn is_mine(&self) -> bool {
        let records = self.host.records.borrow();
        let stored = records.get(self.service);
        let is_mine = stored.is_some_and(|stored| {
            stored.record.fence == self.record.fence && stored.record.holder == self.host.id
        });
        drop(records);
        is_mine && self.host.holds_lease()
    }

    /// Waits until no host in_flight_work the primary before.
    async fn wait_in_force(&self, revision: Revision) -> bool {
        let mut wait = Barrier::new(revision, boot_clock::now());
        loop {
            let own = self.host.quiesced_revision() >= revision;
            let others = wait.has_passed(&self.host.lease.borrow(), boot_clock::now());
            if own && others {
                return self.is_mine();
            }
            let limit = LEASE_LIMITS.validity
                + LEASE_LIMITS.max_attested_age
                + LEASE_LIMITS.clock_drift_margin * 2;
            if boot_clock::now().saturating_sub(self.began) > limit {
                return false;
            }
            self.host.wait_for_change(Instant::now() + STEP).await;
        }
    }

    fn entry(&self, target: &TargetName) -> Option<Entry> {
        self.host.directory.borrow().get(target).cloned()
    }

    async fn status(&self, target: &TargetName) -> Result<Status, Failure> {
        let entry = self.entry(target).ok_or(Failure::Lost)?;
        maintenance::status(self.host, &entry, Instant::now() + PROMOTE_PAUSE * 2).await
    }

    /// Waits until the candidate has what the primary before has acknowledged.
    async fn wait_caught_up(&self) {
        let until = Instant::now() + CATCH_UP_LIMIT;
        let Some(previous) = &self.record.previous else { return };
        while Instant::now() < until {
            let ahead = self.status(previous).await;
            let own = self.status(&self.record.primary).await;
            if let (Ok(ahead), Ok(own)) = (ahead, own)
                && own.received >= ahead.received
            {
                return self.log("caught_up", OK);
            }
            tokio::time::sleep(STEP).await;
        }
        self.log("caught_up", "timeout");
    }

    /// Makes the primary before a replica if it can be reached; nothing waits for it.
    fn demote_previous(&self) {
        let previous = self.record.previous.as_ref().filter(|name| **name != self.record.primary);
        let Some(entry) = previous.and_then(|name| self.entry(name)) else { return };
        if self.host.targets.view(&entry.name) == View::Lost {
            return;
        }
        let (host, term) = (self.host.clone(), self.record.next_term());
        tokio::task::spawn_local(async move {
            let until = Instant::now() + PROMOTE_TIMEOUT;
            if let Err(failure) = maintenance::demote(&host, &entry, term, until).await {
                log::debug!("{} was not demoted: {failure:?}", entry.name);
            }
        });
    }

    /// Makes the call to the platform, again if it was refused or not answered.
    async fn call(&self) -> bool {
        let until = Instant::now() + LEAD_LIMIT;
        while self.is_mine() && Instant::now() < until {
            let address = self.host.settings.promotion;
            let Record { primary, fence, .. } = &self.record;
            let name = &self.host.settings.name;
            let call = promote(address, self.service, primary, name, *fence, PROMOTE_TIMEOUT);
            match call.await {
                Ok(()) => {
                    self.log("call", OK);
                    return true;
                }
                Err(error) => self.log("call", &error.to_string()),
            }
            tokio::time::sleep(PROMOTE_PAUSE).await;
        }
        false
    }

    /// Waits until the candidate says that it leads.
    ///
    /// One that led an older term says so too. It leads by this promotion once its term is higher
    /// than all that were seen, or if it says so long after the platform took the call: then it was
    /// the primary already.
    async fn wait_leads(&self) -> Option<Status> {
        let called = Instant::now();
        while called.elapsed() < LEAD_LIMIT {
            if let Ok(status) = self.status(&self.record.primary).await
                && status.role == Role::Primary
                && (self.record.accepts_term(status.term) || called.elapsed() >= TAKEN_EFFECT)
            {
                return Some(status);
            }
            tokio::time::sleep(STEP).await;
        }
        None
    }

    /// Records that the candidate leads.
    async fn finish(&self, revision: Revision, status: Status) {
        let record = self.record.establish(status.term);
        match write_record(self.host, self.service, &record, revision).await {
            Ok(_) => self.log("recorded", OK),
            // Peers know from heartbeats; whoever promotes next goes on from the older row.
            Err(error) => self.log("recorded", &error.to_string()),
        }
    }
}
