//! Runs a plan over a fake table by hosts that each act on what they last read.

use crate::fleet::{self, case};
use bergamotvale_core::config::Document;
use bergamotvale_core::distribute::{Replica, Row};
use bergamotvale_core::id::{HostId, Version};
use bergamotvale_core::peer::Body;
use bergamotvale_core::plan::{self, Intent, Issued, Progress, Record, Runner};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

type Case = case::Case<Given, Event, Outcome>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    #[serde(with = "serde_yaml_ng::with::singleton_map")]
    intent: Intent,
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
    /// Writes that the step is done.
    Finish,
    /// The same, and the answer is lost.
    FinishLost,
    /// Writes that the step failed.
    Fail,
    /// Takes the plan over, if its runner is no member.
    TakeOver,
    /// Is removed from the members.
    Remove,
    /// Publishes a change of its own.
    Change,
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
}

type Copies = BTreeMap<HostId, (u64, Record, Version)>;

pub(crate) fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

fn drive(case: &Case) -> datatest_stable::Result<Outcome> {
    let mut table = table(case.given.intent.clone())?;
    let mut copies = Copies::new();

    let results = case.events.iter().filter_map(|event| perform(&mut table, &mut copies, event));
    let results: Vec<String> = results.collect();

    let state = table.record.plan.state.to_string();
    let version = table.replica.document().version;
    Ok(Outcome { results, state, version })
}

fn table(intent: Intent) -> Result<Table, plan::Fault> {
    let document = fleet::document();
    let members = (1..=4).map(|host| (host, fleet::member(host, 1))).collect();
    let row = Row { epoch: 1, members, ..Row::default() }.with_config(1, "digest");
    let record = plan::propose(9, &document, &row, intent)?;
    let mut replica = Replica::new();
    replica.take(row, Body::Whole(document)).expect("the first epoch");
    Ok(Table { version: 1, record, replica })
}

fn perform(table: &mut Table, copies: &mut Copies, event: &Event) -> Option<String> {
    let host = event.host;
    let runner = Runner { host, incarnation: 1 };
    let Some((version, record, config)) = copies.get(&host).cloned() else {
        return match event.on {
            Action::Read => read(table, copies, host),
            Action::Change => Some(change(table)),
            Action::Remove => Some(remove(table, host)),
            other => panic!("{other:?} before a read"),
        };
    };
    let current = table.replica.document().version;
    match event.on {
        Action::Read => read(table, copies, host),
        Action::Change => Some(change(table)),
        Action::Remove => Some(remove(table, host)),
        Action::Confirm | Action::ConfirmLost => {
            let next = match record.confirm(config, &format!("operator {host}"), runner, 1) {
                Ok(next) if next.issues_key() => next.with_issued(issued()),
                Ok(next) => next,
                Err(refusal) => return Some(refusal.to_string()),
            };
            let lost = matches!(event.on, Action::ConfirmLost);
            let stored = config == current && store(table, version, &next);
            Some(answer(copies, table, host, stored, lost))
        }
        Action::Perform => Some(carry_out(table, &record)),
        Action::Finish | Action::FinishLost | Action::Fail => {
            let (index, _) = record.next()?;
            let failed = matches!(event.on, Action::Fail);
            let progress = if failed { Progress::Failed } else { Progress::Done };
            let lost = matches!(event.on, Action::FinishLost);
            let stored = store(table, version, &record.with_progress(index, progress, "seen"));
            Some(answer(copies, table, host, stored, lost))
        }
        Action::TakeOver => {
            if !record.abandoned(table.replica.row()) {
                return Some("not abandoned".to_owned());
            }
            let stored = store(table, version, &record.with_runner(runner));
            Some(answer(copies, table, host, stored, false))
        }
    }
}

fn issued() -> Issued {
    Issued { key_id: 500, salt: "2".repeat(64), digest: "3".repeat(64) }
}

fn read(table: &Table, copies: &mut Copies, host: HostId) -> Option<String> {
    let config = table.replica.document().version;
    copies.insert(host, (table.version, table.record.clone(), config));
    None
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

/// Publishes the edits of the step that is next; says how many there were.
fn carry_out(table: &mut Table, record: &Record) -> String {
    let Some((_, operation)) = record.next() else { return "nothing to do".to_owned() };
    match record.edits(table.replica.document(), operation) {
        Ok(edits) if edits.is_empty() => "no edit".to_owned(),
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

fn publish(table: &mut Table, edits: Vec<bergamotvale_core::config::Edit>) {
    let (change, document) = table.replica.propose(edits).expect("it holds");
    let mut row = table.replica.row().clone().with_config(document.version, "digest");
    row.epoch += 1;
    table.replica.take(row, Body::Change(change)).expect("the next epoch");
}

fn remove(table: &mut Table, host: HostId) -> String {
    let mut row = table.replica.row().clone().without_member(host);
    row.epoch += 1;
    table.replica.take(row, Body::None).expect("the next epoch");
    "removed".to_owned()
}
