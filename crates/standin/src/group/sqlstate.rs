//! Errors of statements as reported to callers: a SQLSTATE and a message.

use derive_more::{Display, Error};
use rusqlite::ErrorCode;
use rusqlite::ffi;

/// Five-character SQLSTATE code.
pub type Code = &'static str;

/// The target is no longer the primary of the accepted term; nothing was committed.
pub const SUPERSEDED: Code = "BV001";
/// New write transactions are on hold at the primary; the statement was not run.
pub const HELD: Code = "BV002";
/// A write on a replica, or in a read-only session or transaction.
pub const READ_ONLY: Code = "25006";
/// A statement in a failed transaction.
pub const ABORTED: Code = "25P02";
/// A transaction exceeded the idle timeout.
pub const IDLE_TIMEOUT: Code = "25P03";
/// A cancel request or the statement timeout interrupted the statement.
pub const CANCELED: Code = "57014";
/// The connection was closed by the target, which was killed, demoted or rebuilt.
pub const SHUTDOWN: Code = "57P01";
/// The target's connection limit is reached.
pub const TOO_MANY_CONNECTIONS: Code = "53300";
/// The result exceeds the size limit.
pub const TOO_LARGE: Code = "54000";
/// The caller violated the protocol.
pub const PROTOCOL: Code = "08P01";
/// A parameter or value can't be parsed as its type.
pub const INVALID_TEXT: Code = "22P02";
/// A value can't be converted to its column's type.
pub const MISMATCH: Code = "42804";
/// The stand-in does not support the statement, function or parameter type.
pub const UNSUPPORTED: Code = "0A000";
/// The function does not exist, or not with these arguments.
pub const UNKNOWN_FUNCTION: Code = "42883";
/// The statement can't be parsed.
pub const SYNTAX: Code = "42601";
/// Simulated disk failure of a poisoned target.
pub const IO: Code = "58030";
const UNKNOWN_TABLE: Code = "42P01";
const UNKNOWN_COLUMN: Code = "42703";
const DUPLICATE_TABLE: Code = "42P07";
const UNIQUE: Code = "23505";
const NOT_NULL: Code = "23502";
const FOREIGN_KEY: Code = "23503";
const CHECK: Code = "23514";
const INTERNAL: Code = "XX000";

/// Error of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{code}: {message}")]
pub struct Error {
    /// SQLSTATE.
    pub code: Code,
    /// Human-readable message.
    pub message: String,
}

/// Result of a statement.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// An error with a SQLSTATE and a message.
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

/// Code of an error that SQLite distinguishes only by its message.
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
