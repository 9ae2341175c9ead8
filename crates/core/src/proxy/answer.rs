//! What a caller is told when its statement was not answered with success.
//!
//! [`response_code`] is the only place that turns how far a statement got, and what came back, into a
//! code. A code for which [`Code::guarantees_no_effect`] holds says that nothing of the caller's operation
//! is kept; it is given only where that is certain.

use derive_more::Display;
use serde::Serialize;

/// Codes that callers know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Code {
    /// Not run: no capacity, no authority or no primary.
    Busy,
    /// Rolled back.
    Aborted,
    /// Not run: no target is fresh enough.
    Lagging,
    /// Not run: the target takes no writes.
    ReadOnly,
    /// Not run: another target or service answered.
    Misrouted,
    /// Not run: the target has too many connections.
    TooManyConnections,
    /// It may have taken effect.
    Unknown,
    /// It ran out of time at the target.
    Timeout,
    /// It ran and failed.
    Failed,
    /// The statement cannot be read, or does not fit the session's state.
    Malformed,
    /// No such database.
    UnknownDatabase,
    /// No such key.
    UnknownKey,
    /// No prepared statement of this name.
    UnknownStatement,
}

impl Code {
    /// Whether the code says that nothing is kept.
    pub fn guarantees_no_effect(self) -> bool {
        matches!(
            self,
            Code::Busy
                | Code::Aborted
                | Code::Lagging
                | Code::ReadOnly
                | Code::Misrouted
                | Code::TooManyConnections
        )
    }

    /// Whether a target that answers this has not run the statement.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Code::Busy
                | Code::UnknownStatement
                | Code::Lagging
                | Code::ReadOnly
                | Code::Misrouted
                | Code::TooManyConnections
        )
    }
}

/// What a statement does to the data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: a read, or a statement inside a transaction that has not been committed.
    None,
    /// It is kept once it runs: a commit, or a write outside a transaction.
    Lasting,
}

/// How far the statement got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// No byte of it can have reached a target.
    No,
    /// Bytes of it may have reached a target.
    Maybe,
}

/// What came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered with an error.
    Error(Code),
    /// The connection broke or stayed silent.
    NoResponse,
    /// Success, but the host could not show that the target still was the primary.
    Unverified,
    /// The host did not try: no capacity, no time, no authority.
    NotAttempted,
    /// No target was fresh enough.
    NotFresh,
}

/// Code for a statement that got as far as `sent` and ended with `outcome`.
pub fn response_code(effect: Effect, in_transaction: bool, sent: Sent, outcome: Outcome) -> Code {
    let may_be_kept = effect == Effect::Lasting && sent == Sent::Maybe;
    match outcome {
        Outcome::Error(Code::UnknownStatement | Code::Malformed) => rolled_back(in_transaction),
        Outcome::Error(code) => code,
        Outcome::NoResponse | Outcome::Unverified if may_be_kept => Code::Unknown,
        Outcome::NoResponse | Outcome::Unverified | Outcome::NotAttempted => {
            rolled_back(in_transaction)
        }
        Outcome::NotFresh if in_transaction => Code::Aborted,
        Outcome::NotFresh => Code::Lagging,
    }
}

fn rolled_back(in_transaction: bool) -> Code {
    if in_transaction { Code::Aborted } else { Code::Busy }
}
