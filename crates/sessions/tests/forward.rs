//! Messages between hosts that forward operations: what arrives is what was sent, and bytes that
//! are no message are refused.

use bergamotvale_core::proxy::answer::{Code, Effect, Sent};
use bergamotvale_core::proxy::catalog::Consistency;
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::home::Homes;
use bergamotvale_core::proxy::statement::{Access, Shape};
use bergamotvale_platform::line::{End, State};
use bergamotvale_sessions::caller::work::{Context, Task};
use bergamotvale_sessions::forward::protocol::{
    Attempt, Load, Outcome, Reason, RemoteTask, Reply, Request, decode_reply, decode_request,
    encode_reply, encode_request,
};
use bergamotvale_sessions::pool::connection::Failure;
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

fn task(timeout: Duration) -> Task {
    Task {
        id: "bdf9e76913c0824b".into(),
        text: "a statement".into(),
        shape: Some(Shape { access: Access::Write, text: "a".into() }),
        deadline: Instant::now() + timeout,
        max_wait: Duration::from_millis(400),
    }
}

fn attempt() -> Attempt {
    let task = task(Duration::from_secs(2));
    Attempt {
        target: "t1".into(),
        fence: Some(7),
        context: Context {
            database: "d".into(),
            homes: Homes::default(),
            service: "orders".into(),
            consistency: Consistency::ReadYourWrites(Duration::from_secs(1)),
            priority: 1,
            account: "mill".into(),
            last_commit: Some(Position { term: 2, number: 9 }),
        },
        values: [("unit".to_owned(), "m".to_owned())].into(),
        task: RemoteTask::new(&task, task.deadline),
    }
}

fn requests() -> Vec<Request> {
    let Attempt { values, task, .. } = attempt();
    vec![
        Request::Read(attempt()),
        Request::Write(attempt()),
        Request::Begin { attempt: attempt(), read_only: true },
        Request::Statement { values, task, effect: Effect::Lasting },
        Request::Rollback,
    ]
}

#[test]
fn requests_arrive_as_they_were_sent() {
    for request in requests() {
        let frame = encode_request(&request).expect("the request is encoded");
        let arrived = decode_request(&frame).expect("the request is decoded");
        assert_eq!(format!("{arrived:?}"), format!("{request:?}"));
    }
}

#[test]
fn replies_arrive_with_the_body_of_the_answer() {
    let position = Some(Position { term: 1, number: 5 });
    let outcomes = [
        Outcome::Answered { end: End::Done, state: State::Open, position },
        Outcome::Answered { end: End::Error(Code::Failed), state: State::Idle, position: None },
        Outcome::Done { position },
        Outcome::Failed { failure: Failure::Refused(Code::ReadOnly), sent: Sent::No },
        Outcome::Unverified,
        Outcome::NotRun(Reason::Stopping),
    ];
    for outcome in outcomes {
        let load = Load { in_flight: 3, has_connection: true, ..Load::default() };
        for body in [&b""[..], b"ROW a\r\nDONE -\r\n"] {
            let frame = encode_reply(&Reply { outcome, load }, body).expect("it is encoded");
            let (reply, arrived) = decode_reply(&frame).expect("it is decoded");
            assert_eq!((reply.outcome, reply.load), (outcome, load));
            assert_eq!(arrived, body);
        }
    }
}

/// Guards against a panic on bytes of another format, and on messages that are cut or altered.
#[test]
fn bytes_that_are_no_message_are_refused() {
    for request in requests() {
        let frame = encode_request(&request).expect("the request is encoded");
        for length in 0..frame.len() {
            assert!(decode_request(&frame[..length]).is_none(), "{length} bytes of {request:?}");
        }
        for index in 0..frame.len() {
            for flipped in [1, 0x80, 0xff] {
                let mut bytes = frame.to_vec();
                bytes[index] ^= flipped;
                let arrived = decode_request(&bytes);
                assert!(index > 0 || arrived.is_none(), "another format is decoded");
                drop(decode_reply(&Bytes::from(bytes)));
            }
        }
    }
}

/// Guards against an owner that works on after the caller's time, and against clocks of hosts that
/// differ: what is sent is what remains.
#[test]
fn the_owner_gets_less_time_than_is_left() {
    let sent = task(Duration::from_secs(2));
    let remote = RemoteTask::new(&sent, sent.deadline);
    let at_owner = remote.into_task(Instant::now());
    assert!(at_owner.deadline < sent.deadline);
    let late = task(Duration::ZERO);
    let arrived = Instant::now();
    assert!(RemoteTask::new(&late, late.deadline).into_task(arrived).deadline <= arrived);
}
