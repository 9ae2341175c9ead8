//! Session of a caller: writes, retries of keyed writes and reads through any host, one request at
//! a time.

use super::Scene;
use super::request::{Outcome, Request, Work};
use bergamotvale_core::id::HostId;
use bergamotvale_core::invariant::OpId;
use bergamotvale_core::invariant::write::Verdict;
use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::Ran;
use std::collections::BTreeSet;

/// Maximum number of requests that a caller makes for one keyed write.
const MAX_ATTEMPTS: u32 = 3;

pub struct Session {
    token: Option<Position>,
    acknowledged: BTreeSet<OpId>,
    request: Option<Request>,
    /// Keyed write to retry, with the number of attempts left.
    retry: Option<(OpId, u32)>,
}

impl Session {
    pub fn new() -> Session {
        Session { token: None, acknowledged: BTreeSet::new(), request: None, retry: None }
    }

    /// Returns the attempt whose connection is in use.
    pub fn attempt(&self) -> Option<u64> {
        self.request.as_ref().map(|request| request.attempt)
    }

    pub fn advance(&mut self, scene: &mut Scene) {
        let Some(mut request) = self.request.take() else {
            self.request = Some(self.begin(scene));
            return;
        };
        if scene.hosts[&request.host].paused_until <= scene.now
            && let Some(end) = request.advance(scene, &self.acknowledged)
        {
            self.record_outcome(&request, end, scene);
            return;
        }
        self.request = Some(request);
    }

    /// Ends the request in progress if it is on `host`, which died; the outcome of a write is
    /// unknown to its caller.
    pub fn abort_on_host(&mut self, host: HostId, scene: &mut Scene) {
        if let Some(request) = self.request.take_if(|request| request.host == host)
            && matches!(request.work, Work::Write(..))
        {
            self.record_outcome(&request, Outcome::Refused(Ran::Unknown), scene);
        }
    }

    /// Ends the request in progress at the end of the run; the outcome of a write is unknown to its
    /// caller.
    pub fn end(&mut self, scene: &mut Scene) {
        if let Some(request) = self.request.take()
            && matches!(request.work, Work::Write(..))
        {
            self.record_outcome(&request, Outcome::Refused(Ran::Unknown), scene);
        }
    }

    fn begin(&mut self, scene: &mut Scene) -> Request {
        let host = scene.random_host();
        if let Some((op, attempts_left)) = self.retry.take() {
            return Request::write(op, host, true, attempts_left, scene);
        }
        let op = scene.next_id();
        match scene.random.below(4) {
            0 | 1 => Request::write(op, host, true, MAX_ATTEMPTS, scene),
            2 => Request::write(op, host, false, 1, scene),
            _ => Request::read(op, host, self.token, scene),
        }
    }

    fn record_outcome(&mut self, request: &Request, end: Outcome, scene: &mut Scene) {
        let op = request.op;
        match end {
            Outcome::Served(position) => {
                self.token = self.token.max(position);
                scene.tally.served += 1;
            }
            Outcome::Acknowledged(position) => {
                self.token = self.token.max(position);
                self.acknowledged.insert(op);
                scene.tally.acknowledged += 1;
                scene.writes.insert(op, Some(Verdict::Acknowledged));
            }
            Outcome::Refused(_) if matches!(request.work, Work::Read(..)) => {}
            Outcome::Refused(ran) => self.refused(request, ran, scene),
        }
    }

    fn refused(&mut self, request: &Request, ran: Ran, scene: &mut Scene) {
        let verdict = match ran {
            Ran::No => Verdict::NotRun,
            Ran::Unknown => Verdict::Unknown,
        };
        match verdict {
            Verdict::NotRun => scene.tally.not_run += 1,
            _ => scene.tally.unknown += 1,
        }
        // A refusal as not run covers one attempt only: the write counts as not run only if every
        // attempt was refused as not run.
        let known = scene.writes.entry(request.op).or_insert(None);
        *known = match *known {
            None => Some(verdict),
            Some(Verdict::NotRun) if verdict == Verdict::NotRun => Some(Verdict::NotRun),
            Some(_) => Some(Verdict::Unknown),
        };
        if request.keyed && request.attempts_left > 1 {
            self.retry = Some((request.op, request.attempts_left - 1));
        }
    }
}
