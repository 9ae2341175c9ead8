//! The core's one error.

use crate::config;
use derive_more::{Display, Error, From};

/// What the core can find wrong with its input.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// A session token that this version cannot read.
    #[display("malformed session token")]
    MalformedToken,
    /// A configuration that cannot hold.
    #[from]
    Config(config::Fault),
}

/// The core's result.
pub type Result<T> = std::result::Result<T, Error>;
