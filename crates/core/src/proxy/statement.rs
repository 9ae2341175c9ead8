//! Statements that a caller can send in a session.

use serde::{Deserialize, Serialize};

/// Whether a prepared statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes, so that only a primary can run it.
    Write,
}

/// One statement of a caller, as parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads, so that a replica may run it.
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
        /// Name of the value.
        name: String,
        /// The new value.
        value: String,
    },
    /// Prepares a statement under a name that is known only in the session.
    Prepare {
        /// Name that the session gave the statement.
        name: String,
        /// Access and text of the statement.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name that the session gave the statement.
        name: String,
        /// The text after the name: the item and the data.
        arguments: String,
    },
    /// Removes a prepared statement from the session.
    Deallocate {
        /// Name that the session gave the statement.
        name: String,
    },
}

/// A prepared statement without the session's name for it, so that sessions that prepare the same
/// statement share it on a connection.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Whether it writes.
    pub access: Access,
    /// Text of the statement.
    pub text: String,
}
