//! One attempt to move the fleet row to its next epoch.
//!
//! Steps: announce the epoch until a quorum of voters acknowledged it, write conditionally, and,
//! if the answer is lost, read the row back before reporting an outcome. A repeated conditional
//! write is idempotent: it succeeds once, and afterwards the row names its author.

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
    /// Read the row to learn the outcome of the write.
    ReadBack,
    /// Report the outcome; the attempt has ended.
    Finish(Outcome),
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The row of this attempt was accepted.
    #[display("accepted")]
    Accepted,
    /// Another change of the base row was accepted, so this one never will be.
    #[display("overtaken by another change")]
    Overtaken,
    /// No write was sent, or each that was sent is known to have failed.
    #[display("not written")]
    NotWritten,
    /// The write may or may not take effect.
    #[display("outcome unknown")]
    Unknown,
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The write took effect.
    Accepted,
    /// The row had changed; the present row, if it was returned.
    Conflict(Option<Box<Row>>),
    /// The write certainly did not take effect.
    Refused,
    /// No answer; the write may or may not take effect.
    Lost,
}

/// State of the conditional write as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Write {
    /// None was sent, or each that was sent is known to have failed.
    Unsent,
    /// One is in flight.
    Sent,
    /// One was sent and its answer lost.
    Lost,
}

/// State machine of one attempt.
#[derive(Debug, Clone)]
pub struct Writer {
    row: Row,
    author: Author,
    voters: BTreeSet<HostId>,
    acknowledged: BTreeSet<HostId>,
    deadline: Time,
    write: Write,
}

impl Writer {
    /// Creates an attempt to write `row`, whose base epoch had `voters`.
    pub fn new(row: Row, author: Author, voters: BTreeSet<HostId>, deadline: Time) -> Writer {
        let acknowledged = BTreeSet::new();
        Writer { row, author, voters, acknowledged, deadline, write: Write::Unsent }
    }

    /// The row to write.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Starts the attempt.
    pub fn start(&mut self) -> Action {
        self.announce_or_write()
    }

    /// Records that a voter acknowledged the announcement.
    pub fn record_acknowledgement(&mut self, host: HostId) {
        if self.voters.contains(&host) {
            self.acknowledged.insert(host);
        }
    }

    /// Ends the attempt if a host already has this or a higher epoch.
    ///
    /// Returns `None` while a write that was sent may take effect, since that epoch may then be
    /// this attempt's own.
    pub fn observe_epoch(&self, epoch: Epoch) -> Option<Action> {
        let is_overtaken = epoch >= self.row.epoch && self.write == Write::Unsent;
        is_overtaken.then_some(Action::Finish(Outcome::Overtaken))
    }

    /// Ends a round of announcements: announces again, writes, or gives up after the deadline.
    pub fn finish_announcements(&mut self, now: Time) -> Action {
        if now >= self.deadline && !self.has_quorum() {
            return Action::Finish(Outcome::NotWritten);
        }
        self.announce_or_write()
    }

    /// Records the result of the conditional write.
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

    /// Records the row as read back; `None` if the read failed.
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
        Action::Announce(self.voters.difference(&self.acknowledged).copied().collect())
    }

    fn send(&mut self) -> Action {
        if self.write == Write::Unsent {
            self.write = Write::Sent;
        }
        Action::Write
    }

    /// Whether a quorum of voters acknowledged the announcement; always true without voters.
    pub fn has_quorum(&self) -> bool {
        self.voters.is_empty() || self.acknowledged.len() >= announcement_quorum(self.voters.len())
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
