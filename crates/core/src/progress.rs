//! How far a write has got, and so what a refusal may say about it.
//!
//! A write runs in an explicit transaction, and callers' statements cannot end one
//! (see [`crate::sql`]). A target therefore makes a write permanent only when COMMIT reaches it:
//! until the first byte of COMMIT is handed to the connection, a loss of the connection ends in a
//! rollback. From then on only an answer of the target tells.

use crate::refusal::Ran;

/// The last point that a try of a write may have passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No byte has been handed to a connection.
    Unsent,
    /// The statement may have reached the target; COMMIT has not.
    StatementSent,
    /// COMMIT may have reached the target.
    CommitSent,
}

impl Stage {
    /// What a refusal at this point may say, when no answer tells more.
    pub fn ran(self) -> Ran {
        match self {
            Stage::Unsent | Stage::StatementSent => Ran::No,
            Stage::CommitSent => Ran::Unknown,
        }
    }

    /// Whether a write without an idempotency key may be sent again from here.
    pub fn is_unsent(self) -> bool {
        self == Stage::Unsent
    }
}
