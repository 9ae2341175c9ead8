//! What hosts say to each other, as plain data.
//!
//! The `wire` crate carries these over RPC; the machines of this crate produce and consume them.

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

/// A host as the platform's list and its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub host: HostId,
    /// Its present run.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// What a host tells a peer at each heartbeat, and is told back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub member: Member,
    /// Version of the configuration that it acts on.
    pub version: Version,
    /// Epoch of the fleet row that it acts on.
    pub epoch: Epoch,
    /// Age of its proof that no higher epoch was accepted; none when it never had one.
    pub age: Option<Duration>,
    /// Highest epoch that it heard announced and knows no outcome of.
    pub announced: Option<Epoch>,
    /// Hosts that it has not heard for a while.
    pub silent: BTreeSet<HostId>,
    /// What it holds against primaries, by service.
    pub opinions: BTreeMap<ServiceId, Opinion>,
}

/// What a host sees of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// The primary that it means.
    pub primary: TargetId,
    /// Its term.
    pub term: Term,
    /// Time for which it has been failing; zero when it works.
    pub failing: Duration,
    /// Whether that is long enough, for what the host sees, to hold it failed.
    pub failed: bool,
    /// Last confirmed position that the host saw.
    pub confirmed: Position,
    /// The host whose planned promotion of the group this host waits for, sending the primary
    /// nothing new.
    pub hold: Option<HostId>,
    /// Requests of this host that still use the primary meanwhile, or wait to.
    pub busy: u32,
}

/// Notice that an epoch is about to be written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Who writes it.
    pub host: HostId,
    /// The epoch.
    pub epoch: Epoch,
}

/// An accepted epoch passed between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Host from which it spreads.
    pub origin: HostId,
    /// The fleet row as accepted.
    pub row: Row,
    /// What turns the receiver's document into the row's.
    pub body: Body,
}

/// The configuration that comes with an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The configuration did not change.
    None,
    /// The edits of one version.
    Change(Change),
    /// The document whole.
    Whole(Document),
}

/// Asks for rate tokens of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Borrower.
    pub host: HostId,
    /// Whose rate.
    pub account: AccountId,
    /// Tokens wanted.
    pub count: u32,
    /// Version of the configuration that the borrower acts on.
    pub version: Version,
    /// Number among the borrower's asks; grows over its runs.
    pub sequence: u64,
}

/// Asks for connection slots to a target, or gives them back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Borrower.
    pub host: HostId,
    /// Service of the target.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// Slots that the borrower wants to hold, or still holds, from this lender in all.
    pub count: u32,
    /// Grows with each request of the borrower, also over its restarts.
    pub sequence: u64,
}

/// What an owner of a transaction is asked to do.
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
    /// The transaction.
    pub transaction: TransactionId,
    /// Client account of the key that came with the step.
    pub account: AccountId,
    /// The step.
    pub step: Step,
    /// Time that the caller has left.
    pub timeout: Duration,
}

/// The owner's answer to a forwarded step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Rows, or the refusal.
    pub result: Result<Rows, Refusal>,
    /// Position to merge into the session token; given by a commit.
    pub position: Option<(ServiceId, Position)>,
}

impl Outcome {
    /// An outcome that advances no token.
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
