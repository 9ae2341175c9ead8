//! Errors of the transport between hosts.

use derive_more::{Display, Error, From};

/// What can go wrong between hosts.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be made or broke.
    #[display("peer connection: {_0}")]
    Io(std::io::Error),
    /// The call did not come back.
    #[display("peer call: {_0}")]
    Rpc(tarpc::client::RpcError),
}

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;
