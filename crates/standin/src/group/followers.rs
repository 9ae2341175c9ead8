//! What a primary knows of its followers: how far their logs match its own, whether they count,
//! and when they last answered.

use std::time::Instant;

use super::log::Index;
use super::replication::Reply;

/// Followers by target number; the primary's own place stays unused.
#[derive(Debug)]
pub(crate) struct Followers {
    list: Vec<Follower>,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    matched: Index,
    next: Index,
    voter: bool,
    incarnation: u64,
    acknowledged: Option<Instant>,
}

/// What a majority has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Majority {
    /// Index that each of its logs reaches.
    pub(crate) matched: Index,
    /// Latest time at which each of it is known to have followed.
    pub(crate) acknowledged: Option<Instant>,
}

impl Followers {
    /// Followers of whom nothing is known; they are sent what comes after `last`.
    pub(crate) fn new(size: usize, last: Index) -> Self {
        let follower = Follower {
            matched: 0,
            next: last + 1,
            voter: false,
            incarnation: 0,
            acknowledged: None,
        };
        Followers { list: vec![follower; size] }
    }

    /// First index to send to a follower.
    pub(crate) fn next(&self, follower: usize) -> Index {
        self.list[follower].next
    }

    /// Entries before an index are on their way to a follower, or must be sent again from it on.
    pub(crate) fn set_next(&mut self, follower: usize, next: Index) {
        self.list[follower].next = next;
    }

    /// Takes a follower's answer; false when it is from before the follower's last rebuild.
    pub(crate) fn acknowledge(&mut self, reply: &Reply) -> bool {
        let follower = &mut self.list[reply.from];
        if reply.incarnation < follower.incarnation {
            return false;
        }
        if reply.incarnation > follower.incarnation {
            follower.incarnation = reply.incarnation;
            follower.matched = 0;
            follower.acknowledged = None;
        }
        follower.voter = reply.voter;
        follower.acknowledged = follower.acknowledged.max(Some(reply.sent_at));
        if let Some(matched) = reply.matched {
            follower.matched = follower.matched.max(matched);
            follower.next = follower.next.max(matched + 1);
        }
        true
    }

    /// What the primary, whose log ends at `last`, and the voters that follow it have as a
    /// majority of the group.
    pub(crate) fn majority(&self, primary: usize, last: Index, now: Instant) -> Option<Majority> {
        let needed = self.list.len() / 2;
        let mut indices = vec![last];
        let mut times = vec![Some(now)];
        for (number, follower) in self.list.iter().enumerate() {
            if number != primary && follower.voter {
                indices.push(follower.matched);
                times.push(follower.acknowledged);
            }
        }
        indices.sort_unstable_by(|a, b| b.cmp(a));
        times.sort_unstable_by(|a, b| b.cmp(a));
        let matched = *indices.get(needed)?;
        Some(Majority { matched, acknowledged: times[needed] })
    }
}
