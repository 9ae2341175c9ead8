//! The error of the stand-ins' own interface.

use derive_more::{Display, Error, From};

/// What can go wrong when a stand-in is started or inspected.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket or a thread could not be had.
    #[display("I/O: {_0}")]
    Io(std::io::Error),
    /// SQLite could not be set up.
    #[display("SQLite: {_0}")]
    Sqlite(rusqlite::Error),
    /// A statement of the caller failed.
    #[display("statement: {_0}")]
    Statement(crate::group::sqlstate::Error),
}

/// Result of the stand-ins' own interface.
pub type Result<T> = std::result::Result<T, Error>;
