//! Error of the functions that start and inspect stand-ins.

use derive_more::{Display, Error, From};

/// Why starting or inspecting a stand-in failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket or a thread could not be created.
    #[display("I/O: {_0}")]
    Io(std::io::Error),
    /// SQLite could not be set up.
    #[display("SQLite: {_0}")]
    Sqlite(rusqlite::Error),
    /// A statement of the caller failed.
    #[display("statement: {_0}")]
    Statement(crate::group::sqlstate::Error),
}

/// Result with [`enum@Error`] as the error type.
pub type Result<T> = std::result::Result<T, Error>;
