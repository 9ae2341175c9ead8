//! Where a host listens.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Addresses of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators' requests.
    pub operators: SocketAddr,
    /// Other hosts.
    pub peers: SocketAddr,
}
