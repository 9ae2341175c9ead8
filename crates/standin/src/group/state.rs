//! Terms, the log and what is known of the group, as one target sees them.
//!
//! Plain data and the rules over it; callers bring the time and carry the messages. The rules are
//! those of replicated logs with terms: a target takes entries of its accepted term or a higher
//! one only, where the entry before them matches; an entry counts as confirmed once a majority of
//! voters holds it in the term of the primary that wrote it.
//!
//! Invariants: `accepted_term` never falls; a target grants a term to one promoter only; a primary whose accepted term has passed its own
//! term neither appends nor confirms.

use std::collections::VecDeque;
use std::time::Instant;

use super::followers::Followers;
use super::log::{Index, Log, Position, Statement, Term};
use super::replication::{Append, Reply};

/// Who asks for a term.
pub(crate) type Promoter = i64;

/// Entries in one replication message.
const BATCH: usize = 512;

/// What a target does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Takes writes, unless fenced.
    Primary,
    /// Follows a primary.
    Replica,
    /// Came back empty and has not caught up.
    Rebuilding,
}

/// State of the primary that a replica reaches by applying its log up to an index.
#[derive(Clone, Copy, Debug)]
struct Mark {
    index: Index,
    at: Option<Instant>,
}

/// What a target knows.
#[derive(Debug)]
pub(crate) struct State {
    /// Number of this target.
    pub(crate) number: usize,
    /// Targets in the group.
    pub(crate) size: usize,
    /// Durable: the log.
    pub(crate) log: Log,
    /// Durable: highest term granted or followed.
    pub(crate) accepted_term: Term,
    /// Durable: who was granted the accepted term.
    pub(crate) granted: Option<Promoter>,
    /// Durable: what the target does.
    pub(crate) role: Role,
    /// Durable: term that this target was promoted for, if it is a primary.
    pub(crate) term: Term,
    /// Durable: whether its grants and acknowledgements count.
    pub(crate) voter: bool,
    /// Changes with each rebuild.
    pub(crate) incarnation: u64,
    /// Time of the last rebuild.
    pub(crate) rebuilt_at: Option<Instant>,
    /// Index up to which the data holds the log.
    pub(crate) applied: Index,
    /// The log was cut below `applied`: the data must be built anew.
    pub(crate) rewound: bool,
    /// Highest entry known to be confirmed.
    pub(crate) confirmed: Position,
    /// The primary that this target follows or is.
    pub(crate) primary: Option<usize>,
    /// New write transactions are refused until then.
    pub(crate) held_until: Option<Instant>,
    followers: Followers,
    authority: Option<Instant>,
    fresh: Option<Instant>,
    marks: VecDeque<Mark>,
}

/// What a received message changed, beyond the state itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Effect {
    /// Entries were dropped that the data already held, or the target was a primary.
    pub(crate) restart: bool,
    /// Something that waiters look at has changed.
    pub(crate) changed: bool,
}

impl State {
    /// First state of a target in a new group, in which target 0 is the primary of term 1.
    pub(crate) fn new(number: usize, size: usize, schema: Vec<Statement>) -> Self {
        let mut log = Log::default();
        let confirmed = log.append(1, schema);
        let primary = number == 0;
        State {
            number,
            size,
            log,
            accepted_term: 1,
            granted: None,
            role: if primary { Role::Primary } else { Role::Replica },
            term: if primary { 1 } else { 0 },
            voter: true,
            incarnation: 0,
            rebuilt_at: None,
            applied: 0,
            rewound: false,
            confirmed,
            primary: Some(0),
            held_until: None,
            followers: Followers::new(size, confirmed.index),
            authority: None,
            fresh: None,
            marks: VecDeque::new(),
        }
    }

    /// Loses the log and the vote, as a replaced machine does. The accepted term and its grant
    /// stay: a target that forgot them could grant one term twice.
    pub(crate) fn rebuild(&mut self, now: Instant) {
        let empty = State::new(self.number, self.size, Vec::new());
        *self = State {
            log: Log::default(),
            accepted_term: self.accepted_term,
            granted: self.granted,
            role: Role::Rebuilding,
            term: 0,
            voter: false,
            incarnation: self.incarnation + 1,
            rebuilt_at: Some(now),
            rewound: true,
            confirmed: Position::default(),
            primary: None,
            ..empty
        };
    }

    /// Forgets what does not last over a restart.
    pub(crate) fn restart(&mut self) {
        self.followers = Followers::new(self.size, self.log.last().index);
        self.authority = None;
        self.fresh = None;
        self.marks.clear();
        self.held_until = None;
        self.primary = (self.role == Role::Primary).then_some(self.number);
    }

    /// Whether this target is a primary whose commits still count.
    pub(crate) fn leads(&self) -> bool {
        self.role == Role::Primary && self.accepted_term == self.term
    }

    /// Whether this target leads in exactly this term.
    pub(crate) fn leads_in(&self, term: Term) -> bool {
        self.leads() && self.term == term
    }

    /// Whether new write transactions are held at this time.
    pub(crate) fn held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Asks for a term; true when granted.
    pub(crate) fn fence(&mut self, term: Term, promoter: Promoter) -> bool {
        if term == self.accepted_term {
            return self.granted == Some(promoter);
        }
        if term < self.accepted_term {
            return false;
        }
        self.accepted_term = term;
        self.granted = Some(promoter);
        self.primary = None;
        true
    }

    /// Whether the target may become primary of a term for a promoter.
    pub(crate) fn may_promote(&self, term: Term, promoter: Promoter) -> bool {
        self.accepted_term == term && self.granted == Some(promoter) && self.voter
    }

    /// Becomes primary of the accepted term and writes its first entry.
    pub(crate) fn promote(&mut self) -> Position {
        self.role = Role::Primary;
        self.term = self.accepted_term;
        self.primary = Some(self.number);
        self.held_until = None;
        self.authority = None;
        self.fresh = None;
        self.marks.clear();
        self.followers = Followers::new(self.size, self.log.last().index);
        self.log.append(self.term, Vec::new())
    }

    /// Appends a committed transaction; the caller has checked that the target leads.
    pub(crate) fn append(&mut self, statements: Vec<Statement>, now: Instant) -> Position {
        debug_assert!(self.leads());
        let position = self.log.append(self.term, statements);
        self.recount(now);
        position
    }

    /// Whether the data is behind the log.
    pub(crate) fn behind(&self) -> bool {
        self.rewound || self.applied < self.log.last().index
    }

    /// Whether a follower lacks entries that were not sent yet.
    pub(crate) fn pending(&self, follower: usize) -> bool {
        self.followers.next(follower) <= self.log.last().index
    }

    /// Next message for a follower.
    pub(crate) fn message(&mut self, follower: usize, now: Instant) -> Append {
        let next = self.followers.next(follower);
        let entries = self.log.range(next, BATCH);
        self.followers.set_next(follower, next + entries.len() as Index);
        Append {
            from: self.number,
            term: self.term,
            previous: self.log.position(next - 1),
            entries,
            last: self.log.last().index,
            confirmed: self.confirmed,
            authority: self.authority_at(now),
            sent_at: now,
        }
    }

    /// Takes a primary's message.
    pub(crate) fn receive(&mut self, append: &Append) -> (Reply, Effect) {
        let mut effect = Effect::default();
        if append.term < self.accepted_term || self.leads_in(append.term) {
            return (self.reply(append, None), effect);
        }
        effect.restart = self.follow(append);
        if !self.log.contains(append.previous) {
            return (self.reply(append, None), effect);
        }
        effect.restart |= self.take(append);
        effect.changed = true;
        self.confirmed = self.confirmed.max(append.confirmed);
        let matched = append.previous.index + append.entries.len() as Index;
        if matched == append.last {
            self.catch_up(append);
        }
        (self.reply(append, Some(matched)), effect)
    }

    /// Takes a follower's answer; true when more is confirmed than before.
    pub(crate) fn acknowledge(&mut self, reply: &Reply, now: Instant) -> bool {
        if !self.leads_in(reply.term) || reply.accepted_term > self.term {
            return false;
        }
        if !self.followers.acknowledge(reply) {
            return false;
        }
        if reply.matched.is_none() {
            let next = self.log.last_before(reply.last) + 1;
            self.followers.set_next(reply.from, next);
        }
        self.recount(now)
    }

    /// The data now holds the log up to an index.
    pub(crate) fn set_applied(&mut self, index: Index) {
        self.applied = index;
        while let Some(mark) = self.marks.front().copied() {
            if mark.index > index {
                break;
            }
            self.fresh = self.fresh.max(mark.at);
            self.marks.pop_front();
        }
    }

    /// How old the data may be, in milliseconds.
    pub(crate) fn age_ms(&self, now: Instant) -> i64 {
        let since = match self.role {
            Role::Primary => self.authority_at(now),
            _ => self.fresh,
        };
        let age = since.map(|since| now.saturating_duration_since(since).as_millis());
        age.and_then(|age| i64::try_from(age).ok()).unwrap_or(i64::MAX)
    }

    fn authority_at(&self, now: Instant) -> Option<Instant> {
        if self.size == 1 && self.leads() { Some(now) } else { self.authority }
    }

    /// Follows the sender; true when the target was a primary until now.
    fn follow(&mut self, append: &Append) -> bool {
        if append.term > self.accepted_term {
            self.accepted_term = append.term;
            self.granted = None;
        }
        self.primary = Some(append.from);
        let was_primary = self.role == Role::Primary;
        if was_primary {
            self.role = Role::Replica;
            self.held_until = None;
        }
        was_primary
    }

    /// Last entry that may match the sender's log: at the place of its message, or before the
    /// whole term of an entry there that the sender can't have.
    fn last_match(&self, previous: Position) -> Position {
        let here = self.log.position(previous.index.min(self.log.last().index));
        if here.index < previous.index || here.term < previous.term {
            return here;
        }
        self.log.position(self.log.term_start(here.term) - 1)
    }

    /// Takes the entries; true when applied ones had to be dropped.
    fn take(&mut self, append: &Append) -> bool {
        let mut dropped = false;
        for entry in &append.entries {
            if self.log.contains(entry.position) {
                continue;
            }
            let keep = entry.position.index - 1;
            dropped |= self.drop_after(keep);
            self.log.push(entry.clone());
        }
        dropped
    }

    fn drop_after(&mut self, keep: Index) -> bool {
        if self.log.last().index <= keep {
            return false;
        }
        self.log.truncate(keep);
        self.marks.clear();
        if self.applied <= keep {
            return false;
        }
        self.applied = 0;
        self.fresh = None;
        self.rewound = true;
        true
    }

    /// The log equals the sender's; a rebuilt target gets its vote back from a primary that a
    /// majority of the others has acknowledged since the rebuild. A primary superseded before
    /// then has no such majority, so that the vote can't confirm its entries.
    fn catch_up(&mut self, append: &Append) {
        self.marks.push_back(Mark { index: append.last, at: append.authority });
        self.set_applied(self.applied);
        let vouched = append.authority >= self.rebuilt_at;
        if !self.voter && vouched && append.authority.is_some() {
            self.voter = true;
            self.role = Role::Replica;
        }
    }

    fn reply(&self, append: &Append, matched: Option<Index>) -> Reply {
        Reply {
            from: self.number,
            incarnation: self.incarnation,
            term: append.term,
            accepted_term: self.accepted_term,
            matched,
            last: self.last_match(append.previous),
            voter: self.voter,
            sent_at: append.sent_at,
        }
    }

    /// Counts voters again; true when more is confirmed than before.
    fn recount(&mut self, now: Instant) -> bool {
        let last = self.log.last().index;
        let Some(majority) = self.followers.majority(self.number, last, now) else {
            return false;
        };
        self.authority = self.authority.max(majority.acknowledged);
        let position = self.log.position(majority.matched);
        let grown = position.term == self.term && position > self.confirmed;
        if grown {
            self.confirmed = position;
        }
        grown
    }
}
