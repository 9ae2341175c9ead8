//! Size limits and timeouts of requests.

use crate::unit::{Size, Span};
use bergamotvale_core::plan;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Size and connection limits of callers' requests; sizes are in bytes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request's body.
    #[serde_as(as = "Size")]
    pub body: usize,
    /// Maximum size of a request's headers in total.
    #[serde_as(as = "Size")]
    pub headers: usize,
    /// Maximum size of a statement's text.
    #[serde_as(as = "Size")]
    pub statement: usize,
    /// Maximum size of a result.
    #[serde_as(as = "Size")]
    pub result: usize,
    /// Time that a connection of a caller may be idle before it is closed.
    #[serde_as(as = "Span")]
    pub idle: Duration,
    /// Time that a caller may take for the TLS handshake, and for sending a request's headers.
    #[serde_as(as = "Span")]
    pub header_time: Duration,
    /// Maximum number of requests of one client account that wait for a connection.
    pub queue: usize,
}

/// Timeouts of requests, transactions, calls and the stop.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// Timeout of a request that does not state one.
    #[serde_as(as = "Span")]
    pub request: Duration,
    /// Maximum timeout of a request; a longer one that a caller states is lowered to it.
    #[serde_as(as = "Span")]
    pub request_ceiling: Duration,
    /// Timeout of connecting to a target.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// Time that a transaction may be idle between two steps.
    #[serde_as(as = "Span")]
    pub transaction_idle: Duration,
    /// Maximum duration of a transaction.
    #[serde_as(as = "Span")]
    pub transaction_total: Duration,
    /// Timeout of a call to another host.
    #[serde_as(as = "Span")]
    pub peer: Duration,
    /// Time for which a leaving host keeps accepting requests, while callers learn that it leaves.
    #[serde_as(as = "Span")]
    pub leave: Duration,
    /// Time for which a stopping host lets requests and transactions finish. It covers every
    /// deadline, so that a stop interrupts none of them.
    #[serde_as(as = "Span")]
    pub stop: Duration,
    /// Time for which the old and the new key are both valid during a rotation.
    #[serde_as(as = "Span")]
    pub key_overlap: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: 1 << 20,
            headers: 16 << 10,
            statement: 64 << 10,
            result: 16 << 20,
            idle: Duration::from_secs(60),
            header_time: Duration::from_secs(5),
            queue: 256,
        }
    }
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            request: Duration::from_secs(2),
            request_ceiling: Duration::from_secs(30),
            connect: Duration::from_millis(500),
            transaction_idle: Duration::from_secs(5),
            transaction_total: Duration::from_secs(30),
            peer: Duration::from_millis(500),
            leave: Duration::from_secs(2),
            stop: Duration::from_secs(35),
            key_overlap: plan::KEY_OVERLAP,
        }
    }
}
