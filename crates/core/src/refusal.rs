//! Why a request was not answered with its result, and whether it ran.
//!
//! Every refusal reason has a counter of its own. `Ran::No` is a promise: no byte of the request
//! has reached a target in a way that could take effect.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a refused request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It certainly did not run.
    #[display("no")]
    No,
    /// It may have run; ask again with the same idempotency key.
    #[display("unknown")]
    Unknown,
}

/// Reason of a refusal; stable, part of the callers' interface.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// No key, or one that no client account holds.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The client account may not use this service.
    NotAllowed,
    /// No such service, route or transaction.
    NotFound,
    /// The request cannot be read.
    Malformed,
    /// Body, header, statement or result over its limit.
    TooLarge,
    /// A statement or parameter contains the presented key.
    KeyInStatement,
    /// The client account is over its rate and burst.
    RateExceeded,
    /// No connection slot came free within the time left.
    QueueTimeout,
    /// The queue is so long that the deadline cannot be met.
    QueueFull,
    /// This host's copy of the shared state is too old to act on.
    AuthorityLapsed,
    /// The host is stopping.
    Stopping,
    /// No primary is known, or it cannot be reached.
    NoPrimary,
    /// Replication lag makes the confirmation deadline unreachable.
    ReplicationLag,
    /// No target covers the session token or the stated age in time.
    NotFresh,
    /// The group's primary changed while the request ran.
    Superseded,
    /// The time that the caller gave has run out.
    DeadlineExceeded,
    /// The connection to the target broke or went silent.
    ConnectionLost,
    /// The target refuses new connections.
    ConnectionRefused,
    /// The database answered with an error of its own.
    StatementFailed,
    /// The same idempotency key came with another request.
    IdempotencyMismatch,
    /// A request with the same idempotency key is running.
    IdempotencyInProgress,
    /// The transaction ended: time limit, host loss or withdrawal.
    TransactionLost,
    /// The transaction belongs to another client account.
    TransactionForeign,
    /// The host that owns the transaction cannot be reached.
    PeerUnreachable,
    /// Writes are held for a planned promotion.
    WritesHeld,
}

impl Reason {
    /// Every reason, in order.
    pub const ALL: [Reason; 26] = [
        Reason::KeyUnknown,
        Reason::KeyWithdrawn,
        Reason::NotAllowed,
        Reason::NotFound,
        Reason::Malformed,
        Reason::TooLarge,
        Reason::KeyInStatement,
        Reason::RateExceeded,
        Reason::QueueTimeout,
        Reason::QueueFull,
        Reason::AuthorityLapsed,
        Reason::Stopping,
        Reason::NoPrimary,
        Reason::ReplicationLag,
        Reason::NotFresh,
        Reason::Superseded,
        Reason::DeadlineExceeded,
        Reason::ConnectionLost,
        Reason::ConnectionRefused,
        Reason::StatementFailed,
        Reason::IdempotencyMismatch,
        Reason::IdempotencyInProgress,
        Reason::TransactionLost,
        Reason::TransactionForeign,
        Reason::PeerUnreachable,
        Reason::WritesHeld,
    ];
}

/// A refusal as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{reason} (ran: {ran}): {detail}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it took effect.
    pub ran: Ran,
    /// One sentence for people; never contains a key.
    pub detail: String,
    /// When asking again makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { reason, ran: Ran::No, detail: detail.into(), retry_after: None }
    }

    /// The same refusal of a request that may have run.
    pub fn with_ran(mut self, ran: Ran) -> Refusal {
        self.ran = ran;
        self
    }

    /// The same refusal with a time after which to ask again.
    pub fn with_retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }
}
