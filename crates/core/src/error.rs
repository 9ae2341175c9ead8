//! Error type of this crate.

use crate::config;
use derive_more::{Display, Error, From};

/// Reason why an input is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// The session token is malformed, too long or of an unknown format version.
    #[display("malformed session token")]
    MalformedToken,
    /// The configuration is invalid.
    #[from]
    Config(config::Fault),
}

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
