//! Seeded random search over single writes against a model of a database group that loses answers,
//! connections and primaries.
//!
//! Guards against writes that are acknowledged and lost, run twice, or refused as not run although
//! they ran. Deliberate defects show that each check can fail.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::idempotency::Row;
use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::{Ran, Reason};
use bergamotvale_core::retry::Budgets;
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::write::{Action, Event, Write};
use common::write::{
    Step, verify_acknowledgement_confirmed, verify_not_run_true, verify_unkeyed_sent_once,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const SEEDS: u64 = 20_000;
const DEADLINE: Duration = Duration::from_secs(2);

/// A deliberate defect of the model or its driver.
#[derive(Clone, Copy, PartialEq)]
enum Defect {
    None,
    /// The group confirms every position at once.
    FalseConfirmation,
    /// The database accepts two rows with the same idempotency key.
    NoUniqueKey,
    /// The driver doesn't record that COMMIT was sent.
    CommitUnrecorded,
}

/// A log entry; `is_ours` if the write under test created it.
#[derive(Clone, Copy)]
struct Entry {
    position: Position,
    is_ours: bool,
}

/// A group: the log of the current primary, and in `fork` the term and log of a superseded primary
/// that has not noticed it yet.
struct Group {
    rng: StdRng,
    defect: Defect,
    term: u64,
    log: Vec<Entry>,
    confirmed_count: usize,
    fork: Option<(u64, Vec<Entry>)>,
    is_on_fork: bool,
    is_leased: bool,
}

impl Group {
    fn new(seed: u64, defect: Defect) -> Group {
        let first = Entry { position: Position::new(1, 1), is_ours: false };
        Group {
            rng: StdRng::seed_from_u64(seed),
            defect,
            term: 1,
            log: vec![first],
            confirmed_count: 1,
            fork: None,
            is_on_fork: false,
            is_leased: false,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Promotes another target, which has all confirmed entries and a random prefix of the rest.
    fn promote(&mut self) {
        let kept = self.rng.random_range(self.confirmed_count..=self.log.len());
        self.fork = Some((self.term, self.log.clone()));
        self.log.truncate(kept);
        self.term += 1;
        self.append(false);
        self.confirmed_count = self.log.len();
        self.is_on_fork = self.is_leased;
    }

    fn append(&mut self, is_ours: bool) -> Position {
        let position = Position::new(self.term, self.log.len() as u64 + 1);
        self.log.push(Entry { position, is_ours });
        position
    }

    /// Returns the term and log of the primary behind the leased connection.
    fn leased_log(&mut self) -> (u64, &mut Vec<Entry>) {
        match &mut self.fork {
            Some((term, log)) if self.is_on_fork => (*term, log),
            _ => (self.term, &mut self.log),
        }
    }

    fn lease(&mut self) -> Event {
        if self.chance(20) {
            return Event::NoConnection(Reason::NoPrimary);
        }
        self.is_on_fork = self.fork.is_some() && self.chance(20);
        self.is_leased = true;
        Event::Leased
    }

    fn execute(&mut self, keyed: bool) -> Event {
        if self.chance(20) {
            return self.fail_statement();
        }
        let unique = keyed && self.defect != Defect::NoUniqueKey;
        if unique && self.leased_log().1.iter().any(|entry| entry.is_ours) {
            return Event::Conflict;
        }
        Event::Executed
    }

    fn commit(&mut self) -> Event {
        if self.chance(15) {
            return self.fail_statement();
        }
        if self.is_on_fork && self.chance(50) {
            return Event::Failed(Failure::Superseded, "BV001".into());
        }
        let (term, log) = self.leased_log();
        let position = Position::new(term, log.len() as u64 + 1);
        log.push(Entry { position, is_ours: true });
        self.is_leased = false;
        match self.chance(30) {
            true => self.lose_answer(),
            false => Event::Committed(Some(position)),
        }
    }

    fn confirm(&mut self, position: Position) -> Event {
        if self.defect == Defect::FalseConfirmation {
            return Event::Confirmed(position);
        }
        if self.chance(20) {
            return self.lose_answer();
        }
        if position.term < self.term {
            return Event::Failed(Failure::Superseded, "BV001".into());
        }
        self.confirmed_count = self.rng.random_range(self.confirmed_count..=self.log.len());
        Event::Confirmed(self.log[self.confirmed_count - 1].position)
    }

    fn look_up(&mut self) -> Event {
        if self.chance(20) {
            return self.lose_answer();
        }
        let (_, log) = self.leased_log();
        let row = Row { digest: "digest".into(), outcome: "first".into() };
        let found = log.iter().any(|entry| entry.is_ours).then_some(row);
        let last = log[log.len() - 1].position;
        Event::Found(found, last)
    }

    fn fail_statement(&mut self) -> Event {
        let codes = ["BV002", "25006", "58030", "23514", "53300"];
        let code = codes[self.rng.random_range(0..codes.len())];
        match self.chance(50) {
            true => self.lose_answer(),
            false => Event::Failed(Failure::new(code), code.into()),
        }
    }

    fn lose_answer(&mut self) -> Event {
        self.is_leased = false;
        if self.chance(50) { Event::ConnectionLost } else { Event::TimedOut }
    }

    fn respond(&mut self, action: &Action, keyed: bool) -> Option<Event> {
        if self.chance(10) {
            self.promote();
        }
        Some(match action {
            Action::Lease(..) => self.lease(),
            Action::Execute => self.execute(keyed),
            Action::Commit => self.commit(),
            Action::Confirm(position, _) => self.confirm(*position),
            Action::Lookup => self.look_up(),
            Action::Acknowledge(_) | Action::Replay(..) | Action::Refuse(_) => return None,
        })
    }
}

fn time_after(action: &Action, now: Duration) -> Duration {
    match action {
        Action::Lease(at, _) | Action::Confirm(_, at) => now.max(*at) + Duration::from_millis(5),
        _ => now + Duration::from_millis(5),
    }
}

fn run(seed: u64, defect: Defect) -> Result<(), String> {
    let keyed = seed.is_multiple_of(2);
    let mut group = Group::new(seed, defect);
    let mut write = Write::new(1, 1, keyed.then(|| "digest".to_owned()), DEADLINE, seed);
    let mut budgets = Budgets::new();
    let mut now = Duration::ZERO;
    let mut action = write.start(Duration::ZERO, now);
    let mut trace = vec![Step::Action(action.clone())];
    while let Some(event) = group.respond(&action, keyed) {
        let is_unrecorded = defect == Defect::CommitUnrecorded && action == Action::Commit;
        if matches!(action, Action::Execute | Action::Commit) && !is_unrecorded {
            write.record_sent();
            trace.push(Step::Sent);
        }
        now = time_after(&action, now);
        trace.push(Step::Event(event.clone()));
        action = write.on(event, &mut budgets, now);
        trace.push(Step::Action(action.clone()));
    }
    group.promote();
    verify(&group, &action, &trace, keyed).map_err(|violation| format!("seed {seed}: {violation}"))
}

fn verify(group: &Group, last: &Action, trace: &[Step], keyed: bool) -> Result<(), String> {
    let runs = group.log.iter().filter(|entry| entry.is_ours).count();
    if runs > 1 {
        return Err(format!("ran {runs} times"));
    }
    let is_acknowledged = matches!(last, Action::Acknowledge(_) | Action::Replay(..));
    if is_acknowledged && runs == 0 {
        return Err("acknowledged and lost".into());
    }
    if matches!(last, Action::Refuse(refusal) if refusal.ran == Ran::No) && runs > 0 {
        return Err("ran, and refused as not run".into());
    }
    verify_acknowledgement_confirmed(trace)?;
    verify_not_run_true(trace)?;
    if keyed { Ok(()) } else { verify_unkeyed_sent_once(trace) }
}

fn first_violation(defect: Defect) -> Option<String> {
    (0..SEEDS).find_map(|seed| run(seed, defect).err())
}

#[test]
fn no_seed_breaks_an_invariant() {
    assert_eq!(first_violation(Defect::None), None);
}

#[test]
fn false_confirmation_is_seen() {
    let violation = first_violation(Defect::FalseConfirmation).expect("the defect is found");
    assert!(violation.contains("acknowledged and lost"), "{violation}");
}

#[test]
fn missing_unique_key_is_seen() {
    let violation = first_violation(Defect::NoUniqueKey).expect("the defect is found");
    assert!(violation.contains("ran 2 times"), "{violation}");
}

#[test]
fn unsaid_commit_is_seen() {
    let violation = first_violation(Defect::CommitUnrecorded).expect("the defect is found");
    assert!(violation.contains("not run"), "{violation}");
}
