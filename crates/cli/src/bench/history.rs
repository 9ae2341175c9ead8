//! What a run did and what it left behind, as plain data.
//!
//! The load generator writes a history; checkers and measures read it and nothing else, so that a
//! history from a file is judged like one that was just recorded. Times count from the start of
//! the run.

use bergamotvale_core::refusal::{Ran, Reason};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of an operation within its run.
pub type OpId = u64;
/// Number of a session within its run.
pub type SessionId = u32;
/// Place of a write within its session, from 1.
pub type Seq = u64;
/// Place of an account in [`History::accounts`].
pub type AccountIndex = usize;
/// Place of a service in [`History::services`].
pub type ServiceIndex = usize;

/// A whole run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Names of the services.
    pub services: Vec<String>,
    /// Operations, in the order in which they were scheduled.
    #[serde(default)]
    pub ops: Vec<Op>,
    /// Faults that were set.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What every target held at the end.
    #[serde(default)]
    pub remains: Vec<Remains>,
}

/// A client account as the run knew it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Requests above the rate at once.
    pub burst: f64,
}

/// What an operation does.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// A write that runs at most once.
    KeyedWrite,
    /// A write without idempotency key, sent once by the caller.
    UnkeyedWrite,
    /// A read that covers what its session has seen.
    SessionRead,
    /// A read that states an age.
    AgedRead,
    /// An interactive transaction that writes.
    Transaction,
    /// A request with a key that does not allow it.
    Foreign,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 6] = [
        Kind::KeyedWrite,
        Kind::UnkeyedWrite,
        Kind::SessionRead,
        Kind::AgedRead,
        Kind::Transaction,
        Kind::Foreign,
    ];

    /// Whether it leaves a row when it takes effect.
    pub fn writes(self) -> bool {
        matches!(self, Kind::KeyedWrite | Kind::UnkeyedWrite | Kind::Transaction)
    }

    /// Whether it only reads.
    pub fn reads(self) -> bool {
        matches!(self, Kind::SessionRead | Kind::AgedRead)
    }
}

/// One operation of one session.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Op {
    /// Its number; a write leaves it in its row.
    pub id: OpId,
    /// Whose it is.
    pub account: AccountIndex,
    /// Its session.
    #[serde(default)]
    pub session: SessionId,
    /// The service that it uses.
    #[serde(default)]
    pub service: ServiceIndex,
    /// What it does.
    pub kind: Kind,
    /// When it was due; latency counts from here.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "scheduled_us")]
    pub scheduled: Duration,
    /// Requests that it took, in order.
    pub attempts: Vec<Attempt>,
    /// Least write of the session that a read has to see.
    #[serde(default)]
    pub floor: Option<Seq>,
    /// What the read answered.
    #[serde(default)]
    pub seen: Option<Seen>,
}

/// What a read answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// The operation whose answer it says it is.
    pub op: OpId,
    /// Last write of the session.
    pub seq: Seq,
}

/// Which request of its operation an attempt is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The only one.
    #[default]
    Whole,
    /// Begins a transaction.
    Begin,
    /// A statement in a transaction.
    Run,
    /// Ends a transaction.
    Commit,
}

/// One request and how it ended.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Which request of the operation.
    #[serde(default)]
    pub step: Step,
    /// Place of the host.
    #[serde(default)]
    pub host: usize,
    /// When it was sent.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "sent_us")]
    pub sent: Duration,
    /// When its outcome was known.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "ended_us")]
    pub ended: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// Answered.
    Done {
        /// Whether a replica served it; none when the answer does not say.
        #[serde(default)]
        replica: Option<bool>,
        /// Whether it is the outcome of an earlier request.
        #[serde(default)]
        replayed: bool,
    },
    /// Refused.
    Refused {
        /// Why; none when the reason is not a known one.
        reason: Option<Reason>,
        /// Whether it took effect.
        ran: Ran,
    },
    /// The answer is missing or incomplete.
    Cut,
    /// The connection was not made.
    Unsent,
}

/// A fault that was set.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What it is, for people.
    pub name: String,
    /// The service whose primary it takes away, if it does.
    #[serde(default)]
    pub primary_of: Option<ServiceIndex>,
    /// When setting it began.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "begun_us")]
    pub begun: Duration,
    /// When it was set.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "done_us")]
    pub done: Duration,
}

/// What a target held at the end, all faults healed and replication caught up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Remains {
    /// Service of the target.
    pub service: ServiceIndex,
    /// Number of the target.
    pub target: usize,
    /// Rows by the operation that left them.
    #[serde(default)]
    pub rows: BTreeMap<OpId, Mark>,
}

/// The rows that one operation left on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Account that the rows name.
    pub account: AccountIndex,
    /// How many there are.
    pub count: u64,
}

/// What its caller knows about an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect, whole.
    Acknowledged,
    /// It took no effect.
    NotRun,
    /// Either.
    Unknown,
}

impl Attempt {
    /// What the attempt alone says about its effect.
    pub fn verdict(&self) -> Verdict {
        match self.outcome {
            Outcome::Done { .. } => Verdict::Acknowledged,
            Outcome::Refused { ran: Ran::No, .. } | Outcome::Unsent => Verdict::NotRun,
            Outcome::Refused { ran: Ran::Unknown, .. } | Outcome::Cut => Verdict::Unknown,
        }
    }

    /// Whether the request was let through and used its account's rate for certain.
    pub fn was_admitted(&self) -> bool {
        self.verdict() == Verdict::Acknowledged
    }
}

impl Op {
    /// What the caller knows at the end.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            Kind::Transaction => self.transaction_verdict(),
            _ => self.single_verdict(),
        }
    }

    /// The last attempt.
    pub fn last(&self) -> Option<&Attempt> {
        self.attempts.last()
    }

    /// The attempt that settled it: the first that was answered, else the last.
    pub fn settled(&self) -> Option<&Attempt> {
        if self.kind == Kind::Transaction {
            return self.last();
        }
        let is_answered = |attempt: &&Attempt| attempt.verdict() == Verdict::Acknowledged;
        self.attempts.iter().find(is_answered).or_else(|| self.last())
    }

    /// Time from when it was due until it was settled.
    pub fn latency(&self) -> Option<Duration> {
        self.settled().map(|attempt| attempt.ended.saturating_sub(self.scheduled))
    }

    /// An earlier attempt of unknown outcome keeps a later "not run" unknown.
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

    /// Only a commit can leave the outcome open.
    fn transaction_verdict(&self) -> Verdict {
        match self.last() {
            Some(last) if last.step == Step::Commit => last.verdict(),
            _ => Verdict::NotRun,
        }
    }
}
