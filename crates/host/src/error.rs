//! Errors of a host that concern no single request.

use crate::settings;
use bergamotvale_core::store;
use derive_more::{Display, Error, From};

/// What can keep a host from working.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings cannot hold.
    #[from]
    Settings(settings::Fault),
    /// A socket or file failed.
    #[from]
    Io(std::io::Error),
    /// The log could not be set up.
    #[display("log: {_0}")]
    #[from]
    Log(log::SetLoggerError),
    /// The platform did not answer as its protocol says.
    #[display("platform: {_0}")]
    #[from]
    Platform(reqwest::Error),
    /// A row or document of the platform cannot be read.
    #[display("platform: {_0}")]
    #[from]
    Malformed(serde_json::Error),
    /// A call to the platform was not made.
    #[display("platform: calls are {_0}")]
    #[from]
    Gate(#[error(not(source))] store::Refusal),
    /// Another host failed.
    #[from]
    Peer(bergamotvale_wire::Error),
    /// A target failed.
    #[display("target: {_0}")]
    #[from]
    Target(tokio_postgres::Error),
    /// A decision of the core.
    #[from]
    Core(bergamotvale_core::Error),
}

/// Result of a host's own work.
pub type Result<T> = std::result::Result<T, Error>;
