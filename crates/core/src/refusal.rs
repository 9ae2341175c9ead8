//! Refusals: why a request was not answered with its result, and whether it may have run.
//!
//! Every reason has its own counter. `Ran::No` is a guarantee: no byte of the request has reached a
//! target in a way that could take effect.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a refused request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run.
    #[display("no")]
    No,
    /// It may have run; a retry with the same idempotency key is safe.
    #[display("unknown")]
    Unknown,
}

/// Reason of a refusal. The names are part of the callers' interface and must not change.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The request has no key, or a key that no client account has.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The client account has no access to this service.
    NotAllowed,
    /// The service, route or transaction does not exist.
    NotFound,
    /// The request is invalid.
    Malformed,
    /// A body, header, statement or result is over its size limit.
    TooLarge,
    /// A statement or parameter contains the key of the request.
    KeyInStatement,
    /// The client account exceeded its rate and burst.
    RateExceeded,
    /// No connection slot became free before the deadline.
    QueueTimeout,
    /// The queue is full, or so long that the deadline cannot be met.
    QueueFull,
    /// This host's authority expired: its copy of the shared state is too old to act on.
    AuthorityLapsed,
    /// The host is stopping.
    Stopping,
    /// No primary is known, or it cannot be reached.
    NoPrimary,
    /// Replication lag is so high that the write cannot be confirmed before its deadline.
    ReplicationLag,
    /// No target covered the session token, or was fresh enough, before the deadline.
    NotFresh,
    /// The group's primary changed while the request ran.
    Superseded,
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The connection to the target broke or went silent.
    ConnectionLost,
    /// The target refuses new connections.
    ConnectionRefused,
    /// The database returned an error for the statement.
    StatementFailed,
    /// The idempotency key was used before with a different request.
    IdempotencyMismatch,
    /// A request with the same idempotency key is in progress.
    IdempotencyInProgress,
    /// The transaction has ended: time limit, loss of its host or withdrawal of its key.
    TransactionLost,
    /// The transaction belongs to another client account.
    TransactionForeign,
    /// The host that owns the transaction cannot be reached.
    PeerUnreachable,
    /// Writes are held for a planned promotion.
    WritesHeld,
}

impl Reason {
    /// All reasons, in declaration order.
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

/// A refusal, as it is returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{reason} (ran: {ran}): {detail}")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have taken effect.
    pub ran: Ran,
    /// Human-readable explanation in one sentence; never contains a key.
    pub detail: String,
    /// Delay after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { reason, ran: Ran::No, detail: detail.into(), retry_after: None }
    }

    /// Sets whether the request may have run.
    pub fn with_ran(mut self, ran: Ran) -> Refusal {
        self.ran = ran;
        self
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }
}
