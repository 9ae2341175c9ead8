//! Addresses that a host listens on.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Listen addresses of a host, one for each kind of client. Port 0 binds any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP interface for callers.
    pub callers: SocketAddr,
    /// HTTP API for operators.
    pub operators: SocketAddr,
    /// Protocol between hosts.
    pub peers: SocketAddr,
}
