//! How far a write has progressed, which decides what a refusal may claim about it.
//!
//! A write runs in an explicit transaction, and callers' statements cannot end one
//! (see [`crate::sql`]). A target therefore makes a write permanent only when COMMIT reaches it:
//! until the first byte of COMMIT is sent, losing the connection rolls the write back. After that,
//! only the target's response tells whether the write was committed.

use crate::refusal::Ran;

/// The furthest stage that an attempt of a write may have reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No byte was sent on a connection.
    Unsent,
    /// The statement may have reached the target; COMMIT has not.
    StatementSent,
    /// COMMIT may have reached the target.
    CommitSent,
}

impl Stage {
    /// Whether the write may have taken effect, if no response of the target says more.
    pub fn ran(self) -> Ran {
        match self {
            Stage::Unsent | Stage::StatementSent => Ran::No,
            Stage::CommitSent => Ran::Unknown,
        }
    }

    /// Whether a write without an idempotency key may be retried at this stage.
    pub fn is_unsent(self) -> bool {
        self == Stage::Unsent
    }
}
