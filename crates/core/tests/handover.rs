//! Cases of planned promotions up to the fence, with each fault at each step.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::group::{Role, Status};
use bergamotvale_core::handover::{Action, Handover};
use bergamotvale_core::id::{TargetId, Time};
use bergamotvale_core::log::{Position, Term};
use common::{case, position};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

type Case = case::Case<Given, Event>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    primary: TargetId,
    term: Term,
    candidate: TargetId,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Event {
    at: u64,
    on: String,
    target: Option<TargetId>,
    #[serde(default)]
    leads: bool,
    entry: Option<String>,
    confirmed: Option<String>,
}

fn status(event: &Event) -> Status {
    let parse = |text: &Option<String>| text.as_deref().map(position);
    let entry = parse(&event.entry).expect("a status has an entry");
    Status {
        role: if event.leads { Role::Primary } else { Role::Replica },
        accepted_term: entry.term,
        entry,
        applied: entry,
        confirmed: parse(&event.confirmed).unwrap_or(Position::default()),
        age: Duration::ZERO,
        primary: None,
        term_start: 0,
    }
}

fn start(now: Time, given: &Given) -> Handover {
    Handover::new(now, given.primary, given.term, given.candidate)
}

fn apply(handover: &mut Handover, given: &Given, event: &Event) -> Vec<Action> {
    let now: Time = Duration::from_millis(event.at);
    match event.on.as_str() {
        "drained" => handover.record_drained(now),
        "held" => handover.record_hold(now, event.entry.as_deref().map(position)),
        "looked" => {
            let target = event.target.expect("a status answer names its target");
            handover.record_status(now, target, &status(event))
        }
        "tick" => handover.tick(now),
        "restart" => {
            *handover = start(now, given);
            Vec::new()
        }
        other => panic!("unknown event {other}"),
    }
}

fn line(at: u64, action: &Action) -> String {
    match action {
        Action::Hold { target, time } if time.is_zero() => format!("{at}: release {target}"),
        Action::Hold { target, time } => {
            format!("{at}: hold {target} for {} ms", time.as_millis())
        }
        Action::ReadStatus { target } => format!("{at}: look {target}"),
        Action::Promote { candidate, term } => format!("{at}: promote {candidate} over {term}"),
        Action::Aborted { reason } => format!("{at}: aborted {reason}"),
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let mut handover = start(Time::ZERO, &case.given);

    let mut lines = Vec::new();
    for event in &case.events {
        let actions = apply(&mut handover, &case.given, event);
        lines.extend(actions.iter().map(|action| line(event.at, action)));
    }
    Ok(lines)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/handover", pattern = r"\.yaml$" },
}
