//! Address and timeouts of the platform's service.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::SocketAddr;
use std::time::Duration;

/// Where the platform's service is and how it is called.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address that the service listens on.
    pub address: SocketAddr,
    /// Timeout of one call.
    #[serde_as(as = "Span")]
    #[serde(default = "default_timeout")]
    pub timeout: Duration,
    /// Interval between two reads of the shared state.
    #[serde_as(as = "Span")]
    #[serde(default = "default_period")]
    pub period: Duration,
}

impl Platform {
    /// The service at `address`, with the default timeout and interval.
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
