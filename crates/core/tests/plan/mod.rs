//! Runs a plan against a simulated table, by hosts that each act on what they last read.

mod targets;

use crate::fleet::{self, case};
use bergamotvale_core::config::{Document, Edit};
use bergamotvale_core::distribute::{Replica, Row};
use bergamotvale_core::id::{HostId, Version};
use bergamotvale_core::peer::Body;
use bergamotvale_core::plan::{self, Intent, Issued, Operation, Progress, Record, Runner};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use targets::Targets;

type Case = case::Case<Given, Event, Outcome>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    #[serde(with = "serde_yaml_ng::with::singleton_map")]
    intent: Intent,
    #[serde(default)]
    targets: Targets,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Event {
    on: Action,
    host: HostId,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    /// The host reads the plan's row and the configuration.
    Read,
    /// The host confirms the plan that it read.
    Confirm,
    /// Like `Confirm`, but the answer is lost.
    ConfirmLost,
    /// Executes the next step.
    Perform,
    /// Like `Perform`, but the table delays the change until after the caller's timeout.
    PerformSlow,
    /// Records that the step is done.
    Finish,
    /// Like `Finish`, but the answer is lost.
    FinishLost,
    /// Like `Finish`, but the table delays the write until after the caller's timeout.
    FinishSlow,
    /// Records that the step failed.
    Fail,
    /// Takes over the plan, if its runner is not a member.
    TakeOver,
    /// The host is removed from the member table.
    Remove,
    /// An unrelated change of the configuration is accepted.
    Change,
    /// The table becomes unavailable.
    StoreDown,
    /// The table becomes available again.
    StoreUp,
    /// The delayed calls take effect.
    Arrive,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outcome {
    /// Result of each event except reads.
    results: Vec<String>,
    /// Final state of the plan.
    state: String,
    /// Final version of the configuration.
    version: Version,
}

/// The simulated table.
struct Table {
    version: u64,
    record: Record,
    replica: Replica,
    down: bool,
    late: Vec<Late>,
    targets: Targets,
}

/// A call whose effect the table delays.
enum Late {
    Write(u64, Box<Record>),
    Publish(Version, Vec<Edit>),
}

type Copies = BTreeMap<HostId, (u64, Record, Version)>;

pub(crate) fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

fn drive(case: &Case) -> datatest_stable::Result<Outcome> {
    let mut table = table(&case.given)?;
    let mut copies = Copies::new();

    let results = case.events.iter().filter_map(|event| perform(&mut table, &mut copies, event));
    let results: Vec<String> = results.collect();

    let state = table.record.plan.state.to_string();
    let version = table.replica.document().version;
    Ok(Outcome { results, state, version })
}

fn table(given: &Given) -> Result<Table, plan::Fault> {
    let document = fleet::document();
    let members = (1..=4).map(|host| (host, fleet::member(host, 1))).collect();
    let row = Row { epoch: 1, members, ..Row::default() }.with_config(1, "digest");
    let record = plan::propose(9, &document, &row, given.intent.clone())?;
    let mut replica = Replica::new();
    replica.adopt(row, Body::Whole(document)).expect("the first epoch");
    let targets = given.targets.clone();
    Ok(Table { version: 1, record, replica, down: false, late: Vec::new(), targets })
}

fn perform(table: &mut Table, copies: &mut Copies, event: &Event) -> Option<String> {
    let host = event.host;
    match event.on {
        Action::StoreDown => table.down = true,
        Action::StoreUp => table.down = false,
        Action::Arrive => return Some(arrive(table)),
        Action::Remove => return Some(remove(table, host)),
        _ if table.down => return Some("no answer".to_owned()),
        Action::Read => read(table, copies, host),
        Action::Change => return Some(change(table)),
        _ => return Some(act(table, copies, event)),
    }
    None
}

/// Performs a host's event on the copy that it last read.
fn act(table: &mut Table, copies: &mut Copies, event: &Event) -> String {
    let host = event.host;
    let runner = Runner { host, incarnation: 1 };
    let (version, record, config) = copies.get(&host).cloned().expect("the host has read the plan");
    let current = table.replica.document().version;
    match event.on {
        Action::Confirm | Action::ConfirmLost => {
            let next = match record.confirm(config, &format!("operator {host}"), runner, 1) {
                Ok(next) if next.issues_key() => next.with_issued(issued()),
                Ok(next) => next,
                Err(refusal) => return refusal.to_string(),
            };
            let lost = matches!(event.on, Action::ConfirmLost);
            let stored = config == current && store(table, version, &next);
            answer(copies, table, host, stored, lost)
        }
        Action::Perform => execute_step(table, &record, false),
        Action::PerformSlow => execute_step(table, &record, true),
        Action::Finish | Action::FinishLost | Action::FinishSlow | Action::Fail => {
            let Some((index, _)) = record.next_step() else { return "nothing to do".to_owned() };
            let failed = matches!(event.on, Action::Fail);
            let progress = if failed { Progress::Failed } else { Progress::Done };
            let lost = matches!(event.on, Action::FinishLost);
            let next = record.with_progress(index, progress, "seen");
            if matches!(event.on, Action::FinishSlow) {
                table.late.push(Late::Write(version, Box::new(next)));
                return "no answer".to_owned();
            }
            let stored = store(table, version, &next);
            answer(copies, table, host, stored, lost)
        }
        Action::TakeOver => {
            if !record.is_abandoned(table.replica.row()) {
                return "not abandoned".to_owned();
            }
            let stored = store(table, version, &record.with_runner(runner));
            answer(copies, table, host, stored, false)
        }
        other => unreachable!("{other:?} needs no copy"),
    }
}

fn issued() -> Issued {
    Issued { key_id: 500, salt: "2".repeat(64), digest: "3".repeat(64) }
}

fn read(table: &Table, copies: &mut Copies, host: HostId) {
    let config = table.replica.document().version;
    copies.insert(host, (table.version, table.record.clone(), config));
}

/// A conditional write.
fn store(table: &mut Table, version: u64, record: &Record) -> bool {
    let same = table.version == version;
    if same {
        table.version += 1;
        table.record = record.clone();
    }
    same
}

fn answer(copies: &mut Copies, table: &Table, host: HostId, stored: bool, lost: bool) -> String {
    if lost {
        return "lost".to_owned();
    }
    read(table, copies, host);
    if stored { "stored".to_owned() } else { "conflict".to_owned() }
}

/// Applies the delayed calls, which are conditional like any other.
fn arrive(table: &mut Table) -> String {
    let done = std::mem::take(&mut table.late).into_iter().map(|late| match late {
        Late::Write(version, record) => store(table, version, &record),
        Late::Publish(version, edits) => {
            let same = table.replica.document().version == version;
            if same {
                publish(table, edits);
            }
            same
        }
    });
    let done: Vec<&str> = done.map(|done| if done { "arrived" } else { "too late" }).collect();
    done.join(", ")
}

/// Executes the operation of the next step.
fn execute_step(table: &mut Table, record: &Record, slow: bool) -> String {
    let Some((_, operation)) = record.next_step() else { return "nothing to do".to_owned() };
    match operation {
        Operation::Promote(_, target) => return table.targets.promote(*target),
        Operation::MovePrimary(_, target) => return table.targets.move_off(*target),
        _ => {}
    }
    match record.edits(table.replica.document(), operation) {
        Ok(edits) if edits.is_empty() => "no edit".to_owned(),
        Ok(edits) if slow => {
            table.late.push(Late::Publish(table.replica.document().version, edits));
            "no answer".to_owned()
        }
        Ok(edits) => {
            publish(table, edits);
            "published".to_owned()
        }
        Err(fault) => fault.to_string(),
    }
}

fn change(table: &mut Table) -> String {
    let document: &Document = table.replica.document();
    let edit = bergamotvale_core::key::withdraw(document, 60).expect("a key");
    publish(table, vec![edit]);
    "changed".to_owned()
}

fn publish(table: &mut Table, edits: Vec<Edit>) {
    let (change, document) = table.replica.propose(edits).expect("the change is valid");
    let mut row = table.replica.row().clone().with_config(document.version, "digest");
    row.epoch += 1;
    table.replica.adopt(row, Body::Change(change)).expect("the next epoch");
}

fn remove(table: &mut Table, host: HostId) -> String {
    let mut row = table.replica.row().clone().without_member(host);
    row.epoch += 1;
    table.replica.adopt(row, Body::None).expect("the next epoch");
    "removed".to_owned()
}
