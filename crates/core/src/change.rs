//! One attempt to move the fleet row to its next epoch.
//!
//! Steps: announce the epoch until enough voters noted it, write conditionally, and, when the
//! answer is lost, read back before anything is said. A repeated conditional write is idempotent:
//! it succeeds once, and afterwards the row names its author.

use crate::authority::announcement_quorum;
use crate::distribute::{Author, Row};
use crate::id::{Epoch, HostId, Time};
use derive_more::Display;
use std::collections::BTreeSet;

/// What the caller has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Announce the epoch to these voters.
    Announce(BTreeSet<HostId>),
    /// Write the row, on condition that the base row is unchanged.
    Write,
    /// Read the row.
    ReadBack,
    /// Say the outcome.
    Finish(Outcome),
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The row is the accepted one.
    #[display("accepted")]
    Accepted,
    /// Another change of the base row was accepted; this one never will be.
    #[display("overtaken by another change")]
    Overtaken,
    /// The write was never sent.
    #[display("not written")]
    NotWritten,
    /// The write may or may not take effect.
    #[display("outcome unknown")]
    Unknown,
}

/// What came of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It took effect.
    Accepted,
    /// The row had changed; as it is now.
    Conflict(Option<Box<Row>>),
    /// It certainly did not take effect.
    Refused,
    /// No answer.
    Lost,
}

/// What may have become of the conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Write {
    /// None was sent, or each that was sent is known to have failed.
    Unsent,
    /// One is on its way.
    Sent,
    /// One was sent and its answer lost.
    Lost,
}

/// An attempt.
#[derive(Debug, Clone)]
pub struct Writer {
    row: Row,
    author: Author,
    voters: BTreeSet<HostId>,
    noted: BTreeSet<HostId>,
    deadline: Time,
    write: Write,
}

impl Writer {
    /// An attempt to write `row`, whose base epoch had `voters`.
    pub fn new(row: Row, author: Author, voters: BTreeSet<HostId>, deadline: Time) -> Writer {
        let noted = BTreeSet::new();
        Writer { row, author, voters, noted, deadline, write: Write::Unsent }
    }

    /// The row to write.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Begins.
    pub fn start(&mut self) -> Action {
        self.announce_or_write()
    }

    /// A voter noted the epoch.
    pub fn record_acknowledgement(&mut self, host: HostId) {
        if self.voters.contains(&host) {
            self.noted.insert(host);
        }
    }

    /// A host already knows this or a higher epoch.
    ///
    /// Says something about this attempt only while its own write cannot be that epoch.
    pub fn observe_epoch(&self, epoch: Epoch) -> Option<Action> {
        let overtaken = epoch >= self.row.epoch && self.write == Write::Unsent;
        overtaken.then_some(Action::Finish(Outcome::Overtaken))
    }

    /// A round of announcements ended.
    pub fn finish_announcements(&mut self, now: Time) -> Action {
        if now >= self.deadline && !self.has_quorum() {
            return Action::Finish(Outcome::NotWritten);
        }
        self.announce_or_write()
    }

    /// The conditional write came back.
    pub fn record_write(&mut self, now: Time, reply: Reply) -> Action {
        match reply {
            Reply::Accepted => Action::Finish(Outcome::Accepted),
            Reply::Conflict(row) => self.conclude(now, row.as_deref()),
            Reply::Refused => {
                if self.write == Write::Sent {
                    self.write = Write::Unsent;
                }
                if now >= self.deadline { self.give_up() } else { self.send() }
            }
            Reply::Lost => {
                self.write = Write::Lost;
                Action::ReadBack
            }
        }
    }

    /// The row was read; none when the read failed.
    pub fn record_read(&mut self, now: Time, row: Option<&Row>) -> Action {
        match row {
            Some(row) if row.epoch >= self.row.epoch => self.conclude(now, Some(row)),
            _ if now >= self.deadline => self.give_up(),
            Some(_) => self.send(),
            None => Action::ReadBack,
        }
    }

    fn announce_or_write(&mut self) -> Action {
        if self.has_quorum() {
            return self.send();
        }
        Action::Announce(self.voters.difference(&self.noted).copied().collect())
    }

    fn send(&mut self) -> Action {
        if self.write == Write::Unsent {
            self.write = Write::Sent;
        }
        Action::Write
    }

    /// Whether enough voters noted the epoch.
    pub fn has_quorum(&self) -> bool {
        self.voters.is_empty() || self.noted.len() >= announcement_quorum(self.voters.len())
    }

    fn conclude(&self, now: Time, row: Option<&Row>) -> Action {
        let Some(row) = row else {
            return if now >= self.deadline { self.give_up() } else { Action::ReadBack };
        };
        let outcome = match row.authors.get(&self.row.epoch) {
            Some(author) if *author == self.author => Outcome::Accepted,
            Some(_) => Outcome::Overtaken,
            None if self.write != Write::Lost => Outcome::Overtaken,
            None => Outcome::Unknown,
        };
        Action::Finish(outcome)
    }

    fn give_up(&self) -> Action {
        Action::Finish(match self.write {
            Write::Unsent => Outcome::NotWritten,
            Write::Sent | Write::Lost => Outcome::Unknown,
        })
    }
}
