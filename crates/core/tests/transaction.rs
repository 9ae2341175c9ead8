//! Cases of faults at each step of an interactive transaction.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::id::{AccountId, KeyId, Time, TransactionId};
use bergamotvale_core::refusal::Refusal;
use bergamotvale_core::transaction::{End, Limits, Step, Table, owner};
use common::case;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

const HOST: u32 = 3;
const SERVICE: u32 = 1;

type Case = case::Case<Given, TimedEvent>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    idle_ms: u64,
    total_ms: u64,
    per_account: usize,
}

/// An event; `id` is the number of the transaction within the case, from 1.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimedEvent {
    at: u64,
    on: String,
    id: Option<u32>,
    account: Option<AccountId>,
    key: Option<KeyId>,
}

fn id(event: &TimedEvent) -> TransactionId {
    (u64::from(HOST) << 32) | u64::from(event.id.unwrap_or(1))
}

fn result<T>(result: Result<T, Refusal>) -> String {
    match result {
        Ok(_) => "admitted".into(),
        Err(refusal) => format!("refuse {}, ran {}", refusal.reason, refusal.ran),
    }
}

fn closed(ids: &[TransactionId]) -> String {
    format!("close {}", ids.len())
}

fn apply(table: &mut Table, event: &TimedEvent, now: Time) -> String {
    let account = event.account.unwrap_or(1);
    let key = event.key.unwrap_or(1);
    let end = |table: &mut Table, end| {
        table.end(id(event), end);
        "ended".to_owned()
    };
    match event.on.as_str() {
        "begin" => {
            let begun = table.begin(account, key, SERVICE, now);
            assert!(begun.as_ref().is_ok_and(|id| owner(*id) == HOST) || begun.is_err());
            result(begun)
        }
        "run" => result(table.start_step(id(event), account, Step::Run, now)),
        "commit" => result(table.start_step(id(event), account, Step::Commit, now)),
        "rollback" => result(table.start_step(id(event), account, Step::Rollback, now)),
        "answered" => format!("goes on: {}", table.finish_step(id(event), now)),
        "committed" => end(table, End::Committed),
        "rolled_back" => end(table, End::RolledBack),
        "lost_commit" => end(table, End::Unknown),
        "sweep" => closed(&table.roll_back_expired(now)),
        "withdraw" => closed(&table.roll_back_key(key)),
        "stop" => closed(&table.roll_back_all()),
        other => panic!("unknown event {other}"),
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let limits = Limits {
        idle: Duration::from_millis(case.given.idle_ms),
        total: Duration::from_millis(case.given.total_ms),
        per_account: case.given.per_account,
    };
    let mut table = Table::new(HOST, 1, limits);

    let events = case.events.iter();
    Ok(events.map(|event| apply(&mut table, event, Duration::from_millis(event.at))).collect())
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/transaction", pattern = r"\.yaml$" },
}
