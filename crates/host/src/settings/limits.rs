//! Bounds of requests, in size and in time.

use crate::unit::{Size, Span};
use bergamotvale_core::plan;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Limits of callers' requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's body.
    #[serde_as(as = "Size")]
    pub body: usize,
    /// Bytes of all of a request's headers.
    #[serde_as(as = "Size")]
    pub headers: usize,
    /// Bytes of a statement's text.
    #[serde_as(as = "Size")]
    pub statement: usize,
    /// Bytes of a result.
    #[serde_as(as = "Size")]
    pub result: usize,
    /// Time that a caller's connection may idle.
    #[serde_as(as = "Span")]
    pub idle: Duration,
    /// Time that a caller may take to send its headers.
    #[serde_as(as = "Span")]
    pub header_time: Duration,
    /// Requests of one client account that may wait for a connection.
    pub queue: usize,
}

/// Times that bound work.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// A request that states no timeout.
    #[serde_as(as = "Span")]
    pub request: Duration,
    /// The longest that a caller may state.
    #[serde_as(as = "Span")]
    pub request_ceiling: Duration,
    /// A new connection to a target.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// A transaction between two of its steps.
    #[serde_as(as = "Span")]
    pub transaction_idle: Duration,
    /// A transaction in all.
    #[serde_as(as = "Span")]
    pub transaction_total: Duration,
    /// A call to another host.
    #[serde_as(as = "Span")]
    pub peer: Duration,
    /// Taking requests all the same after the host began to leave.
    #[serde_as(as = "Span")]
    pub leave: Duration,
    /// Finishing what runs while the host stops; covers any deadline, so that a stop cuts nothing.
    #[serde_as(as = "Span")]
    pub stop: Duration,
    /// Time for which the old and the new key both work during a rotation.
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
