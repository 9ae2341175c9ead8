//! Cases of a connection pool and its queue of waiting requests.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::fair::{Queue, Waiter};
use bergamotvale_core::id::{AccountId, RequestId, Time};
use bergamotvale_core::pool::{Action, ConnectionId, OpenError, Pool, Settings};
use common::case;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

type Case = case::Case<Given, TimedEvent>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    limit: usize,
    #[serde(default = "default_queue")]
    queue: usize,
    #[serde(default)]
    warm: usize,
}

fn default_queue() -> usize {
    100
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimedEvent {
    at: u64,
    on: String,
    #[serde(default)]
    request: RequestId,
    #[serde(default)]
    account: AccountId,
    #[serde(default = "one")]
    weight: u32,
    #[serde(default = "default_deadline")]
    deadline: u64,
    #[serde(default)]
    connection: ConnectionId,
    #[serde(default)]
    clean: bool,
    #[serde(default)]
    limit: usize,
}

fn one() -> u32 {
    1
}

fn default_deadline() -> u64 {
    1_000_000
}

fn millis(time: u64) -> Time {
    Duration::from_millis(time)
}

fn apply(pool: &mut Pool, event: &TimedEvent) -> Vec<Action> {
    let now = millis(event.at);
    let id = event.connection;
    match event.on.as_str() {
        "acquire" => {
            let (request, account, weight) = (event.request, event.account, event.weight);
            let waiter = Waiter { request, account, weight, deadline: millis(event.deadline) };
            pool.acquire(now, waiter)
        }
        "cancel" => {
            pool.cancel(event.request);
            Vec::new()
        }
        "opened" => pool.opened(now, id),
        "unreachable" => pool.open_failed(now, id, OpenError::Unreachable),
        "crowded" => pool.open_failed(now, id, OpenError::TargetFull),
        "checked" => pool.checked(now, id, event.clean),
        "released" => pool.released(now, id, event.clean),
        "lost" => pool.disconnected(now, id),
        "closed" => pool.closed(now, id),
        "limit" => pool.set_limit(now, event.limit),
        "tick" => pool.tick(now),
        other => panic!("unknown event {other}"),
    }
}

fn describe(at: u64, action: &Action) -> String {
    match action {
        Action::Open(id) => format!("{at}: open {id}"),
        Action::Close(id) => format!("{at}: close {id}"),
        Action::Check(id) => format!("{at}: check {id}"),
        Action::Lease(request, id) => format!("{at}: lease {id} to {request}"),
        Action::Refuse(request, reason) => format!("{at}: refuse {request}, {reason}"),
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let queue = Queue::new(case.given.queue);
    let mut pool = Pool::new(case.given.limit, queue, Settings::default());
    pool.set_warm(case.given.warm);

    let mut lines = Vec::new();
    for event in &case.events {
        let actions = apply(&mut pool, event);
        lines.extend(actions.iter().map(|action| describe(event.at, action)));
    }
    Ok(lines)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/connection", pattern = r"\.yaml$" },
}
