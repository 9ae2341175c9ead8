//! Cases of unplanned promotions, with each fault at each step of an attempt.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::group::{Answer, Role, Status};
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

type Case = case::Case<Given, Happening>;

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
struct Happening {
    at: u64,
    on: String,
    term: Option<Term>,
    target: Option<TargetId>,
    granted: Option<bool>,
    accepted: Option<Term>,
    entry: Option<String>,
    voter: Option<bool>,
}

fn answer(happening: &Happening, term: Term) -> Option<Answer> {
    let granted = happening.granted?;
    Some(Answer {
        granted,
        accepted: happening.accepted.unwrap_or(term),
        entry: happening.entry.as_deref().map(position).unwrap_or_default(),
        voter: happening.voter.unwrap_or(true),
    })
}

fn status(happening: &Happening, term: Term) -> Status {
    let entry = happening.entry.as_deref().map(position).unwrap_or_default();
    Status {
        role: if happening.granted == Some(true) { Role::Primary } else { Role::Replica },
        accepted_term: happening.accepted.unwrap_or(term),
        entry,
        applied: entry,
        confirmed: Position::default(),
        age: Duration::ZERO,
        primary: None,
        term_start: 0,
    }
}

fn apply(promoter: &mut Promoter, given: &Given, happening: &Happening) -> Vec<Action> {
    let now: Time = Duration::from_millis(happening.at);
    let term = happening.term.unwrap_or(1);
    let target = happening.target.unwrap_or(0);
    match happening.on.as_str() {
        "depose" => {
            let replacement = Replacement { term, avoid: given.avoid, preferred: None };
            promoter.replace_primary(now, replacement, given.rank);
            Vec::new()
        }
        "plan" => promoter.start_planned(now, term, target),
        "tick" => promoter.tick(now),
        "fenced" => promoter.record_fence(now, target, term, answer(happening, term)),
        "promoted" => promoter.record_promotion(now, target, term, answer(happening, term)),
        "observe" => promoter.record_status(now, &status(happening, term)),
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
