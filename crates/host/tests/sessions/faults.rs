//! Sessions under faults: primaries that die or leave, a store in trouble, hosts that are killed,
//! paused and stopped.

use crate::fixture::{Caller, Fleet, KEY, OLD, PATIENCE, Process, STRICT, eventually};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use bergamotvale_platform::text;
use bergamotvale_standin::lines::Outage;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// Writes until one succeeds; each that does not has to be a promise or of unknown outcome.
fn write_until_done(session: &mut Caller, item: &str, data: &str) {
    let until = Instant::now() + PATIENCE;
    loop {
        match session.run(&caller::write(item, data)).end {
            End::Done => return,
            End::Error(code) => {
                assert!(code.guarantees_no_effect() || code == Code::Unknown, "{code}");
            }
            End::Ready => panic!("an answer without an end"),
        }
        assert!(Instant::now() < until, "no write succeeds");
    }
}

#[test]
fn a_primary_that_crashes_is_replaced_and_every_host_follows() {
    let fleet = Fleet::start(3);
    let group = fleet.system.groups[0].clone();
    let mut first = fleet.session(0, STRICT);
    first.done(&caller::write("bolt", "1"), State::Idle);
    std::thread::sleep(Duration::from_millis(100));
    let old = group.primary();
    old.crash();
    write_until_done(&mut first, "bolt", "2");
    assert_ne!(group.primary().name, old.name);
    for host in 0..3 {
        let mut session = fleet.session(host, STRICT);
        eventually("the new primary serves", || {
            session.run(&caller::read("bolt")).end == End::Done
        });
        assert_eq!(session.row(&caller::read("bolt")).0, "2");
    }
}

#[test]
fn a_transaction_on_a_crashed_primary_is_rolled_back_and_said_so() {
    let fleet = Fleet::start(2);
    let mut session = fleet.session(0, STRICT);
    session.done(caller::begin(false), State::Open);
    session.done(&caller::write("lot", "1"), State::Open);
    fleet.system.groups[0].primary().crash();
    let (code, state) = session.refused(&caller::write("lot", "2"));
    assert_eq!((code, state), (Code::Aborted, State::Failed));
    session.done(text::ROLLBACK, State::Idle);
    write_until_done(&mut session, "lot", "3");
}

#[test]
fn a_primary_that_leaves_is_replaced_without_a_refused_write() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let old = group.primary();
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "0"), State::Idle);
    old.mark_leaving();
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        session.done(&caller::write("bolt", &number.to_string()), State::Idle);
    }
    assert_ne!(group.primary().name, old.name);
    assert_eq!(session.row(&caller::read("bolt")).0, number.to_string());
}

#[test]
fn a_commit_whose_answer_is_lost_is_of_unknown_outcome_and_not_repeated() {
    let fleet = Fleet::start(1);
    let group = fleet.system.groups[0].clone();
    let primary = group.primary();
    let mut session = fleet.session(0, STRICT);
    session.row(&caller::read("bolt"));
    primary.drop_commit_responses(true);
    assert_eq!(session.refused(&caller::write("bolt", "1")), (Code::Unknown, State::Idle));
    session.done(caller::begin(false), State::Open);
    session.done(&caller::write("bolt", "2"), State::Open);
    assert_eq!(session.refused(text::COMMIT), (Code::Unknown, State::Idle));
    primary.drop_commit_responses(false);
    assert_eq!(primary.count_writes("bolt"), 2);
}

#[test]
fn while_the_store_is_silent_the_hosts_vouch_for_each_other() {
    let fleet = Fleet::start(3);
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "0"), State::Idle);
    fleet.system.store.set_outage(Outage::Silent);
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        session.done(&caller::write("bolt", &number.to_string()), State::Idle);
        std::thread::sleep(Duration::from_millis(10));
    }
    fleet.system.store.set_outage(Outage::None);
}

#[test]
fn a_store_that_refuses_or_forgets_does_no_harm() {
    let fleet = Fleet::start(2);
    let mut session = fleet.session(0, STRICT);
    // The group's first record needs the store.
    session.done(&caller::write("bolt", "first"), State::Idle);
    for outage in [Outage::Busy, Outage::Slow(Duration::from_millis(200)), Outage::None] {
        fleet.system.store.set_outage(outage);
        fleet.system.store.compact();
        for number in 0..20 {
            session.done(&caller::write("bolt", &number.to_string()), State::Idle);
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn a_promotion_goes_on_though_the_stores_answers_are_lost() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let old = group.primary();
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "1"), State::Idle);
    fleet.system.store.set_outage(Outage::LostWriteResponses);
    old.crash();
    write_until_done(&mut session, "bolt", "2");
    fleet.system.store.set_outage(Outage::None);
    assert_ne!(group.primary().name, old.name);
}

#[test]
fn a_killed_host_leaves_nothing_open_and_comes_back() {
    let mut fleet = Fleet::start(2);
    let mut session = fleet.session(1, STRICT);
    session.done(caller::begin(false), State::Open);
    session.done(&caller::write("lot", "1"), State::Open);
    fleet.hosts[1].signal(Signal::KILL);
    assert!(session.receive().is_none());
    let mut other = fleet.session(0, STRICT);
    assert_eq!(other.row(&caller::read("lot")).0, "");
    fleet.hosts[1] = Process::start(2, fleet.system.address);
    eventually("the host is ready again", || fleet.hosts[1].is_ready());
    fleet.session(1, STRICT).done(&caller::write("lot", "2"), State::Idle);
}

#[test]
fn a_host_that_was_paused_over_a_promotion_does_not_serve_the_old_primary() {
    let fleet = Fleet::start(3);
    let group = fleet.system.groups[0].clone();
    let mut paused = fleet.session(2, STRICT);
    let mut other = fleet.session(0, STRICT);
    other.done(&caller::write("bolt", "1"), State::Idle);
    paused.row(&caller::read("bolt"));
    fleet.hosts[2].signal(Signal::STOP);
    group.primary().mark_leaving();
    eventually("another target leads", || group.primary().name != "orders-0");
    write_until_done(&mut other, "bolt", "2");
    fleet.hosts[2].signal(Signal::CONT);
    let answer = paused.run(&caller::read("bolt"));
    match answer.end {
        End::Done => assert!(answer.first_row().is_some_and(|row| row.starts_with("2|"))),
        end => assert!(matches!(end, End::Error(code) if code.guarantees_no_effect()), "{end:?}"),
    }
}

#[test]
fn reads_within_their_bound_go_on_while_a_primary_is_replaced() {
    let fleet = Fleet::start(2);
    let mut session = fleet.session(0, OLD);
    session.row(&caller::read("x"));
    std::thread::sleep(Duration::from_millis(600));
    fleet.system.groups[0].primary().crash();
    let until = Instant::now() + Duration::from_millis(500);
    while Instant::now() < until {
        session.row(&caller::read("x"));
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_host_that_stops_says_so_ends_what_runs_and_closes_idle_sessions() {
    let mut fleet = Fleet::start(2);
    let mut idle = fleet.session(0, STRICT);
    let mut busy = fleet.session(0, STRICT);
    busy.done(caller::begin(false), State::Open);
    busy.done(&caller::write("lot", "1"), State::Open);
    let began = Instant::now();
    fleet.hosts[0].signal(Signal::TERM);
    eventually("the host is not ready", || !fleet.hosts[0].is_ready());
    std::thread::sleep(Duration::from_millis(1500));
    // New sessions are still served until the balancer has noticed.
    let late = Caller::connect(fleet.hosts[0].callers, STRICT, KEY);
    assert!(late.is_ok());
    busy.done(text::COMMIT, State::Idle);
    assert!(idle.receive().is_none(), "an idle session is closed without a word");
    drop((busy, late));
    assert!(fleet.hosts[0].wait());
    assert!(began.elapsed() < Duration::from_secs(6));
    let mut other = fleet.session(1, STRICT);
    assert_eq!(other.row(&caller::read("lot")).0, "1");
}

#[test]
fn a_host_without_configuration_says_nothing_of_routes_and_keys() {
    let system = bergamotvale_standin::lines::System::start(&["orders"]).expect("it starts");
    let host = Process::start(1, system.address);
    eventually("it listens", || std::net::TcpStream::connect(host.callers).is_ok());
    assert!(!host.is_ready());
    assert_eq!(Caller::connect(host.callers, STRICT, KEY).err(), Some(Code::Busy));
}

#[test]
fn a_primary_that_leaves_without_a_successor_gets_no_work_after_its_drain() {
    let fleet = Fleet::start(1);
    let group = fleet.system.groups[0].clone();
    let primary = group.primary();
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "0"), State::Idle);
    for target in group.targets.iter().filter(|target| target.name != primary.name) {
        target.crash();
    }
    primary.mark_leaving();
    let left = Instant::now();
    while left.elapsed() < Duration::from_secs(7) {
        session.run(&caller::write("bolt", "1"));
        std::thread::sleep(Duration::from_millis(20));
    }
    let count = primary.count_writes("bolt");
    assert_eq!(session.refused(&caller::write("bolt", "2")), (Code::Busy, State::Idle));
    assert_eq!(primary.count_writes("bolt"), count);
}

#[test]
fn a_record_written_late_does_no_harm() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let old = group.primary();
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "1"), State::Idle);
    fleet.system.store.set_outage(Outage::DelayedWrites(Duration::from_millis(900)));
    old.crash();
    std::thread::sleep(Duration::from_millis(600));
    fleet.system.store.set_outage(Outage::None);
    write_until_done(&mut session, "bolt", "2");
    std::thread::sleep(Duration::from_millis(1500));
    write_until_done(&mut session, "bolt", "3");
    assert_ne!(group.primary().name, old.name);
    assert_eq!(session.row(&caller::read("bolt")).0, "3");
}

#[test]
fn a_store_that_takes_few_calls_is_enough() {
    let fleet = Fleet::start(2);
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "0"), State::Idle);
    fleet.system.store.set_outage(Outage::Limited(6));
    for number in 0..60 {
        session.done(&caller::write("bolt", &number.to_string()), State::Idle);
        std::thread::sleep(Duration::from_millis(30));
    }
}

#[test]
fn a_target_that_takes_few_connections_serves_all_sessions() {
    let fleet = Fleet::start(2);
    for target in &fleet.system.groups[0].targets {
        target.set_connection_limit(2);
    }
    let mut sessions: Vec<Caller> = (0..12).map(|i| fleet.session(i % 2, STRICT)).collect();
    for round in 0..5 {
        for session in &mut sessions {
            write_until_done(session, "bolt", &round.to_string());
        }
    }
}

/// Hosts and a group whose commits wait for one replica.
fn synchronous_fleet(hosts: u8) -> Fleet {
    let mut fleet = Fleet::start(hosts);
    fleet.system.groups[0].set_sync_replicas(1);
    fleet.reconfigure(|catalog| {
        for group in catalog.groups.values_mut() {
            group.sync_replicas = 1;
        }
    });
    fleet
}

/// A primary whose commits only one of two replicas receives dies: that replica takes over, though
/// the hosts know nothing of either's position.
#[test]
fn a_group_with_a_synchronous_replica_keeps_every_acknowledged_commit() {
    let fleet = synchronous_fleet(3);
    let group = fleet.system.groups[0].clone();
    let old = group.primary();
    let behind = group.targets.iter().find(|target| target.name != old.name).unwrap().clone();
    behind.set_lag(Duration::from_secs(3600));
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "1"), State::Idle);
    session.done(&caller::write("lot", "2"), State::Idle);
    old.crash();
    // Nothing is left that it could receive from the old primary.
    behind.set_lag(Duration::from_millis(5));
    write_until_done(&mut session, "pallet", "3");
    assert_ne!(group.primary().name, behind.name);
    assert_eq!(session.row(&caller::read("bolt")).0, "1");
    assert_eq!(session.row(&caller::read("lot")).0, "2");
}

/// With one replica dead and the other behind, nobody knows what was acknowledged: the group waits
/// until the dead one is back instead of going on without its commits.
#[test]
fn a_group_with_a_synchronous_replica_waits_for_the_one_that_may_have_more() {
    let fleet = synchronous_fleet(2);
    let group = fleet.system.groups[0].clone();
    let old = group.primary();
    let replicas: Vec<_> = group.targets.iter().filter(|t| t.name != old.name).cloned().collect();
    replicas[0].set_lag(Duration::from_secs(3600));
    let mut session = fleet.session(0, STRICT);
    session.done(&caller::write("bolt", "1"), State::Idle);
    old.crash();
    replicas[1].crash();
    std::thread::sleep(Duration::from_secs(6));
    assert!(!replicas[0].is_primary(), "a replica without an acknowledged commit was promoted");
    let (code, _) = session.refused(&caller::write("bolt", "2"));
    assert!(code.guarantees_no_effect(), "{code}");
}

/// Found by the soak, seed 8: a dead target's longer log, which had gone another way, passed for a
/// replica that had received a commit.
#[test]
fn a_stand_in_group_acknowledges_only_what_a_replica_has_received() {
    let fleet = Fleet::start(1);
    let group = fleet.system.groups[0].clone();
    let old = group.primary();
    let replicas: Vec<_> = group.targets.iter().filter(|t| t.name != old.name).cloned().collect();
    let deaf = Duration::from_secs(3600);
    replicas.iter().for_each(|replica| replica.set_lag(deaf));
    let mut session = fleet.session(0, STRICT);
    for number in 0..5 {
        session.done(&caller::write("bolt", &number.to_string()), State::Idle);
    }
    old.crash();
    write_until_done(&mut session, "lot", "1");
    group.set_sync_replicas(1);
    assert_ne!(session.run(&caller::write("lot", "2")).end, End::Done);
}
