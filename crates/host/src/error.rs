//! Errors of the host itself; the failure of a request is a
//! [`Refusal`](bergamotvale_core::refusal::Refusal) instead.

use crate::settings;
use bergamotvale_core::store;
use derive_more::{Display, Error, From};

/// An error of the host's own work, such as starting up or calling the platform.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings are invalid.
    #[from]
    Settings(settings::Fault),
    /// An operation on a socket or file failed.
    #[from]
    Io(std::io::Error),
    /// The logger could not be installed.
    #[display("log: {_0}")]
    #[from]
    Log(log::SetLoggerError),
    /// A call to the platform failed, or its response does not follow the protocol.
    #[display("platform: {_0}")]
    #[from]
    Platform(reqwest::Error),
    /// A row or document of the platform is malformed.
    #[display("platform: {_0}")]
    #[from]
    Malformed(serde_json::Error),
    /// A call to the platform was not sent: too many are in flight, or the platform keeps failing.
    #[display("platform: calls are {_0}")]
    #[from]
    Gate(#[error(not(source))] store::Refusal),
    /// The protocol or transport between hosts failed.
    #[from]
    Peer(bergamotvale_wire::Error),
    /// A connection to a target or an exchange on it failed.
    #[display("target: {_0}")]
    #[from]
    Target(tokio_postgres::Error),
    /// The core reported an error.
    #[from]
    Core(bergamotvale_core::Error),
}

/// Result with [`enum@Error`] as the error type.
pub type Result<T> = std::result::Result<T, Error>;
