//! Runs a plan over a fake table by hosts that each act on what they last read.

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
    /// Reads the plan's row and the configuration.
    Read,
    /// Confirms what it read.
    Confirm,
    /// The same, and the answer is lost.
    ConfirmLost,
    /// Carries out the step that is next.
    Perform,
    /// The same, and the table takes so long over the change that its caller gives up.
    PerformSlow,
    /// Writes that the step is done.
    Finish,
    /// The same, and the answer is lost.
    FinishLost,
    /// The same, and the table takes so long that its caller gives up.
    FinishSlow,
    /// Writes that the step failed.
    Fail,
    /// Takes the plan over, if its runner is no member.
    TakeOver,
    /// Is removed from the members.
    Remove,
    /// Publishes a change of its own.
    Change,
    /// The table refuses every call from now on.
    StoreDown,
    /// The table works again.
    StoreUp,
    /// What the table took so long over happens now.
    Arrive,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outcome {
    /// What each event but reads came to.
    results: Vec<String>,
    /// State of the plan in the end.
    state: String,
    /// Configuration version in the end.
    version: Version,
}

/// The fake table.
struct Table {
    version: u64,
    record: Record,
    replica: Replica,
    down: bool,
    late: Vec<Late>,
    targets: Targets,
}

/// A call that the table is slow to carry out.
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

/// What a host does with what it last read.
fn act(table: &mut Table, copies: &mut Copies, event: &Event) -> String {
    let host = event.host;
    let runner = Runner { host, incarnation: 1 };
    let (version, record, config) = copies.get(&host).cloned().expect("it has read");
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
        Action::Perform => carry_out(table, &record, false),
        Action::PerformSlow => carry_out(table, &record, true),
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

/// Carries out what the table was slow to do; it is on condition like any other call.
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

/// Does what the step that is next asks for.
fn carry_out(table: &mut Table, record: &Record, slow: bool) -> String {
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
    let (change, document) = table.replica.propose(edits).expect("it holds");
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
