//! Replication progress of a primary's followers: how far their logs match the primary's, whether
//! they are voters, and when they last acknowledged it.

use std::time::Instant;

use super::log::Index;
use super::replication::Reply;

/// Progress of the followers, indexed by target number; the primary's own element is unused.
#[derive(Debug)]
pub(crate) struct Followers {
    list: Vec<Follower>,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    match_index: Index,
    next_index: Index,
    voter: bool,
    incarnation: u64,
    acknowledged_at: Option<Instant>,
}

/// Log index and time that a majority of the group has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Majority {
    /// Index up to which the log of each member of the majority matches the primary's.
    pub(crate) match_index: Index,
    /// Latest time at which each member of the majority is known to have followed the primary: the
    /// send time of a message that it acknowledged. None when one of them never has.
    pub(crate) acknowledged_at: Option<Instant>,
}

impl Followers {
    /// Followers without any reply yet; sending starts after `last_index`.
    pub(crate) fn new(size: usize, last_index: Index) -> Self {
        let follower = Follower {
            match_index: 0,
            next_index: last_index + 1,
            voter: false,
            incarnation: 0,
            acknowledged_at: None,
        };
        Followers { list: vec![follower; size] }
    }

    /// Index of the next entry to send to a follower.
    pub(crate) fn next_index(&self, follower: usize) -> Index {
        self.list[follower].next_index
    }

    /// Sets the next entry to send: after a send, or back to an earlier one to resend from there.
    pub(crate) fn set_next_index(&mut self, follower: usize, next_index: Index) {
        self.list[follower].next_index = next_index;
    }

    /// Records a follower's reply; false when it was sent before the follower's last rebuild.
    pub(crate) fn record_reply(&mut self, reply: &Reply) -> bool {
        let follower = &mut self.list[reply.from];
        if reply.incarnation < follower.incarnation {
            return false;
        }
        if reply.incarnation > follower.incarnation {
            follower.incarnation = reply.incarnation;
            follower.match_index = 0;
            follower.acknowledged_at = None;
        }
        follower.voter = reply.voter;
        follower.acknowledged_at = follower.acknowledged_at.max(Some(reply.sent_at));
        if let Some(match_index) = reply.match_index {
            follower.match_index = follower.match_index.max(match_index);
            follower.next_index = follower.next_index.max(match_index + 1);
        }
        true
    }

    /// Progress of a majority of the group, which consists of the primary, whose log ends at
    /// `last_index`, and voting followers; none if the voters don't form one.
    pub(crate) fn majority(
        &self,
        primary: usize,
        last_index: Index,
        now: Instant,
    ) -> Option<Majority> {
        let majority_rank = self.list.len() / 2;
        let mut match_indices = vec![last_index];
        let mut acknowledgement_times = vec![Some(now)];
        for (number, follower) in self.list.iter().enumerate() {
            if number != primary && follower.voter {
                match_indices.push(follower.match_index);
                acknowledgement_times.push(follower.acknowledged_at);
            }
        }
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        acknowledgement_times.sort_unstable_by(|a, b| b.cmp(a));
        let match_index = *match_indices.get(majority_rank)?;
        Some(Majority { match_index, acknowledged_at: acknowledgement_times[majority_rank] })
    }
}
