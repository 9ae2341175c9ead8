//! Checks that the check of each invariant accepts a valid history and rejects one that violates
//! it.

use bergamotvale_core::id::Time;
use bergamotvale_core::invariant::account::{self, Execution, KeyUse};
use bergamotvale_core::invariant::answer::{self, Answer, Completion, Request};
use bergamotvale_core::invariant::change::{self, Action};
use bergamotvale_core::invariant::session::{self, Event, EventKind};
use bergamotvale_core::invariant::target::{self, Statement};
use bergamotvale_core::invariant::write::{self, Verdict, Write};
use bergamotvale_core::invariant::{Violation, admission};
use bergamotvale_core::log::Position;
use std::collections::BTreeMap;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(3);

fn secs(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn acknowledged(op: u64, session: u64, index: u64) -> Event {
    let kind = EventKind::Acknowledged(Position::new(2, index));
    Event { op, session, service: 1, kind }
}

fn read(op: u64, session: u64, index: u64) -> Event {
    Event { kind: EventKind::Read(Position::new(2, index)), ..acknowledged(op, session, 0) }
}

#[test]
fn stale_session_read_is_seen() {
    let valid = [acknowledged(1, 1, 5), read(2, 1, 5), read(3, 2, 4)];
    let other_service = [acknowledged(1, 1, 5), Event { service: 2, ..read(2, 1, 1) }];
    let invalid = [acknowledged(1, 1, 5), read(2, 1, 4)];

    assert_eq!(session::verify(&valid), Ok(()));
    assert_eq!(session::verify(&other_service), Ok(()));
    assert_eq!(session::verify(&invalid), Err(Violation::StaleRead { op: 2 }));
}

#[test]
fn read_on_a_fork_of_a_lower_term_is_seen() {
    let on_fork = Event { kind: EventKind::Read(Position::new(1, 99)), ..read(2, 1, 0) };

    let verdict = session::verify(&[acknowledged(1, 1, 5), on_fork]);

    assert_eq!(verdict, Err(Violation::StaleRead { op: 2 }));
}

fn write(verdict: Verdict, effects: [usize; 3]) -> Write {
    Write { op: 7, verdict, effects: (0..).zip(effects).collect() }
}

#[test]
fn lost_write_is_seen() {
    let valid = [write(Verdict::Acknowledged, [1; 3]), write(Verdict::Unknown, [0; 3])];
    let invalid = [write(Verdict::Acknowledged, [1, 0, 1])];

    assert_eq!(write::verify_durable(&valid), Ok(()));
    assert_eq!(write::verify_durable(&invalid), Err(Violation::LostWrite { op: 7 }));
}

#[test]
fn acknowledgements_of_two_primaries_are_seen() {
    let valid = [(1, 0), (1, 0), (2, 1), (1, 0)];
    let invalid = [(1, 0), (2, 1), (2, 2)];

    assert_eq!(write::verify_single_primary(&valid), Ok(()));
    assert_eq!(write::verify_single_primary(&invalid), Err(Violation::SplitBrain { term: 2 }));
}

#[test]
fn false_not_run_is_seen() {
    let valid = [write(Verdict::NotRun, [0; 3]), write(Verdict::Unknown, [1; 3])];
    let invalid = [write(Verdict::NotRun, [0, 0, 1])];

    assert_eq!(write::verify_not_run(&valid), Ok(()));
    assert_eq!(write::verify_not_run(&invalid), Err(Violation::FalseNotRun { op: 7 }));
}

#[test]
fn repeated_write_is_seen() {
    let valid = [write(Verdict::Unknown, [1; 3])];
    let invalid = [write(Verdict::Unknown, [2; 3])];

    assert_eq!(write::verify_at_most_once(&valid), Ok(()));
    assert_eq!(write::verify_at_most_once(&invalid), Err(Violation::DuplicateWrite { op: 7 }));
}

fn statement(connection: u64, transaction: u64, ends_transaction: bool) -> Statement {
    let text = "INSERT INTO bolts VALUES (1)".into();
    Statement { at: secs(1), target: 0, connection, transaction, ends_transaction, text }
}

#[test]
fn mixed_transactions_are_seen() {
    let valid = [statement(1, 1, false), statement(2, 2, true), statement(1, 1, true)];
    let reused = [statement(1, 1, true), statement(1, 2, true)];
    let shared = [statement(1, 1, false), statement(1, 2, true)];
    let spread = [statement(1, 1, false), statement(2, 1, true)];

    assert_eq!(target::verify_not_interleaved(&valid), Ok(()));
    assert_eq!(target::verify_not_interleaved(&reused), Ok(()));
    assert_eq!(
        target::verify_not_interleaved(&shared),
        Err(Violation::InterleavedTransactions { transaction: 2 })
    );
    assert_eq!(
        target::verify_not_interleaved(&spread),
        Err(Violation::InterleavedTransactions { transaction: 1 })
    );
}

#[test]
fn key_in_a_statement_is_seen() {
    let valid = [statement(1, 1, true)];
    let invalid = [Statement { text: "SELECT 's3cret'".into(), ..statement(1, 1, true) }];

    assert_eq!(target::verify_no_keys(&valid, &["s3cret"]), Ok(()));
    assert_eq!(
        target::verify_no_keys(&invalid, &["s3cret"]),
        Err(Violation::KeyExposed { target: 0 })
    );
}

#[test]
fn new_work_on_a_leaving_target_is_seen() {
    let draining = BTreeMap::from([(0, secs(2))]);
    let late = |transaction| Statement { at: secs(9), ..statement(1, transaction, true) };
    let valid = [statement(1, 1, false), late(1)];
    let invalid = [statement(1, 1, true), late(2)];

    assert_eq!(target::verify_draining(&valid, &draining, BOUND), Ok(()));
    assert_eq!(
        target::verify_draining(&invalid, &draining, BOUND),
        Err(Violation::WorkWhileDraining { target: 0 })
    );
}

#[test]
fn request_for_another_account_is_seen() {
    let run = Execution { op: 4, key_account: Some(1), account: 1, is_open: false };
    let valid = [run, Execution { key_account: None, is_open: true, ..run }];
    let foreign = [Execution { account: 2, ..run }];
    let keyless = [Execution { key_account: None, ..run }];

    assert_eq!(account::verify_account(&valid), Ok(()));
    assert_eq!(account::verify_account(&foreign), Err(Violation::WrongAccount { op: 4 }));
    assert_eq!(account::verify_account(&keyless), Err(Violation::WrongAccount { op: 4 }));
}

#[test]
fn use_of_a_withdrawn_key_is_seen() {
    let withdrawn = BTreeMap::from([(1, secs(10))]);
    let valid = [KeyUse { key: 1, at: secs(13) }, KeyUse { key: 2, at: secs(90) }];
    let invalid = [KeyUse { key: 1, at: secs(14) }];

    assert_eq!(account::verify_withdrawn(&valid, &withdrawn, BOUND), Ok(()));
    assert_eq!(
        account::verify_withdrawn(&invalid, &withdrawn, BOUND),
        Err(Violation::WithdrawnKey { key: 1 })
    );
}

#[test]
fn admission_above_the_rate_is_seen() {
    let valid = [secs(0), secs(0), secs(1), secs(2)];
    let invalid = [secs(0), secs(0), secs(0)];

    assert_eq!(admission::verify(&valid, 1, 2), Ok(()));
    assert_eq!(admission::verify(&invalid, 1, 2).map_err(|excess| excess.index), Err(2));
}

#[test]
fn wrong_answer_is_seen() {
    let answer = Answer { op: 3, named_op: 3, sent_rows: 2, received_rows: 2 };
    let foreign = Answer { named_op: 4, ..answer };
    let partial = Answer { received_rows: 1, ..answer };

    assert_eq!(answer::verify_complete(&[answer]), Ok(()));
    assert_eq!(answer::verify_complete(&[foreign]), Err(Violation::WrongAnswer { op: 3 }));
    assert_eq!(answer::verify_complete(&[partial]), Err(Violation::WrongAnswer { op: 3 }));
}

#[test]
fn request_cut_by_a_planned_stop_is_seen() {
    let stopping = BTreeMap::from([(1, secs(5))]);
    let interrupted =
        Request { op: 6, host: 1, ended_at: secs(6), completion: Completion::Interrupted };
    let valid = [
        Request { completion: Completion::Answered, ..interrupted },
        Request { completion: Completion::NotSent, ..interrupted },
        Request { host: 2, ..interrupted },
        Request { ended_at: secs(4), ..interrupted },
    ];

    assert_eq!(answer::verify_uninterrupted(&valid, &stopping), Ok(()));
    assert_eq!(
        answer::verify_uninterrupted(&[interrupted], &stopping),
        Err(Violation::InterruptedRequest { op: 6 })
    );
}

#[test]
fn reverted_or_late_configuration_is_seen() {
    let accepted = BTreeMap::from([(1, secs(0)), (2, secs(10))]);
    let action = |host, at, version| Action { host, at: secs(at), version };
    let valid = [action(1, 11, 1), action(2, 11, 2), action(1, 13, 1), action(1, 14, 2)];
    let reverted = [action(1, 11, 2), action(1, 12, 1)];
    let late = [action(1, 14, 1)];

    assert_eq!(change::verify(&valid, &accepted, BOUND), Ok(()));
    assert_eq!(
        change::verify(&reverted, &accepted, BOUND),
        Err(Violation::Reverted { host: 1, version: 1 })
    );
    assert_eq!(
        change::verify(&late, &accepted, BOUND),
        Err(Violation::NotInForce { host: 1, version: 1 })
    );
}
