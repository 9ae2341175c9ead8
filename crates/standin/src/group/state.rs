//! Replication state of one target: its term, its log and its view of the group.
//!
//! This is a state machine without I/O; the caller passes in the time and transfers the messages.
//! The rules are those of a replicated log with terms. A target accepts entries only from its
//! accepted term or a higher one, and only where its log matches the entry before them. An entry
//! is confirmed once a majority of voters holds it in the term of the primary that wrote it.
//!
//! Invariants: `accepted_term` never decreases; a target grants a term to one promoter only; a
//! primary whose accepted term is higher than its own term neither appends nor confirms.

use std::collections::VecDeque;
use std::time::Instant;

use super::followers::Followers;
use super::log::{Index, Log, Position, Statement, Term};
use super::replication::{Append, Reply};

/// Identifies the requester of a term; a granted term is bound to it.
pub(crate) type Promoter = i64;

const MAX_BATCH_ENTRIES: usize = 512;

/// Role of a target in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Accepts writes, unless it has granted a higher term since.
    Primary,
    /// Applies the log of a primary.
    Replica,
    /// Has lost its data and has not caught up with a primary yet.
    Rebuilding,
}

/// Freshness that a replica's data reaches once the log is applied up to `index`.
#[derive(Clone, Copy, Debug)]
struct FreshnessMark {
    index: Index,
    at: Option<Instant>,
}

/// Replication state of a target. Fields marked durable survive a restart.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) number: usize,
    /// Number of targets in the group.
    pub(crate) size: usize,
    /// Durable: the log.
    pub(crate) log: Log,
    /// Durable: highest term that this target has granted or followed.
    pub(crate) accepted_term: Term,
    /// Durable: promoter that was granted the accepted term; none if it was only followed.
    pub(crate) granted_to: Option<Promoter>,
    /// Durable: role in the group.
    pub(crate) role: Role,
    /// Durable: last term in which this target was the primary; 0 if none since its last rebuild.
    pub(crate) term: Term,
    /// Durable: whether the target's grants and acknowledgements count towards a majority.
    pub(crate) voter: bool,
    /// Increases with each rebuild.
    pub(crate) incarnation: u64,
    pub(crate) rebuilt_at: Option<Instant>,
    /// Last log index that is applied to the data.
    pub(crate) applied: Index,
    /// The log was truncated below `applied`: the data must be rebuilt from the first entry.
    pub(crate) must_reapply: bool,
    /// Highest entry known to be confirmed.
    pub(crate) confirmed: Position,
    /// Number of the primary that this target follows or is; none if unknown.
    pub(crate) primary: Option<usize>,
    /// New write transactions are refused before this time.
    pub(crate) hold_deadline: Option<Instant>,
    followers: Followers,
    /// As a primary: latest time at which a majority is known to have followed this target.
    majority_acknowledged_at: Option<Instant>,
    /// As a replica: the data holds all that was committed before this time.
    fresh_as_of: Option<Instant>,
    freshness_marks: VecDeque<FreshnessMark>,
}

/// Actions that the caller must take after a message was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Effect {
    /// Close all connections: applied entries were dropped, or the target was the primary.
    pub(crate) close_connections: bool,
    /// Wake threads that wait for a change of the state.
    pub(crate) notify: bool,
}

impl State {
    /// Initial state of a target in a new group, in which target 0 is the primary of term 1 and
    /// the first log entry is the schema.
    pub(crate) fn new(number: usize, size: usize, schema: Vec<Statement>) -> Self {
        let mut log = Log::default();
        let confirmed = log.append(1, schema);
        let primary = number == 0;
        State {
            number,
            size,
            log,
            accepted_term: 1,
            granted_to: None,
            role: if primary { Role::Primary } else { Role::Replica },
            term: if primary { 1 } else { 0 },
            voter: true,
            incarnation: 0,
            rebuilt_at: None,
            applied: 0,
            must_reapply: false,
            confirmed,
            primary: Some(0),
            hold_deadline: None,
            followers: Followers::new(size, confirmed.index),
            majority_acknowledged_at: None,
            fresh_as_of: None,
            freshness_marks: VecDeque::new(),
        }
    }

    /// Clears the log and revokes the vote, as when a server is replaced. The accepted term and
    /// its grant are kept: a target that lost them could grant one term twice.
    pub(crate) fn rebuild(&mut self, now: Instant) {
        let empty = State::new(self.number, self.size, Vec::new());
        *self = State {
            log: Log::default(),
            accepted_term: self.accepted_term,
            granted_to: self.granted_to,
            role: Role::Rebuilding,
            term: 0,
            voter: false,
            incarnation: self.incarnation + 1,
            rebuilt_at: Some(now),
            must_reapply: true,
            confirmed: Position::default(),
            primary: None,
            ..empty
        };
    }

    /// Resets the fields that are not durable.
    pub(crate) fn restart(&mut self) {
        self.followers = Followers::new(self.size, self.log.last_position().index);
        self.majority_acknowledged_at = None;
        self.fresh_as_of = None;
        self.freshness_marks.clear();
        self.hold_deadline = None;
        self.primary = (self.role == Role::Primary).then_some(self.number);
    }

    /// Whether this target is the primary of its accepted term, so that it may still commit.
    pub(crate) fn is_primary(&self) -> bool {
        self.role == Role::Primary && self.accepted_term == self.term
    }

    /// Whether this target may still commit, and `term` is its term.
    pub(crate) fn is_primary_in(&self, term: Term) -> bool {
        self.is_primary() && self.term == term
    }

    /// Whether new write transactions are refused because of a hold.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.hold_deadline.is_some_and(|deadline| now < deadline)
    }

    /// Handles the request of a promoter for a term; true when the term is granted.
    ///
    /// Repeating a granted request returns true again. A grant fences a primary of a lower term.
    pub(crate) fn fence(&mut self, term: Term, promoter: Promoter) -> bool {
        if term == self.accepted_term {
            return self.granted_to == Some(promoter);
        }
        if term < self.accepted_term {
            return false;
        }
        self.accepted_term = term;
        self.granted_to = Some(promoter);
        self.primary = None;
        true
    }

    /// Whether the promoter may make this target the primary of the term.
    pub(crate) fn can_promote(&self, term: Term, promoter: Promoter) -> bool {
        self.accepted_term == term && self.granted_to == Some(promoter) && self.voter
    }

    /// Becomes the primary of the accepted term and appends the term's first entry.
    pub(crate) fn promote(&mut self) -> Position {
        self.role = Role::Primary;
        self.term = self.accepted_term;
        self.primary = Some(self.number);
        self.hold_deadline = None;
        self.majority_acknowledged_at = None;
        self.fresh_as_of = None;
        self.freshness_marks.clear();
        self.followers = Followers::new(self.size, self.log.last_position().index);
        self.log.append(self.term, Vec::new())
    }

    /// Appends a committed transaction; the caller has checked `is_primary`.
    pub(crate) fn append(&mut self, statements: Vec<Statement>, now: Instant) -> Position {
        debug_assert!(self.is_primary());
        let position = self.log.append(self.term, statements);
        self.update_confirmed(now);
        position
    }

    /// Whether entries of the log are not applied to the data yet.
    pub(crate) fn has_unapplied(&self) -> bool {
        self.must_reapply || self.applied < self.log.last_position().index
    }

    /// Whether there are entries that were not sent to the follower yet.
    pub(crate) fn has_unsent(&self, follower: usize) -> bool {
        self.followers.next_index(follower) <= self.log.last_position().index
    }

    /// Builds the next message for a follower and counts its entries as sent.
    pub(crate) fn next_append(&mut self, follower: usize, now: Instant) -> Append {
        let next = self.followers.next_index(follower);
        let entries = self.log.range(next, MAX_BATCH_ENTRIES);
        self.followers.set_next_index(follower, next + entries.len() as Index);
        Append {
            from: self.number,
            term: self.term,
            previous: self.log.position_at(next - 1),
            entries,
            last_index: self.log.last_position().index,
            confirmed: self.confirmed,
            majority_acknowledged_at: self.majority_acknowledged_by(now),
            sent_at: now,
        }
    }

    /// Handles a primary's message.
    pub(crate) fn receive_append(&mut self, append: &Append) -> (Reply, Effect) {
        let mut effect = Effect::default();
        if append.term < self.accepted_term || self.is_primary_in(append.term) {
            return (self.build_reply(append, None), effect);
        }
        effect.close_connections = self.follow(append);
        if !self.log.contains(append.previous) {
            return (self.build_reply(append, None), effect);
        }
        effect.close_connections |= self.append_received(append);
        effect.notify = true;
        self.confirmed = self.confirmed.max(append.confirmed);
        let match_index = append.previous.index + append.entries.len() as Index;
        if match_index == append.last_index {
            self.record_caught_up(append);
        }
        (self.build_reply(append, Some(match_index)), effect)
    }

    /// Handles a follower's reply; true when the confirmed position has advanced.
    pub(crate) fn receive_reply(&mut self, reply: &Reply, now: Instant) -> bool {
        if !self.is_primary_in(reply.term) || reply.accepted_term > self.term {
            return false;
        }
        if !self.followers.record_reply(reply) {
            return false;
        }
        if reply.match_index.is_none() {
            let next = self.log.last_index_up_to(reply.last_match_candidate) + 1;
            self.followers.set_next_index(reply.from, next);
        }
        self.update_confirmed(now)
    }

    /// Records that the log is applied up to `index`.
    pub(crate) fn set_applied(&mut self, index: Index) {
        self.applied = index;
        while let Some(mark) = self.freshness_marks.front().copied() {
            if mark.index > index {
                break;
            }
            self.fresh_as_of = self.fresh_as_of.max(mark.at);
            self.freshness_marks.pop_front();
        }
    }

    /// Upper bound on the age of the data, in milliseconds; `i64::MAX` when unknown.
    pub(crate) fn age_ms(&self, now: Instant) -> i64 {
        let since = match self.role {
            Role::Primary => self.majority_acknowledged_by(now),
            _ => self.fresh_as_of,
        };
        let age = since.map(|since| now.saturating_duration_since(since).as_millis());
        age.and_then(|age| i64::try_from(age).ok()).unwrap_or(i64::MAX)
    }

    /// Latest time, as of `now`, at which a majority is known to have followed this target. That is
    /// `now` in a group of one target, which needs no acknowledgement.
    fn majority_acknowledged_by(&self, now: Instant) -> Option<Instant> {
        if self.size == 1 && self.is_primary() { Some(now) } else { self.majority_acknowledged_at }
    }

    /// Follows the sender; true when the target was a primary before.
    fn follow(&mut self, append: &Append) -> bool {
        if append.term > self.accepted_term {
            self.accepted_term = append.term;
            self.granted_to = None;
        }
        self.primary = Some(append.from);
        let was_primary = self.role == Role::Primary;
        if was_primary {
            self.role = Role::Replica;
            self.hold_deadline = None;
        }
        was_primary
    }

    /// Last entry that may match the sender's log: the entry at `previous.index` or the end of the
    /// log, or, if the sender can't have that entry, the last entry before its term.
    fn last_match_candidate(&self, previous: Position) -> Position {
        let candidate = self.log.position_at(previous.index.min(self.log.last_position().index));
        if candidate.index < previous.index || candidate.term < previous.term {
            return candidate;
        }
        self.log.position_at(self.log.term_start(candidate.term) - 1)
    }

    /// Appends the entries of a message; true when applied entries were dropped.
    fn append_received(&mut self, append: &Append) -> bool {
        let mut dropped = false;
        for entry in &append.entries {
            if self.log.contains(entry.position) {
                continue;
            }
            let keep = entry.position.index - 1;
            dropped |= self.truncate_after(keep);
            self.log.push(entry.clone());
        }
        dropped
    }

    /// Drops the entries after `keep`; true when applied ones were among them.
    fn truncate_after(&mut self, keep: Index) -> bool {
        if self.log.last_position().index <= keep {
            return false;
        }
        self.log.truncate(keep);
        self.freshness_marks.clear();
        if self.applied <= keep {
            return false;
        }
        self.applied = 0;
        self.fresh_as_of = None;
        self.must_reapply = true;
        true
    }

    /// Records that the log equals the sender's.
    ///
    /// A rebuilt target gets its vote back from a primary that a majority, without this target, has
    /// acknowledged since the rebuild. A primary that was superseded before the rebuild has no such
    /// majority, so the regained vote can't confirm its entries.
    fn record_caught_up(&mut self, append: &Append) {
        self.freshness_marks.push_back(FreshnessMark {
            index: append.last_index,
            at: append.majority_acknowledged_at,
        });
        self.set_applied(self.applied);
        let acknowledged_since_rebuild = append.majority_acknowledged_at >= self.rebuilt_at;
        if !self.voter && acknowledged_since_rebuild && append.majority_acknowledged_at.is_some() {
            self.voter = true;
            self.role = Role::Replica;
        }
    }

    fn build_reply(&self, append: &Append, match_index: Option<Index>) -> Reply {
        Reply {
            from: self.number,
            incarnation: self.incarnation,
            term: append.term,
            accepted_term: self.accepted_term,
            match_index,
            last_match_candidate: self.last_match_candidate(append.previous),
            voter: self.voter,
            sent_at: append.sent_at,
        }
    }

    /// Recomputes the confirmed position; true when it has advanced.
    fn update_confirmed(&mut self, now: Instant) -> bool {
        let last = self.log.last_position().index;
        let Some(majority) = self.followers.majority(self.number, last, now) else {
            return false;
        };
        self.majority_acknowledged_at = self.majority_acknowledged_at.max(majority.acknowledged_at);
        let position = self.log.position_at(majority.match_index);
        let advanced = position.term == self.term && position > self.confirmed;
        if advanced {
            self.confirmed = position;
        }
        advanced
    }
}
