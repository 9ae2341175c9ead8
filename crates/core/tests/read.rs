//! Cases of faults at each step of a read; every served result is checked for freshness.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::id::{FailureDomainId, TargetId, Time};
use bergamotvale_core::log::Position;
use bergamotvale_core::read::{Action, Event, Read};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::retry::Budgets;
use bergamotvale_core::route::{self, Bounds, Report, Requirement, Role, View};
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::statement::Freshness;
use common::{case, position};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

type Case = case::Case<Given, TimedEvent>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    token: Option<String>,
    max_age_ms: Option<u64>,
    timeout_ms: u64,
    #[serde(default)]
    home: FailureDomainId,
    targets: BTreeMap<TargetId, Target>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Target {
    role: Role,
    applied: String,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    failure_domain: FailureDomainId,
    #[serde(default)]
    ejected: bool,
    #[serde(default)]
    suspect: bool,
    #[serde(default)]
    draining: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimedEvent {
    at: u64,
    on: String,
    role: Option<Role>,
    applied: Option<String>,
    confirmed: Option<String>,
    #[serde(default)]
    age_ms: u64,
    state: Option<String>,
    reason: Option<Reason>,
}

impl Given {
    fn requirement(&self) -> Requirement {
        let age = self.max_age_ms.map(Duration::from_millis);
        Requirement {
            token: self.token.as_deref().map(position),
            freshness: age.map_or(Freshness::Session, Freshness::MaxAge),
        }
    }

    fn candidates(&self, now: Time) -> Vec<TargetId> {
        let views = self.targets.iter().map(|(id, target)| (*id, view(target))).collect();
        route::candidates(&self.requirement(), &views, self.home, &Bounds::default(), now, 0)
    }
}

fn view(target: &Target) -> View {
    View {
        role: target.role,
        applied: position(&target.applied),
        age: Duration::from_millis(target.age_ms),
        observed: Duration::ZERO,
        in_flight: target.in_flight,
        failure_domain: target.failure_domain,
        ejected: target.ejected,
        suspect: target.suspect,
        draining: target.draining,
    }
}

fn report(event: &TimedEvent) -> Report {
    let applied = position(event.applied.as_deref().expect("an applied position"));
    let confirmed = event.confirmed.as_deref().map_or(applied, position);
    Report { applied, confirmed, age: Duration::from_millis(event.age_ms) }
}

fn read_event(given: &Given, event: &TimedEvent, now: Time) -> Event {
    let reason = || event.reason.unwrap_or(Reason::ConnectionRefused);
    match event.on.as_str() {
        "choose" => Event::Candidates(given.candidates(now)),
        "answered" => Event::Answered(event.role.unwrap_or(Role::Replica), report(event)),
        "failed" => {
            let code = event.state.as_deref().expect("an SQLSTATE");
            Event::Failed(Failure::new(code), code.into())
        }
        "no_connection" => Event::NoConnection(reason()),
        "connection_lost" => Event::ConnectionLost,
        "timed_out" => Event::TimedOut,
        "denied" => Event::Denied(Refusal::new(reason(), "denied")),
        other => panic!("unknown event {other}"),
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::Choose(_) => "choose".into(),
        Action::Attempt(target, None) => format!("try {target}"),
        Action::Attempt(target, Some(reason)) => format!("try {target}: {reason}"),
        Action::Serve(Some(position)) => format!("serve {position}"),
        Action::Serve(None) => "serve".into(),
        Action::Refuse(refusal) => format!("refuse {}, ran {}", refusal.reason, refusal.ran),
    }
}

/// Checks that a served result covers the token and is fresh enough, and that the token advances
/// only to a position that was visible and confirmed.
fn verify_served(given: &Given, served: Option<Position>, report: &Report) -> Result<(), String> {
    let token = given.token.as_deref().map(position);
    if token.is_some_and(|token| report.applied < token) {
        return Err(format!("{} does not cover the token", report.applied));
    }
    if given.max_age_ms.is_some_and(|age| report.age > Duration::from_millis(age)) {
        return Err(format!("data of age {:?}", report.age));
    }
    let is_unproven = served > token && served > Some(report.applied.min(report.confirmed));
    if is_unproven { Err(format!("token advanced to {served:?}")) } else { Ok(()) }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let deadline = Duration::from_millis(case.given.timeout_ms);
    let mut read = Read::new(1, 1, case.given.requirement(), deadline, 7);
    let mut budgets = Budgets::new();
    let mut actions = Vec::new();

    for event in &case.events {
        let now = Duration::from_millis(event.at);
        let action = read.on(read_event(&case.given, event, now), &mut budgets, now);
        if let Action::Serve(served) = &action {
            verify_served(&case.given, *served, &report(event))?;
        }
        actions.push(describe(&action));
    }

    verify_check_fails(&case.given)?;
    Ok(actions)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

/// Checks that [`verify_served`] detects data behind the token, old data and unconfirmed positions.
fn verify_check_fails(given: &Given) -> datatest_stable::Result<()> {
    let age = Duration::from_secs(3600);
    let behind = Report { applied: position("0.1"), confirmed: position("0.1"), age };
    if given.token.is_some() || given.max_age_ms.is_some() {
        assert!(verify_served(given, None, &behind).is_err());
    }
    let fresh =
        Report { applied: position("9.9"), confirmed: position("9.8"), age: Duration::ZERO };
    assert!(verify_served(given, Some(position("9.9")), &fresh).is_err());
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/read", pattern = r"\.yaml$" },
}
