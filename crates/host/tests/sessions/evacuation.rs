//! Evacuation of failure domains: reads, writes, primaries and open transactions leave the domain
//! in time, also at a host that is cut off from the store, and come back afterwards.

use crate::faults::write_until_acknowledged;
use crate::fixture::{self, BOUNDED_DB, Caller, Fleet, OTHER_KEY, Process, STRICT_DB, eventually};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_platform::catalog;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use bergamotvale_platform::text;
use bergamotvale_standin::link::Relay;
use bytes::Bytes;
use serde_json::{Value, json};
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time after which no statement may reach an evacuated domain.
const LIMIT: Duration = Duration::from_secs(5);

/// Callers that read at once, so many that reads go to replicas as well.
const READERS: usize = 16;

fn set_limit(settings: &mut Value) {
    settings["times"]["evacuation"] = json!(LIMIT.as_millis());
}

/// Failure domain of the target with this index.
fn domain(index: usize) -> String {
    format!("d{index}")
}

/// Starts a fleet whose targets are in a failure domain each.
fn start(hosts: u8) -> Fleet {
    let fleet = Fleet::start_edited(hosts, fixture::catalog(), set_limit);
    for (index, target) in fleet.system.groups[0].targets.iter().enumerate() {
        target.set_domain(&domain(index));
    }
    let knows = |host: &Process| host.status().targets.len() == 3;
    eventually("hosts know the targets", || fleet.hosts.iter().all(knows));
    // Reads stay at the primary until its position was observed.
    std::thread::sleep(Duration::from_secs(1));
    fleet
}

fn evacuate(fleet: &Fleet, domain: &str) {
    let value = Some(Bytes::from_static(b"{}"));
    fleet.system.store.write(catalog::TABLE, &catalog::evacuation_key(domain), value);
}

fn end_evacuation(fleet: &Fleet, domain: &str) {
    fleet.system.store.write(catalog::TABLE, &catalog::evacuation_key(domain), None);
}

fn has_step(host: &Process, step: &str) -> bool {
    host.events("evacuation").iter().any(|event| event["step"] == step)
}

/// Guards against reads that go on at a replica in an evacuated domain, and against a domain that
/// stays empty after the evacuation.
#[test]
fn reads_leave_an_evacuated_domain_and_come_back() {
    let fleet = start(1);
    let group = fleet.system.groups[0].clone();
    let primary = group.primary().name.clone();
    let index = group.targets.iter().position(|target| target.name != primary);
    let index = index.expect("the group has a replica");
    let evacuated = &group.targets[index];
    let is_stopping = AtomicBool::new(false);
    std::thread::scope(|scope| {
        // One caller alone is served by the primary, to which the host has a connection.
        for _ in 0..READERS {
            scope.spawn(|| {
                let mut session = fleet.open_session(0, BOUNDED_DB);
                while !is_stopping.load(Ordering::SeqCst) {
                    session.run(&caller::read("x"));
                }
            });
        }
        let came_back = std::panic::catch_unwind(AssertUnwindSafe(|| {
            eventually("the replica is read from", || evacuated.last_statement().is_some());
            evacuate(&fleet, &domain(index));
            eventually("the host knows of it", || has_step(&fleet.hosts[0], "ordered"));
            let known = Instant::now();
            std::thread::sleep(Duration::from_secs(2));
            let last = evacuated.last_statement();
            assert!(last.is_some_and(|at| at <= known + Duration::from_millis(200)));
            end_evacuation(&fleet, &domain(index));
            eventually("the replica is read from again", || {
                evacuated.last_statement().is_some_and(|at| at > known + Duration::from_secs(1))
            });
        }));
        is_stopping.store(true, Ordering::SeqCst);
        if let Err(panic) = came_back {
            std::panic::resume_unwind(panic);
        }
    });
    assert!(has_step(&fleet.hosts[0], "ended"));
}

/// Guards against a primary that stays in an evacuated domain, and against writes that are refused
/// or lost while it moves.
#[test]
fn a_primary_moves_out_of_an_evacuated_domain_without_a_refused_write() {
    let fleet = start(2);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "0"), State::Idle);
    let index = group.targets.iter().position(|target| target.name == old_primary.name);
    evacuate(&fleet, &domain(index.expect("the primary is a target of the group")));
    let ordered = Instant::now();
    let mut number = 0;
    while ordered.elapsed() < LIMIT + Duration::from_secs(1) {
        number += 1;
        session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
    }
    assert_ne!(group.primary().name, old_primary.name);
    assert!(old_primary.last_statement().is_some_and(|at| at < ordered + LIMIT));
    assert_eq!(session.expect_row(&caller::read("bolt")).0, number.to_string());
    let causes = fleet.hosts.iter().flat_map(|host| host.events("promotion"));
    let mut causes = causes.filter(|event| event["step"] == "recorded").map(|e| e["cause"].clone());
    assert!(causes.any(|cause| cause == "evacuated"));
}

/// Guards against statements of writers and of open transactions that reach a group whose domains
/// are all evacuated, and against callers that wait in vain.
#[test]
fn a_group_whose_domains_are_all_evacuated_is_not_used_until_one_is_back() {
    let fleet = start(1);
    let group = fleet.system.groups[0].clone();
    let mut session = fleet.open_session(0, STRICT_DB);
    let mut in_transaction = fleet.open_session(0, STRICT_DB);
    in_transaction.expect_done(caller::begin(false), State::Open);
    in_transaction.expect_done(&caller::write("lot", "1"), State::Open);
    (0..3).for_each(|index| evacuate(&fleet, &domain(index)));
    let ordered = Instant::now();
    while ordered.elapsed() < LIMIT + Duration::from_secs(1) {
        let end = in_transaction.run(&caller::read("lot")).end;
        if end != End::Done {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    while ordered.elapsed() < LIMIT + Duration::from_secs(1) {
        session.run(&caller::write("bolt", "1"));
        std::thread::sleep(Duration::from_millis(20));
    }
    let reached = group.targets.iter().filter_map(|target| target.last_statement());
    assert!(reached.max().is_some_and(|at| at < ordered + LIMIT));
    let asked = Instant::now();
    assert_eq!(session.expect_refusal(&caller::write("bolt", "2")), (Code::Busy, State::Idle));
    assert!(asked.elapsed() < Duration::from_secs(1), "the refusal is not immediate");
    in_transaction.run(text::ROLLBACK);
    (0..3).for_each(|index| end_evacuation(&fleet, &domain(index)));
    write_until_acknowledged(&mut session, "bolt", "3");
}

/// Guards against a host that is cut off from the store and goes on in an evacuated domain although
/// its peers know.
#[test]
fn a_host_that_is_cut_off_from_the_store_learns_of_an_evacuation_from_its_peers() {
    let fleet = start(2);
    let link = Relay::start(fleet.system.address).expect("the relay starts");
    let cut_off = Process::start_with(3, link.address(), set_limit);
    eventually("the third host is ready", || cut_off.is_ready());
    let group = fleet.system.groups[0].clone();
    let primary = group.primary().name.clone();
    let index = group.targets.iter().position(|target| target.name != primary);
    let index = index.expect("the group has a replica");
    link.set(|fault| fault.blocked = true).expect("the port is free to bind again");
    let mut session =
        Caller::connect(cut_off.callers, BOUNDED_DB, OTHER_KEY).expect("the session opens");
    evacuate(&fleet, &domain(index));
    let ordered = Instant::now();
    while ordered.elapsed() < LIMIT + Duration::from_secs(1) {
        session.run(&caller::read("x"));
    }
    assert!(has_step(&cut_off, "seen"));
    assert!(!has_step(&cut_off, "ordered"));
    let last = group.targets[index].last_statement();
    assert!(last.is_none_or(|at| at < ordered + LIMIT));
    end_evacuation(&fleet, &domain(index));
    eventually("the end is known too", || has_step(&cut_off, "ended"));
}

/// Guards against rows that stop a host, or an evacuation, because they cannot be read or name no
/// domain.
#[test]
fn invalid_and_unknown_orders_are_logged_and_stop_nothing() {
    let fleet = start(1);
    let host = &fleet.hosts[0];
    let write = |domain: &str, value: &'static [u8]| {
        let key = catalog::evacuation_key(domain);
        fleet.system.store.write(catalog::TABLE, &key, Some(Bytes::from_static(value)));
    };
    write("nowhere", b"{}");
    write("d1", b"[");
    write("", b"{}");
    eventually("both are logged", || host.events("row_unreadable").len() == 2);
    eventually("the unknown domain is logged", || {
        host.events("evacuation").iter().any(|e| e["domain"] == "nowhere" && e["targets"] == 0)
    });
    assert!(!host.events("evacuation").iter().any(|event| event["domain"] == "d1"));
    let mut session = fleet.open_session(0, STRICT_DB);
    write_until_acknowledged(&mut session, "bolt", "1");
    evacuate(&fleet, "d1");
    eventually("a valid row holds", || {
        host.events("evacuation").iter().any(|event| event["domain"] == "d1")
    });
    write("d1", b"7");
    eventually("the row is unreadable again", || host.events("row_unreadable").len() == 3);
    std::thread::sleep(Duration::from_millis(300));
    let ended = host.events("evacuation").iter().any(|event| event["step"] == "ended");
    assert!(!ended, "an unreadable row ended an evacuation");
}

/// Guards against new behaviour at hosts whose settings state no time limit.
#[test]
fn without_a_time_limit_in_the_settings_a_row_changes_nothing() {
    let fleet = Fleet::start(1);
    let primary = fleet.system.groups[0].primary().name.clone();
    evacuate(&fleet, "a");
    eventually("the row is logged", || has_step(&fleet.hosts[0], "ignored"));
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    assert_eq!(fleet.system.groups[0].primary().name, primary);
}
