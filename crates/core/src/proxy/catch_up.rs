//! When a host whose copy of the table is behind its peers asks one of them for what it lacks.
//!
//! A host has at most one request under way, so that hosts which start together, or which all miss
//! the same change, put no more on a link than one copy each. A request without an answer is
//! repeated later each time, since its answer may be queued on a slow link.

use super::revision::Revision;
use crate::id::{HostId, Time};
use crate::rendezvous::{Subject, weight};
use std::time::Duration;

/// Time in which the answer to the first request has to arrive.
const FIRST_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper bound of that time, which doubles with each request without an answer.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a host that is behind asks only peers that can renew its lease at the new revision:
/// from the change of the copy until then it holds none.
const RENEWED_ONLY_TIME: Duration = Duration::from_millis(150);
/// Part of a timeout that is spread over the hosts, so that they do not ask again together.
const JITTER_DIVISOR: u32 = 2;
/// Number of different timeouts that hosts have for the same request.
const JITTER_STEPS: u64 = 64;

/// The catching up of one host with its peers.
#[derive(Debug)]
pub struct CatchUp {
    host: HostId,
    behind_since: Option<Time>,
    /// When the request that is under way counts as lost.
    timeout_at: Option<Time>,
    /// Requests without an answer since the last copy.
    unanswered: u32,
    needs_whole_table: bool,
}

impl CatchUp {
    /// Creates the state of a host that is not known to be behind.
    pub fn new(host: HostId) -> CatchUp {
        CatchUp {
            host,
            behind_since: None,
            timeout_at: None,
            unanswered: 0,
            needs_whole_table: false,
        }
    }

    /// Returns the revision to state in a request to a peer that is ahead; `None` if no request is
    /// due. `own` is the revision of this host's copy, `is_renewed` whether the peer has a renewal of
    /// the lease at its revision.
    pub fn request(&mut self, now: Time, own: Revision, is_renewed: bool) -> Option<Revision> {
        let behind_since = *self.behind_since.get_or_insert(now);
        let is_waiting = self.timeout_at.is_some_and(|at| now < at);
        let may_ask = is_renewed || now.saturating_sub(behind_since) >= RENEWED_ONLY_TIME;
        if is_waiting || !may_ask {
            return None;
        }
        if self.timeout_at.is_some() {
            self.unanswered += 1;
        }
        self.timeout_at = Some(now + self.timeout());
        Some(if self.needs_whole_table { Revision::default() } else { own })
    }

    /// Records that the copy has reached a later revision.
    pub fn record_progress(&mut self) {
        *self = CatchUp::new(self.host);
    }

    /// Records that a difference did not match this host's copy.
    pub fn record_mismatch(&mut self) {
        self.needs_whole_table = true;
        self.timeout_at = None;
    }

    fn timeout(&self) -> Duration {
        let doubled = FIRST_TIMEOUT.saturating_mul(1 << self.unanswered.min(8)).min(MAX_TIMEOUT);
        let position = weight(self.host, Subject::Store(self.unanswered.into())) % JITTER_STEPS;
        doubled + doubled / JITTER_DIVISOR * position as u32 / JITTER_STEPS as u32
    }
}
