//! Admission of calls to the platform's store: concurrency limit, timeouts and circuit breaker.
//!
//! A [`Gate`] admits calls. It limits the number in flight, and after consecutive failures it
//! admits only one probe per interval until one succeeds. A call that is not admitted was not sent.

use crate::id::Time;
use derive_more::Display;
use std::time::Duration;

/// Timeout of a read.
pub const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a conditional write, after which its outcome is read back.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a whole change, with all reads and writes that it takes.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between polls of the fleet row.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Default maximum number of calls in flight.
pub const MAX_IN_FLIGHT: usize = 16;
/// Number of consecutive failures that open the circuit breaker.
pub const BREAKER_THRESHOLD: u32 = 5;
/// Time between probes while the circuit breaker is open.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Why a call was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Refusal {
    /// Too many calls are in flight.
    Full,
    /// The circuit breaker is open and no probe is due.
    Open,
}

/// Admits calls to the store, within a concurrency limit and a circuit breaker.
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
    /// Creates a gate with [`MAX_IN_FLIGHT`] and a closed circuit breaker.
    pub fn new() -> Gate {
        Gate { max_in_flight: MAX_IN_FLIGHT, in_flight: 0, failures: 0, next_probe: Time::ZERO }
    }

    /// Sets the maximum number of calls in flight.
    pub fn with_max_in_flight(mut self, max_in_flight: usize) -> Gate {
        self.max_in_flight = max_in_flight;
        self
    }

    /// Admits a call, which has to be ended by `record_success` or `record_failure`.
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

    /// Ends a call that was answered; closes the circuit breaker.
    pub fn record_success(&mut self) {
        self.in_flight -= 1;
        self.failures = 0;
    }

    /// Ends a call that was not answered, or was answered with an outage.
    pub fn record_failure(&mut self, now: Time) {
        self.in_flight -= 1;
        self.failures = self.failures.saturating_add(1);
        if self.failures == BREAKER_THRESHOLD {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Whether the circuit breaker is open because the last calls failed.
    pub fn is_open(&self) -> bool {
        self.failures >= BREAKER_THRESHOLD
    }
}
