//! The stand-in of a group that speaks the line protocol: what its logs hold while no target leads.

use bergamotvale_platform::promote::promote;
use bergamotvale_standin::lines::{Group, System, Target};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE: &str = "orders";
const ITEM: &str = "bolt";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Lag of a replica that receives nothing while the test runs.
const LONG_LAG: Duration = Duration::from_secs(30);
/// Time of many replication steps.
const SETTLE_TIME: Duration = Duration::from_millis(100);

fn eventually(what: &str, is_true: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_true() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends statements, each with its id, to a target over a connection of their own; returns the last line of each
/// answer.
fn run(target: &Target, statements: &[&str]) -> Vec<String> {
    let mut stream = TcpStream::connect(target.address()).expect("the target accepts");
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
    let mut until_ready = || {
        let is_ready = |line: &String| line.starts_with("READY");
        lines.by_ref().map(|line| line.expect("the target answers")).find(is_ready)
    };
    write!(stream, "CONNECT {SERVICE} mill\r\n").expect("the connection is open");
    until_ready().expect("the target is ready");
    let mut answers = Vec::new();
    for statement in statements {
        write!(stream, "QUERY {statement}\r\n").expect("the connection is open");
        answers.push(until_ready().expect("the target answers"));
    }
    answers
}

fn lead(system: &System, group: &Arc<Group>, index: usize) {
    let target = &group.targets[index];
    let call = promote(system.address, SERVICE, &target.name, "a", 2, WAIT_TIMEOUT);
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(call).expect("the platform accepts the call");
    eventually("the target leads", || target.is_primary());
}

/// Guards against acknowledged writes that the stand-in itself drops: while no target leads, the
/// first one counted as the primary, and the others cut their logs back to its log.
#[test]
fn a_group_without_a_primary_keeps_its_logs() {
    let system = System::start(&[SERVICE]).expect("the stand-ins start");
    let group = system.groups[0].clone();
    lead(&system, &group, 1);
    eventually("the old primary follows", || !group.targets[0].is_primary());
    group.targets[0].set_lag(LONG_LAG);
    run(&group.targets[1], &[&format!("1 WRITE {ITEM} 1")]);
    eventually("a replica has the commit", || group.targets[2].count_writes(ITEM) == 1);

    run(&group.targets[1], &["- DEMOTE 9"]);
    std::thread::sleep(SETTLE_TIME);

    assert!(!group.targets[1].is_primary());
    let counts: Vec<usize> = group.targets.iter().map(|target| target.count_writes(ITEM)).collect();
    assert_eq!(counts, [0, 1, 1]);
}
