//! How a host calls the platform's service.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::SocketAddr;
use std::time::Duration;

/// The platform's service and how it is called.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time that one call may take.
    #[serde_as(as = "Span")]
    #[serde(default = "default_timeout")]
    pub timeout: Duration,
    /// Time between two reads of the shared state.
    #[serde_as(as = "Span")]
    #[serde(default = "default_period")]
    pub period: Duration,
}

impl Platform {
    /// The service at `address`, called with the default times.
    pub(super) fn new(address: SocketAddr) -> Platform {
        Platform { address, timeout: default_timeout(), period: default_period() }
    }
}

fn default_timeout() -> Duration {
    Duration::from_millis(500)
}

fn default_period() -> Duration {
    Duration::from_millis(500)
}
