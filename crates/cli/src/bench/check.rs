//! Checks a recorded history for violations of the invariants that hold under every fault.
//!
//! Each checker is a pure function over a [`History`] that returns the operations (or accounts)
//! violating its rule; on every run, whatever faults were injected, all results must be empty.
//! Where a rule is one of the core's invariants, the history is converted to the core's records and
//! checked there, one record at a time, since the core names only the first violation. Two rules
//! are checked here instead: reads against what their session knew when they were sent, and
//! admissions by intervals of time.

use crate::bench::admission;
use crate::bench::history::{AccountIndex, History, Kind, Op, OpId, OpRows, Verdict};
use bergamotvale_core::id::{AccountId, TargetId};
use bergamotvale_core::invariant::{Violation, account, answer, write};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::slice;

/// Violations of each rule; all sets are empty on a correct run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Findings {
    /// Acknowledged writes that are missing on some target.
    pub lost: BTreeSet<OpId>,
    /// Writes that left more than one row.
    pub duplicated: BTreeSet<OpId>,
    /// Writes refused as not run that left a row.
    pub false_not_run: BTreeSet<OpId>,
    /// Session reads that missed an acknowledged write of their session.
    pub stale_session: BTreeSet<OpId>,
    /// Aged reads that missed a write acknowledged longer ago than their maximum age.
    pub stale_aged: BTreeSet<OpId>,
    /// Reads that got the response to another request, or a response without a row.
    pub mixed: BTreeSet<OpId>,
    /// Operations that ran for an account other than that of their key.
    pub wrong_account: BTreeSet<OpId>,
    /// Accounts for which more requests were admitted in some window than rate and burst allow.
    pub above_rate: BTreeSet<AccountIndex>,
}

impl Findings {
    /// Name of each rule with the number of its violations, as the report prints them.
    pub fn counts(&self) -> [(&'static str, usize); 8] {
        [
            ("lost acknowledged writes", self.lost.len()),
            ("duplicated writes", self.duplicated.len()),
            ("false \"not run\"", self.false_not_run.len()),
            ("stale session reads", self.stale_session.len()),
            ("stale aged reads", self.stale_aged.len()),
            ("mixed answers", self.mixed.len()),
            ("requests run for the wrong account", self.wrong_account.len()),
            ("accounts admitted above rate", self.above_rate.len()),
        ]
    }

    /// Whether there are no violations.
    pub fn is_clean(&self) -> bool {
        self.counts().iter().all(|(_, count)| *count == 0)
    }
}

/// Applies every checker to `history`.
pub fn check(history: &History) -> Findings {
    Findings {
        lost: lost(history),
        duplicated: duplicated(history),
        false_not_run: false_not_run(history),
        stale_session: stale(history, Kind::SessionRead),
        stale_aged: stale(history, Kind::AgedRead),
        mixed: mixed(history),
        wrong_account: wrong_account(history),
        above_rate: above_rate(history),
    }
}

/// Acknowledged writes that are missing on at least one target of their service.
pub fn lost(history: &History) -> BTreeSet<OpId> {
    violations(write_records(history), write::verify_durable, |write| write.op)
}

/// Writes with more than one row on any target.
pub fn duplicated(history: &History) -> BTreeSet<OpId> {
    violations(write_records(history), write::verify_at_most_once, |write| write.op)
}

/// Writes that left a row although every attempt reported that it did not run.
pub fn false_not_run(history: &History) -> BTreeSet<OpId> {
    violations(write_records(history), write::verify_not_run, |write| write.op)
}

/// Reads of `kind` whose result is below their floor, so that it misses a write it must include.
pub fn stale(history: &History, kind: Kind) -> BTreeSet<OpId> {
    let is_stale = |op: &&Op| match (op.floor, op.seen) {
        (Some(floor), Some(seen)) => seen.seq < floor,
        _ => false,
    };
    history.ops.iter().filter(|op| op.kind == kind).filter(is_stale).map(|op| op.id).collect()
}

/// Answered reads whose response has no row or carries the number of another operation.
pub fn mixed(history: &History) -> BTreeSet<OpId> {
    let answered =
        history.ops.iter().filter(|op| op.kind.is_read() && op.verdict() == Verdict::Acknowledged);
    let answers = answered.map(|op| answer::Answer {
        op: op.id,
        named_op: op.seen.map_or(op.id, |seen| seen.op),
        sent_rows: 1,
        received_rows: op.seen.iter().len(),
    });
    violations(answers, answer::verify_complete, |answer| answer.op)
}

/// Foreign requests that were answered, and rows that name another account than their write's or
/// that no write of the run has made.
pub fn wrong_account(history: &History) -> BTreeSet<OpId> {
    let answered = |op: &&Op| op.kind == Kind::Foreign && op.verdict() == Verdict::Acknowledged;
    let foreign = history.ops.iter().filter(answered).map(|op| run_record(op.id, None, op.account));
    let owners: BTreeMap<_, _> = writes(history).map(|op| (op.id, op.account)).collect();
    let rows = history.final_rows.iter().flat_map(|target| &target.rows);
    let written = rows.map(|(id, rows)| run_record(*id, owners.get(id).copied(), rows.account));
    violations(foreign.chain(written), account::verify_account, |run| run.op)
}

/// Accounts for which more requests were admitted in some window than rate and burst allow.
pub fn above_rate(history: &History) -> BTreeSet<AccountIndex> {
    let accounts = history.accounts.iter().enumerate();
    let above = accounts.filter(|(index, account)| {
        let spans = admission::admitted(history, *index);
        admission::excess(&spans, account.rate, account.burst) > 0.0
    });
    above.map(|(index, _)| index).collect()
}

/// Ids of the records that violate `rule`, each checked on its own.
fn violations<T>(
    records: impl Iterator<Item = T>,
    rule: impl Fn(&[T]) -> Result<(), Violation>,
    id: impl Fn(&T) -> OpId,
) -> BTreeSet<OpId> {
    records.filter(|record| rule(slice::from_ref(record)).is_err()).map(|r| id(&r)).collect()
}

/// The core's record of an operation that ran for `account`; `owner` is the account of the key that
/// was presented, none if it is unknown.
fn run_record(op: OpId, owner: Option<AccountIndex>, account: AccountIndex) -> account::Execution {
    let id = |index: AccountIndex| index as AccountId;
    account::Execution { op, key_account: owner.map(id), account: id(account), is_open: false }
}

/// The core's record of every write, with the number of its rows on each target of its service.
fn write_records(history: &History) -> impl Iterator<Item = write::Write> + '_ {
    writes(history).map(|op| {
        let effects = (0 as TargetId..).zip(rows_by_target(history, op).map(row_count)).collect();
        let verdict = match op.verdict() {
            Verdict::Acknowledged => write::Verdict::Acknowledged,
            Verdict::NotRun => write::Verdict::NotRun,
            Verdict::Unknown => write::Verdict::Unknown,
        };
        write::Write { op: op.id, verdict, effects }
    })
}

/// Number of rows; an entry that is present counts as at least one row.
fn row_count(rows: Option<&OpRows>) -> usize {
    rows.map_or(0, |rows| rows.count.max(1) as usize)
}

fn writes(history: &History) -> impl Iterator<Item = &Op> {
    history.ops.iter().filter(|op| op.kind.is_write())
}

/// The operation's rows on each target of its service; none where the target has no row of it.
fn rows_by_target<'a>(history: &'a History, op: &Op) -> impl Iterator<Item = Option<&'a OpRows>> {
    let (id, service) = (op.id, op.service);
    let targets = history.final_rows.iter().filter(move |target| target.service == service);
    targets.map(move |target| target.rows.get(&id))
}
