//! Operations that are forwarded to the hosts that own their connections: three hosts with so many
//! accounts and so few connections that forwarding is in force, and one failure per test.

use crate::faults::write_until_acknowledged;
use crate::fixture::{
    self, BOUNDED_DB, Caller, Fleet, KEY, Process, READ_YOUR_WRITES_DB, STRICT_DB, eventually,
};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::catalog::{Account, Catalog};
use bergamotvale_core::proxy::home::Regions;
use bergamotvale_core::proxy::statement::{Access, Shape};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use bergamotvale_platform::text;
use rustix::process::Signal;
use std::time::{Duration, Instant};

const HOSTS: u8 = 3;
/// Connection limit of each target; 16 are usable, for 120 accounts on three hosts.
const CONNECTION_LIMIT: u32 = 20;

/// The configuration of most tests, with so many accounts that operations are forwarded.
pub(crate) fn many_accounts() -> Catalog {
    let mut catalog = fixture::catalog();
    for number in 0..118 {
        let name = format!("account-{number}");
        let home_regions = Regions::default();
        let account = Account { name: name.clone(), rate: 100, burst: 100, home_regions };
        catalog.accounts.insert(name, account);
    }
    for group in catalog.groups.values_mut() {
        group.connection_limit = CONNECTION_LIMIT;
    }
    catalog
}

fn start() -> Fleet {
    let fleet = Fleet::start_with(HOSTS, many_accounts());
    eventually("all hosts know all members", || {
        fleet.hosts.iter().all(|host| host.status().members.len() == usize::from(HOSTS))
    });
    fleet
}

fn counter(host: &Process, name: &str) -> u64 {
    let metrics = host.metrics();
    let line = metrics.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    line.map_or(0, |value| value.parse().expect("a counter is a number"))
}

/// Index of the host that serves the forwarded writes of the account with the key [`KEY`].
fn find_owner(fleet: &Fleet) -> usize {
    let served = |host: usize| counter(&fleet.hosts[host], "hops_served");
    let before: Vec<u64> = (0..fleet.hosts.len()).map(served).collect();
    for host in 0..fleet.hosts.len() {
        let mut session = fleet.open_session(host, STRICT_DB);
        write_until_acknowledged(&mut session, "owner", "1");
    }
    (0..fleet.hosts.len()).find(|host| served(*host) > before[*host]).expect("a write is forwarded")
}

/// Guards against values, prepared statements or transactions that are lost on a hop, and against
/// connections that are opened by hosts other than the owner.
#[test]
fn every_host_serves_all_operations_over_the_connections_of_the_owner() {
    let fleet = start();
    let shape = Shape { access: Access::Read, text: "a".into() };
    for host in 0..usize::from(HOSTS) {
        let mut session = fleet.open_session(host, STRICT_DB);
        let item = format!("item-{host}");
        session.expect_done(&caller::write(&item, "1"), State::Idle);
        assert_eq!(session.expect_row(&caller::read(&item)).0, "1");
        session.expect_done(caller::begin(false), State::Open);
        session.expect_done(&caller::write(&item, "2"), State::Open);
        assert_eq!(session.expect_row(&caller::read(&item)).0, "2");
        session.expect_done(text::COMMIT, State::Idle);
        assert_eq!(session.expect_row(&caller::read(&item)).0, "2");
        session.expect_done(caller::begin(false), State::Open);
        session.expect_done(&caller::write(&item, "3"), State::Open);
        session.expect_done(text::ROLLBACK, State::Idle);
        assert_eq!(session.expect_row(&caller::read(&item)).0, "2");

        let mut reader = fleet.open_session(host, BOUNDED_DB);
        let mut other = fleet.open_session(host, BOUNDED_DB);
        reader.expect_done(&caller::set("unit", "m"), State::Idle);
        reader.expect_done(&caller::prepare("s1", &shape), State::Idle);
        for _ in 0..10 {
            assert_eq!(reader.expect_row(&caller::execute("s1", "x")).1, "unit=m");
            assert_eq!(other.expect_row(&caller::read("x")).1, "");
        }
        let mut own = fleet.open_session(host, READ_YOUR_WRITES_DB);
        for number in 10..20 {
            own.expect_done(&caller::write(&item, &number.to_string()), State::Idle);
            assert_eq!(own.expect_row(&caller::read(&item)).0, number.to_string());
        }
    }
    let total = |name: &str| -> u64 { fleet.hosts.iter().map(|h| counter(h, name)).sum() };
    assert!(total("hops") > 0, "nothing is forwarded");
    assert_eq!(total("hops"), total("hops_served"));
    assert_eq!(total("hop_last_resort"), 0);
}

/// Guards against a transaction whose connection to the owner is lost and that is committed
/// nevertheless, and against writes that no other host takes over.
#[test]
fn an_owner_that_is_killed_rolls_back_its_transactions_and_another_takes_over() {
    let mut fleet = start();
    let owner = find_owner(&fleet);
    let entry = (owner + 1) % usize::from(HOSTS);
    let mut session = fleet.open_session(entry, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "1"), State::Open);
    drop(fleet.hosts.remove(owner));
    let (code, _) = session.expect_refusal(&caller::write("lot", "2"));
    assert_eq!(code, Code::Aborted);
    session.expect_done(text::ROLLBACK, State::Idle);
    write_until_acknowledged(&mut session, "bolt", "1");
    assert_eq!(session.expect_row(&caller::read("lot")).0, "");
}

/// Guards against reads that wait for a frozen owner until their deadline, and against a write at a
/// frozen owner that is reported as not run.
#[test]
fn a_frozen_owner_is_avoided_and_its_write_is_not_reported_as_refused() {
    let fleet = start();
    let owner = find_owner(&fleet);
    let entry = (owner + 1) % usize::from(HOSTS);
    let mut writer = fleet.open_session(entry, STRICT_DB);
    let mut reader = fleet.open_session(entry, BOUNDED_DB);
    writer.expect_done(&caller::write("bolt", "0"), State::Idle);
    fleet.hosts[owner].signal(Signal::STOP);
    let written = writer.run(&caller::write("bolt", "1")).end;
    for _ in 0..10 {
        assert_eq!(reader.run(&caller::read("bolt")).end, End::Done);
    }
    write_until_acknowledged(&mut writer, "nut", "1");
    fleet.hosts[owner].signal(Signal::CONT);
    std::thread::sleep(Duration::from_millis(500));
    let count = fleet.system.groups[0].primary().count_writes("bolt");
    if count > 1 {
        assert!(
            matches!(written, End::Done | End::Error(Code::Unknown)),
            "a write that took effect was answered {written:?}"
        );
    }
}

/// Guards against hosts that keep connections of their own while others own them, and against owners
/// that keep to their old share: together they would exceed the target's limit.
#[test]
fn connections_move_to_the_owners_when_forwarding_begins_and_back_when_it_ends() {
    let mut fleet = Fleet::start(HOSTS);
    let counts = |fleet: &Fleet, name: &str| -> u64 {
        fleet.hosts.iter().map(|host| counter(host, name)).sum()
    };
    let run_everywhere = |fleet: &Fleet| {
        for host in 0..usize::from(HOSTS) {
            let mut session = fleet.open_session(host, STRICT_DB);
            session.expect_done(&caller::write("bolt", "1"), State::Idle);
            let mut reader = fleet.open_session(host, BOUNDED_DB);
            for _ in 0..10 {
                assert_eq!(reader.run(&caller::read("bolt")).end, End::Done);
            }
        }
    };
    run_everywhere(&fleet);
    assert_eq!(counts(&fleet, "hops"), 0, "a small fleet forwards");
    fleet.reconfigure(|catalog| *catalog = Catalog { version: catalog.version, ..many_accounts() });
    let version = fleet.catalog.version;
    eventually("all hosts have the configuration", || {
        fleet.hosts.iter().all(|host| host.status().version == version)
    });
    run_everywhere(&fleet);
    assert!(counts(&fleet, "hops") > 0, "nothing is forwarded");
    fleet.reconfigure(|catalog| {
        *catalog = Catalog { version: catalog.version, ..fixture::catalog() };
    });
    let version = fleet.catalog.version;
    eventually("all hosts have the configuration", || {
        fleet.hosts.iter().all(|host| host.status().version == version)
    });
    let before = counts(&fleet, "hops");
    run_everywhere(&fleet);
    assert_eq!(counts(&fleet, "hops"), before, "a small fleet forwards");
}

/// Guards against owners that check a withdrawn key or a rate differently from the entry host, and
/// against a rate that counts once for each host that a request passes.
#[test]
fn keys_and_rates_are_checked_once() {
    let mut catalog = many_accounts();
    let account = catalog.accounts.get_mut("mill").expect("the catalog has the account");
    (account.rate, account.burst) = (30, 30);
    let mut fleet = Fleet::start_with(HOSTS, catalog);
    let owner = find_owner(&fleet);
    let mut session = fleet.open_session((owner + 1) % usize::from(HOSTS), STRICT_DB);
    std::thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut served = 0;
    while began.elapsed() < Duration::from_secs(3) {
        if session.run(&caller::read("bolt")).end == End::Done {
            served += 1;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // A burst and three seconds at the rate are 120; counted twice it would be 60.
    assert!(served > 75, "{served} served");
    fleet.reconfigure(|catalog| drop(catalog.keys.remove(KEY)));
    eventually("the key is refused", || {
        session.run(&caller::read("bolt")).end == End::Error(Code::UnknownKey)
    });
}

/// Guards against a session that does not see its own commit because another host reads for it.
#[test]
fn a_session_reads_its_own_writes_at_the_owner_while_replicas_lag() {
    let fleet = start();
    for target in &fleet.system.groups[0].targets {
        target.set_lag(Duration::from_millis(300));
    }
    for host in 0..usize::from(HOSTS) {
        let mut session = fleet.open_session(host, READ_YOUR_WRITES_DB);
        for number in 0..5 {
            let data = format!("v{host}-{number}");
            session.expect_done(&caller::write("pallet", &data), State::Idle);
            assert_eq!(session.expect_row(&caller::read("pallet")).0, data);
        }
    }
}

/// Guards against a promotion that forwarded operations do not follow, or that does not begin
/// because hosts without connections of their own report the primary as alive.
#[test]
fn a_primary_that_crashes_is_replaced_while_its_operations_are_forwarded() {
    let fleet = start();
    let group = fleet.system.groups[0].clone();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    std::thread::sleep(Duration::from_millis(100));
    let old_primary = group.primary();
    old_primary.crash();
    write_until_acknowledged(&mut session, "bolt", "2");
    assert_ne!(group.primary().name, old_primary.name);
    for host in 0..usize::from(HOSTS) {
        let mut session = fleet.open_session(host, STRICT_DB);
        eventually("the new primary serves", || {
            session.run(&caller::read("bolt")).end == End::Done
        });
        assert_eq!(session.expect_row(&caller::read("bolt")).0, "2");
    }
}

/// Guards against refusals of what is sent to an owner that drains.
#[test]
fn an_owner_that_stops_hands_over_without_a_refused_statement() {
    let fleet = start();
    let owner = find_owner(&fleet);
    let entry = (owner + 1) % usize::from(HOSTS);
    let mut session = fleet.open_session(entry, STRICT_DB);
    fleet.hosts[owner].signal(Signal::TERM);
    let deadline = Instant::now() + Duration::from_secs(6);
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        session.expect_done(&caller::write("bolt", &number.to_string()), State::Idle);
        assert_eq!(session.expect_row(&caller::read("bolt")).0, number.to_string());
    }
}

/// Guards against commits at an owner whose answer is lost and that are reported as not run.
#[test]
fn a_commit_without_an_answer_is_unknown() {
    let fleet = start();
    let owner = find_owner(&fleet);
    let entry = (owner + 1) % usize::from(HOSTS);
    let mut session = fleet.open_session(entry, STRICT_DB);
    fleet.system.groups[0].primary().drop_commit_responses(true);
    let (code, _) = session.expect_refusal(&caller::write("bolt", "1"));
    assert_eq!(code, Code::Unknown);
    fleet.system.groups[0].primary().drop_commit_responses(false);
    // The lines of both hosts name the same request.
    let refusals = fleet.hosts[entry].events("refused");
    let id = refusals.last().expect("the refusal is logged")["request"].clone();
    let failures = fleet.hosts[owner].events("hop_failed");
    assert!(failures.iter().any(|line| line["request"] == id), "{failures:?}");
}

/// Guards against a listener that runs the operations of anyone: the test's own address is that of
/// no member.
#[test]
fn a_connection_from_an_address_that_is_no_members_is_closed() {
    use std::io::Read;
    let fleet = start();
    let peers = std::net::SocketAddr::new(fleet.hosts[0].callers.ip(), 7004);
    let mut stream = std::net::TcpStream::connect(peers).expect("the host listens");
    stream.set_read_timeout(Some(fixture::WAIT_TIMEOUT)).expect("the read timeout is set");
    let mut byte = [0];
    assert_eq!(stream.read(&mut byte).expect("the host closes the connection"), 0);
    assert_eq!(counter(&fleet.hosts[0], "hop_refused_not_member"), 1);
    assert!(Caller::connect(fleet.hosts[0].callers, STRICT_DB, KEY).is_ok());
}
