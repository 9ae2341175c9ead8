//! Planned stops: everything that a stopping host has taken is answered.

use crate::fixture::{Caller, Fleet, KEY, STRICT_DB, catalog};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{self, End, State};
use bergamotvale_platform::text;
use bergamotvale_standin::lines::Outage;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Bytes that a caller sends beyond its first message; more than a host reads at once.
const UNREAD_BYTES: usize = 60_000;

/// Number of sessions that use a host while it stops, several for each slot of the targets.
const BUSY_SESSIONS: usize = 30;
/// Pause of a caller between two statements.
const PAUSE: Duration = Duration::from_millis(40);
/// Time for which a statement may have been on its way when its connection ends.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Starts one host whose route has this statement timeout, over targets whose writes take
/// `write_time`.
fn fleet_with(statement_timeout: Duration, write_time: Duration) -> Fleet {
    let mut catalog = catalog();
    for route in catalog.routes.values_mut() {
        route.statement_timeout = statement_timeout;
    }
    let fleet = Fleet::start_with(1, catalog);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "0"), State::Idle);
    for target in &fleet.system.groups[0].targets {
        target.set_write_time(write_time);
    }
    fleet
}

/// Sends SIGTERM to the host; returns when that was.
fn stop(fleet: &Fleet) -> Instant {
    fleet.hosts[0].signal(Signal::TERM);
    Instant::now()
}

fn sleep_until(start: Instant, time: Duration) {
    std::thread::sleep(time.saturating_sub(start.elapsed()));
}

/// Runs a write at `time` after `start`; returns the end of its answer and how long that took.
fn write_at(session: &mut Caller, start: Instant, time: Duration) -> (End, Duration) {
    sleep_until(start, time);
    let sent = Instant::now();
    let answer = session.try_run(&caller::write("bolt", "1"));
    (answer.expect("the connection ended without an answer").end, sent.elapsed())
}

/// Guards against a write that is passed on so late in a stop that the process exits before its
/// answer: it is either taken and has its whole timeout, or refused at once.
#[test]
fn a_write_that_a_stopping_host_takes_is_answered() {
    let fleet = fleet_with(Duration::from_secs(3), Duration::from_millis(2900));
    let mut early = fleet.open_session(0, STRICT_DB);
    let mut late = fleet.open_session(0, STRICT_DB);
    let start = stop(&fleet);

    let early =
        std::thread::spawn(move || write_at(&mut early, start, Duration::from_millis(1900)));
    let (late_end, late_time) = write_at(&mut late, start, Duration::from_millis(2320));

    assert_eq!(late_end, End::Error(Code::Busy));
    assert!(late_time < Duration::from_millis(200), "refused after {late_time:?}");
    let (early_end, _) = early.join().expect("the caller ends");
    assert_eq!(early_end, End::Done);
}

/// Guards against a statement that is still at work when its host has to exit, and is cut off
/// without an answer.
#[test]
fn a_write_at_work_at_the_end_of_a_stop_is_answered_as_unknown() {
    let fleet = fleet_with(Duration::from_secs(20), Duration::from_secs(8));
    let mut session = fleet.open_session(0, STRICT_DB);
    let caller = std::thread::spawn(move || session.try_run(&caller::write("bolt", "1")));
    std::thread::sleep(Duration::from_millis(300));

    stop(&fleet);

    let answer = caller.join().expect("the caller ends");
    let end = answer.expect("the connection ended without an answer").end;
    assert_eq!(end, End::Error(Code::Unknown));
}

/// Guards against a commit that a transaction sends shortly before its host exits, and that is made
/// but cut off without an answer.
#[test]
fn a_transaction_that_cannot_end_before_the_stop_is_rolled_back_and_said_so() {
    let fleet = fleet_with(Duration::from_secs(2), Duration::from_secs(1));
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    session.expect_done(&caller::write("lot", "1"), State::Open);
    let start = stop(&fleet);
    for time in [1500, 3000] {
        sleep_until(start, Duration::from_millis(time));
        session.expect_done(&caller::read("bolt"), State::Open);
    }

    sleep_until(start, Duration::from_millis(4600));
    let answer = session.try_run(text::COMMIT).expect("the connection ended without an answer");

    assert_eq!((answer.end, answer.state), (End::Error(Code::Aborted), State::Idle));
    assert_eq!(fleet.system.groups[0].primary().count_writes("lot"), 0);
}

/// Guards against a transaction that is begun when the host cannot give it the time to end.
#[test]
fn a_transaction_that_begins_late_in_a_stop_is_refused() {
    let fleet = fleet_with(Duration::from_millis(500), Duration::from_millis(100));
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(caller::begin(false), State::Open);
    let start = stop(&fleet);
    sleep_until(start, Duration::from_millis(2700));

    // In one message, so that the session is not closed between the two.
    let statements = [text::ROLLBACK, caller::begin(false)];
    let messages = statements.map(|text| line::query("000000000000000a", text));
    session.send(&messages.concat());

    assert_eq!(session.receive().map(|answer| answer.end), Some(End::Done));
    assert_eq!(session.receive().map(|answer| answer.end), Some(End::Error(Code::Busy)));
}

/// Guards against a session that is opened after the last one has ended, while the host still
/// leaves the members: its statement was passed on and cut off by the exit.
#[test]
fn a_session_that_opens_while_the_host_leaves_is_refused() {
    let fleet = fleet_with(Duration::from_secs(2), Duration::from_secs(1));
    let start = stop(&fleet);
    fleet.system.store.set_outage(Outage::Slow(Duration::from_millis(350)));
    sleep_until(start, Duration::from_millis(2500));

    let refusal = Caller::connect(fleet.hosts[0].callers, STRICT_DB, KEY).err();

    assert_eq!(refusal, Some(Code::Busy));
}

/// Guards against a reply that is destroyed on its way: a host that closes a connection with unread
/// bytes resets it.
#[test]
fn a_caller_that_has_sent_more_than_its_host_reads_still_receives_the_reply() {
    let fleet = fleet_with(Duration::from_secs(2), Duration::from_millis(2));
    let mut stream = TcpStream::connect(fleet.hosts[0].callers).expect("the host listens");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("the read timeout is set");
    let mut bytes = caller::connect(STRICT_DB, "unknown").to_vec();
    bytes.resize(bytes.len() + UNREAD_BYTES, b'x');
    stream.write_all(&bytes).expect("the bytes are sent");
    std::thread::sleep(Duration::from_millis(100));

    let mut received = Vec::new();
    let result = stream.read_to_end(&mut received);

    result.expect("the connection ends in order");
    let reset = stream.take_error().expect("the state of the connection is known");
    assert!(reset.is_none(), "the host reset the connection: {reset:?}");
    assert!(!received.is_empty(), "the refusal did not arrive");
}

/// Guards against any statement, whatever it waits for, that a stopping host leaves without an
/// answer: more sessions than the targets have slots use their connections until they end.
#[test]
fn everything_that_is_sent_around_a_stop_is_answered() {
    let fleet = fleet_with(Duration::from_secs(3), Duration::from_millis(400));
    let sessions: Vec<Caller> =
        (0..BUSY_SESSIONS).map(|_| fleet.open_session(0, STRICT_DB)).collect();
    let callers: Vec<_> = sessions
        .into_iter()
        .enumerate()
        .map(|(number, session)| std::thread::spawn(move || use_until_closed(session, number)))
        .collect();
    std::thread::sleep(Duration::from_secs(1));

    stop(&fleet);

    for caller in callers {
        let unanswered_for = caller.join().expect("the caller ends");
        assert!(unanswered_for < LOSS_SLACK, "no answer after {unanswered_for:?}");
    }
}

/// Sends reads and, in every second caller, writes until the connection ends. Returns how long before
/// that the last statement, which got no answer, was sent.
fn use_until_closed(mut session: Caller, number: usize) -> Duration {
    let statement =
        if number.is_multiple_of(2) { caller::write("lot", "1") } else { caller::read("bolt") };
    loop {
        let sent = Instant::now();
        if session.try_run(&statement).is_none() {
            return sent.elapsed();
        }
        std::thread::sleep(PAUSE);
    }
}
