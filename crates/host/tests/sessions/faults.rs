//! Sessions under faults: primaries that crash or leave, outages of the store, hosts that are
//! killed, paused or stopped, and groups with a synchronous replica.

use crate::fixture::{
    BOUNDED_DB, Caller, Fleet, KEY, Process, STRICT_DB, WAIT_TIMEOUT, eventually,
};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use bergamotvale_platform::text;
use bergamotvale_sessions::fleet::follow::{MEMBER_PREFIX, TABLE};
use bergamotvale_standin::lines::{Outage, Target};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Writes until one succeeds. Every other write has to be refused with a code that guarantees no
/// effect, or to be of unknown outcome.
pub(crate) fn write_until_acknowledged(session: &mut Caller, item: &str, data: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match session.run(&caller::write(item, data)).end {
            End::Done => return,
            End::Error(code) => {
                assert!(code.guarantees_no_effect() || code == Code::Unknown, "{code}");
            }
            End::Ready => panic!("an answer to a write ends with Ready"),
        }
        assert!(Instant::now() < deadline, "no write succeeds in time");
    }
}

#[test]
fn a_primary_that_crashes_is_replaced_and_every_host_follows() {
    let fleet = Fleet::start(3);
    let group = fleet.system.groups[0].clone();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    std::thread::sleep(Duration::from_millis(100));
    let old_primary = group.primary();
    old_primary.crash();
    write_until_acknowledged(&mut session, "bolt", "2");
    assert_ne!(group.primary().name, old_primary.name);
    for host in 0..3 {
        let mut session = fleet.open_session(host, STRICT_DB);
        eventually("the new primary serves", || {
            session.run(&caller::read("bolt")).end == End::Done
        });
        assert_eq!(session.expect_row(&caller::read("bolt")).0, "2");
    }
}

#[test]
fn a_transaction_on_a_crashed_primary_is_rolled_back_and_said_so() {
    let fleet = Fleet::start(2);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "1"), State::Open);
    fleet.system.groups[0].primary().crash();
    let (code, state) = session.expect_refusal(&caller::write("lot", "2"));
    assert_eq!((code, state), (Code::Aborted, State::Failed));
    session.expect_done(text::ROLLBACK, State::Idle);
    write_until_acknowledged(&mut session, "lot", "3");
}

#[test]
fn a_primary_that_leaves_is_replaced_without_a_refused_write() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "0"), State::Idle);
    old_primary.mark_leaving();
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
    }
    assert_ne!(group.primary().name, old_primary.name);
    assert_eq!(session.expect_row(&caller::read("bolt")).0, number.to_string());
}

/// Guards against retrying a commit that may have taken effect, which could apply it twice.
#[test]
fn a_commit_whose_answer_is_lost_is_of_unknown_outcome_and_not_repeated() {
    let fleet = Fleet::start(1);
    let group = fleet.system.groups[0].clone();
    let primary = group.primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_row(&caller::read("bolt"));
    primary.drop_commit_responses(true);
    assert_eq!(session.expect_refusal(&caller::write("bolt", "1")), (Code::Unknown, State::Idle));
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("bolt", "2"), State::Open);
    assert_eq!(session.expect_refusal(text::COMMIT), (Code::Unknown, State::Idle));
    primary.drop_commit_responses(false);
    assert_eq!(primary.count_writes("bolt"), 2);
}

/// The hosts' leases cannot be renewed through a store that does not respond; they have to stay
/// valid through the attestations that the hosts exchange.
#[test]
fn while_the_store_is_silent_the_hosts_vouch_for_each_other() {
    let fleet = Fleet::start(3);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "0"), State::Idle);
    fleet.system.store.set_outage(Outage::Silent);
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
        std::thread::sleep(Duration::from_millis(10));
    }
    fleet.system.store.set_outage(Outage::None);
}

/// Guards against refused writes while the store refuses calls, is slow, or has discarded its
/// change history so that the hosts have to read their tables again.
#[test]
fn a_store_that_refuses_or_forgets_does_no_harm() {
    let fleet = Fleet::start(2);
    let mut session = fleet.open_session(0, STRICT_DB);
    // The first record of the group cannot be written without the store.
    session.expect_done(&caller::write("bolt", "first"), State::Idle);
    for outage in [Outage::Busy, Outage::Slow(Duration::from_millis(200)), Outage::None] {
        fleet.system.store.set_outage(outage);
        fleet.system.store.compact();
        for number in 0..20 {
            session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Guards against a promotion that stalls because the store executes writes without answering them:
/// the host cannot know whether its write of the group's record took effect.
#[test]
fn a_promotion_goes_on_though_the_stores_answers_are_lost() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    fleet.system.store.set_outage(Outage::LostWriteResponses);
    old_primary.crash();
    write_until_acknowledged(&mut session, "bolt", "2");
    fleet.system.store.set_outage(Outage::None);
    assert_ne!(group.primary().name, old_primary.name);
}

#[test]
fn a_killed_host_leaves_nothing_open_and_comes_back() {
    let mut fleet = Fleet::start(2);
    let mut session = fleet.open_session(1, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "1"), State::Open);
    fleet.hosts[1].signal(Signal::KILL);
    assert!(session.receive().is_none());
    let mut other = fleet.open_session(0, STRICT_DB);
    assert_eq!(other.expect_row(&caller::read("lot")).0, "");
    fleet.hosts[1] = Process::start(2, fleet.system.address);
    eventually("the host is ready again", || fleet.hosts[1].is_ready());
    fleet.open_session(1, STRICT_DB).expect_done(&caller::write("lot", "2"), State::Idle);
}

/// Guards against stale reads: a host that resumes after a promotion still holds a connection to
/// the old primary, and must not serve reads from it.
#[test]
fn a_host_that_was_paused_over_a_promotion_does_not_serve_the_old_primary() {
    let fleet = Fleet::start(3);
    let group = fleet.system.groups[0].clone();
    let mut paused = fleet.open_session(2, STRICT_DB);
    let mut other = fleet.open_session(0, STRICT_DB);
    other.expect_done(&caller::write("bolt", "1"), State::Idle);
    paused.expect_row(&caller::read("bolt"));
    fleet.hosts[2].signal(Signal::STOP);
    group.primary().mark_leaving();
    eventually("another target is the primary", || group.primary().name != "orders-0");
    write_until_acknowledged(&mut other, "bolt", "2");
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
    let mut session = fleet.open_session(0, BOUNDED_DB);
    session.expect_row(&caller::read("x"));
    std::thread::sleep(Duration::from_millis(600));
    fleet.system.groups[0].primary().crash();
    let deadline = Instant::now() + Duration::from_millis(500);
    while Instant::now() < deadline {
        session.expect_row(&caller::read("x"));
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_host_that_stops_says_so_ends_what_runs_and_closes_idle_sessions() {
    let mut fleet = Fleet::start(2);
    let mut idle = fleet.open_session(0, STRICT_DB);
    let mut busy = fleet.open_session(0, STRICT_DB);
    busy.expect_done(caller::begin(false), State::Open);
    busy.expect_done(&caller::write("lot", "1"), State::Open);
    let start = Instant::now();
    fleet.hosts[0].signal(Signal::TERM);
    eventually("the host is not ready", || !fleet.hosts[0].is_ready());
    std::thread::sleep(Duration::from_millis(1500));
    // New sessions are still served until the load balancer has noticed that the host is not ready.
    let late_session = Caller::connect(fleet.hosts[0].callers, STRICT_DB, KEY);
    assert!(late_session.is_ok());
    busy.expect_done(text::COMMIT, State::Idle);
    assert!(idle.receive().is_none(), "an idle session is closed without a message");
    drop((busy, late_session));
    assert!(fleet.hosts[0].wait_for_exit());
    assert!(start.elapsed() < Duration::from_secs(6));
    let mut other = fleet.open_session(1, STRICT_DB);
    assert_eq!(other.expect_row(&caller::read("lot")).0, "1");
}

/// A host that has read no configuration cannot tell whether a route or key exists: it has to
/// refuse sessions as busy, not as unknown.
#[test]
fn a_host_without_configuration_says_nothing_of_routes_and_keys() {
    let system =
        bergamotvale_standin::lines::System::start(&["orders"]).expect("the stand-ins start");
    let host = Process::start(1, system.address);
    eventually("the host listens", || std::net::TcpStream::connect(host.callers).is_ok());
    assert!(!host.is_ready());
    assert_eq!(Caller::connect(host.callers, STRICT_DB, KEY).err(), Some(Code::Busy));
}

#[test]
fn a_primary_that_leaves_without_a_successor_gets_no_work_after_its_drain() {
    let fleet = Fleet::start(1);
    let group = fleet.system.groups[0].clone();
    let primary = group.primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "0"), State::Idle);
    for target in group.targets.iter().filter(|target| target.name != primary.name) {
        target.crash();
    }
    primary.mark_leaving();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(7) {
        session.run(&caller::write("bolt", "1"));
        std::thread::sleep(Duration::from_millis(20));
    }
    let write_count = primary.count_writes("bolt");
    assert_eq!(session.expect_refusal(&caller::write("bolt", "2")), (Code::Busy, State::Idle));
    assert_eq!(primary.count_writes("bolt"), write_count);
}

/// Guards against a write to the store that takes effect late. While the primary is replaced, the
/// store answers no write and executes it after a delay, which may be after the hosts' retries.
#[test]
fn a_record_written_late_does_no_harm() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    fleet.system.store.set_outage(Outage::DelayedWrites(Duration::from_millis(900)));
    old_primary.crash();
    std::thread::sleep(Duration::from_millis(600));
    fleet.system.store.set_outage(Outage::None);
    write_until_acknowledged(&mut session, "bolt", "2");
    std::thread::sleep(Duration::from_millis(1500));
    write_until_acknowledged(&mut session, "bolt", "3");
    assert_ne!(group.primary().name, old_primary.name);
    assert_eq!(session.expect_row(&caller::read("bolt")).0, "3");
}

#[test]
fn a_store_that_takes_few_calls_is_enough() {
    let fleet = Fleet::start(2);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "0"), State::Idle);
    fleet.system.store.set_outage(Outage::Limited(6));
    for number in 0..60 {
        session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
        std::thread::sleep(Duration::from_millis(30));
    }
}

#[test]
fn a_target_that_takes_few_connections_serves_all_sessions() {
    let fleet = Fleet::start(2);
    for target in &fleet.system.groups[0].targets {
        target.set_connection_limit(2);
    }
    let mut sessions: Vec<Caller> = (0..12).map(|i| fleet.open_session(i % 2, STRICT_DB)).collect();
    for round in 0..5 {
        for session in &mut sessions {
            write_until_acknowledged(session, "bolt", &round.to_string());
        }
    }
}

/// Starts hosts and a group whose commits wait for one replica.
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

/// Guards against promoting a replica that lacks acknowledged commits. Only one of two replicas
/// receives them before the primary crashes; that one has to be promoted, though the hosts know the
/// position of neither.
#[test]
fn a_group_with_a_synchronous_replica_keeps_every_acknowledged_commit() {
    let fleet = synchronous_fleet(3);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let lagging =
        group.targets.iter().find(|target| target.name != old_primary.name).unwrap().clone();
    lagging.set_lag(Duration::from_secs(3600));
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    session.expect_done(&caller::write("lot", "2"), State::Idle);
    old_primary.crash();
    // Without lag it still receives nothing more: the old primary has crashed.
    lagging.set_lag(Duration::from_millis(5));
    write_until_acknowledged(&mut session, "pallet", "3");
    assert_ne!(group.primary().name, lagging.name);
    assert_eq!(session.expect_row(&caller::read("bolt")).0, "1");
    assert_eq!(session.expect_row(&caller::read("lot")).0, "2");
}

/// Guards against a promotion that loses acknowledged commits. With one replica crashed and the
/// other lagging, it is unknown which commits were acknowledged: the group has to wait for the
/// crashed replica instead of promoting the lagging one.
#[test]
fn a_group_with_a_synchronous_replica_waits_for_the_one_that_may_have_more() {
    let fleet = synchronous_fleet(2);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let replicas: Vec<_> =
        group.targets.iter().filter(|t| t.name != old_primary.name).cloned().collect();
    replicas[0].set_lag(Duration::from_secs(3600));
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    old_primary.crash();
    replicas[1].crash();
    std::thread::sleep(Duration::from_secs(6));
    assert!(!replicas[0].is_primary(), "a replica without an acknowledged commit was promoted");
    let (code, _) = session.expect_refusal(&caller::write("bolt", "2"));
    assert!(code.guarantees_no_effect(), "{code}");
}

/// A group with a synchronous replica in which only `unlisted` has received the last acknowledged
/// write, "2" to "bolt", and the directory does not list it.
struct UnlistedHolder {
    fleet: Fleet,
    session: Caller,
    old_primary: Arc<Target>,
    lagging: Arc<Target>,
    unlisted: Arc<Target>,
}

fn unlisted_holder(hosts: u8) -> UnlistedHolder {
    let fleet = synchronous_fleet(hosts);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let replicas: Vec<_> =
        group.targets.iter().filter(|t| t.name != old_primary.name).cloned().collect();
    let (lagging, unlisted) = (replicas[0].clone(), replicas[1].clone());
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    std::thread::sleep(Duration::from_secs(1));
    lagging.set_lag(Duration::from_secs(3600));
    unlisted.cut_from_store();
    std::thread::sleep(Duration::from_millis(500));
    session.expect_done(&caller::write("bolt", "2"), State::Idle);
    UnlistedHolder { fleet, session, old_primary, lagging, unlisted }
}

/// Guards against the loss of acknowledged commits that only a replica has which is cut from the
/// store, and so is in no directory, but alive: the survey counted listed replicas only.
#[test]
fn a_commit_that_only_an_unlisted_replica_has_survives_the_primary() {
    let UnlistedHolder { fleet, mut session, old_primary, lagging, .. } = unlisted_holder(2);

    old_primary.crash();
    lagging.set_lag(Duration::from_millis(5));

    write_until_acknowledged(&mut session, "pallet", "3");
    assert_eq!(session.expect_row(&caller::read("bolt")).0, "2");
    // Callers are served by listed targets only.
    assert_eq!(fleet.system.groups[0].primary().name, lagging.name);
}

/// Guards against the loss of acknowledged commits that only an unlisted replica has, while it does
/// not answer either: the group waits for it.
#[test]
fn a_group_waits_for_an_unlisted_replica_that_may_have_more() {
    let holder = unlisted_holder(2);
    let UnlistedHolder { mut session, old_primary, lagging, unlisted, fleet: _fleet } = holder;

    unlisted.crash();
    old_primary.crash();
    std::thread::sleep(Duration::from_secs(6));

    assert!(!lagging.is_primary(), "a replica without an acknowledged commit was promoted");
    unlisted.restart().expect("the target starts");
    lagging.set_lag(Duration::from_millis(5));
    write_until_acknowledged(&mut session, "pallet", "3");
    assert_eq!(session.expect_row(&caller::read("bolt")).0, "2");
}

/// Guards against a group that waits for a replica which has ended for good, though the others have
/// received all that it can have acknowledged.
#[test]
fn a_replica_that_has_ended_is_not_waited_for_once_others_have_its_commits() {
    let holder = unlisted_holder(2);
    let UnlistedHolder { mut session, old_primary, lagging, unlisted, fleet: _fleet } = holder;
    lagging.set_lag(Duration::from_millis(5));

    unlisted.crash();
    session.expect_done(&caller::write("lot", "1"), State::Idle);
    std::thread::sleep(Duration::from_secs(4));
    old_primary.crash();

    eventually("the replica with all commits is promoted", || lagging.is_primary());
    // A commit of the new primary needs a replica.
    old_primary.restart().expect("the target starts");
    write_until_acknowledged(&mut session, "pallet", "3");
    assert_eq!(session.expect_row(&caller::read("bolt")).0, "2");
}

/// Guards against a fault of the stand-in that the soak found with seed 8: a crashed target whose
/// longer log had diverged was counted as a replica that had received a commit.
#[test]
fn a_stand_in_group_acknowledges_only_what_a_replica_has_received() {
    let fleet = Fleet::start(1);
    let group = fleet.system.groups[0].clone();
    let old_primary = group.primary();
    let replicas: Vec<_> =
        group.targets.iter().filter(|t| t.name != old_primary.name).cloned().collect();
    let lag = Duration::from_secs(3600);
    replicas.iter().for_each(|replica| replica.set_lag(lag));
    let mut session = fleet.open_session(0, STRICT_DB);
    for number in 0..5 {
        session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
    }
    old_primary.crash();
    write_until_acknowledged(&mut session, "lot", "1");
    group.set_sync_replicas(1);
    assert_ne!(session.run(&caller::write("lot", "2")).end, End::Done);
}

/// Changes the incarnation that a host's member row records, as a late write of another one does.
fn overwrite_member_row(fleet: &Fleet) -> String {
    let store = &fleet.system.store;
    let copy = store.copy();
    let key = copy.keys(TABLE).find(|key| key.starts_with(MEMBER_PREFIX)).expect("a member's row");
    let row = store.value(TABLE, key).expect("the row has a value");
    let mut row: serde_json::Value = serde_json::from_slice(&row).expect("the row is JSON");
    row["incarnation"] = 1.into();
    store.write(TABLE, key, Some(row.to_string().into()));
    key.to_owned()
}

/// Guards against a host that stays out of service for good after a late write of an earlier
/// incarnation has replaced its member row.
#[test]
fn a_member_row_of_an_earlier_incarnation_is_replaced() {
    let fleet = Fleet::start(2);

    let key = overwrite_member_row(&fleet);

    let recorded = || {
        let row = fleet.system.store.value(TABLE, &key).expect("the row stays");
        let row: serde_json::Value = serde_json::from_slice(&row).expect("the row is JSON");
        row["incarnation"].as_u64()
    };
    eventually("the running incarnation is recorded", || recorded() != Some(1));
    eventually("hosts are ready", || fleet.hosts.iter().all(Process::is_ready));
    for host in 0..2 {
        fleet.open_session(host, STRICT_DB).expect_done(&caller::write("bolt", "1"), State::Idle);
    }
}

/// Guards against an unconditional write of the member row: the store executes the write of a killed
/// incarnation after its successor has written the row.
#[test]
fn a_member_row_written_late_does_not_replace_that_of_the_running_host() {
    let delay = Duration::from_secs(3);
    let mut fleet = Fleet::start(1);
    let store = fleet.system.store.clone();
    fleet.hosts.clear();
    store.set_outage(Outage::DelayedWrites(delay));
    let killed = Process::start(1, fleet.system.address);
    // The host writes its row as soon as it has started.
    std::thread::sleep(Duration::from_millis(600));
    drop(killed);
    store.set_outage(Outage::None);
    fleet.hosts.push(Process::start(1, fleet.system.address));
    eventually("the host is ready", || fleet.hosts[0].is_ready());
    let row = || {
        let key =
            store.copy().keys(TABLE).find(|key| key.starts_with(MEMBER_PREFIX)).map(str::to_owned);
        store.value(TABLE, &key.expect("the host's row"))
    };
    let written = row();

    std::thread::sleep(delay);

    assert_eq!(row(), written);
    assert!(fleet.hosts[0].is_ready());
}
