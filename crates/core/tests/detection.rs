//! Cases of failure detection: evidence that must lead to the replacement of a primary, and evidence
//! that must not.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::detect::{Action, Detector, Settings};
use bergamotvale_core::group::{Role, Status};
use bergamotvale_core::id::{HostId, TargetId, Time};
use bergamotvale_core::log::{Position, Term};
use bergamotvale_core::peer::Opinion;
use common::{case, position};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

const HOST: HostId = 1;
const TICK_MS: u64 = 50;
const PROBE_MS: u64 = 150;

type Case = case::Case<Given, Event>;

/// How targets answer their probes; target 0 is the primary of term 1.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    watchers: BTreeSet<HostId>,
    until_ms: u64,
    targets: BTreeMap<TargetId, Vec<Span>>,
}

/// Behavior of a target from `from_ms` on.
#[derive(Deserialize, Clone)]
#[serde(deny_unknown_fields)]
struct Span {
    #[serde(default)]
    from_ms: u64,
    answers: String,
    #[serde(default)]
    accepted: Option<Term>,
    #[serde(default)]
    entry: Option<String>,
    #[serde(default)]
    age_ms: u64,
    /// The age grows from `from_ms` on.
    #[serde(default)]
    ageing: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Event {
    at: u64,
    on: String,
    #[serde(default)]
    until: Option<u64>,
    #[serde(default)]
    hosts: Vec<HostId>,
    #[serde(default)]
    term: Option<Term>,
    #[serde(default)]
    target: TargetId,
    #[serde(default)]
    well: bool,
}

fn millis(time: u64) -> Time {
    Duration::from_millis(time)
}

fn status(span: &Span, now: u64) -> Status {
    let entry = span.entry.as_deref().map_or(Position::new(1, 5), position);
    let age = span.age_ms + if span.ageing { now - span.from_ms } else { 0 };
    Status {
        role: if span.answers == "primary" { Role::Primary } else { Role::Replica },
        accepted_term: span.accepted.unwrap_or(entry.term),
        entry,
        applied: entry,
        confirmed: entry,
        age: millis(age),
        primary: Some(0),
        term_start: 1,
    }
}

fn probe(detector: &mut Detector, now: u64, id: TargetId, spans: &[Span]) {
    let span =
        spans.iter().rfind(|span| span.from_ms <= now).expect("each target has a span from 0 on");
    detector.record_probe_sent(millis(now), id);
    match span.answers.as_str() {
        "silent" => {}
        "refused" => detector.record_probe_refused(millis(now), id),
        "crowded" => detector.record_probe_overloaded(id),
        _ => detector.record_probe_answer(millis(now), id, status(span, now)),
    }
}

fn apply(detector: &mut Detector, event: &Event) {
    let now = millis(event.at);
    match event.on.as_str() {
        "against" | "doubt" | "for" => {
            let failed = event.on == "against";
            let failing = match event.on.as_str() {
                "against" => millis(1_200),
                "doubt" => millis(1),
                _ => Duration::ZERO,
            };
            let term = event.term.unwrap_or(1);
            let confirmed = Position::default();
            for host in &event.hosts {
                let opinion =
                    Opinion { primary: 0, term, failing, failed, confirmed, hold: None, busy: 0 };
                detector.record_opinion(now, *host, opinion);
            }
        }
        "work" => detector.record_work(now, event.target, event.well),
        "timed_out" => detector.suspect(event.target),
        "primary" | "stall" => {}
        other => panic!("unknown event {other}"),
    }
}

fn stalled(events: &[Event], now: u64) -> bool {
    let stalls = events.iter().filter(|event| event.on == "stall");
    stalls.into_iter().any(|stall| stall.at <= now && stall.until.is_some_and(|end| now < end))
}

/// The primary that the host knows, if the event queries it.
fn primary(detector: &Detector, event: &Event) -> Option<String> {
    let (id, term) = detector.primary().filter(|_| event.on == "primary")?;
    Some(format!("{}: primary {id} in {term}", event.at))
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let targets = case.given.targets.keys().copied();
    let mut detector = Detector::new(HOST, targets, Settings::default());
    detector.set_watchers(case.given.watchers.clone());

    let mut lines = Vec::new();
    for now in (0..=case.given.until_ms).step_by(TICK_MS as usize) {
        if stalled(&case.events, now) {
            continue;
        }
        for event in case.events.iter().filter(|e| e.at <= now && now < e.at + TICK_MS) {
            apply(&mut detector, event);
            lines.extend(primary(&detector, event));
        }
        if now % PROBE_MS == 0 {
            for (id, spans) in &case.given.targets {
                probe(&mut detector, now, *id, spans);
            }
        }
        for action in detector.tick(millis(now)) {
            let line = match action {
                Action::SendOpinion(opinion) if opinion.failed => format!("{now}: failed"),
                Action::SendOpinion(_) => format!("{now}: works"),
                Action::ReplacePrimary(replacement) => {
                    format!("{now}: depose term {}", replacement.term)
                }
            };
            let deposing = lines.last().is_some_and(|last: &String| last.contains("depose"));
            if !(deposing && line.contains("depose")) {
                lines.push(line);
            }
        }
    }
    Ok(lines)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/detection", pattern = r"\.yaml$" },
}
