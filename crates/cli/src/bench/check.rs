//! What may never happen, checked on a recorded history.
//!
//! Each checker is a pure function over a [`History`] and answers with the operations that broke
//! its rule. All of them must come back empty on every run, whatever faults were set. Where a rule is
//! one of the core's invariants, the history is put into the core's records and judged there, record
//! by record, since the core names only the first that breaks one. The rest differs: reads are judged
//! by what their session knew when they were sent, and admissions by spans of time.

use crate::bench::admission;
use crate::bench::history::{AccountIndex, History, Kind, Mark, Op, OpId, Verdict};
use bergamotvale_core::id::{AccountId, TargetId};
use bergamotvale_core::invariant::{Violation, account, answer, write};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::slice;

/// Operations that broke each rule.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Findings {
    /// Acknowledged writes that some target lacks.
    pub lost: BTreeSet<OpId>,
    /// Writes that left more than one row.
    pub duplicated: BTreeSet<OpId>,
    /// Writes refused as not run that left a row.
    pub false_not_run: BTreeSet<OpId>,
    /// Session reads that missed a write of their session.
    pub stale_session: BTreeSet<OpId>,
    /// Aged reads that missed a write older than their age.
    pub stale_aged: BTreeSet<OpId>,
    /// Reads that got another request's answer, or one without its row.
    pub mixed: BTreeSet<OpId>,
    /// Operations that ran for an account whose key they did not come with.
    pub wrong_account: BTreeSet<OpId>,
    /// Accounts that were let through above rate and burst in some window.
    pub above_rate: BTreeSet<AccountIndex>,
}

impl Findings {
    /// Rules with how often each was broken.
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

    /// Whether no rule was broken.
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

/// Acknowledged writes that at least one target of their service lacks.
pub fn lost(history: &History) -> BTreeSet<OpId> {
    breaking(records(history), write::verify_durable, |write| write.op)
}

/// Writes with more than one row on any target.
pub fn duplicated(history: &History) -> BTreeSet<OpId> {
    breaking(records(history), write::verify_at_most_once, |write| write.op)
}

/// Writes that every attempt called not run, and that left a row nevertheless.
pub fn false_not_run(history: &History) -> BTreeSet<OpId> {
    breaking(records(history), write::verify_not_run, |write| write.op)
}

/// Reads of `kind` whose answer lies below what they had to see.
pub fn stale(history: &History, kind: Kind) -> BTreeSet<OpId> {
    let is_stale = |op: &&Op| match (op.floor, op.seen) {
        (Some(floor), Some(seen)) => seen.seq < floor,
        _ => false,
    };
    history.ops.iter().filter(|op| op.kind == kind).filter(is_stale).map(|op| op.id).collect()
}

/// Answered reads whose answer is missing or names another operation.
pub fn mixed(history: &History) -> BTreeSet<OpId> {
    let answered =
        history.ops.iter().filter(|op| op.kind.reads() && op.verdict() == Verdict::Acknowledged);
    let answers = answered.map(|op| answer::Answer {
        op: op.id,
        named_op: op.seen.map_or(op.id, |seen| seen.op),
        sent_rows: 1,
        received_rows: op.seen.iter().len(),
    });
    breaking(answers, answer::verify_complete, |answer| answer.op)
}

/// Foreign requests that were answered, and rows under another account or of no known write.
pub fn wrong_account(history: &History) -> BTreeSet<OpId> {
    let answered = |op: &&Op| op.kind == Kind::Foreign && op.verdict() == Verdict::Acknowledged;
    let foreign = history.ops.iter().filter(answered).map(|op| run(op.id, None, op.account));
    let owners: BTreeMap<_, _> = writes(history).map(|op| (op.id, op.account)).collect();
    let rows = history.remains.iter().flat_map(|remains| &remains.rows);
    let left = rows.map(|(id, mark)| run(*id, owners.get(id).copied(), mark.account));
    breaking(foreign.chain(left), account::verify_account, |run| run.op)
}

/// Accounts above rate and burst in some window.
pub fn above_rate(history: &History) -> BTreeSet<AccountIndex> {
    let accounts = history.accounts.iter().enumerate();
    let above = accounts.filter(|(index, account)| {
        let spans = admission::admitted(history, *index);
        admission::excess(&spans, account.rate, account.burst) > 0.0
    });
    above.map(|(index, _)| index).collect()
}

/// Records that break `rule`, each by itself.
fn breaking<T>(
    records: impl Iterator<Item = T>,
    rule: impl Fn(&[T]) -> Result<(), Violation>,
    id: impl Fn(&T) -> OpId,
) -> BTreeSet<OpId> {
    records.filter(|record| rule(slice::from_ref(record)).is_err()).map(|r| id(&r)).collect()
}

/// An operation that ran for `account`; `owner` is that of the key that came with it.
fn run(op: OpId, owner: Option<AccountIndex>, account: AccountIndex) -> account::Execution {
    let id = |index: AccountIndex| index as AccountId;
    account::Execution { op, key_account: owner.map(id), account: id(account), is_open: false }
}

/// Every write, with what each target of its service holds of it.
fn records(history: &History) -> impl Iterator<Item = write::Write> + '_ {
    writes(history).map(|op| {
        let effects = (0 as TargetId..).zip(marks(history, op).map(effects)).collect();
        let verdict = match op.verdict() {
            Verdict::Acknowledged => write::Verdict::Acknowledged,
            Verdict::NotRun => write::Verdict::NotRun,
            Verdict::Unknown => write::Verdict::Unknown,
        };
        write::Write { op: op.id, verdict, effects }
    })
}

/// Rows of a mark; a mark that is there stands for one at least.
fn effects(mark: Option<&Mark>) -> usize {
    mark.map_or(0, |mark| mark.count.max(1) as usize)
}

fn writes(history: &History) -> impl Iterator<Item = &Op> {
    history.ops.iter().filter(|op| op.kind.writes())
}

/// What each target of the operation's service holds of it.
fn marks<'a>(history: &'a History, op: &Op) -> impl Iterator<Item = Option<&'a Mark>> {
    let (id, service) = (op.id, op.service);
    let targets = history.remains.iter().filter(move |remains| remains.service == service);
    targets.map(move |remains| remains.rows.get(&id))
}
