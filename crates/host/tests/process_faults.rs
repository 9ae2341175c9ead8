//! Faults of host processes: killed, stopped under load, paused for longer than their authority
//! lasts, and with connections that no longer respond.

mod process;
mod support;

use bergamotvale_core::invariant::answer::{self, Completion, Request};
use bergamotvale_core::invariant::write::{self, Verdict, Write};
use process::{System, insert};
use rustix::process::Signal;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::{KEY, OTHER_KEY, SERVICE, WAIT_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which a process is paused; longer than its authority lasts.
const PAUSE_BEYOND_AUTHORITY: Duration = Duration::from_secs(4);
/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Time for which the load runs before the stop.
const LOAD_BEFORE_STOP: Duration = Duration::from_millis(500);
/// Number of requests with a withdrawn key that a host receives after it resumes.
const PROBES: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_in_mid_transaction_leaves_nothing_behind() {
    let mut system = System::start(2).await;
    let begin = format!("services/{SERVICE}/transactions");
    let begun = system.post(0, &begin, json!({}), None).await.expect("an answer");
    let id = begun.body["transaction"].as_str().expect("an id").to_owned();
    let run = format!("transactions/{id}/run");
    let ran = system.post(0, &run, insert("in-transaction"), None).await.expect("an answer");
    assert_eq!(ran.status, 200, "{ran:?}");

    system.processes[0].kill();
    let commit = system.post(1, &format!("transactions/{id}/commit"), json!({}), None).await;
    system.log_bolt_until_accepted(1, "after").await;

    let commit = commit.expect("an answer");
    assert_ne!(commit.status, 200, "{commit:?}");
    assert_eq!(system.count_bolts("in-transaction"), 0, "rolled back");
    assert_eq!(system.count_bolts("after"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_repeated_on_another_host_after_a_kill_runs_once() {
    let system = System::start(2).await;
    let accepted = system.log_bolt_until_accepted(0, "bolt-0").await;
    let ids: Vec<String> = (0..CALLERS).map(|number| format!("bolt-{number}")).collect();
    let in_flight = ids.iter().skip(1).map(|id| system.log_bolt(0, id));

    // Some writes may complete before the kill; the others lose their connection.
    let kill = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        system.processes[0].signal(Signal::KILL);
    };
    tokio::join!(futures::future::join_all(in_flight), kill);
    let mut replies = Vec::new();
    for id in &ids {
        replies.push(system.log_bolt_until_accepted(1, id).await);
    }

    assert!(!accepted.replayed && replies[0].replayed, "{replies:?}");
    let acknowledged = |(op, id): (u64, &String)| {
        let effects = BTreeMap::from([(0, system.count_bolts(id))]);
        Write { op, verdict: Verdict::Acknowledged, effects }
    };
    let writes: Vec<_> = (0..).zip(&ids).map(acknowledged).collect();
    assert_eq!(write::verify_at_most_once(&writes), Ok(()));
    assert_eq!(write::verify_durable(&writes), Ok(()));
}

/// Inserts bolts through host 0 for as long as the platform lists it.
async fn run_caller(system: &System, listed: &Cell<bool>, next: &Cell<u64>) -> Vec<Request> {
    let mut requests = Vec::new();
    while listed.get() {
        let op = next.replace(next.get() + 1);
        let completion = match system.log_bolt(0, &format!("bolt-{op}")).await {
            Ok(_) => Completion::Answered,
            Err(error) if error.is_connect() => Completion::NotSent,
            Err(_) => Completion::Interrupted,
        };
        requests.push(Request { op, host: 1, ended_at: Duration::ZERO, completion });
    }
    requests
}

/// Stops host 0 under load. Like a load balancer, the callers keep sending until the platform no
/// longer lists the host.
async fn stop_under_load(system: &System, listed: &Cell<bool>) {
    tokio::time::sleep(LOAD_BEFORE_STOP).await;
    system.processes[0].signal(Signal::TERM);
    let start = Instant::now();
    while system.is_listed(1).await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the platform still lists the host");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    listed.set(false);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_cuts_no_request() {
    let mut system = System::start(2).await;
    let (listed, next) = (Cell::new(true), Cell::new(1));
    let callers = (0..CALLERS).map(|_| run_caller(&system, &listed, &next));

    let (requests, ()) =
        tokio::join!(futures::future::join_all(callers), stop_under_load(&system, &listed));
    let status = system.processes[0].wait_for_exit().await;

    let requests = requests.concat();
    assert!(status.success(), "{status}");
    assert!(
        requests.iter().filter(|request| request.completion == Completion::Answered).count()
            > CALLERS
    );
    assert_eq!(
        answer::verify_uninterrupted(&requests, &BTreeMap::from([(1, Duration::ZERO)])),
        Ok(())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_paused_past_its_authority_acts_on_nothing_stale() {
    let system = System::start(2).await;
    system.wait_for_read(0, OTHER_KEY, 200, "").await;

    system.processes[0].signal(Signal::STOP);
    system.withdraw_other_key(1).await;
    tokio::time::sleep(PAUSE_BEYOND_AUTHORITY).await;
    // The host finds this request as soon as it resumes.
    let mut waiting = TcpStream::connect(system.processes[0].callers).await.expect("a backlog");
    waiting.write_all(System::other_key_request().as_bytes()).await.expect("sent");
    system.processes[0].signal(Signal::CONT);
    let mut head = [0; 12];
    waiting.read_exact(&mut head).await.expect("an answer");

    assert_ne!(&head, b"HTTP/1.1 200", "the host accepted a withdrawn key");
    for _ in 0..PROBES {
        let answer = system.probe_read(0, OTHER_KEY).await;
        assert!(answer.as_ref().is_some_and(|(status, _)| *status != 200), "{answer:?}");
    }
    system.wait_for_read(0, OTHER_KEY, 401, "key_withdrawn").await;
    system.wait_for_read(0, KEY, 200, "").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_go_on_though_every_open_connection_is_silent() {
    let system = System::start(1).await;
    let ids: Vec<String> = (0..CALLERS).map(|number| format!("bolt-{number}")).collect();

    for id in &ids {
        for target in system.group.targets() {
            target.silence_connections();
        }
        system.log_bolt_until_accepted(0, id).await;
    }

    for id in &ids {
        assert_eq!(system.count_bolts(id), 1, "{id}");
    }
}
