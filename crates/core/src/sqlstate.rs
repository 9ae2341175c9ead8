//! What an error code of a target says about the work and about the target.

use crate::retry;

/// The group's own code: a primary whose term has been passed; nothing was committed.
pub const SUPERSEDED: &str = "BV001";
/// The group's own code: new write transactions are held; nothing ran.
pub const WRITES_HELD: &str = "BV002";
/// A write on a target that is not a primary.
pub const READ_ONLY: &str = "25006";
/// A unique constraint was violated.
pub const UNIQUE_VIOLATION: &str = "23505";
/// The statement was cancelled.
pub const CANCELLED: &str = "57014";
/// A lock could not be had in time.
pub const LOCKED: &str = "55P03";
/// The target has no connection left.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// An earlier statement of the transaction failed.
pub const ABORTED: &str = "25P02";

/// Classes whose errors are the target's own fault.
const TARGET_CLASSES: [&str; 6] = ["08", "53", "57", "58", "F0", "XX"];

/// Who is at fault for a failed statement, and whether the statement can have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The statement itself: syntax, constraint, missing table, conflict with another transaction.
    Caller,
    /// The target is no longer the primary, and committed nothing.
    Superseded,
    /// Writes are held for a planned promotion; nothing ran.
    Held,
    /// The statement was cancelled.
    Cancelled,
    /// A lock was not had in time.
    Locked,
    /// The target refuses connections.
    Busy,
    /// The target failed the work.
    Target,
}

impl Failure {
    /// Classifies an SQLSTATE.
    pub fn new(code: &str) -> Failure {
        match code {
            SUPERSEDED | READ_ONLY => Failure::Superseded,
            WRITES_HELD => Failure::Held,
            CANCELLED => Failure::Cancelled,
            LOCKED => Failure::Locked,
            TOO_MANY_CONNECTIONS => Failure::Busy,
            _ if TARGET_CLASSES.iter().any(|class| code.starts_with(class)) => Failure::Target,
            _ => Failure::Caller,
        }
    }

    /// Whether the failure counts against the target's health.
    pub fn is_target_fault(self) -> bool {
        matches!(self, Failure::Target | Failure::Busy)
    }

    /// Whether an error with this cause, in answer to COMMIT, proves that nothing was committed.
    ///
    /// A target that fails in the middle of a commit may have written it already.
    pub fn proves_rollback(self) -> bool {
        matches!(self, Failure::Caller | Failure::Superseded | Failure::Held)
    }

    /// Reason to send the request again; none where the answer would be the same.
    pub fn retry_reason(self) -> Option<retry::Reason> {
        match self {
            Failure::Caller | Failure::Cancelled | Failure::Locked => None,
            Failure::Superseded => Some(retry::Reason::Superseded),
            Failure::Held => Some(retry::Reason::WritesHeld),
            Failure::Busy => Some(retry::Reason::ConnectionRefused),
            Failure::Target => Some(retry::Reason::TargetFailed),
        }
    }
}
