//! The event log: the on-call page explains each event, field and refusal reason, and the volume of
//! lines about requests is bounded.

use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::budget::Bound;
use bergamotvale_core::proxy::home::Owner;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::roster::Roster;
use bergamotvale_sessions::caller::STOPPING;
use bergamotvale_sessions::caller::work::failure_label;
use bergamotvale_sessions::event::{Event, Journal};
use bergamotvale_sessions::http::HTTP_CONNECTIONS;
use bergamotvale_sessions::pool::connection::Failure;
use bergamotvale_sessions::state::Unavailable;
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::Value;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// One event of each kind, in the order of [`kind`].
fn every_event(roster: &Roster) -> Vec<Event<'_>> {
    let (service, target, cause, outcome) = ("orders", "t", "lost", "ok");
    vec![
        Event::Started { host: "a", domain: "d", incarnation: 1 },
        Event::Stopping { sessions: 1 },
        Event::Stopped { sessions: 0 },
        Event::SettingsRead { outcome },
        Event::Configured { version: 1, routes: 1, accounts: 1 },
        Event::RowUnreadable { table: "t", key: "k", error: "e" },
        Event::Ready { ready: true, lease: true, proof_age_ms: None, configured: true },
        Event::Lease { held: true, revision: Revision::new(0, 1), proof_age_ms: Some(1) },
        Event::FeedAbandoned {
            table: "t",
            revision: Revision::new(0, 1),
            peer_revision: Revision::new(0, 2),
            received_bytes: 1,
            elapsed_ms: 1,
        },
        Event::StoreRestored { era: 1 },
        Event::Reconciled { era: 1, elapsed_ms: 1 },
        Event::Settled { era: 1, elapsed_ms: 1 },
        Event::DependencyLost { dependency: "t", error: "e" },
        Event::DependencyRegained { dependency: "t", after_ms: 1 },
        Event::Members { count: 1, revision: Revision::new(0, 1) },
        Event::Primary {
            service,
            target,
            fence: 1,
            established: true,
            term: 1,
            revision: Revision::new(0, 1),
        },
        Event::RosterChanged { service, roster },
        Event::Target { target, service, view: "lost", leaving: false },
        Event::Promotion { service, target, fence: 1, step: "call", cause, elapsed_ms: 1, outcome },
        Event::Evacuation {
            domain: "d",
            step: "ordered",
            targets: 1,
            primaries: 1,
            closes_in_ms: Some(1),
        },
        refused("1"),
        Event::Retried { request: "1", target, reason: "connection_lost" },
        Event::HopFailed { request: "1", target, from: "a", to: "b", reason: "hop_lost" },
        Event::SessionClosed { database: "d", reason: "no such database" },
        Event::TargetLimit { target, limit_permille: 500 },
    ]
}

fn refused(request: &'static str) -> Event<'static> {
    Event::Refused {
        request,
        database: "d",
        service: "orders",
        account: "a",
        code: Code::Busy,
        reason: "rate",
        target: "",
        elapsed_ms: 1,
    }
}

/// Reasons for which a request is refused, as they are logged.
fn every_reason() -> Vec<&'static str> {
    let failures = [
        Failure::Refused(Code::Busy),
        Failure::Lost,
        Failure::Late,
        Failure::Superseded,
        Failure::Full,
    ];
    let unavailable = [
        Unavailable::NoLease,
        Unavailable::Promoting,
        Unavailable::Unreachable,
        Unavailable::Evacuated,
        Unavailable::NotAtHome(Owner::Route),
        Unavailable::NotAtHome(Owner::Account),
    ];
    let denials = ["no such database", "no client account holds this key", "rate", STOPPING];
    let labels = failures
        .into_iter()
        .map(failure_label)
        .chain(unavailable.into_iter().map(Unavailable::label));
    let bounds = Bound::ALL.into_iter().map(Bound::label);
    labels.chain(denials).chain(bounds).chain([HTTP_CONNECTIONS]).collect()
}

/// Index of an event in [`every_event`]. The match fails to compile when a kind of event is added
/// and not listed here.
fn kind(event: &Event<'_>) -> usize {
    match event {
        Event::Started { .. } => 0,
        Event::Stopping { .. } => 1,
        Event::Stopped { .. } => 2,
        Event::SettingsRead { .. } => 3,
        Event::Configured { .. } => 4,
        Event::RowUnreadable { .. } => 5,
        Event::Ready { .. } => 6,
        Event::Lease { .. } => 7,
        Event::FeedAbandoned { .. } => 8,
        Event::StoreRestored { .. } => 9,
        Event::Reconciled { .. } => 10,
        Event::Settled { .. } => 11,
        Event::DependencyLost { .. } => 12,
        Event::DependencyRegained { .. } => 13,
        Event::Members { .. } => 14,
        Event::Primary { .. } => 15,
        Event::RosterChanged { .. } => 16,
        Event::Target { .. } => 17,
        Event::Promotion { .. } => 18,
        Event::Evacuation { .. } => 19,
        Event::Refused { .. } => 20,
        Event::Retried { .. } => 21,
        Event::HopFailed { .. } => 22,
        Event::SessionClosed { .. } => 23,
        Event::TargetLimit { .. } => 24,
    }
}

/// Logger that stores each line in [`LINES`].
struct Capture;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl Log for Capture {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().expect("no test has failed").push(record.args().to_string());
    }

    fn flush(&self) {}
}

#[test]
fn every_event_and_each_of_its_fields_is_explained() {
    for (index, event) in every_event(&Roster::default()).iter().enumerate() {
        assert_eq!(kind(event), index, "an event is missing");
        let value = serde_json::to_value(event).unwrap();
        let name = value["event"].as_str().unwrap();
        let mention = format!("`{name}`");
        let explains =
            |line: &&str| line.split('|').nth(1).is_some_and(|cell| cell.contains(&mention));
        let row = PAGE.lines().find(explains);
        let row = row.unwrap_or_else(|| panic!("no line of the page explains {name}"));
        for field in value.as_object().unwrap().keys().filter(|field| *field != "event") {
            assert!(row.contains(&format!("`{field}`")), "{name}: {field} is not explained");
        }
    }
}

#[test]
fn every_reason_of_a_refusal_is_explained() {
    let table = PAGE.split("## Reasons of refusals").nth(1).expect("the page has the table");
    let rows: Vec<&str> = table.lines().filter(|line| line.starts_with('|')).collect();
    for reason in every_reason() {
        let mention = format!("`{reason}`");
        let explains =
            |row: &&str| row.split('|').nth(1).is_some_and(|cell| cell.contains(&mention));
        assert!(rows.iter().any(explains), "no line of the page explains {reason}");
    }
}

/// Guards against a log flooded by refusals, as when one account sends thousands of requests over
/// its rate.
#[test]
fn lines_about_requests_are_bounded_and_the_rest_is_counted() {
    log::set_logger(&Capture).unwrap();
    log::set_max_level(LevelFilter::Info);
    let journal = Journal::default();
    let began = Instant::now();
    for _ in 0..20_000 {
        journal.write(&refused("1"));
    }
    let seconds = began.elapsed().as_secs() + 1;
    std::thread::sleep(Duration::from_millis(1100));
    journal.write(&Event::Lease {
        held: true,
        revision: Revision::new(0, 1),
        proof_age_ms: Some(1),
    });

    let lines = LINES.lock().unwrap();
    let values: Vec<Value> = lines.iter().map(|line| serde_json::from_str(line).unwrap()).collect();
    let refusals = values.iter().filter(|value| value["event"] == "refused").count();
    let left_out: u64 = values.iter().filter_map(|value| value["left_out"].as_u64()).sum();
    assert!(refusals as u64 <= 40 * (seconds + 1), "{refusals} lines in {seconds} s");
    assert_eq!(refusals as u64 + left_out, 20_000);
    assert_eq!(values.last().unwrap()["event"], "lease");
}
