//! Model of a database group for seeded searches: targets with terms and logs that exchange
//! messages, which the search may delay, reorder or lose.
#![allow(dead_code, reason = "not every test uses all of it")]

use bergamotvale_core::group::{TermResponse, majority};
use bergamotvale_core::id::{PromoterId, TargetId};
use bergamotvale_core::log::{Position, Term};
use std::collections::{BTreeMap, BTreeSet};

/// A log entry. Entries of different terms are different even if their values are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    pub(crate) value: u64,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Target {
    pub(crate) log: Vec<Entry>,
    pub(crate) accepted: Term,
    pub(crate) promoter: Option<PromoterId>,
    pub(crate) leading_term: Option<Term>,
    pub(crate) voter: bool,
    pub(crate) is_up: bool,
    /// Highest position that it knows a majority to hold.
    pub(crate) confirmed: Position,
    /// On a primary: length of log that each follower is known to hold in this term.
    replicated: BTreeMap<TargetId, usize>,
    /// On a primary: writes that no majority holds yet, by the length of log that includes them.
    unconfirmed: BTreeMap<usize, Entry>,
}

/// Replication message: the whole log of a primary, or a follower's acknowledgement of it.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Append { from: TargetId, to: TargetId, term: Term, log: Vec<Entry>, confirmed: Position },
    Appended { from: TargetId, to: TargetId, term: Term, length: usize },
}

#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) targets: BTreeMap<TargetId, Target>,
    pub(crate) acknowledged: BTreeSet<Entry>,
    /// Targets that acknowledged writes in each term.
    pub(crate) acknowledgers: BTreeMap<Term, BTreeSet<TargetId>>,
    next_value: u64,
}

impl Target {
    pub(crate) fn last_entry(&self) -> Position {
        let term = self.log.last().map_or(0, |entry| entry.term);
        Position::new(term, self.log.len() as u64)
    }

    /// On a primary of a group of `count` targets: position of the last entry that a majority
    /// holds, if that entry is of its term.
    fn majority_position(&self, count: usize) -> Option<Position> {
        let term = self.leading_term?;
        let mut lengths: Vec<usize> = self.replicated.values().copied().collect();
        lengths.push(self.log.len());
        lengths.sort_unstable();
        let length = *lengths.iter().rev().nth(majority(count) - 1)?;
        let entry = self.log.get(length.checked_sub(1)?)?;
        (entry.term == term).then(|| Position::new(term, length as u64))
    }

    fn response(&self, granted: bool) -> TermResponse {
        TermResponse {
            granted,
            accepted: self.accepted,
            entry: self.last_entry(),
            voter: self.voter,
        }
    }
}

impl Group {
    /// Creates a group of `count` targets in which target 0 is the primary of term 1.
    pub(crate) fn new(count: TargetId) -> Group {
        let first = Entry { term: 1, value: 0 };
        let target =
            Target { log: vec![first], accepted: 1, voter: true, is_up: true, ..Target::default() };
        let mut targets: BTreeMap<TargetId, Target> =
            (0..count).map(|id| (id, target.clone())).collect();
        targets.get_mut(&0).expect("a group has a target 0").leading_term = Some(1);
        Group {
            targets,
            acknowledged: BTreeSet::new(),
            acknowledgers: BTreeMap::new(),
            next_value: 1,
        }
    }

    pub(crate) fn fence(
        &mut self,
        id: TargetId,
        term: Term,
        promoter: PromoterId,
    ) -> Option<TermResponse> {
        let target = self.targets.get_mut(&id).filter(|target| target.is_up)?;
        let repeated = term == target.accepted && target.promoter == Some(promoter);
        let granted = term > target.accepted || repeated;
        if granted && !repeated {
            target.accepted = term;
            target.promoter = Some(promoter);
            step_down(target);
        }
        Some(target.response(granted))
    }

    pub(crate) fn promote(
        &mut self,
        id: TargetId,
        term: Term,
        promoter: PromoterId,
    ) -> Option<TermResponse> {
        let target = self.targets.get_mut(&id).filter(|target| target.is_up)?;
        let granted = target.accepted == term && target.promoter == Some(promoter);
        if granted && target.leading_term != Some(term) {
            target.leading_term = Some(term);
            target.log.push(Entry { term, value: 0 });
        }
        Some(target.response(granted))
    }

    /// Commits the next unused value on a target that considers itself the primary.
    pub(crate) fn write(&mut self, id: TargetId) {
        if self.commit(id, self.next_value).is_some() {
            self.next_value += 1;
        }
    }

    /// Commits `value` on a target and returns its position; `None` if the target is down or
    /// doesn't consider itself the primary.
    pub(crate) fn commit(&mut self, id: TargetId, value: u64) -> Option<Position> {
        let target = self.targets.get_mut(&id).filter(|target| target.is_up)?;
        let entry = Entry { term: target.leading_term?, value };
        target.log.push(entry);
        target.unconfirmed.insert(target.log.len(), entry);
        Some(target.last_entry())
    }

    /// Returns the append message that `from` would send to `to`; `None` unless `from` is up and
    /// considers itself the primary.
    pub(crate) fn append_message(&self, from: TargetId, to: TargetId) -> Option<Message> {
        let source = &self.targets[&from];
        let term = source.leading_term.filter(|_| source.is_up && from != to)?;
        let (log, confirmed) = (source.log.clone(), source.confirmed);
        Some(Message::Append { from, to, term, log, confirmed })
    }

    pub(crate) fn deliver(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::Append { from, to, term, log, confirmed } => {
                let reply = self.receive_append(from, to, term, log);
                if reply.is_some() {
                    let target = self.targets.get_mut(&to).expect("the target appended the log");
                    target.confirmed = confirmed.max(target.confirmed);
                }
                reply
            }
            Message::Appended { from, to, term, length } => {
                self.record_appended(from, to, term, length);
                None
            }
        }
    }

    fn receive_append(
        &mut self,
        from: TargetId,
        to: TargetId,
        term: Term,
        log: Vec<Entry>,
    ) -> Option<Message> {
        // A rebuilt target has lost its record of the terms that it granted. It follows only the
        // newest term, and becomes a voter once it holds all that the primary of this term holds.
        let newest = self.targets.values().filter(|t| t.voter).map(|t| t.accepted).max();
        let caught_up = log.len() >= self.targets[&from].log.len();
        let target = self.targets.get_mut(&to).filter(|target| target.is_up)?;
        if term < target.accepted || (!target.voter && (Some(term) != newest || !caught_up)) {
            return None;
        }
        if term > target.accepted {
            target.accepted = term;
            target.promoter = None;
            step_down(target);
        }
        if target.leading_term.is_some() {
            return None;
        }
        let is_stale = target.log.len() >= log.len() && target.log[..log.len()] == log[..];
        if !is_stale {
            target.log = log.clone();
        }
        target.voter = true;
        Some(Message::Appended { from: to, to: from, term, length: log.len() })
    }

    fn record_appended(&mut self, from: TargetId, to: TargetId, term: Term, length: usize) {
        let count = self.targets.len();
        let Some(primary) = self.targets.get_mut(&to).filter(|target| target.is_up) else { return };
        if primary.leading_term != Some(term) {
            return;
        }
        let length_known = primary.replicated.entry(from).or_insert(0);
        *length_known = length.max(*length_known);
        primary.confirmed =
            primary.confirmed.max(primary.majority_position(count).unwrap_or_default());
        let unconfirmed = std::mem::take(&mut primary.unconfirmed);
        for (length, entry) in unconfirmed {
            let copies = 1 + primary.replicated.values().filter(|known| **known >= length).count();
            if copies >= majority(count) {
                self.acknowledged.insert(entry);
                self.acknowledgers.entry(term).or_default().insert(to);
            } else {
                primary.unconfirmed.insert(length, entry);
            }
        }
    }

    pub(crate) fn kill(&mut self, id: TargetId) {
        let target = self.targets.get_mut(&id).expect("a target of the group");
        target.is_up = false;
        step_down(target);
    }

    pub(crate) fn restart(&mut self, id: TargetId) {
        self.targets.get_mut(&id).expect("a target of the group").is_up = true;
    }

    /// Erases all state of the target, unless some target is being rebuilt already; returns whether
    /// it did.
    pub(crate) fn rebuild(&mut self, id: TargetId) -> bool {
        if self.targets.values().all(|target| target.voter) {
            let target = Target { is_up: true, ..Target::default() };
            self.targets.insert(id, target);
            // Its connections end as well, so its earlier acknowledgements no longer count.
            for target in self.targets.values_mut() {
                target.replicated.remove(&id);
            }
            return true;
        }
        false
    }

    /// Like [`Group::rebuild`], but keeps the granted term and promoter, which targets of the
    /// platform store apart from their data.
    pub(crate) fn rebuild_keeping_grants(&mut self, id: TargetId) -> bool {
        let Target { accepted, promoter, .. } = self.targets[&id];
        let rebuilt = self.rebuild(id);
        if rebuilt {
            let target = self.targets.get_mut(&id).expect("a target of the group");
            (target.accepted, target.promoter) = (accepted, promoter);
        }
        rebuilt
    }

    /// Returns an acknowledged entry that is missing on the primary of the highest term.
    pub(crate) fn lost_entry(&self) -> Option<Entry> {
        let primaries = self.targets.values().filter(|target| target.leading_term.is_some());
        let primary = primaries.max_by_key(|target| target.leading_term)?;
        let term = primary.leading_term?;
        let expected = self.acknowledged.iter().filter(|entry| entry.term < term);
        expected.copied().find(|entry| !primary.log.contains(entry))
    }

    /// Returns a term in which more than one target acknowledged writes or is the primary.
    pub(crate) fn split_term(&self) -> Option<Term> {
        let mut primaries = self.acknowledgers.clone();
        for (id, target) in &self.targets {
            if let Some(term) = target.leading_term {
                primaries.entry(term).or_default().insert(*id);
            }
        }
        primaries.into_iter().find(|(_, targets)| targets.len() > 1).map(|(term, _)| term)
    }
}

fn step_down(target: &mut Target) {
    target.leading_term = None;
    target.replicated.clear();
    target.unconfirmed.clear();
}
