//! Error type of calls between hosts.

use derive_more::{Display, Error, From};

/// Failure of a connection or call to a peer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be established or failed.
    #[display("peer connection: {_0}")]
    Io(std::io::Error),
    /// The call returned no response; the peer may have executed it.
    #[display("peer call: {_0}")]
    Rpc(tarpc::client::RpcError),
}

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;
