//! Statements of a session.

/// Whether a prepared statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads, so that a replica may run it.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The session's name for it.
        name: String,
        /// What it does.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for it.
        name: String,
        /// The rest of the text: the item and the data.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: String,
    },
}

/// What a prepared statement does, whatever a session calls it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    /// Whether it writes.
    pub access: Access,
    /// Its text.
    pub text: String,
}
