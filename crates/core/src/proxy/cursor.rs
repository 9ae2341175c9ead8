//! Position of a host in the change history of one of the platform's tables.
//!
//! A poll returns every change since the previous answer, so its answer grows with the time that
//! has passed, while the table itself stays small. After a call without an answer the host
//! therefore reads the table instead of its history: an answer that took too long once would only
//! take longer the next time.

use super::revision::{Era, Revision};

/// Next call that follows a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the whole table.
    ReadTable,
    /// Poll for changes after this revision.
    Poll(Revision),
}

/// Position in the changes of one table.
#[derive(Debug, Default)]
pub struct Cursor {
    /// Revision up to which the table has been read; `None` if it has to be read as a whole.
    revision: Option<Revision>,
}

impl Cursor {
    /// Returns the call to make now.
    pub fn next_step(&self) -> Step {
        self.revision.map_or(Step::ReadTable, Step::Poll)
    }

    /// Records an answer that reflects the table as of `revision`.
    pub fn record_answer(&mut self, revision: Revision) {
        self.revision = Some(revision);
    }

    /// Records that a call failed or was abandoned, or that the history it asked for is gone.
    pub fn record_unanswered(&mut self) {
        self.revision = None;
    }

    /// Whether the store has been restored since the revision up to which the table has been read.
    pub fn is_before(&self, era: Era) -> bool {
        self.revision.is_some_and(|revision| revision.era < era)
    }

    /// Whether a poll is due to return a change at `newest`, which a peer has seen.
    pub fn is_behind(&self, newest: Revision) -> bool {
        self.revision.is_some_and(|revision| revision < newest)
    }
}
