//! Faults and rate limits of the platform stand-in.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::link::Relay;
use crate::sync::lock;

use super::store::HostId;

/// Default write limit, per second.
const WRITE_RATE: u64 = 400;
/// Default read limit, per second.
const READ_RATE: u64 = 2_000;
/// Default lag of the list of hosts.
const HOSTS_LAG: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);

/// Faults and limits that apply to the platform's calls.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Every call is refused with status 503.
    pub outage: bool,
    /// New connections are refused, open ones closed.
    pub refuse: bool,
    /// Calls hang without effect; they fail with status 503 once this is unset.
    pub hang: bool,
    /// Calls of these hosts hang, as with `hang`.
    pub blocked_hosts: BTreeSet<HostId>,
    /// Delay of each response, half of it before the call takes effect.
    pub delay: Duration,
    /// Number of next writes that take effect but get no response: their connections are closed.
    pub lost_responses: u64,
    /// Lag of the list of hosts behind its changes.
    pub hosts_lag: Duration,
    /// Writes per second; excess ones are refused with status 429.
    pub write_rate: u64,
    /// Reads per second; excess ones are refused with status 429.
    pub read_rate: u64,
}

impl Default for Fault {
    fn default() -> Self {
        Fault {
            outage: false,
            refuse: false,
            hang: false,
            blocked_hosts: BTreeSet::new(),
            delay: Duration::ZERO,
            lost_responses: 0,
            hosts_lag: HOSTS_LAG,
            write_rate: WRITE_RATE,
            read_rate: READ_RATE,
        }
    }
}

/// Numbers of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads that were admitted.
    pub reads: u64,
    /// Writes that were admitted.
    pub writes: u64,
    /// Calls refused because of a rate limit.
    pub limited: u64,
}

/// Handle to the faults and counters of a running platform; clones share them.
#[derive(Clone)]
pub struct Faults {
    inner: Arc<Inner>,
}

struct Inner {
    fault: Mutex<Fault>,
    limiter: Mutex<RateLimiter>,
    front: Relay,
}

/// Rate limiter with a fixed window of one second, and total counts.
struct RateLimiter {
    since: Instant,
    reads: u64,
    writes: u64,
    count: Count,
}

impl Faults {
    /// Creates the faults of a platform behind the relay `front`.
    pub(crate) fn new(fault: Fault, front: Relay) -> Self {
        let limiter =
            RateLimiter { since: Instant::now(), reads: 0, writes: 0, count: Count::default() };
        let (fault, limiter) = (Mutex::new(fault), Mutex::new(limiter));
        Faults { inner: Arc::new(Inner { fault, limiter, front }) }
    }

    /// A copy of the present faults.
    pub fn get(&self) -> Fault {
        lock(&self.inner.fault).clone()
    }

    /// Changes the faults and applies them to the relay; an error means that the port could not be
    /// opened again.
    pub fn set(&self, change: impl FnOnce(&mut Fault)) -> crate::Result<()> {
        let mut fault = lock(&self.inner.fault);
        change(&mut fault);
        let refuse = fault.refuse;
        drop(fault);
        self.inner.front.set(|link| link.refuse = refuse)?;
        if refuse {
            self.inner.front.reset();
        }
        Ok(())
    }

    /// Numbers of calls since the start.
    pub fn count(&self) -> Count {
        lock(&self.inner.limiter).count
    }

    pub(crate) fn front(&self) -> &Relay {
        &self.inner.front
    }

    /// Counts a call; false if it exceeds its rate limit.
    pub(crate) fn admit(&self, write: bool, now: Instant) -> bool {
        let (write_rate, read_rate) = {
            let fault = lock(&self.inner.fault);
            (fault.write_rate, fault.read_rate)
        };
        lock(&self.inner.limiter).admit(write, write_rate, read_rate, now)
    }

    /// Consumes one of the lost responses; false if none is left.
    pub(crate) fn take_lost_response(&self) -> bool {
        let mut fault = lock(&self.inner.fault);
        let lost = fault.lost_responses > 0;
        fault.lost_responses = fault.lost_responses.saturating_sub(1);
        lost
    }
}

impl RateLimiter {
    fn admit(&mut self, write: bool, write_rate: u64, read_rate: u64, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= SECOND {
            self.since = now;
            self.reads = 0;
            self.writes = 0;
        }
        let count = &mut self.count;
        let (calls, rate, total) = match write {
            true => (&mut self.writes, write_rate, &mut count.writes),
            false => (&mut self.reads, read_rate, &mut count.reads),
        };
        if *calls >= rate {
            count.limited += 1;
            return false;
        }
        *calls += 1;
        *total += 1;
        true
    }
}
