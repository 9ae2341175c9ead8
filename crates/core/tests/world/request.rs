//! One request on one host: the state machine of the core, and the simulated result of each of its
//! actions.

use super::{Defect, OpenTransaction, Scene};
use bergamotvale_core::group::Role;
use bergamotvale_core::id::{HostId, TargetId, Time};
use bergamotvale_core::idempotency::Row;
use bergamotvale_core::invariant::{OpId, Violation};
use bergamotvale_core::log::Position;
use bergamotvale_core::read::{self, Read};
use bergamotvale_core::refusal::{Ran, Reason};
use bergamotvale_core::route::{Report, Requirement};
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::statement::Freshness;
use bergamotvale_core::write::{self, Write};
use std::collections::BTreeSet;
use std::time::Duration;

const SERVICE: u32 = 1;
const ACCOUNT: u32 = 1;
const TIMEOUT: Duration = Duration::from_secs(2);

/// A request in progress.
pub struct Request {
    pub op: OpId,
    pub host: HostId,
    pub attempt: u64,
    target: TargetId,
    pub attempts_left: u32,
    pub keyed: bool,
    pub work: Work,
    /// Whether the last read did not see an acknowledged write of the session.
    misses_write: bool,
    /// Result of the last action, with the time at which the host receives it.
    pending_event: Option<(Time, HostEvent)>,
}

pub enum Work {
    Write(Box<Write>, write::Action),
    Read(Box<Read>, read::Action),
}

pub enum HostEvent {
    Write(write::Event),
    Read(read::Event),
}

/// Outcome of a request as its caller sees it.
pub enum Outcome {
    Acknowledged(Option<Position>),
    Refused(Ran),
    Served(Option<Position>),
}

impl Request {
    pub fn write(
        op: OpId,
        host: HostId,
        keyed: bool,
        attempts_left: u32,
        scene: &mut Scene,
    ) -> Request {
        let digest = keyed.then(|| "digest".to_owned());
        let seed = scene.random.bits();
        let mut write = Write::new(SERVICE, ACCOUNT, digest, scene.now + TIMEOUT, seed);
        let action = write.start(Duration::ZERO, scene.now);
        let work = Work::Write(Box::new(write), action);
        let attempt = scene.next_id();
        Request {
            op,
            host,
            attempt,
            target: 0,
            attempts_left,
            keyed,
            work,
            misses_write: false,
            pending_event: None,
        }
    }

    pub fn read(op: OpId, host: HostId, token: Option<Position>, scene: &mut Scene) -> Request {
        let token = token.filter(|_| scene.defect != Defect::IgnoredToken);
        let demand = Requirement { token, freshness: Freshness::Session };
        let read = Read::new(SERVICE, ACCOUNT, demand, scene.now + TIMEOUT, scene.random.bits());
        let work = Work::Read(Box::new(read), read::Action::Choose(scene.now));
        let attempt = scene.next_id();
        Request {
            op,
            host,
            attempt,
            target: 0,
            attempts_left: 1,
            keyed: false,
            work,
            misses_write: false,
            pending_event: None,
        }
    }

    pub fn advance(&mut self, scene: &mut Scene, acknowledged: &BTreeSet<OpId>) -> Option<Outcome> {
        if let Some((at, event)) = self.pending_event.take() {
            if at > scene.now {
                self.pending_event = Some((at, event));
                return None;
            }
            self.handle_event(event, scene);
            return self.end(scene);
        }
        if self.action_due() <= scene.now {
            self.perform(scene, acknowledged);
        }
        None
    }

    /// Returns the time from which the pending action may be performed.
    fn action_due(&self) -> Time {
        match &self.work {
            Work::Write(_, write::Action::Lease(at, _) | write::Action::Confirm(_, at)) => *at,
            Work::Read(_, read::Action::Choose(at)) => *at,
            _ => Time::ZERO,
        }
    }

    fn handle_event(&mut self, event: HostEvent, scene: &mut Scene) {
        let now = scene.now;
        let budgets = &mut scene.hosts.get_mut(&self.host).expect("known host").budgets;
        match (&mut self.work, event) {
            (Work::Write(write, action), HostEvent::Write(event)) => {
                *action = write.on(event, budgets, now);
            }
            (Work::Read(read, action), HostEvent::Read(event)) => {
                *action = read.on(event, budgets, now);
            }
            _ => unreachable!("an event of the other kind of request"),
        }
    }

    fn end(&self, scene: &mut Scene) -> Option<Outcome> {
        match &self.work {
            Work::Write(_, write::Action::Acknowledge(position)) => {
                Some(Outcome::Acknowledged(*position))
            }
            Work::Write(_, write::Action::Replay(_, position)) => {
                scene.tally.replayed += 1;
                Some(Outcome::Acknowledged(Some(*position)))
            }
            Work::Write(_, write::Action::Refuse(refusal))
            | Work::Read(_, read::Action::Refuse(refusal)) => Some(Outcome::Refused(refusal.ran)),
            Work::Read(_, read::Action::Serve(position)) => {
                if self.misses_write {
                    scene.violation = Some(Violation::StaleRead { op: self.op });
                }
                Some(Outcome::Served(*position))
            }
            _ => None,
        }
    }

    /// Performs the pending action and schedules its result, which may arrive late.
    fn perform(&mut self, scene: &mut Scene, acknowledged: &BTreeSet<OpId>) {
        let event = match &self.work {
            Work::Read(read, action) => {
                let (deadline, action) = (read.first_response_deadline(scene.now), action.clone());
                let (at, event) = self.perform_read(&action, deadline, scene);
                self.misses_write = acknowledged.iter().any(|op| !scene.has(self.target, *op));
                (at, HostEvent::Read(event))
            }
            Work::Write(_, action) => {
                let action = action.clone();
                let (at, event) = self.perform_write(&action, scene);
                (at, HostEvent::Write(event))
            }
        };
        self.pending_event = Some(event);
    }

    fn perform_read(
        &mut self,
        action: &read::Action,
        deadline: Time,
        scene: &mut Scene,
    ) -> (Time, read::Event) {
        match action {
            read::Action::Attempt(target, _) => {
                self.target = *target;
                self.attempt_read(*target, deadline, scene)
            }
            _ => (scene.now, read::Event::Candidates(shuffled(scene))),
        }
    }

    fn attempt_read(&self, id: TargetId, deadline: Time, scene: &mut Scene) -> (Time, read::Event) {
        let now = scene.now;
        if scene.is_blocked(self.host, id) || scene.loses_answer() {
            return (deadline, read::Event::TimedOut);
        }
        let target = &scene.group.targets[&id];
        if !target.is_up {
            return (now, read::Event::ConnectionLost);
        }
        let role = if target.leading_term.is_some() { Role::Primary } else { Role::Replica };
        let (applied, confirmed) = (target.last_entry(), target.confirmed);
        let answer = Report { applied, confirmed, age: Duration::ZERO };
        (now, read::Event::Answered(role, answer))
    }

    fn perform_write(&mut self, action: &write::Action, scene: &mut Scene) -> (Time, write::Event) {
        match action {
            write::Action::Lease(..) => (scene.now, self.lease(scene)),
            write::Action::Execute => self.execute(scene),
            write::Action::Commit => self.commit(scene),
            write::Action::Confirm(position, _) => self.confirm(*position, scene),
            _ => self.look_up(scene),
        }
    }

    fn write_mut(&mut self) -> &mut Write {
        match &mut self.work {
            Work::Write(write, _) => write,
            Work::Read(..) => unreachable!("reads have no write state machine"),
        }
    }

    fn lease(&mut self, scene: &mut Scene) -> write::Event {
        // Each lease is a new connection and hence a new transaction.
        self.attempt = scene.next_id();
        let Some(target) = scene.hosts[&self.host].primary else {
            return write::Event::NoConnection(Reason::NoPrimary);
        };
        self.target = target;
        if scene.is_blocked(self.host, target) || !scene.group.targets[&target].is_up {
            return write::Event::NoConnection(Reason::ConnectionRefused);
        }
        write::Event::Leased
    }

    fn execute(&mut self, scene: &mut Scene) -> (Time, write::Event) {
        let now = scene.now;
        let deadline = self.write_mut().exchange_deadline(now);
        self.write_mut().record_sent();
        if scene.is_blocked(self.host, self.target) {
            return (deadline, write::Event::TimedOut);
        }
        let event = self.insert(scene);
        if scene.loses_answer() { (deadline, write::Event::TimedOut) } else { (now, event) }
    }

    fn insert(&self, scene: &mut Scene) -> write::Event {
        let target = &scene.group.targets[&self.target];
        if !target.is_up {
            return write::Event::ConnectionLost;
        }
        let Some(term) = target.leading_term else {
            return write::Event::Failed(Failure::Superseded, "25006".into());
        };
        let unique = self.keyed && scene.defect != Defect::NoUniqueKey;
        if unique && scene.has(self.target, self.op) {
            return write::Event::Conflict;
        }
        let open = scene.open_transactions.entry(self.target).or_default();
        if unique && open.iter().any(|open| open.op == self.op) {
            return write::Event::Failed(Failure::Locked, "55P03".into());
        }
        open.push(OpenTransaction { attempt: self.attempt, op: self.op, term });
        write::Event::Executed
    }

    fn commit(&mut self, scene: &mut Scene) -> (Time, write::Event) {
        let now = scene.now;
        let deadline = self.write_mut().exchange_deadline(now);
        if scene.defect != Defect::CommitUnrecorded {
            self.write_mut().record_sent();
        }
        let open = scene.open_transactions.entry(self.target).or_default();
        let open = open.iter().find(|open| open.attempt == self.attempt).copied();
        let Some(open) = open else { return (now, write::Event::ConnectionLost) };
        if scene.is_blocked(self.host, self.target) {
            if scene.random.chance(500) {
                scene.late_commits.push((self.target, open));
            }
            return (deadline, write::Event::TimedOut);
        }
        let event = match scene.commit(self.target, open) {
            Some(position) => write::Event::Committed(Some(position)),
            None => write::Event::Failed(Failure::Superseded, "BV001".into()),
        };
        if scene.loses_answer() { (deadline, write::Event::TimedOut) } else { (now, event) }
    }

    /// Queries the present primary of the host, which may not be the one that committed.
    fn confirm(&mut self, position: Position, scene: &mut Scene) -> (Time, write::Event) {
        let now = scene.now;
        let deadline = self.write_mut().exchange_deadline(now);
        let queried = scene.hosts[&self.host].primary.unwrap_or(self.target);
        if scene.is_blocked(self.host, queried) || scene.loses_answer() {
            return (deadline, write::Event::TimedOut);
        }
        let target = &scene.group.targets[&queried];
        let event = match target.leading_term {
            _ if !target.is_up => write::Event::ConnectionLost,
            _ if scene.defect == Defect::FalseConfirmation => write::Event::Confirmed(position),
            Some(term) if term == position.term => write::Event::Confirmed(target.confirmed),
            _ => write::Event::Failed(Failure::Superseded, "BV001".into()),
        };
        (now, event)
    }

    fn look_up(&mut self, scene: &mut Scene) -> (Time, write::Event) {
        let now = scene.now;
        let deadline = self.write_mut().exchange_deadline(now);
        if scene.is_blocked(self.host, self.target) || scene.loses_answer() {
            return (deadline, write::Event::TimedOut);
        }
        let target = &scene.group.targets[&self.target];
        if !target.is_up {
            return (now, write::Event::ConnectionLost);
        }
        let row = Row { digest: "digest".into(), outcome: "first".into() };
        let found = scene.has(self.target, self.op).then_some(row);
        (now, write::Event::Found(found, target.last_entry()))
    }
}

fn shuffled(scene: &mut Scene) -> Vec<TargetId> {
    let mut targets: Vec<TargetId> = scene.group.targets.keys().copied().collect();
    for last in (1..targets.len()).rev() {
        let other = scene.random.below(last as u64 + 1) as usize;
        targets.swap(last, other);
    }
    targets
}
