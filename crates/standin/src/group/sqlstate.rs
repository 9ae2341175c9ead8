//! Failures of a statement as its caller sees them: a SQLSTATE and a message.

use derive_more::{Display, Error};
use rusqlite::ErrorCode;
use rusqlite::ffi;

/// Five-character code of the failure.
pub type Code = &'static str;

/// The target has been superseded; nothing was committed.
pub const SUPERSEDED: Code = "BV001";
/// The primary holds new write transactions; nothing was run.
pub const HELD: Code = "BV002";
/// A write on a target or session that only reads.
pub const READ_ONLY: Code = "25006";
/// A statement in a transaction that has failed.
pub const ABORTED: Code = "25P02";
/// A transaction was idle for too long.
pub const IDLE_TIMEOUT: Code = "25P03";
/// A cancel request or the statement timeout ended the statement.
pub const CANCELED: Code = "57014";
/// The target is going down.
pub const SHUTDOWN: Code = "57P01";
/// The target's connections are used up.
pub const TOO_MANY_CONNECTIONS: Code = "53300";
/// A result is larger than the target may hold.
pub const TOO_LARGE: Code = "54000";
/// The protocol was not kept.
pub const PROTOCOL: Code = "08P01";
/// A parameter or value does not fit its type.
pub const INVALID_TEXT: Code = "22P02";
/// A value does not fit its column's type.
pub const MISMATCH: Code = "42804";
/// Something that the stand-in does not do.
pub const UNSUPPORTED: Code = "0A000";
/// No such function.
pub const UNKNOWN_FUNCTION: Code = "42883";
/// The statement cannot be parsed.
pub const SYNTAX: Code = "42601";
/// Disk of a poisoned target.
pub const IO: Code = "58030";
const UNKNOWN_TABLE: Code = "42P01";
const UNKNOWN_COLUMN: Code = "42703";
const DUPLICATE_TABLE: Code = "42P07";
const UNIQUE: Code = "23505";
const NOT_NULL: Code = "23502";
const FOREIGN_KEY: Code = "23503";
const CHECK: Code = "23514";
const INTERNAL: Code = "XX000";

/// Failure of one statement.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{code}: {message}")]
pub struct Error {
    /// SQLSTATE.
    pub code: Code,
    /// For people.
    pub message: String,
}

/// Result of one statement.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// A failure with its code.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Error { code, message: message.into() }
    }
}

impl From<rusqlite::Error> for Error {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let code = match &error {
            rusqlite::Error::SqliteFailure(failure, _) => failure_code(*failure, &message),
            rusqlite::Error::SqlInputError { error, .. } => failure_code(*error, &message),
            _ => INTERNAL,
        };
        Error { code, message }
    }
}

fn failure_code(failure: ffi::Error, message: &str) -> Code {
    match failure.code {
        ErrorCode::ConstraintViolation => constraint_code(failure.extended_code),
        ErrorCode::OperationInterrupted => CANCELED,
        ErrorCode::AuthorizationForStatementDenied => UNSUPPORTED,
        ErrorCode::TypeMismatch => MISMATCH,
        _ => message_code(message),
    }
}

fn constraint_code(extended: i32) -> Code {
    match extended {
        ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => UNIQUE,
        ffi::SQLITE_CONSTRAINT_NOTNULL => NOT_NULL,
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => FOREIGN_KEY,
        ffi::SQLITE_CONSTRAINT_CHECK => CHECK,
        _ => "23000",
    }
}

/// SQLite tells these apart by their message alone.
fn message_code(message: &str) -> Code {
    const CODES: [(&str, Code); 9] = [
        ("not authorized", UNSUPPORTED),
        ("no such table", UNKNOWN_TABLE),
        ("no such column", UNKNOWN_COLUMN),
        ("has no column named", UNKNOWN_COLUMN),
        ("no such function", UNKNOWN_FUNCTION),
        ("already exists", DUPLICATE_TABLE),
        ("syntax error", SYNTAX),
        ("incomplete input", SYNTAX),
        ("unrecognized token", SYNTAX),
    ];
    let found = CODES.iter().find(|(text, _)| message.contains(text));
    found.map_or(INTERNAL, |(_, code)| code)
}
