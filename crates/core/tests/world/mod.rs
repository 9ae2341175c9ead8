//! Simulation of sessions, hosts and one database group under a schedule of faults.
#![allow(unreachable_pub, reason = "a module of one test")]

mod fault;
mod promoter;
mod request;
mod session;
pub mod shrink;

use crate::group::{Entry, Group, Message};
use bergamotvale_core::id::{HostId, TargetId, Time};
use bergamotvale_core::invariant::write::{self, Verdict};
use bergamotvale_core::invariant::{OpId, Violation};
use bergamotvale_core::log::Position;
use bergamotvale_core::random::Source;
use bergamotvale_core::retry::Budgets;
use fault::{Fault, Kind};
use promoter::Promotions;
use session::Session;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const HOSTS: HostId = 3;
pub const TARGETS: TargetId = 3;
const SESSIONS: u64 = 4;
const DURATION: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(10);
/// Number of replication rounds after which a healed group has caught up.
const HEALING_ROUNDS: u32 = 6;

/// A deliberate defect, which shows that a check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    None,
    /// The group confirms every position at once.
    FalseConfirmation,
    /// Reads ignore the session token.
    IgnoredToken,
    /// The database accepts two rows with the same idempotency key.
    NoUniqueKey,
    /// The host doesn't record that it sent COMMIT.
    CommitUnrecorded,
}

/// Counts of what happened in one or more runs.
#[derive(Debug, Default)]
pub struct Tally {
    pub acknowledged: u64,
    pub replayed: u64,
    pub unknown: u64,
    pub not_run: u64,
    pub served: u64,
    pub promotions: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.acknowledged += other.acknowledged;
        self.replayed += other.replayed;
        self.unknown += other.unknown;
        self.not_run += other.not_run;
        self.served += other.served;
        self.promotions += other.promotions;
    }
}

/// A transaction that is open on a target, with the term in which it began.
#[derive(Debug, Clone, Copy)]
pub struct OpenTransaction {
    pub attempt: u64,
    pub op: OpId,
    pub term: u64,
}

/// The present incarnation of a host.
pub struct Host {
    pub budgets: Budgets,
    pub primary: Option<TargetId>,
    pub paused_until: Time,
    pub incarnation: u64,
}

/// The part of the simulation that sessions and promoters act on.
pub struct Scene {
    pub now: Time,
    pub random: Source,
    pub defect: Defect,
    pub group: Group,
    pub hosts: BTreeMap<HostId, Host>,
    pub open_transactions: BTreeMap<TargetId, Vec<OpenTransaction>>,
    /// COMMITs in flight whose host has stopped waiting for the answer.
    pub late_commits: Vec<(TargetId, OpenTransaction)>,
    pub faults: Vec<Fault>,
    pub tally: Tally,
    pub writes: BTreeMap<OpId, Option<Verdict>>,
    pub violation: Option<Violation>,
    pub last_id: u64,
}

pub struct World {
    scene: Scene,
    sessions: Vec<Session>,
    promotions: Promotions,
    messages: Vec<Message>,
    end: Time,
}

impl Scene {
    /// Returns an unused id for a request or an attempt.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub fn random_target(&mut self) -> TargetId {
        self.random.below(TARGETS.into()) as TargetId
    }

    pub fn random_host(&mut self) -> HostId {
        self.random.below(HOSTS.into()) as HostId
    }

    pub fn is_active(&self, wanted: impl Fn(&Kind) -> bool) -> bool {
        self.faults.iter().any(|fault| fault.is_active(self.now) && wanted(&fault.kind))
    }

    /// Whether a fault blocks the link between `host` and `target`.
    pub fn is_blocked(&self, host: HostId, target: TargetId) -> bool {
        self.is_active(|kind| match kind {
            Kind::IsolatedFromHosts(id) | Kind::Isolated(id) => *id == target,
            Kind::LinkBlocked(h, t) => (*h, *t) == (host, target),
            _ => false,
        })
    }

    /// Draws whether an answer is lost after its request took effect.
    pub fn loses_answer(&mut self) -> bool {
        let chance = if self.is_active(|kind| *kind == Kind::AnswersLost) { 400 } else { 5 };
        self.random.chance(chance)
    }

    pub fn entries(&self, target: TargetId) -> &[Entry] {
        &self.group.targets[&target].log
    }

    pub fn has(&self, target: TargetId, op: OpId) -> bool {
        self.entries(target).iter().any(|entry| entry.value == op)
    }

    /// Rolls back the open transactions of a target and drops the COMMITs in flight to it.
    pub fn close(&mut self, target: TargetId) {
        self.open_transactions.remove(&target);
        self.late_commits.retain(|(to, _)| *to != target);
    }

    /// Commits an open transaction and returns its position; `None` if the transaction has ended or
    /// the target no longer leads the term in which it began.
    pub fn commit(&mut self, target: TargetId, open: OpenTransaction) -> Option<Position> {
        let transactions = self.open_transactions.entry(target).or_default();
        let at = transactions.iter().position(|other| other.attempt == open.attempt)?;
        let open = transactions.remove(at);
        if self.group.targets[&target].leading_term != Some(open.term) {
            return None;
        }
        self.group.commit(target, open.op)
    }
}

impl World {
    pub fn new(seed: u64, defect: Defect) -> World {
        let mut random = Source::new(seed);
        let faults = fault::schedule(&mut random);
        let host = |_| Host {
            budgets: Budgets::new(),
            primary: Some(0),
            paused_until: Time::ZERO,
            incarnation: 0,
        };
        let scene = Scene {
            now: Time::ZERO,
            random,
            defect,
            group: Group::new(TARGETS),
            hosts: (0..HOSTS).map(|id| (id, host(id))).collect(),
            open_transactions: BTreeMap::new(),
            late_commits: Vec::new(),
            faults,
            tally: Tally::default(),
            writes: BTreeMap::new(),
            violation: None,
            last_id: 0,
        };
        let sessions = (0..SESSIONS).map(|_| Session::new()).collect();
        let promotions = Promotions::new(seed);
        World { scene, sessions, promotions, messages: Vec::new(), end: DURATION }
    }

    /// Keeps only the faults with the indices `kept`.
    pub fn with_faults(mut self, kept: &[usize]) -> World {
        let faults = std::mem::take(&mut self.scene.faults).into_iter().enumerate();
        let remaining = faults.filter(|(index, _)| kept.contains(index));
        self.scene.faults = remaining.map(|(_, fault)| fault).collect();
        self
    }

    /// Ends the run at `end`.
    pub fn with_end(mut self, end: Time) -> World {
        self.end = end;
        self
    }

    /// Returns the number of scheduled faults.
    pub fn fault_count(&self) -> usize {
        self.scene.faults.len()
    }

    /// Returns the time at which the run ends.
    pub fn end(&self) -> Time {
        self.end
    }

    pub fn faults(&self) -> String {
        let faults = self.scene.faults.iter();
        faults.map(Fault::to_string).collect::<Vec<_>>().join(", ")
    }

    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        tally.add(&self.scene.tally);
        tally.promotions = self.promotions.completed;
        tally
    }

    /// Runs to the end, heals the group and returns the first violation.
    pub fn run(&mut self) -> Result<(), Violation> {
        while self.scene.now < self.end && self.scene.violation.is_none() {
            self.step();
        }
        if let Some(violation) = &self.scene.violation {
            return Err(violation.clone());
        }
        self.heal();
        self.verify()
    }

    fn step(&mut self) {
        self.scene.now += self.scene.random.time_below(STEP);
        self.start_faults();
        match self.scene.random.below(100) {
            0..=44 => self.advance_session(),
            45..=59 => self.replicate(),
            60..=79 => self.deliver(),
            80..=84 => self.observe(),
            85..=86 => self.deliver_late_commit(),
            87 => self.roll_back_orphans(),
            _ => self.promotions.step(&mut self.scene),
        }
    }

    fn advance_session(&mut self) {
        let index = self.scene.random.below(SESSIONS) as usize;
        self.sessions[index].advance(&mut self.scene);
    }

    fn replicate(&mut self) {
        let (from, to) = (self.scene.random_target(), self.scene.random_target());
        let lags = self.scene.is_active(|kind| *kind == Kind::Lag(to));
        if !lags && !self.are_partitioned(from, to) {
            self.messages.extend(self.scene.group.append_message(from, to));
        }
    }

    fn are_partitioned(&self, one: TargetId, other: TargetId) -> bool {
        self.scene.is_active(|kind| match kind {
            Kind::IsolatedFromTargets(id) | Kind::Isolated(id) => *id == one || *id == other,
            _ => false,
        })
    }

    /// Delivers a random message in flight, unless it is lost.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let at = self.scene.random.below(self.messages.len() as u64) as usize;
        let message = self.messages.swap_remove(at);
        let (Message::Append { from, to, .. } | Message::Appended { from, to, .. }) = message;
        if !self.are_partitioned(from, to) && !self.scene.random.chance(30) {
            let reply = self.scene.group.deliver(message);
            self.messages.extend(reply);
        }
    }

    /// Makes a host adopt the primary of the highest term among the targets that it reaches.
    fn observe(&mut self) {
        let id = self.scene.random_host();
        let reached = (0..TARGETS).filter(|target| !self.scene.is_blocked(id, *target));
        let targets = reached.map(|target| (target, &self.scene.group.targets[&target]));
        let primaries = targets.filter(|(_, target)| target.is_up && target.leading_term.is_some());
        let primary = primaries.max_by_key(|(_, target)| target.leading_term).map(|(id, _)| id);
        let host = self.scene.hosts.get_mut(&id).expect("known host");
        if host.paused_until <= self.scene.now && primary.is_some() {
            host.primary = primary;
        }
    }

    /// Executes a COMMIT whose host has stopped waiting for the answer.
    fn deliver_late_commit(&mut self) {
        if let Some((target, open)) = self.scene.late_commits.pop() {
            self.scene.commit(target, open);
        }
    }

    /// Makes a target roll back the transactions whose connections are closed.
    fn roll_back_orphans(&mut self) {
        let target = self.scene.random_target();
        let in_use: BTreeSet<u64> = self.sessions.iter().filter_map(Session::attempt).collect();
        let late_commits: BTreeSet<u64> =
            self.scene.late_commits.iter().map(|(_, open)| open.attempt).collect();
        let open = self.scene.open_transactions.entry(target).or_default();
        open.retain(|open| in_use.contains(&open.attempt) || late_commits.contains(&open.attempt));
    }

    /// Starts the faults that are due and restarts the targets whose fault has ended.
    fn start_faults(&mut self) {
        for fault in fault::take_due(&mut self.scene) {
            match fault.kind {
                Kind::Killed(target) => {
                    self.scene.group.kill(target);
                    self.scene.close(target);
                }
                Kind::Rebuilt(target) => self.rebuild(target),
                Kind::HostRestarted(host) => self.restart_host(host),
                Kind::HostPaused(host) => {
                    let host = self.scene.hosts.get_mut(&host).expect("known host");
                    host.paused_until = fault.until;
                }
                _ => {}
            }
        }
        for target in fault::restartable_targets(&mut self.scene) {
            self.scene.group.restart(target);
        }
    }

    fn rebuild(&mut self, id: TargetId) {
        if !self.scene.group.targets[&id].is_up || !self.scene.group.rebuild_keeping_grants(id) {
            return;
        }
        self.scene.close(id);
        self.messages.retain(|message| {
            let (Message::Append { from, to, .. } | Message::Appended { from, to, .. }) = message;
            *from != id && *to != id
        });
    }

    fn restart_host(&mut self, id: HostId) {
        let host = self.scene.hosts.get_mut(&id).expect("known host");
        host.incarnation += 1;
        host.budgets = Budgets::new();
        self.promotions.restart(id, host.incarnation);
        for session in &mut self.sessions {
            session.abort_on_host(id, &mut self.scene);
        }
    }

    /// Ends all faults, promotes a target and lets the group catch up, so that one log survives.
    fn heal(&mut self) {
        self.scene.faults.clear();
        for session in &mut self.sessions {
            session.end(&mut self.scene);
        }
        while !self.scene.late_commits.is_empty() {
            self.deliver_late_commit();
        }
        for target in 0..TARGETS {
            self.scene.group.restart(target);
        }
        self.promotions.finish(&mut self.scene);
        for _ in 0..HEALING_ROUNDS {
            for (from, to) in (0..TARGETS).flat_map(|from| (0..TARGETS).map(move |to| (from, to))) {
                let append = self.scene.group.append_message(from, to);
                let reply = append.and_then(|append| self.scene.group.deliver(append));
                reply.and_then(|reply| self.scene.group.deliver(reply));
            }
        }
    }

    fn verify(&self) -> Result<(), Violation> {
        let writes: Vec<_> = self
            .scene
            .writes
            .iter()
            .map(|(op, verdict)| self.write_record(*op, *verdict))
            .collect();
        write::verify_durable(&writes)?;
        write::verify_at_most_once(&writes)?;
        write::verify_not_run(&writes)?;
        let terms = self.scene.group.acknowledgers.iter();
        let acknowledged: Vec<_> = terms
            .flat_map(|(term, targets)| targets.iter().map(|target| (*term, *target)))
            .collect();
        write::verify_single_primary(&acknowledged)
    }

    fn write_record(&self, op: OpId, verdict: Option<Verdict>) -> write::Write {
        let count = |target| {
            let entries = self.scene.entries(target).iter();
            entries.filter(|entry| entry.value == op).count()
        };
        let effects = (0..TARGETS).map(|target| (target, count(target))).collect();
        write::Write { op, verdict: verdict.unwrap_or(Verdict::Unknown), effects }
    }
}
