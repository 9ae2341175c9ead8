//! Cases of unplanned promotions, with each fault at each step of an attempt.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::group::{Role, Status, TermResponse};
use bergamotvale_core::id::{TargetId, Time};
use bergamotvale_core::log::{Position, Term};
use bergamotvale_core::promotion::{Action, Candidate, Promoter, Replacement};
use bergamotvale_core::random::Source;
use common::{case, position};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

const SEED: u64 = 7;
const HOST: u32 = 3;

type Case = case::Case<Given, Event>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    targets: TargetId,
    #[serde(default)]
    rank: u32,
    #[serde(default)]
    draining: BTreeSet<TargetId>,
    #[serde(default)]
    near: BTreeSet<TargetId>,
    avoid: Option<TargetId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Event {
    at: u64,
    on: String,
    term: Option<Term>,
    target: Option<TargetId>,
    granted: Option<bool>,
    accepted: Option<Term>,
    entry: Option<String>,
    voter: Option<bool>,
}

fn answer(event: &Event, term: Term) -> Option<TermResponse> {
    let granted = event.granted?;
    Some(TermResponse {
        granted,
        accepted: event.accepted.unwrap_or(term),
        entry: event.entry.as_deref().map(position).unwrap_or_default(),
        voter: event.voter.unwrap_or(true),
    })
}

fn status(event: &Event, term: Term) -> Status {
    let entry = event.entry.as_deref().map(position).unwrap_or_default();
    Status {
        role: if event.granted == Some(true) { Role::Primary } else { Role::Replica },
        accepted_term: event.accepted.unwrap_or(term),
        entry,
        applied: entry,
        confirmed: Position::default(),
        age: Duration::ZERO,
        primary: None,
        term_start: 0,
    }
}

fn apply(promoter: &mut Promoter, given: &Given, event: &Event) -> Vec<Action> {
    let now: Time = Duration::from_millis(event.at);
    let term = event.term.unwrap_or(1);
    let target = event.target.unwrap_or(0);
    match event.on.as_str() {
        "depose" => {
            let replacement = Replacement { term, avoid: given.avoid, preferred: None };
            promoter.replace_primary(now, replacement, given.rank);
            Vec::new()
        }
        "plan" => promoter.start_planned(now, term, target),
        "tick" => promoter.tick(now),
        "fenced" => promoter.record_fence(now, target, term, answer(event, term)),
        "promoted" => promoter.record_promotion(now, target, term, answer(event, term)),
        "observe" => promoter.record_status(now, &status(event, term)),
        other => panic!("unknown event {other}"),
    }
}

fn line(at: u64, action: &Action) -> String {
    match action {
        Action::Fence { target, term, .. } => format!("{at}: fence {target} for {term}"),
        Action::Promote { target, term, .. } => format!("{at}: promote {target} in {term}"),
        Action::Done { target, term } => format!("{at}: done {target} in {term}"),
        Action::Failed { term } => format!("{at}: failed {term}"),
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let candidate = |id: TargetId| Candidate {
        failure_domain: id,
        draining: case.given.draining.contains(&id),
        hosts_in_domain: u32::from(case.given.near.contains(&id)),
    };
    let candidates = (0..case.given.targets).map(|id| (id, candidate(id))).collect();
    let mut promoter = Promoter::new(HOST, candidates, Source::new(SEED));

    let mut lines = Vec::new();
    for event in &case.events {
        let actions = apply(&mut promoter, &case.given, event);
        lines.extend(actions.iter().map(|action| line(event.at, action)));
    }
    Ok(lines)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/promotion", pattern = r"\.yaml$" },
}
