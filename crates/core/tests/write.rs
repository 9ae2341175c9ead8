//! Cases of faults at each step of a write; the trace is checked for false claims and repeats.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::idempotency::Row;
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::retry::Budgets;
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::write::{Action, Event, Write};
use common::write::{
    Step, verify_acknowledgement_confirmed, verify_not_run_true, verify_unkeyed_sent_once,
};
use common::{case, position};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

const DIGEST: &str = "digest";

type Case = case::Case<Given, TimedEvent>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    keyed: bool,
    timeout_ms: u64,
    #[serde(default)]
    expected_lag_ms: u64,
    #[serde(default)]
    spent_budget: bool,
    #[serde(default)]
    commit_of_transaction: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimedEvent {
    at: u64,
    on: String,
    position: Option<String>,
    state: Option<String>,
    reason: Option<Reason>,
    digest: Option<String>,
}

fn write_event(timed: &TimedEvent) -> Option<Event> {
    let at = || position(timed.position.as_deref().unwrap_or("0.0"));
    let reason = || timed.reason.unwrap_or(Reason::ConnectionRefused);
    let row = |digest: &String| Row { digest: digest.clone(), outcome: "first".into() };
    Some(match timed.on.as_str() {
        "sent" => return None,
        "leased" => Event::Leased,
        "no_connection" => Event::NoConnection(reason()),
        "executed" => Event::Executed,
        "conflict" => Event::Conflict,
        "failed" => {
            let code = timed.state.as_deref().expect("an SQLSTATE");
            Event::Failed(Failure::new(code), code.into())
        }
        "committed" => Event::Committed(timed.position.as_ref().map(|_| at())),
        "confirmed" => Event::Confirmed(at()),
        "found" => Event::Found(timed.digest.as_ref().map(row), at()),
        "connection_lost" => Event::ConnectionLost,
        "timed_out" => Event::TimedOut,
        "denied" => Event::Denied(Refusal::new(reason(), "denied")),
        other => panic!("unknown event {other}"),
    })
}

fn describe(action: &Action) -> String {
    match action {
        Action::Lease(_, None) => "lease".into(),
        Action::Lease(_, Some(reason)) => format!("lease again: {reason}"),
        Action::Execute => "execute".into(),
        Action::Commit => "commit".into(),
        Action::Confirm(position, _) => format!("confirm {position}"),
        Action::Lookup => "look up".into(),
        Action::Acknowledge(Some(position)) => format!("acknowledge {position}"),
        Action::Acknowledge(None) => "acknowledge".into(),
        Action::Replay(outcome, position) => format!("replay {outcome} {position}"),
        Action::Refuse(refusal) => format!("refuse {}, ran {}", refusal.reason, refusal.ran),
    }
}

fn budgets(given: &Given) -> Budgets {
    let mut budgets = Budgets::new();
    while given.spent_budget && budgets.withdraw(1, 1, Duration::ZERO) {}
    budgets
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let digest = case.given.keyed.then(|| DIGEST.to_owned());
    let deadline = Duration::from_millis(case.given.timeout_ms);
    let mut write = Write::new(1, 1, digest, deadline, 7);
    let mut budgets = budgets(&case.given);
    let mut trace = Vec::new();
    if case.given.commit_of_transaction {
        write = Write::new_commit(1, 1, deadline, 7);
        trace.push(Step::Action(Action::Commit));
    } else {
        let expected = Duration::from_millis(case.given.expected_lag_ms);
        trace.push(Step::Action(write.start(expected, Duration::ZERO)));
    }

    for timed in &case.events {
        let now = Duration::from_millis(timed.at);
        let Some(event) = write_event(timed) else {
            write.record_sent();
            trace.push(Step::Sent);
            continue;
        };
        trace.push(Step::Event(event.clone()));
        trace.push(Step::Action(write.on(event, &mut budgets, now)));
    }

    verify_acknowledgement_confirmed(&trace)?;
    verify_not_run_true(&trace)?;
    if !case.given.keyed {
        verify_unkeyed_sent_once(&trace)?;
    }
    let actions = trace.iter().filter_map(|step| match step {
        Step::Action(action) => Some(describe(action)),
        _ => None,
    });
    Ok(actions.collect())
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/write", pattern = r"\.yaml$" },
}
