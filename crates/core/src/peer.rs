//! Messages between hosts, as plain data.
//!
//! The `wire` crate sends these over RPC; the state machines of this crate produce and consume
//! them.

use crate::config::{Change, Document};
use crate::distribute::Row;
use crate::id::{
    AccountId, Epoch, FailureDomainId, HostId, Incarnation, ServiceId, TargetId, TransactionId,
    Version,
};
use crate::log::{Position, Term};
use crate::refusal::Refusal;
use crate::session::Token;
use crate::statement::{Rows, Statement};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Identity and address of a host, as in the member table and on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the host; the same across restarts.
    pub host: HostId,
    /// Present incarnation of the host.
    pub incarnation: Incarnation,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Whether the host is shutting down gracefully.
    pub leaving: bool,
}

/// A heartbeat; the answer to one has the same form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host that sends the heartbeat.
    pub member: Member,
    /// Version of the configuration that the sender acts on.
    pub version: Version,
    /// Epoch of the fleet row that the sender acts on.
    pub epoch: Epoch,
    /// Time since the sender's latest renewal, as of which no higher epoch had been accepted;
    /// `None` if there was none.
    pub age: Option<Duration>,
    /// Highest announced epoch whose outcome the sender does not know.
    pub announced: Option<Epoch>,
    /// Members whose heartbeats the sender no longer receives.
    pub silent: BTreeSet<HostId>,
    /// The sender's opinions of primaries, by service.
    pub opinions: BTreeMap<ServiceId, Opinion>,
}

/// A host's opinion of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// Primary that the opinion is about.
    pub primary: TargetId,
    /// Term of that primary.
    pub term: Term,
    /// Time for which the primary has been failing; zero while it works.
    pub failing: Duration,
    /// Whether that time has reached the threshold, so that the host considers the primary failed.
    pub failed: bool,
    /// Highest confirmed position that the host has seen.
    pub confirmed: Position,
    /// Host whose planned promotion of the group the sender waits for, while it sends the primary
    /// no new work.
    pub hold: Option<HostId>,
    /// Requests of the sender that use the primary, or wait for it, during that time.
    pub busy: u32,
}

/// Notice that an epoch is about to be written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Host that is about to write.
    pub host: HostId,
    /// Epoch to be written.
    pub epoch: Epoch,
}

/// An accepted epoch that one host sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Host that started the push.
    pub origin: HostId,
    /// Fleet row of the epoch.
    pub row: Row,
    /// Changes from the receiver's document to that of the row.
    pub body: Body,
}

/// Configuration sent with an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The configuration did not change.
    None,
    /// Edits that lead from the version before to the row's.
    Change(Change),
    /// The whole document.
    Whole(Document),
}

/// Requests rate tokens of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Borrower.
    pub host: HostId,
    /// Account whose tokens are requested.
    pub account: AccountId,
    /// Number of tokens requested.
    pub count: u32,
    /// Version of the configuration that the borrower acts on.
    pub version: Version,
    /// Number of the request; grows across the borrower's restarts.
    pub sequence: u64,
}

/// Requests connection slots of a target, or returns them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Borrower.
    pub host: HostId,
    /// Service of the target.
    pub service: ServiceId,
    /// Target that the slots are for.
    pub target: TargetId,
    /// Total number of slots that the borrower wants to have, or still has, from this lender.
    pub count: u32,
    /// Number of the request; grows across the borrower's restarts.
    pub sequence: u64,
}

/// Operation that the owner of a transaction is requested to perform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// Runs a statement.
    Run(Statement),
    /// Commits.
    Commit,
    /// Rolls back.
    Rollback,
}

/// A step of a transaction, forwarded to the host that owns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Transaction that the step belongs to.
    pub transaction: TransactionId,
    /// Client account of the key that the caller presented with the step.
    pub account: AccountId,
    /// Operation to perform.
    pub step: Step,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
}

/// The owner's answer to a forwarded step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Rows on success, otherwise the refusal.
    pub result: Result<Rows, Refusal>,
    /// Position to merge into the session token; present after a commit.
    pub position: Option<(ServiceId, Position)>,
}

impl Outcome {
    /// Creates an outcome without a position.
    pub fn new(result: Result<Rows, Refusal>) -> Outcome {
        Outcome { result, position: None }
    }

    /// Merges the outcome's position into `token`.
    pub fn advance(&self, token: &mut Token) {
        if let Some((service, position)) = self.position {
            token.observe(service, position);
        }
    }
}
