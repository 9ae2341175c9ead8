//! Checks that each verification of a write's trace fails on a trace that violates it.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::write::{Action, Event};
use common::case;
use common::write::{
    Step, verify_acknowledgement_confirmed, verify_not_run_true, verify_unkeyed_sent_once,
};
use serde_yaml_ng::Value;
use std::path::Path;
use std::time::Duration;

fn position() -> Position {
    common::position("3.10")
}

fn refused_as_not_run() -> Step {
    Step::Action(Action::Refuse(Refusal::new(Reason::ConnectionLost, "lost")))
}

#[test]
fn acknowledgement_without_confirmation_is_seen() {
    let trace = [Step::Action(Action::Acknowledge(Some(position())))];
    assert!(verify_acknowledgement_confirmed(&trace).is_err());
}

#[test]
fn acknowledgement_by_a_later_term_is_seen() {
    let later = Step::Event(Event::Confirmed(common::position("4.11")));
    let trace = [later, Step::Action(Action::Replay("first".into(), position()))];
    assert!(verify_acknowledgement_confirmed(&trace).is_err());
}

#[test]
fn false_not_run_is_seen() {
    let trace = [
        Step::Action(Action::Commit),
        Step::Sent,
        Step::Event(Event::Failed(Failure::Target, "58030".into())),
        refused_as_not_run(),
    ];
    assert!(verify_not_run_true(&trace).is_err());
}

#[test]
fn denied_commit_may_say_not_run() {
    let trace = [
        Step::Action(Action::Commit),
        Step::Sent,
        Step::Event(Event::Failed(Failure::Superseded, "BV001".into())),
        refused_as_not_run(),
    ];
    assert!(verify_not_run_true(&trace).is_ok());
}

#[test]
fn unkeyed_write_sent_again_is_seen() {
    let trace = [
        Step::Action(Action::Execute),
        Step::Sent,
        Step::Event(Event::ConnectionLost),
        Step::Action(Action::Lease(Duration::ZERO, None)),
        Step::Action(Action::Execute),
    ];
    assert!(verify_unkeyed_sent_once(&trace).is_err());
}

#[test]
fn a_case_that_turns_out_otherwise_fails_and_prints_both() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/transaction/stop.yaml");
    let drive = |_: &case::Case<Value, Value>| Ok(vec!["got this".to_owned()]);

    let error = case::check(&path, drive).expect_err("the case expects other lines").to_string();

    assert!(error.contains("got this") && error.contains("admitted"), "{error}");
}
