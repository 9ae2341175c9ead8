//! What a caller's session carries from one request to the next, and what it has to see.

use crate::bench::history::{Seq, ServiceIndex};
use bergamotvale_core::session::Token;
use std::collections::BTreeMap;
use std::time::Duration;

/// A caller's session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    token: Token,
    tracks: BTreeMap<ServiceIndex, Track>,
}

/// A session's writes to one service.
#[derive(Debug, Clone, Default)]
struct Track {
    last: Seq,
    /// Highest acknowledged write and when it became that; both grow.
    acknowledged: Vec<(Duration, Seq)>,
}

impl Session {
    /// What the session has seen.
    pub fn token(&self) -> &Token {
        &self.token
    }

    /// Merges the token of an answer.
    pub fn merge(&mut self, token: &Token) {
        self.token.merge(token);
    }

    /// Number of the session's next write to `service`.
    pub fn next_seq(&mut self, service: ServiceIndex) -> Seq {
        let track = self.tracks.entry(service).or_default();
        track.last += 1;
        track.last
    }

    /// Notes that write `seq` was acknowledged at `now`.
    pub fn acknowledge(&mut self, service: ServiceIndex, seq: Seq, now: Duration) {
        let track = self.tracks.entry(service).or_default();
        if track.acknowledged.last().is_none_or(|(_, highest)| seq > *highest) {
            track.acknowledged.push((now, seq));
        }
    }

    /// Highest write that was acknowledged by `time`.
    pub fn floor(&self, service: ServiceIndex, time: Duration) -> Option<Seq> {
        let acknowledged = &self.tracks.get(&service)?.acknowledged;
        let count = acknowledged.partition_point(|(at, _)| *at <= time);
        acknowledged[..count].last().map(|(_, seq)| *seq)
    }
}
