//! Faults of the platform, rate ceilings included.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::link::Relay;
use crate::sync::lock;

use super::store::HostId;

/// Writes a second.
const WRITE_RATE: u64 = 400;
/// Reads a second.
const READ_RATE: u64 = 2_000;
/// How late the list of hosts is.
const HOSTS_LAG: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);

/// What is wrong with the platform.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Every call is answered by 503.
    pub outage: bool,
    /// New connections are refused, open ones closed.
    pub refuse: bool,
    /// No call is answered; those that wait are not carried out.
    pub hang: bool,
    /// Calls of these hosts are not answered.
    pub blocked_hosts: BTreeSet<HostId>,
    /// Delay of each answer, half of it before the effect.
    pub delay: Duration,
    /// The answers of so many writes to come are lost after their effect.
    pub lost_responses: u64,
    /// How late the list of hosts is.
    pub hosts_lag: Duration,
    /// Writes a second; more are answered by 429.
    pub write_rate: u64,
    /// Reads a second; more are answered by 429.
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

/// Calls served since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls over the rate ceiling.
    pub limited: u64,
}

/// Handle on the faults of a running platform.
#[derive(Clone)]
pub struct Faults {
    inner: Arc<Inner>,
}

struct Inner {
    fault: Mutex<Fault>,
    meter: Mutex<Meter>,
    front: Relay,
}

/// Calls in the current second.
struct Meter {
    since: Instant,
    reads: u64,
    writes: u64,
    count: Count,
}

impl Faults {
    /// Faults of a platform behind a relay.
    pub(crate) fn new(fault: Fault, front: Relay) -> Self {
        let meter = Meter { since: Instant::now(), reads: 0, writes: 0, count: Count::default() };
        let (fault, meter) = (Mutex::new(fault), Mutex::new(meter));
        Faults { inner: Arc::new(Inner { fault, meter, front }) }
    }

    /// The faults as they are.
    pub fn get(&self) -> Fault {
        lock(&self.inner.fault).clone()
    }

    /// Changes the faults.
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

    /// Calls served since the start.
    pub fn count(&self) -> Count {
        lock(&self.inner.meter).count
    }

    pub(crate) fn front(&self) -> &Relay {
        &self.inner.front
    }

    /// Counts a call; false when it is over the ceiling.
    pub(crate) fn admit(&self, write: bool, now: Instant) -> bool {
        let (write_rate, read_rate) = {
            let fault = lock(&self.inner.fault);
            (fault.write_rate, fault.read_rate)
        };
        lock(&self.inner.meter).admit(write, write_rate, read_rate, now)
    }

    /// Takes one of the answers that are to be lost.
    pub(crate) fn lose(&self) -> bool {
        let mut fault = lock(&self.inner.fault);
        let lost = fault.lost_responses > 0;
        fault.lost_responses = fault.lost_responses.saturating_sub(1);
        lost
    }
}

impl Meter {
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
