//! The recorded history of a run: its operations, its faults and the rows on the targets at the
//! end.
//!
//! The load generator writes a history. Checkers and measures read nothing else, so a history that
//! is loaded from a file gives the same results as one that was just recorded. All times count from
//! the start of the run.

use bergamotvale_core::refusal::{Ran, Reason};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of an operation, unique within its run.
pub type OpId = u64;
/// Number of a session, unique within its run over all accounts.
pub type SessionId = u32;
/// Sequence number of a write within its session and service, from 1.
pub type Seq = u64;
/// Index of an account in [`History::accounts`].
pub type AccountIndex = usize;
/// Index of a service in [`History::services`].
pub type ServiceIndex = usize;

/// Everything that is recorded about one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// Client accounts, indexed by [`AccountIndex`].
    pub accounts: Vec<Account>,
    /// Names of the services, indexed by [`ServiceIndex`].
    pub services: Vec<String>,
    /// Operations, in the order in which they were scheduled.
    #[serde(default)]
    pub ops: Vec<Op>,
    /// Faults that were injected, in order of time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Rows of every target at the end of the run.
    #[serde(default)]
    #[serde(rename = "remains")]
    pub final_rows: Vec<TargetRows>,
}

/// A client account and the limits that were configured for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// Admitted requests per second over all hosts.
    pub rate: f64,
    /// Requests that may exceed the rate at one time: the bucket's capacity.
    pub burst: f64,
}

/// The kind of an operation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// A write with an idempotency key, which runs at most once however often it is sent.
    KeyedWrite,
    /// A write without an idempotency key, which the caller sends once.
    UnkeyedWrite,
    /// A read that must include everything its session has seen.
    SessionRead,
    /// A read that accepts results up to a maximum age.
    AgedRead,
    /// An interactive transaction that writes.
    Transaction,
    /// A request whose key combines the id of one account with the secret of another; it must be
    /// refused.
    Foreign,
}

impl Kind {
    /// Every kind, in declaration order.
    pub const ALL: [Kind; 6] = [
        Kind::KeyedWrite,
        Kind::UnkeyedWrite,
        Kind::SessionRead,
        Kind::AgedRead,
        Kind::Transaction,
        Kind::Foreign,
    ];

    /// Whether the operation leaves a row when it takes effect.
    pub fn is_write(self) -> bool {
        matches!(self, Kind::KeyedWrite | Kind::UnkeyedWrite | Kind::Transaction)
    }

    /// Whether the operation is a plain read.
    pub fn is_read(self) -> bool {
        matches!(self, Kind::SessionRead | Kind::AgedRead)
    }
}

/// One operation of one session.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Op {
    /// Number of the operation; a write stores it in its row.
    pub id: OpId,
    /// Account that sent it.
    pub account: AccountIndex,
    /// Session that sent it.
    #[serde(default)]
    pub session: SessionId,
    /// Service that it addresses.
    #[serde(default)]
    pub service: ServiceIndex,
    /// Kind of the operation.
    pub kind: Kind,
    /// Time at which it was due; latency counts from here.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "scheduled_us")]
    pub scheduled: Duration,
    /// Requests that were sent for it, in order.
    pub attempts: Vec<Attempt>,
    /// Lowest [`Seen::seq`] that a read may return; none when every result is valid.
    #[serde(default)]
    pub floor: Option<Seq>,
    /// Result of a read; none without a response or when the response has no valid row.
    #[serde(default)]
    pub seen: Option<Seen>,
}

/// The row that a read returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// Operation number that the read sent as a parameter and the database returned.
    pub op: OpId,
    /// Highest write of the session that the read saw; 0 for none.
    pub seq: Seq,
}

/// The part of its operation that an attempt performs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// All of the operation.
    #[default]
    Whole,
    /// Begins a transaction.
    Begin,
    /// A statement in a transaction.
    Run,
    /// Ends a transaction.
    Commit,
}

/// One request and its outcome.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Part of the operation that the request performs.
    #[serde(default)]
    pub step: Step,
    /// Index of the host that it was sent to.
    #[serde(default)]
    pub host: usize,
    /// Time at which it was sent.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "sent_us")]
    pub sent: Duration,
    /// Time at which its outcome was known to the caller.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "ended_us")]
    pub ended: Duration,
    /// Its outcome.
    pub outcome: Outcome,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// The host answered it.
    Done {
        /// Whether a replica served it; none when the response does not state it.
        #[serde(default)]
        replica: Option<bool>,
        /// Whether the host replayed the stored outcome of an earlier request with the same key.
        #[serde(default)]
        replayed: bool,
    },
    /// The host refused it.
    Refused {
        /// Reason of the refusal; none when this version doesn't know it.
        reason: Option<Reason>,
        /// Whether it may have taken effect, as the host reports it.
        ran: Ran,
    },
    /// The response is missing or incomplete, so the request may have run.
    Cut,
    /// No connection could be made, so nothing was sent.
    Unsent,
}

/// A fault that was injected.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Description for reports: kind, and service and target or host.
    pub name: String,
    /// Service whose primary it makes unavailable; none if it does not affect a primary.
    #[serde(default)]
    pub primary_of: Option<ServiceIndex>,
    /// Time at which its injection began.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "begun_us")]
    pub begun: Duration,
    /// Time from which the fault was in effect.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "done_us")]
    pub done: Duration,
}

/// Rows of a target after all faults were healed and replication had caught up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRows {
    /// Service of the target.
    pub service: ServiceIndex,
    /// Number of the target within its group.
    pub target: usize,
    /// Rows by the operation that wrote them.
    #[serde(default)]
    pub rows: BTreeMap<OpId, OpRows>,
}

/// Rows that one operation left on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpRows {
    /// Account that the rows name.
    pub account: AccountIndex,
    /// Number of rows.
    pub count: u64,
}

/// What the caller knows about the effect of a request or an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect completely.
    Acknowledged,
    /// It took no effect.
    NotRun,
    /// It may or may not have taken effect.
    Unknown,
}

impl Attempt {
    /// What this attempt alone shows about its effect.
    pub fn verdict(&self) -> Verdict {
        match self.outcome {
            Outcome::Done { .. } => Verdict::Acknowledged,
            Outcome::Refused { ran: Ran::No, .. } | Outcome::Unsent => Verdict::NotRun,
            Outcome::Refused { ran: Ran::Unknown, .. } | Outcome::Cut => Verdict::Unknown,
        }
    }

    /// Whether the request was certainly admitted and charged to its account's rate.
    pub fn was_admitted(&self) -> bool {
        self.verdict() == Verdict::Acknowledged
    }
}

impl Op {
    /// What the caller knows about the operation after its last attempt.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            Kind::Transaction => self.transaction_verdict(),
            _ => self.single_verdict(),
        }
    }

    /// The last attempt, if any was made.
    pub fn last(&self) -> Option<&Attempt> {
        self.attempts.last()
    }

    /// The attempt that determined the outcome: the first that was answered, else the last; for a
    /// transaction always the last.
    pub fn decisive_attempt(&self) -> Option<&Attempt> {
        if self.kind == Kind::Transaction {
            return self.last();
        }
        let is_answered = |attempt: &&Attempt| attempt.verdict() == Verdict::Acknowledged;
        self.attempts.iter().find(is_answered).or_else(|| self.last())
    }

    /// Time from the due time to the end of the decisive attempt.
    pub fn latency(&self) -> Option<Duration> {
        self.decisive_attempt().map(|attempt| attempt.ended.saturating_sub(self.scheduled))
    }

    /// The verdict of an operation of single requests. A "not run" after an attempt of unknown
    /// outcome does not settle that attempt, so the verdict stays unknown.
    fn single_verdict(&self) -> Verdict {
        let verdicts: Vec<_> = self.attempts.iter().map(Attempt::verdict).collect();
        if verdicts.contains(&Verdict::Acknowledged) {
            return Verdict::Acknowledged;
        }
        if verdicts.contains(&Verdict::Unknown) {
            return Verdict::Unknown;
        }
        Verdict::NotRun
    }

    /// The verdict of a transaction. It takes effect only by its commit, so no other step can leave its
    /// outcome unknown.
    fn transaction_verdict(&self) -> Verdict {
        match self.last() {
            Some(last) if last.step == Step::Commit => last.verdict(),
            _ => Verdict::NotRun,
        }
    }
}
