//! The command's one error and the exit status that it leads to.

use crate::client::problem::Problem;
use derive_more::{Display, Error, From};

/// Exit status when everything held.
pub const EXIT_OK: u8 = 0;
/// Exit status of a refusal or of a verdict that failed.
pub const EXIT_REFUSED: u8 = 1;
/// Exit status of a command line, file or setting that can't be used.
pub const EXIT_USAGE: u8 = 2;
/// Exit status when the host can't be reached.
pub const EXIT_UNREACHABLE: u8 = 3;

/// What ends a command without success.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The host refused.
    #[display("refused: {_0}")]
    Refused(Problem),
    /// A verdict of `try` or `bench` does not hold.
    #[display("failed: {_0}")]
    #[from(ignore)]
    Verdict(#[error(not(source))] String),
    /// An argument, file or variable can't be used.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// The host did not answer.
    #[display("unreachable: {_0}")]
    #[from(ignore)]
    Unreachable(#[error(not(source))] String),
    /// The in-process system did not start.
    #[display("start: {_0}")]
    #[from(ignore)]
    Start(#[error(not(source))] String),
    /// Standard output or a report file could not be written.
    #[display("output: {_0}")]
    Io(std::io::Error),
}

impl Error {
    /// Exit status that stands for this error.
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

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// The messages of `error` and of its sources, without the address's query or any header.
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
