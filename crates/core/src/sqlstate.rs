//! Classification of the SQLSTATE codes that targets return.
//!
//! A code tells whether the statement can have taken effect, whether a retry can help, and whether
//! the failure counts against the health of the target.

use crate::retry;

/// The primary's term has been superseded; nothing was committed. Specific to database groups.
pub const SUPERSEDED: &str = "BV001";
/// New write transactions are held; nothing ran. Specific to database groups.
pub const WRITES_HELD: &str = "BV002";
/// A write on a target that is not a primary.
pub const READ_ONLY: &str = "25006";
/// A unique constraint was violated.
pub const UNIQUE_VIOLATION: &str = "23505";
/// The statement was cancelled.
pub const CANCELLED: &str = "57014";
/// A lock could not be acquired in time.
pub const LOCKED: &str = "55P03";
/// The target has reached its connection limit.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// An earlier statement of the transaction failed.
pub const ABORTED: &str = "25P02";

/// SQLSTATE classes of errors that the target, not the caller, is responsible for.
const TARGET_CLASSES: [&str; 6] = ["08", "53", "57", "58", "F0", "XX"];

/// Cause of a failed statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The statement: syntax, constraint, missing table, conflict with another transaction.
    Caller,
    /// The target is no longer the primary, and committed nothing.
    Superseded,
    /// Writes are held for a planned promotion; nothing ran.
    Held,
    /// The statement was cancelled.
    Cancelled,
    /// A lock was not acquired in time.
    Locked,
    /// The target refuses connections because its limit is reached.
    Busy,
    /// The target failed to execute the statement.
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

    /// Whether an error with this cause, in response to COMMIT, proves that nothing was committed.
    ///
    /// A target that fails during a commit may already have written it.
    pub fn proves_rollback(self) -> bool {
        matches!(self, Failure::Caller | Failure::Superseded | Failure::Held)
    }

    /// Reason to retry the request; `None` if a retry would fail in the same way.
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
