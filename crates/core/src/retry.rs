//! Retries of requests that are safe to send again.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a request was sent again; each has a counter of its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The target did not cover the token or the stated age.
    NotFresh,
    /// The connection broke, or went silent, before or during a repeatable request.
    ConnectionLost,
    /// The target refused a new connection.
    ConnectionRefused,
    /// One try's deadline ran out.
    TryTimeout,
    /// The target failed the work itself.
    TargetFailed,
    /// The target is no longer the primary.
    Superseded,
    /// Writes were held for a planned promotion.
    WritesHeld,
}

impl Reason {
    /// Every reason, in order.
    pub const ALL: [Reason; 7] = [
        Reason::NotFresh,
        Reason::ConnectionLost,
        Reason::ConnectionRefused,
        Reason::TryTimeout,
        Reason::TargetFailed,
        Reason::Superseded,
        Reason::WritesHeld,
    ];
}
