//! Policy of the platform client: how many calls at once, how long each, and when to stop asking.
//!
//! A [`Gate`] admits calls. It bounds those in flight, and after a run of failures it lets one
//! probe a period through until one succeeds. A refused admission is a certain "not sent".

use crate::id::Time;
use derive_more::Display;
use std::time::Duration;

/// Time that a read may take.
pub const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a conditional write may take before it is read back.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a change is accepted or given up.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between polls of the fleet row.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Calls in flight at once.
pub const MAX_IN_FLIGHT: usize = 16;
/// Failures in a row that open the breaker.
pub const BREAKER_THRESHOLD: u32 = 5;
/// Time between probes while the breaker is open.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Why a call was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Refusal {
    /// Too many calls in flight.
    Full,
    /// The store has been failing.
    Open,
}

/// Admits calls to the store.
#[derive(Debug, Clone)]
pub struct Gate {
    max_in_flight: usize,
    in_flight: usize,
    failures: u32,
    next_probe: Time,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate::new()
    }
}

impl Gate {
    /// A gate with the usual bounds.
    pub fn new() -> Gate {
        Gate { max_in_flight: MAX_IN_FLIGHT, in_flight: 0, failures: 0, next_probe: Time::ZERO }
    }

    /// The same gate with another bound on calls in flight.
    pub fn with_max_in_flight(mut self, max_in_flight: usize) -> Gate {
        self.max_in_flight = max_in_flight;
        self
    }

    /// Admits a call; each admitted call has to be ended by `record_success` or `record_failure`.
    pub fn admit(&mut self, now: Time) -> Result<(), Refusal> {
        if self.in_flight >= self.max_in_flight {
            return Err(Refusal::Full);
        }
        if self.is_open() {
            if now < self.next_probe {
                return Err(Refusal::Open);
            }
            self.next_probe = now + PROBE_INTERVAL;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// A call was answered.
    pub fn record_success(&mut self) {
        self.in_flight -= 1;
        self.failures = 0;
    }

    /// A call was not answered, or answered with an outage.
    pub fn record_failure(&mut self, now: Time) {
        self.in_flight -= 1;
        self.failures = self.failures.saturating_add(1);
        if self.failures == BREAKER_THRESHOLD {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Whether the store has been failing.
    pub fn is_open(&self) -> bool {
        self.failures >= BREAKER_THRESHOLD
    }
}
