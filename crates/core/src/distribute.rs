//! How an accepted epoch reaches every host.
//!
//! The platform's table holds one [`Row`]: epoch, configuration version, digest of the
//! configuration document (whose body lies in the object store) and the member table. Each change
//! of either is one conditional write of this row. A host keeps a [`Replica`] of it, which only ever
//! moves to higher epochs, so that a slow answer of an earlier read cannot take a host back.
//!
//! After acceptance the row is pushed along a tree of bounded fan-out over the members. What the
//! push misses, anti-entropy mends: heartbeats name epochs, and a host that sees a higher one
//! fetches it. [`Adoption`] says when an epoch is in force everywhere, which is another fact than
//! its acceptance.

use crate::authority;
use crate::config::{self, Change, Document, Edit};
use crate::id::{Epoch, HostId, Incarnation, Time, Version};
use crate::peer::{Body, Member, Update};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Peers to which one host pushes an update.
pub const FAN_OUT: usize = 16;
/// Epochs whose author a row remembers.
pub const MAX_AUTHORS: usize = 32;
/// Changes that a replica keeps to bring others up to date.
pub const MAX_CHANGES: usize = 32;

/// The fleet row of the platform's table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    /// Grows by one with each accepted write of the row; 0 in one that no host has written.
    pub epoch: Epoch,
    /// Version of the configuration.
    pub version: Version,
    /// SHA-256 of the configuration document, hexadecimal; empty while there is none.
    pub digest: String,
    /// Recorded hosts.
    pub members: BTreeMap<HostId, Member>,
    /// Who wrote the latest epochs.
    pub authors: BTreeMap<Epoch, Author>,
}

/// One attempt to write an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Host that wrote.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Number of the attempt within the run.
    pub attempt: u64,
}

impl Row {
    /// The row that follows this one, by `author`.
    pub fn successor(&self, author: Author) -> Row {
        let mut next = self.clone();
        next.epoch += 1;
        next.authors.insert(next.epoch, author);
        while next.authors.len() > MAX_AUTHORS {
            next.authors.pop_first();
        }
        next
    }

    /// The same row with another configuration.
    pub fn with_config(mut self, version: Version, digest: impl Into<String>) -> Row {
        self.version = version;
        self.digest = digest.into();
        self
    }

    /// The same row with `member` added or replaced.
    pub fn with_member(mut self, member: Member) -> Row {
        self.members.insert(member.host, member);
        self
    }

    /// The same row without `host`.
    pub fn without_member(mut self, host: HostId) -> Row {
        self.members.remove(&host);
        self
    }
}

/// Why an update was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Fault {
    /// Its epoch is not above the replica's.
    #[display("epoch is not newer")]
    Stale,
    /// The document that it builds on is not here.
    #[display("the update builds on another version")]
    Gap,
    /// The document cannot hold.
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
    /// A copy that knows nothing yet.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// The row in force here.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// The document in force here.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Moves to a higher epoch.
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

    /// What brings a host from `epoch` and `version` to this replica's.
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

    /// The change from this replica's version by `edits`, and the document after it.
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

/// Members to which `own` passes on an update that spreads from `origin`.
///
/// The members, in order of id and rotated so that `origin` comes first, form a heap of arity
/// `fan_out`; with at most `fan_out` peers the origin reaches everyone itself.
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

/// How far an accepted epoch has come.
#[derive(Debug, Clone)]
pub struct Adoption {
    validity: Duration,
    accepted: BTreeMap<Epoch, Accepted>,
    in_force: (Epoch, Version),
}

#[derive(Debug, Clone)]
struct Accepted {
    version: Version,
    known: Time,
    waiting: BTreeSet<(HostId, Incarnation)>,
    /// Whether hosts that cannot confirm may act on an older epoch.
    has_unlisted_hosts: bool,
}

impl Default for Adoption {
    fn default() -> Adoption {
        Adoption::new()
    }
}

impl Adoption {
    /// Nothing accepted yet.
    pub fn new() -> Adoption {
        Adoption { validity: authority::VALIDITY, accepted: BTreeMap::new(), in_force: (0, 0) }
    }

    /// The same with another lifetime of authority.
    pub fn with_validity(mut self, validity: Duration) -> Adoption {
        self.validity = validity;
        self
    }

    /// Takes a row that this host moved to at `now`, from `previous`.
    ///
    /// A host that the row no longer has cannot confirm it, and may act on an older epoch until
    /// its authority has lapsed. So may one that was added and removed in epochs that this host
    /// never saw.
    pub fn record_accepted(&mut self, now: Time, row: &Row, previous: &Row, own: HostId) {
        let of = |row: &Row| -> BTreeSet<(HostId, Incarnation)> {
            let members = row.members.values().filter(|member| member.host != own);
            members.map(|member| (member.host, member.incarnation)).collect()
        };
        let waiting = of(row);
        let has_strangers = row.epoch > previous.epoch + 1 || !of(previous).is_subset(&waiting);
        let accepted = Accepted {
            version: row.version,
            known: now,
            waiting,
            has_unlisted_hosts: has_strangers,
        };
        self.accepted.insert(row.epoch, accepted);
    }

    /// Takes word that a run of a host acts on `epoch`.
    pub fn record_confirmed(&mut self, host: HostId, incarnation: Incarnation, epoch: Epoch) {
        for accepted in self.accepted.range_mut(..=epoch).map(|(_, accepted)| accepted) {
            accepted.waiting.remove(&(host, incarnation));
        }
    }

    /// Highest epoch, and its version, that every live host acts on.
    ///
    /// A host that has not confirmed an epoch one validity after its acceptance has lost its
    /// authority over the older one.
    pub fn in_force(&mut self, now: Time) -> (Epoch, Version) {
        let lapsed = |accepted: &Accepted| now.saturating_sub(accepted.known) > self.validity;
        let done = self
            .accepted
            .iter()
            .take_while(|(_, accepted)| !accepted.has_unlisted_hosts || lapsed(accepted))
            .filter(|(_, accepted)| accepted.waiting.is_empty() || lapsed(accepted))
            .map(|(epoch, accepted)| (*epoch, accepted.version))
            .last();
        if let Some(done) = done {
            self.in_force = done;
            self.accepted.retain(|epoch, _| *epoch > done.0);
        }
        self.in_force
    }
}
