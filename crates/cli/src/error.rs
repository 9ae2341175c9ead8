//! Errors of the command and their exit statuses.

use crate::client::problem::Problem;
use derive_more::{Display, Error, From};

/// Exit status of success: the command is done and every verdict holds.
pub const EXIT_OK: u8 = 0;
/// Exit status of a refusal, a failed verdict, a failed start or an output error.
pub const EXIT_REFUSED: u8 = 1;
/// Exit status of an invalid command line, file or setting.
pub const EXIT_USAGE: u8 = 2;
/// Exit status if the host can't be reached or sends no valid response.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Reason for which a command failed. The texts are printed for operators.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The host refused the request.
    #[display("refused: {_0}")]
    Refused(Problem),
    /// A verdict of `try` or `bench` does not hold, a plan did not complete, or nothing was found.
    #[display("failed: {_0}")]
    #[from(ignore)]
    Verdict(#[error(not(source))] String),
    /// An argument, file or environment variable is missing or invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// The host can't be reached, or its response can't be parsed.
    #[display("unreachable: {_0}")]
    #[from(ignore)]
    Unreachable(#[error(not(source))] String),
    /// A part of the in-process system did not start, or one of its targets failed a query.
    #[display("start: {_0}")]
    #[from(ignore)]
    Start(#[error(not(source))] String),
    /// Reading standard input, or writing standard output or a report, failed.
    #[display("output: {_0}")]
    Io(std::io::Error),
}

impl Error {
    /// Returns the exit status of the process that ends with this error.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Refused(_) | Error::Verdict(_) | Error::Start(_) | Error::Io(_) => EXIT_REFUSED,
            Error::Usage(_) => EXIT_USAGE,
            Error::Unreachable(_) => EXIT_UNREACHABLE,
        }
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Error {
        Error::Unreachable(error_chain(&error))
    }
}

/// Result of a command or of one of its parts.
pub type Result<T> = std::result::Result<T, Error>;

/// Joins the messages of `error` and its sources, which contain neither headers nor URL queries.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
