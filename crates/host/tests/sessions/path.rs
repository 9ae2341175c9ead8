//! Sessions without faults, from caller to target and back: session values, prepared statements,
//! transactions, routes, keys, rate limits and malformed input.

use crate::fixture::{
    self, BOUNDED_DB, Caller, Fleet, KEY, OTHER_KEY, READ_YOUR_WRITES_DB, STRICT_DB, eventually,
};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::statement::{Access, Shape};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use bergamotvale_platform::text;

#[test]
fn a_write_is_seen_at_once_where_reads_see_every_commit() {
    let fleet = Fleet::start(2);
    let mut writer = fleet.open_session(0, STRICT_DB);
    let mut reader = fleet.open_session(1, STRICT_DB);
    for number in 0..20 {
        let data = format!("v{number}");
        writer.expect_done(&caller::write("bolt", &data), State::Idle);
        assert_eq!(reader.expect_row(&caller::read("bolt")).0, data);
    }
}

#[test]
fn a_session_reads_its_own_writes_while_replicas_lag() {
    let fleet = Fleet::start(1);
    for target in &fleet.system.groups[0].targets {
        target.set_lag(std::time::Duration::from_millis(300));
    }
    let mut session = fleet.open_session(0, READ_YOUR_WRITES_DB);
    for number in 0..5 {
        let data = format!("v{number}");
        session.expect_done(&caller::write("pallet", &data), State::Idle);
        assert_eq!(session.expect_row(&caller::read("pallet")).0, data);
    }
}

/// Sessions share connections to targets. Guards against the session values and prepared statements
/// of one session showing up in another that uses the same connection.
#[test]
fn sessions_do_not_see_each_others_values_or_names() {
    let fleet = Fleet::start(1);
    let shape = |text: &str| Shape { access: Access::Read, text: text.into() };
    let mut session = fleet.open_session(0, BOUNDED_DB);
    let mut other = fleet.open_session(0, BOUNDED_DB);
    session.expect_done(&caller::set("unit", "m"), State::Idle);
    session.expect_done(&caller::prepare("s1", &shape("a")), State::Idle);
    other.expect_done(&caller::prepare("s1", &shape("b")), State::Idle);
    for _ in 0..6 {
        assert_eq!(session.expect_row(&caller::execute("s1", "x")).1, "unit=m");
        assert_eq!(other.expect_row(&caller::execute("s1", "x")).1, "");
    }
    other.expect_done(&caller::set("unit", "yd"), State::Idle);
    assert_eq!(other.expect_row(&caller::read("x")).1, "unit=yd");
    assert_eq!(session.expect_row(&caller::read("x")).1, "unit=m");
    other.expect_done(&caller::deallocate("s1"), State::Idle);
    assert_eq!(other.expect_refusal(&caller::execute("s1", "x")).0, Code::UnknownStatement);
    session.expect_row(&caller::execute("s1", "x"));
}

#[test]
fn a_transaction_sees_its_writes_and_others_see_them_after_the_commit() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, STRICT_DB);
    let mut other = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "7"), State::Open);
    assert_eq!(session.expect_row(&caller::read("lot")).0, "7");
    assert_eq!(other.expect_row(&caller::read("lot")).0, "");
    session.expect_done(text::COMMIT, State::Idle);
    assert_eq!(other.expect_row(&caller::read("lot")).0, "7");
}

#[test]
fn a_rolled_back_transaction_leaves_nothing() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "8"), State::Open);
    session.expect_done(text::ROLLBACK, State::Idle);
    assert_eq!(session.expect_row(&caller::read("lot")).0, "");
}

#[test]
fn a_caller_that_leaves_in_a_transaction_leaves_nothing() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "9"), State::Open);
    drop(session);
    let mut other = fleet.open_session(0, STRICT_DB);
    for _ in 0..20 {
        assert_eq!(other.expect_row(&caller::read("lot")).0, "");
    }
}

#[test]
fn a_write_in_a_reading_transaction_fails_it() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, BOUNDED_DB);
    session.expect_done(caller::begin(true), State::Open);
    let (code, state) = session.expect_refusal(&caller::write("lot", "9"));
    assert_eq!(code, Code::ReadOnly);
    if state == State::Failed {
        assert_eq!(session.expect_refusal(&caller::read("lot")), (Code::Malformed, State::Failed));
    }
    session.expect_done(text::ROLLBACK, State::Idle);
}

#[test]
fn a_transaction_that_rests_too_long_is_rolled_back_and_its_caller_is_told() {
    let mut catalog = fixture::catalog();
    catalog.transaction_idle_timeout = std::time::Duration::from_millis(300);
    let fleet = Fleet::start_with(1, catalog);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "5"), State::Open);
    std::thread::sleep(std::time::Duration::from_millis(700));
    assert_eq!(session.expect_refusal(&caller::read("lot")), (Code::Aborted, State::Failed));
    assert_eq!(session.expect_refusal(&caller::read("lot")), (Code::Malformed, State::Failed));
    assert_eq!(session.expect_refusal(text::COMMIT), (Code::Aborted, State::Idle));
    assert_eq!(session.expect_row(&caller::read("lot")).0, "");
}

#[test]
fn unknown_databases_and_keys_are_refused() {
    let fleet = Fleet::start(1);
    let address = fleet.hosts[0].callers;
    assert_eq!(Caller::connect(address, "none", KEY).err(), Some(Code::UnknownDatabase));
    assert_eq!(Caller::connect(address, BOUNDED_DB, "k-none").err(), Some(Code::UnknownKey));
}

#[test]
fn a_withdrawn_key_ends_open_sessions_and_transactions() {
    let mut fleet = Fleet::start(1);
    let mut idle = fleet.open_session(0, STRICT_DB);
    let mut in_transaction = fleet.open_session(0, STRICT_DB);
    let address = fleet.hosts[0].callers;
    let mut other = Caller::connect(address, STRICT_DB, OTHER_KEY).expect("the session opens");
    in_transaction.expect_done(caller::begin(false), State::Open);
    in_transaction.expect_done(&caller::write("lot", "1"), State::Open);
    fleet.reconfigure(|catalog| drop(catalog.keys.remove(KEY)));
    eventually("the key is refused", || {
        idle.run(&caller::read("lot")).end == End::Error(Code::UnknownKey)
    });
    assert_eq!(in_transaction.expect_refusal(text::COMMIT), (Code::UnknownKey, State::Idle));
    assert_eq!(other.expect_row(&caller::read("lot")).0, "");
}

#[test]
fn a_dropped_route_holds_from_the_next_transaction_on() {
    let mut fleet = Fleet::start(1);
    let mut in_transaction = fleet.open_session(0, STRICT_DB);
    let mut idle = fleet.open_session(0, STRICT_DB);
    in_transaction.expect_done(caller::begin(false), State::Open);
    in_transaction.expect_done(&caller::write("lot", "2"), State::Open);
    fleet.reconfigure(|catalog| drop(catalog.routes.remove(STRICT_DB)));
    eventually("the route is refused", || {
        idle.run(&caller::read("lot")).end == End::Error(Code::UnknownDatabase)
    });
    in_transaction.expect_done(text::COMMIT, State::Idle);
}

#[test]
fn an_account_over_its_rate_is_refused_and_others_are_not() {
    let mut catalog = fixture::catalog();
    let mill = catalog.accounts.get_mut("mill").expect("the catalog has the account");
    (mill.rate, mill.burst) = (5, 5);
    let fleet = Fleet::start_with(2, catalog);
    let mut refused = 0;
    for host in 0..2 {
        let mut session = fleet.open_session(host, STRICT_DB);
        for _ in 0..20 {
            refused += u32::from(session.run(&caller::read("lot")).end == End::Error(Code::Busy));
        }
    }
    assert!(refused >= 40 - 5 - 10, "only {refused} of 40 were refused");
    let address = fleet.hosts[0].callers;
    let mut other = Caller::connect(address, STRICT_DB, OTHER_KEY).expect("the session opens");
    other.expect_row(&caller::read("lot"));
}

#[test]
fn input_that_cannot_be_read_is_refused_and_the_session_goes_on() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.send(b"NONSENSE\r\n");
    assert_eq!(session.receive().map(|a| a.end), Some(End::Error(Code::Malformed)));
    assert_eq!(session.expect_refusal("EXPLAIN x").0, Code::Malformed);
    assert_eq!(session.expect_refusal(text::COMMIT).0, Code::Malformed);
    session.expect_row(&caller::read("lot"));
}

#[test]
fn a_line_over_the_limit_ends_the_session_and_nothing_else() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.send(&vec![b'x'; bergamotvale_platform::line::MAX_MESSAGE_BYTES + 2]);
    assert!(session.receive().is_none());
    fleet.open_session(0, STRICT_DB).expect_row(&caller::read("lot"));
}

#[test]
fn pipelined_statements_are_answered_in_order() {
    let fleet = Fleet::start(1);
    let mut session = fleet.open_session(0, STRICT_DB);
    let mut bytes = Vec::new();
    for number in 0..10 {
        let text = caller::write("lot", &format!("p{number}"));
        bytes.extend_from_slice(&bergamotvale_platform::line::query(
            &format!("{number:016x}"),
            &text,
        ));
    }
    session.send(&bytes);
    for _ in 0..10 {
        assert_eq!(session.receive().map(|a| a.end), Some(End::Done));
    }
    assert_eq!(session.expect_row(&caller::read("lot")).0, "p9");
}

/// Guards against malformed rows in the target directory and the configuration table that stop a
/// host from serving with what it has read before.
#[test]
fn rows_that_cannot_be_read_name_no_target_and_change_nothing() {
    let fleet = Fleet::start(1);
    let table = bergamotvale_platform::directory::TABLE;
    fleet.system.store.write(table, "orders-1", Some(bytes::Bytes::from_static(b"\xff{")));
    fleet.system.store.write(table, "alien", Some(bytes::Bytes::from_static(b"{\"service\":1}")));
    let nested = "[".repeat(60_000);
    for (key, odd) in [
        ("nested", nested.as_str()),
        ("large", "{\"slots\":1e999}"),
        ("port", "{\"address\":\"10.0.0.9:99999\"}"),
    ] {
        let value = bytes::Bytes::copy_from_slice(odd.as_bytes());
        fleet.system.store.write(table, key, Some(value));
    }
    let config = bergamotvale_platform::catalog::TABLE;
    let key = bergamotvale_platform::catalog::KEY;
    fleet.system.store.write(config, key, Some(bytes::Bytes::from_static(b"[]")));
    std::thread::sleep(std::time::Duration::from_millis(300));
    let mut session = fleet.open_session(0, BOUNDED_DB);
    session.expect_row(&caller::read("lot"));
    assert!(fleet.hosts[0].is_ready());
}
