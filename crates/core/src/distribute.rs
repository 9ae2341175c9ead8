//! Distribution of accepted epochs to all hosts.
//!
//! The platform's table contains one [`Row`]: epoch, configuration version, digest of the
//! configuration document (whose body is in the object store) and the member table. Each change of
//! any of these is one conditional write of this row. Each host keeps a [`Replica`] of the row,
//! which only moves to higher epochs, so that a delayed answer to an earlier read cannot revert it.
//!
//! After acceptance the row is pushed along a tree of bounded fan-out over the members. Hosts that
//! the push misses catch up by anti-entropy: heartbeats carry epochs, and a host that receives a
//! higher one fetches it. [`Adoption`] tracks when an epoch is in force on every host, which is
//! later than its acceptance.

use crate::authority;
use crate::config::{self, Change, Document, Edit};
use crate::id::{Epoch, HostId, Incarnation, Time, Version};
use crate::peer::{Body, Member, Update};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Largest number of peers to which one host pushes an update.
pub const FAN_OUT: usize = 16;
/// Number of latest epochs whose author the row records.
pub const MAX_AUTHORS: usize = 32;
/// Number of latest changes that a replica keeps to update other hosts.
pub const MAX_CHANGES: usize = 32;

/// The fleet row of the platform's table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    /// Grows by one with each accepted write of the row; 0 before the first write.
    pub epoch: Epoch,
    /// Version of the configuration.
    pub version: Version,
    /// SHA-256 of the configuration document, hexadecimal; empty while there is none.
    pub digest: String,
    /// Member table.
    pub members: BTreeMap<HostId, Member>,
    /// Authors of the latest epochs.
    pub authors: BTreeMap<Epoch, Author>,
}

/// Identity of one attempt to write an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Host that made the attempt.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Number of the attempt within the incarnation.
    pub attempt: u64,
}

impl Row {
    /// Returns the row of the next epoch, written by `author`.
    pub fn successor(&self, author: Author) -> Row {
        let mut next = self.clone();
        next.epoch += 1;
        next.authors.insert(next.epoch, author);
        while next.authors.len() > MAX_AUTHORS {
            next.authors.pop_first();
        }
        next
    }

    /// Sets the configuration version and digest.
    pub fn with_config(mut self, version: Version, digest: impl Into<String>) -> Row {
        self.version = version;
        self.digest = digest.into();
        self
    }

    /// Adds or replaces `member`.
    pub fn with_member(mut self, member: Member) -> Row {
        self.members.insert(member.host, member);
        self
    }

    /// Removes `host` from the member table.
    pub fn without_member(mut self, host: HostId) -> Row {
        self.members.remove(&host);
        self
    }
}

/// Reason why an update was not adopted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Fault {
    /// The epoch is not above the replica's.
    #[display("epoch is not newer")]
    Stale,
    /// The update is based on a document that the replica does not have.
    #[display("the update builds on another version")]
    Gap,
    /// The document is invalid.
    #[display("{_0}")]
    Config(config::Fault),
}

/// One host's copy of the row and its document.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    row: Row,
    document: Document,
    changes: BTreeMap<Version, Change>,
}

impl Replica {
    /// Creates a replica at epoch 0 with an empty document.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// Row that this host acts on.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Document that this host acts on.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Moves to the epoch of `row`, if it is higher.
    pub fn adopt(&mut self, row: Row, body: Body) -> Result<(), Fault> {
        if row.epoch <= self.row.epoch || row.version < self.document.version {
            return Err(Fault::Stale);
        }
        if row.version > self.document.version {
            self.document = self.next_document(row.version, &body)?;
            self.keep_change(body);
        }
        self.row = row;
        Ok(())
    }

    /// Returns the update from `epoch` and `version` to this replica's, or `None` if the replica's
    /// epoch is not higher.
    pub fn update(&self, origin: HostId, epoch: Epoch, version: Version) -> Option<Update> {
        if epoch >= self.row.epoch {
            return None;
        }
        let body = if version == self.document.version {
            Body::None
        } else {
            match self.changes.get(&(version + 1)) {
                Some(change) if change.version == self.document.version => {
                    Body::Change(change.clone())
                }
                _ => Body::Whole(self.document.clone()),
            }
        };
        Some(Update { origin, row: self.row.clone(), body })
    }

    /// Returns the change that applies `edits` to this replica's version, and the resulting
    /// document.
    pub fn propose(&self, edits: Vec<Edit>) -> Result<(Change, Document), config::Fault> {
        let change = Change { version: self.document.version + 1, edits };
        let document = self.document.with_change(&change)?;
        Ok((change, document))
    }

    fn next_document(&self, version: Version, body: &Body) -> Result<Document, Fault> {
        match body {
            Body::Change(change) if change.version == version => {
                match self.document.with_change(change) {
                    Err(config::Fault::Order(..)) => Err(Fault::Gap),
                    other => Ok(other?),
                }
            }
            Body::Whole(document) if document.version == version => {
                config::verify(document)?;
                Ok(document.clone())
            }
            _ => Err(Fault::Gap),
        }
    }

    fn keep_change(&mut self, body: Body) {
        if let Body::Change(change) = body {
            self.changes.insert(change.version, change);
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
    }
}

/// Members to which `own` forwards an update that was pushed by `origin`.
///
/// The members, in order of id and rotated so that `origin` comes first, form a heap of arity
/// `fan_out`; with at most `fan_out` peers the origin pushes to all of them itself.
pub fn children(
    members: &BTreeMap<HostId, Member>,
    origin: HostId,
    own: HostId,
    fan_out: usize,
) -> Vec<HostId> {
    let after = members.range(origin..).map(|(id, _)| *id);
    let before = members.range(..origin).map(|(id, _)| *id);
    let mut order: Vec<HostId> = after.chain(before).collect();
    if order.first() != Some(&origin) {
        order.insert(0, origin);
    }
    let Some(index) = order.iter().position(|host| *host == own) else {
        return Vec::new();
    };
    order.into_iter().skip(index * fan_out + 1).take(fan_out).collect()
}

/// Tracks which accepted epochs all hosts act on.
#[derive(Debug, Clone)]
pub struct Adoption {
    validity: Duration,
    accepted: BTreeMap<Epoch, Accepted>,
    in_force: (Epoch, Version),
}

#[derive(Debug, Clone)]
struct Accepted {
    version: Version,
    adopted_at: Time,
    waiting: BTreeSet<(HostId, Incarnation)>,
    /// Whether hosts outside the member table, which cannot confirm, may act on an older epoch.
    has_unrecorded_hosts: bool,
}

impl Default for Adoption {
    fn default() -> Adoption {
        Adoption::new()
    }
}

impl Adoption {
    /// Creates a tracker without accepted epochs.
    pub fn new() -> Adoption {
        Adoption { validity: authority::VALIDITY, accepted: BTreeMap::new(), in_force: (0, 0) }
    }

    /// Sets the time after which authority expires.
    pub fn with_validity(mut self, validity: Duration) -> Adoption {
        self.validity = validity;
        self
    }

    /// Records a row that this host moved to at `now`, from `previous`.
    ///
    /// A host that was removed by the row does not confirm it, and may act on an older epoch until
    /// its authority has expired. So may one that was added and removed in epochs that this host
    /// skipped.
    pub fn record_accepted(&mut self, now: Time, row: &Row, previous: &Row, own: HostId) {
        let members_of = |row: &Row| -> BTreeSet<(HostId, Incarnation)> {
            let members = row.members.values().filter(|member| member.host != own);
            members.map(|member| (member.host, member.incarnation)).collect()
        };
        let waiting = members_of(row);
        let has_unrecorded_hosts =
            row.epoch > previous.epoch + 1 || !members_of(previous).is_subset(&waiting);
        let accepted =
            Accepted { version: row.version, adopted_at: now, waiting, has_unrecorded_hosts };
        self.accepted.insert(row.epoch, accepted);
    }

    /// Records that an incarnation of a host acts on `epoch`.
    pub fn record_confirmed(&mut self, host: HostId, incarnation: Incarnation, epoch: Epoch) {
        for accepted in self.accepted.range_mut(..=epoch).map(|(_, accepted)| accepted) {
            accepted.waiting.remove(&(host, incarnation));
        }
    }

    /// Highest epoch, with its configuration version, that every live host acts on.
    ///
    /// A host that has not confirmed an epoch one validity after its acceptance no longer has
    /// authority to act on the older one.
    pub fn in_force(&mut self, now: Time) -> (Epoch, Version) {
        let expired = |accepted: &Accepted| now.saturating_sub(accepted.adopted_at) > self.validity;
        let done = self
            .accepted
            .iter()
            .take_while(|(_, accepted)| !accepted.has_unrecorded_hosts || expired(accepted))
            .filter(|(_, accepted)| accepted.waiting.is_empty() || expired(accepted))
            .map(|(epoch, accepted)| (*epoch, accepted.version))
            .last();
        if let Some(done) = done {
            self.in_force = done;
            self.accepted.retain(|epoch, _| *epoch > done.0);
        }
        self.in_force
    }
}
