//! The error code that a caller gets when its statement did not succeed.
//!
//! [`response_code`] is the only place that maps how far a statement got, and its outcome, to a
//! code. A code for which [`Code::guarantees_no_effect`] holds tells the caller that its operation
//! has left no effect; it is given only where that is certain.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Error codes that callers receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Code {
    /// Not run: no capacity, no authority or no primary.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// Not run: no target is fresh enough.
    Lagging,
    /// Not run: the target takes no writes.
    ReadOnly,
    /// Not run: the connection reached another target or service than the intended one.
    Misrouted,
    /// Not run: the target has too many connections.
    TooManyConnections,
    /// The statement may have taken effect.
    Unknown,
    /// The statement timed out at the target.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// The statement cannot be parsed, or is not permitted in the session's state.
    Malformed,
    /// No route has the requested database name.
    UnknownDatabase,
    /// No client account holds the key.
    UnknownKey,
    /// The session or connection has no prepared statement of this name.
    UnknownStatement,
}

impl Code {
    /// Whether the code tells the caller that its operation has left no effect.
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

    /// Whether a target that responds with this code has not run the statement.
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

/// Effect of a statement on the data once it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// None: a read, or a statement in a transaction that is not committed yet.
    None,
    /// Lasting: a commit, or a write outside a transaction.
    Lasting,
}

/// Whether a statement may have reached a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sent {
    /// No byte of it can have reached a target.
    No,
    /// Bytes of it may have reached a target.
    Maybe,
}

/// How an attempt at a statement ended without success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded with an error.
    Error(Code),
    /// No response that can be used: the connection broke or timed out.
    NoResponse,
    /// The target reported success, but the host could not verify that it still was the primary.
    Unverified,
    /// The host made no attempt: no capacity, no time or no authority.
    NotAttempted,
    /// No target has reached the floor of the read.
    NotFresh,
}

/// Returns the code for a statement that got as far as `sent` and ended with `outcome`.
///
/// [`Code::UnknownStatement`] and [`Code::Malformed`] from a target are not passed on: they concern
/// names that the host chose and texts that it has accepted, which the caller cannot correct.
pub fn response_code(effect: Effect, in_transaction: bool, sent: Sent, outcome: Outcome) -> Code {
    let may_have_effect = effect == Effect::Lasting && sent == Sent::Maybe;
    match outcome {
        Outcome::Error(Code::UnknownStatement | Code::Malformed) => rolled_back(in_transaction),
        Outcome::Error(code) => code,
        Outcome::NoResponse | Outcome::Unverified if may_have_effect => Code::Unknown,
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
