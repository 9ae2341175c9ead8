//! State of a caller's session: its token, and the acknowledged writes that its reads must include.

use crate::bench::history::{Seq, ServiceIndex};
use bergamotvale_core::session::Token;
use std::collections::BTreeMap;
use std::time::Duration;

/// A caller's session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    token: Token,
    writes: BTreeMap<ServiceIndex, ServiceWrites>,
}

/// Writes of a session to one service.
#[derive(Debug, Clone, Default)]
struct ServiceWrites {
    last_seq: Seq,
    /// Highest acknowledged write over time, as pairs of the time and the write; both increase.
    acknowledged: Vec<(Duration, Seq)>,
}

impl Session {
    /// The session token, which covers everything that the session has seen.
    pub fn token(&self) -> &Token {
        &self.token
    }

    /// Merges the token of a response into the session's.
    pub fn merge(&mut self, token: &Token) {
        self.token.merge(token);
    }

    /// Allocates the sequence number of the session's next write to `service`, from 1.
    pub fn next_seq(&mut self, service: ServiceIndex) -> Seq {
        let writes = self.writes.entry(service).or_default();
        writes.last_seq += 1;
        writes.last_seq
    }

    /// Records that write `seq` was acknowledged at `now`; acknowledgements of lower writes than
    /// the highest so far are ignored.
    pub fn record_acknowledged(&mut self, service: ServiceIndex, seq: Seq, now: Duration) {
        let writes = self.writes.entry(service).or_default();
        if writes.acknowledged.last().is_none_or(|(_, highest)| seq > *highest) {
            writes.acknowledged.push((now, seq));
        }
    }

    /// Highest write to `service` that was acknowledged by `time`; none if there is none.
    pub fn floor(&self, service: ServiceIndex, time: Duration) -> Option<Seq> {
        let acknowledged = &self.writes.get(&service)?.acknowledged;
        let count = acknowledged.partition_point(|(at, _)| *at <= time);
        acknowledged[..count].last().map(|(_, seq)| *seq)
    }
}
