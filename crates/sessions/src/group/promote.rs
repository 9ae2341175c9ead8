//! Replaces primaries: monitors every group and executes the promotions that this host wins.
//!
//! A promotion writes a record that names the candidate under a higher fence, waits until no host
//! uses the previous primary, has the platform promote the candidate and records it as established
//! once it leads. All hosts may start one; the conditional write of the record lets one of them
//! win.

use crate::boot_clock;
use crate::event::{Event, millis};
use crate::fleet::feed::CALL_TIMEOUT;
use crate::fleet::follow::{TABLE, group_key};
use crate::fleet::peer;
use crate::group::survey;
use crate::maintenance;
use crate::pool::connection::Failure;
use crate::pool::target::name_hash;
use crate::state::{Host, LEASE_LIMITS, StoredRecord};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::directory::{Entry, Role, TargetName, of_service};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::failover::{
    Cause, HANDOVER_TIME, Holder, MAX_EVIDENCE_AGE, Monitor, Replacement, Snapshot,
};
use bergamotvale_core::proxy::lease::Barrier;
use bergamotvale_core::proxy::record::{Record, Term};
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::rendezvous::{Subject, choose};
use bergamotvale_platform::Error;
use bergamotvale_platform::promote::promote;
use bergamotvale_platform::store::{self, Expected, Store};
use bergamotvale_platform::text::Status;
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Outcome logged for a completed step.
const OK: &str = "ok";
/// Time between checks of all groups.
const GROUP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks of all groups above which this host was suspended.
const MAX_GROUP_POLL_GAP: Duration = Duration::from_millis(500);
/// Time between checks of a condition that a promotion waits for.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Time in which the platform has to answer a promotion call.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a failed promotion call is retried.
const PROMOTE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time in which the platform has to accept the promotion call, and then the candidate to lead.
const LEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a call that the platform accepted has taken effect.
const MAX_CALL_EFFECT_DELAY: Duration = Duration::from_secs(2);
/// Longest time that a planned promotion waits for its candidate to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// As [`CATCH_UP_TIMEOUT`], while the primary in an evacuated domain is not lost. Its commits are
/// acknowledged, and the operator still has it running.
const EVACUATION_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the feed shows the result of a conditional write that got no answer.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Checks all groups until the process ends; runs at most one task per group at a time.
pub async fn watch(host: Rc<Host>) {
    let mut monitors: BTreeMap<String, Monitor> = BTreeMap::new();
    let running: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    let mut last_check = Time::ZERO;
    loop {
        tokio::time::sleep(GROUP_POLL_INTERVAL).await;
        if host.stop.is_under_way() || !host.holds_lease() || host.is_restoring() {
            continue;
        }
        let now = boot_clock::now();
        if now.saturating_sub(last_check) > MAX_GROUP_POLL_GAP {
            host.targets.restart_evidence();
            monitors.values_mut().for_each(|monitor| monitor.resume(now));
        }
        last_check = now;
        let services: Vec<String> = host.catalog.borrow().groups.keys().cloned().collect();
        for service in services {
            if running.borrow().contains(&service) {
                continue;
            }
            let monitor = monitors.entry(service.clone()).or_insert_with(|| Monitor::new(now));
            let Some(task) = due_task(&host, &service, monitor) else { continue };
            running.borrow_mut().insert(service.clone());
            let (host, running) = (host.clone(), running.clone());
            tokio::task::spawn_local(async move {
                execute(&host, &service, task).await;
                running.borrow_mut().remove(&service);
            });
        }
    }
}

/// Change of a group's record.
enum Task {
    /// Writes the first record of a group.
    Create(Record),
    /// Replaces the primary of the stored record.
    Replace(StoredRecord, Replacement),
}

/// Returns the task that this host should execute for a group now.
fn due_task(host: &Host, service: &str, monitor: &mut Monitor) -> Option<Task> {
    let stored = host.records.borrow().get(service).cloned();
    let directory = host.directory.borrow();
    let Some(stored) = stored else {
        let is_first = rank(host, service) == 0;
        let era = host.lease.borrow().revision().era;
        let first = Record::first(&directory, service, host.id, era);
        return first.filter(|_| is_first).map(Task::Create);
    };
    let snapshot = Snapshot {
        service,
        record: &stored.record,
        directory: &directory,
        views: &host.targets.views(),
        evacuated: &host.evacuation.domains(),
        peer_views: &host.peers.views(service, stored.record.fence, host.peer_timeout()),
        positions: &host.targets.positions(),
        holder: holder(host, &stored.record),
        peer_timeout: host.peer_timeout(),
    };
    let replacement = monitor.decide(boot_clock::now(), rank(host, service), &snapshot)?;
    Some(Task::Replace(stored.clone(), replacement))
}

/// Returns what this host knows of a record's holder. It executes nothing itself for a group that it
/// is checking.
fn holder(host: &Host, record: &Record) -> Holder {
    let alive = host.lease.borrow().live_peers(boot_clock::now(), host.peer_timeout());
    match record.holder {
        own if own == host.id => Holder::Own,
        other if alive.contains(&other) => Holder::Alive,
        _ => Holder::Silent,
    }
}

/// Returns this host's rank among the hosts that are alive, in the order in which they act on a
/// group.
pub fn rank(host: &Host, service: &str) -> usize {
    let now = boot_clock::now();
    let mut alive: BTreeSet<HostId> =
        host.lease.borrow().live_peers(now, host.peer_timeout()).into_iter().collect();
    alive.insert(host.id);
    let ranked = choose(&alive, Subject::Watch(name_hash(service)), alive.len());
    ranked.iter().position(|id| *id == host.id).unwrap_or_default()
}

async fn execute(host: &Rc<Host>, service: &str, task: Task) {
    match task {
        Task::Create(record) => {
            let expected = Expected::Absent(host.lease.borrow().revision().era);
            if let Err(error) = write_record(host, service, &record, expected).await {
                log::info!("cannot write the first record of {service}: {error}");
            }
        }
        Task::Replace(stored, replacement) => {
            let planned = replacement.cause.is_planned();
            let seen = highest_seen_term(host, service);
            let (candidate, era) = (&replacement.candidate, stored.revision.era);
            let record = stored.record.promote(candidate, host.id, planned, seen, era);
            let (cause, began) = (replacement.cause, boot_clock::now());
            let mut promotion = Promotion { host, service, record, cause, began };
            host.metrics.count(&format!("promotions_begun_{}", replacement.cause));
            promotion.execute(stored.revision).await;
        }
    }
}

/// Returns the highest term in which this host has seen a target of the group; 0 if none.
fn highest_seen_term(host: &Host, service: &str) -> Term {
    let observed = host.histories.borrow().get(service).map_or(0, |history| history.term());
    let positions = host.targets.positions();
    let directory = host.directory.borrow();
    let terms = of_service(&directory, service).filter_map(|entry| positions.get(&entry.name));
    terms.map(|position| position.term).max().unwrap_or_default().max(observed)
}

/// Writes a group's record if its row is as `expected`. Returns the new revision; fails with
/// [`Error::Conflict`] if the row has another revision.
pub async fn write_record(
    host: &Host,
    service: &str,
    record: &Record,
    expected: Expected,
) -> Result<Revision, Error> {
    let key = group_key(service);
    let value = Some(Bytes::from(serde_json::to_vec(record)?));
    let change = store::Change { table: TABLE, key: &key, expected: Some(expected), value };
    let began = Instant::now();
    let written = Store::new(host.settings.store).change(change, CALL_TIMEOUT).await;
    host.metrics.time("store_change", began.elapsed());
    written
}

/// A promotion that this host executes.
struct Promotion<'a> {
    host: &'a Rc<Host>,
    service: &'a str,
    record: Record,
    cause: Cause,
    began: Time,
}

/// Whether the candidate of a promotion has every acknowledged commit.
enum Candidacy {
    /// No target has more of the log, or the group has no synchronous replicas.
    Best,
    /// This other target has more of the log.
    Behind(TargetName),
    /// Too few targets answered.
    Unknown,
}

impl Promotion<'_> {
    /// Executes the promotion, with another candidate if one turns out to have more of the log.
    /// `expected` is the revision of the record that it replaces.
    async fn execute(&mut self, expected: Revision) {
        let mut expected = expected;
        loop {
            let announced = boot_clock::now();
            let Some(revision) = self.prepare(expected).await else { return };
            let evidence_age = boot_clock::now().saturating_sub(announced);
            let better = match self.check_candidate(evidence_age).await {
                Candidacy::Best => return self.promote_candidate(revision).await,
                Candidacy::Unknown => return self.log("surveyed", "too few targets answer"),
                Candidacy::Behind(target) => target,
            };
            let seen = highest_seen_term(self.host, self.service);
            let era = revision.era;
            self.record = self.record.promote(&better, self.host.id, false, seen, era);
            expected = revision;
        }
    }

    /// Announces the promotion and waits until no host uses the previous primary. Returns the
    /// revision of the record; `None` if the promotion was superseded or failed.
    async fn prepare(&self, expected: Revision) -> Option<Revision> {
        let revision = self.announce(expected).await?;
        let Some(revision) = self.wait_for_barrier(revision).await else {
            self.log("in_force", "superseded");
            return None;
        };
        self.log("in_force", OK);
        Some(revision)
    }

    /// Checks whether a target has more of the log than the candidate, after the candidate had time
    /// to catch up with a previous primary that may still have more. `evidence_age` is the time
    /// since the promotion was announced.
    async fn check_candidate(&self, evidence_age: Duration) -> Candidacy {
        // A barrier that lasted may have ended with a partition, in which other hosts used the
        // previous primary: it is reachable again then.
        let is_outdated = !self.record.planned && evidence_age > MAX_EVIDENCE_AGE;
        let waits = self.record.planned || self.has_unlisted_previous() || is_outdated;
        if waits {
            let has_caught_up = self.wait_for_catch_up().await;
            if let (false, true, Some(previous)) =
                (has_caught_up, is_outdated, &self.record.previous)
            {
                return Candidacy::Behind(previous.clone());
            }
        }
        if is_outdated || !waits {
            self.demote_previous();
        }
        self.survey_candidate().await
    }

    /// Checks whether a target has more of the log than the candidate, in a group with synchronous
    /// replicas.
    async fn survey_candidate(&self) -> Candidacy {
        let groups = &self.host.catalog.borrow().clone().groups;
        let sync_replicas = groups.get(self.service).map_or(0, |group| group.sync_replicas);
        if sync_replicas == 0 {
            return Candidacy::Best;
        }
        match survey::run(self.host, self.service, &self.record, sync_replicas).await {
            None => Candidacy::Unknown,
            Some(best) if best == self.record.primary => Candidacy::Best,
            Some(best) => Candidacy::Behind(best),
        }
    }

    /// Has the platform promote the candidate and records that it leads.
    async fn promote_candidate(&self, revision: Revision) {
        // While the effect of the call is unknown, no later record may count as quiesced here.
        let _pending = self.host.register_work(self.service, self.record.fence);
        if !self.call_platform().await {
            return;
        }
        let Some(status) = self.wait_until_leading().await else {
            return self.log("leads", "timeout");
        };
        self.log("leads", OK);
        peer::establish(self.host, self.service, self.record.fence, status.term);
        self.record_leader(revision, status).await;
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

    /// Writes the record; returns its revision if this host won.
    async fn announce(&self, expected: Revision) -> Option<Revision> {
        let expected = Expected::At(expected);
        match write_record(self.host, self.service, &self.record, expected).await {
            Ok(revision) => {
                self.log("announce", OK);
                self.host.adopt_record(self.service, self.record.clone(), revision);
                self.host.peers.heartbeat_now.notify_one();
                Some(revision)
            }
            Err(Error::Conflict) => {
                self.log("announce", "lost the race");
                // The feed returns the record that won.
                self.host.wait_for_change(Instant::now() + READ_BACK_TIMEOUT).await;
                None
            }
            Err(error) => {
                self.log("announce", &error.to_string());
                self.read_back().await
            }
        }
    }

    /// Returns the revision of a write that got no answer if the feed shows that it took effect.
    async fn read_back(&self) -> Option<Revision> {
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        while Instant::now() < deadline {
            let stored = self.host.records.borrow().get(self.service).cloned();
            match stored {
                Some(stored) if stored.record == self.record => return Some(stored.revision),
                Some(stored) if stored.record.fence >= self.record.fence => return None,
                _ => self.host.wait_for_change(deadline).await,
            }
        }
        None
    }

    /// Returns the revision of this promotion's record in a table that was restored and settled
    /// since `revision`.
    fn revision_of_later_era(&self, revision: Revision) -> Option<Revision> {
        let records = self.host.records.borrow();
        let stored = records.get(self.service)?;
        let is_later = stored.revision.era > revision.era;
        (is_later && stored.record.fence == self.record.fence).then_some(stored.revision)
    }

    /// Whether the record that this promotion wrote is the newest, and the lease is held.
    fn owns_record(&self) -> bool {
        let records = self.host.records.borrow();
        let stored = records.get(self.service);
        let is_own = stored.is_some_and(|stored| {
            stored.record.fence == self.record.fence && stored.record.holder == self.host.id
        });
        drop(records);
        is_own && self.host.holds_lease()
    }

    /// Returns the barrier for the record, which is written at `revision` now.
    fn new_barrier(&self, revision: Revision) -> Barrier {
        let handover = if self.record.planned { HANDOVER_TIME } else { Duration::ZERO };
        Barrier::new(revision, boot_clock::now()).with_handover(handover)
    }

    /// Waits until no host uses the previous primary. Returns the revision of the record, which a
    /// restore of the store may have changed; `None` if the promotion was superseded, or has taken
    /// longer than any lease can last.
    async fn wait_for_barrier(&self, announced: Revision) -> Option<Revision> {
        let mut revision = announced;
        let mut barrier = self.new_barrier(revision);
        loop {
            if let Some(rewritten) = self.revision_of_later_era(revision) {
                revision = rewritten;
                barrier = self.new_barrier(revision);
            }
            let is_quiesced = self.host.quiesced_revision() >= revision;
            let has_passed = barrier.has_passed(&self.host.lease.borrow(), boot_clock::now());
            if is_quiesced && has_passed {
                return self.owns_record().then_some(revision);
            }
            let timeout = LEASE_LIMITS.validity
                + LEASE_LIMITS.max_attested_age
                + LEASE_LIMITS.clock_drift_margin * 2;
            if boot_clock::now().saturating_sub(self.began) > timeout || self.has_lost_candidate() {
                return None;
            }
            self.host.wait_for_change(Instant::now() + WAIT_POLL_INTERVAL).await;
        }
    }

    /// Whether the candidate can no longer be promoted, so that this host goes on with another.
    fn has_lost_candidate(&self) -> bool {
        let candidate = &self.record.primary;
        let is_fit = |entry: Entry| !entry.is_leaving && !self.host.evacuation.is_evacuated(&entry);
        let is_listed = self.entry(candidate).is_some_and(is_fit);
        !is_listed || self.host.targets.view(candidate) == View::Lost
    }

    /// Whether the previous primary is not listed and may still be reachable. It was promoted for
    /// the commits that no listed target had, which the candidate receives from it.
    fn has_unlisted_previous(&self) -> bool {
        let directory = self.host.directory.borrow();
        let previous = self.record.previous.as_ref();
        previous.is_some_and(|name| {
            !directory.contains_key(name)
                && self.record.roster.contains(name)
                && self.host.targets.view(name) != View::Lost
        })
    }

    fn entry(&self, target: &TargetName) -> Option<Entry> {
        self.host.find_target(self.service, target)
    }

    async fn status(&self, target: &TargetName) -> Result<Status, Failure> {
        let entry = self.entry(target).ok_or(Failure::Lost)?;
        maintenance::status(self.host, &entry, Instant::now() + PROMOTE_RETRY_DELAY * 2).await
    }

    /// Waits until the candidate has received all that the previous primary has, or has nothing to
    /// wait for because an unplanned promotion finds that one silent. False after the timeout.
    async fn wait_for_catch_up(&self) -> bool {
        let began = Instant::now();
        let Some(previous) = &self.record.previous else { return true };
        while began.elapsed() < self.catch_up_timeout(previous) {
            let ahead = self.status(previous).await;
            if ahead.is_err() && !self.record.planned {
                self.log("caught_up", "the previous primary does not answer");
                return true;
            }
            let own = self.status(&self.record.primary).await;
            if let (Ok(ahead), Ok(own)) = (ahead, own)
                && own.received >= ahead.received
            {
                self.log("caught_up", OK);
                return true;
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
        self.log("caught_up", "timeout");
        false
    }

    /// Longest time that the promotion waits for its candidate to catch up with `previous`.
    fn catch_up_timeout(&self, previous: &TargetName) -> Duration {
        let is_lost = self.host.targets.view(previous) == View::Lost;
        if self.cause == Cause::Evacuated && !is_lost {
            EVACUATION_CATCH_UP_TIMEOUT
        } else {
            CATCH_UP_TIMEOUT
        }
    }

    /// Demotes the previous primary in the background if it is reachable. The promotion does not
    /// depend on it.
    fn demote_previous(&self) {
        let previous = self.record.previous.as_ref().filter(|name| **name != self.record.primary);
        let Some(entry) = previous.and_then(|name| self.entry(name)) else { return };
        if self.host.targets.view(&entry.name) == View::Lost {
            return;
        }
        let (host, term) = (self.host.clone(), self.record.next_term());
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + PROMOTE_TIMEOUT;
            if let Err(failure) = maintenance::demote(&host, &entry, term, deadline).await {
                log::debug!("cannot demote {}: {failure:?}", entry.name);
            }
        });
    }

    /// Calls the platform to promote the candidate. Retries if the call is refused or gets no
    /// answer; returns whether the platform accepted it.
    async fn call_platform(&self) -> bool {
        let deadline = Instant::now() + LEAD_TIMEOUT;
        while self.owns_record() && !self.has_lost_candidate() && Instant::now() < deadline {
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
            tokio::time::sleep(PROMOTE_RETRY_DELAY).await;
        }
        false
    }

    /// Waits until the candidate reports that it leads by this promotion.
    ///
    /// A target that led an older term may still report that it leads. The report counts if its
    /// term is higher than all terms seen before, or if it comes [`MAX_CALL_EFFECT_DELAY`] after
    /// the platform accepted the call: then the candidate was the primary already.
    async fn wait_until_leading(&self) -> Option<Status> {
        let called = Instant::now();
        while called.elapsed() < LEAD_TIMEOUT && !self.has_lost_candidate() {
            if let Ok(status) = self.status(&self.record.primary).await
                && status.role == Role::Primary
                && (self.record.accepts_term(status.term)
                    || called.elapsed() >= MAX_CALL_EFFECT_DELAY)
            {
                return Some(status);
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
        None
    }

    /// Records that the candidate leads.
    async fn record_leader(&self, revision: Revision, status: Status) {
        let record = self.record.establish(status.term);
        match write_record(self.host, self.service, &record, Expected::At(revision)).await {
            Ok(_) => self.log("recorded", OK),
            // Peers learn it from heartbeats; the next promotion starts from the older row.
            Err(error) => self.log("recorded", &error.to_string()),
        }
    }
}
