//! Retry policy and retry budgets for requests that are safe to send again.
//!
//! Retries end at the caller's deadline, and each attempt has a timeout of its own. All retries of
//! a client account at a service share a budget that its requests earn: if every request fails,
//! retries add at most a fifth to the load.

use crate::id::{AccountId, ServiceId, Time};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a request was retried; each reason has its own counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The target's data did not cover the session token, or was too old.
    NotFresh,
    /// The connection broke or went silent, before or during a request that can be retried.
    ConnectionLost,
    /// The target refused a new connection.
    ConnectionRefused,
    /// The attempt timed out.
    TryTimeout,
    /// The target failed to execute the request.
    TargetFailed,
    /// The target is no longer the primary.
    Superseded,
    /// Writes were held for a planned promotion.
    WritesHeld,
}

impl Reason {
    /// All reasons, in declaration order.
    pub const ALL: [Reason; 7] = [
        Reason::NotFresh,
        Reason::ConnectionLost,
        Reason::ConnectionRefused,
        Reason::TryTimeout,
        Reason::TargetFailed,
        Reason::Superseded,
        Reason::WritesHeld,
    ];
}

/// Retries that each new request adds to its budget.
const BUDGET_RATIO: f64 = 0.2;
/// Maximum number of retries that a budget can hold.
const BUDGET_CAPACITY: f64 = 20.0;
/// Retries per second that a budget gains without requests, so that infrequent callers can retry.
const BUDGET_REFILL: f64 = 1.0;

/// Timeouts, delays and number of attempts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Time in which a healthy target starts to respond, or answers a short query.
    pub attempt_timeout: Duration,
    /// Delay before the first retry; doubles with each further one.
    pub base_delay: Duration,
    /// Maximum delay before a retry.
    pub max_delay: Duration,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            attempt_timeout: Duration::from_millis(500),
            base_delay: Duration::from_millis(10),
            max_delay: Duration::from_millis(200),
            max_attempts: 32,
        }
    }
}

impl Policy {
    /// Deadline for the first response in an attempt that starts at `now`.
    pub fn attempt_deadline(&self, now: Time, deadline: Time) -> Time {
        deadline.min(now + self.attempt_timeout)
    }

    /// Deadline for the result of a statement that starts at `now`, and may run long.
    ///
    /// Leaves half of the time until `deadline` for another attempt, but allows at least the
    /// attempt timeout.
    pub fn statement_deadline(&self, now: Time, deadline: Time) -> Time {
        let half = deadline.saturating_sub(now) / 2;
        deadline.min(now + half.max(self.attempt_timeout))
    }

    /// Delay before retry number `retry`, counted from 1; `random` jitters its upper half.
    pub fn retry_delay(&self, retry: u32, random: u64) -> Duration {
        let doublings = retry.saturating_sub(1).min(16);
        let full = self.max_delay.min(self.base_delay * (1 << doublings));
        let half = full / 2;
        let fraction = (random >> 11) as f64 / (1u64 << 53) as f64;
        half + half.mul_f64(fraction)
    }
}

impl Reason {
    /// Whether a retry for this reason consumes budget.
    ///
    /// A target that lags, or that holds writes for a planned promotion, is healthy: such retries
    /// are limited only by the deadline and their delays.
    pub fn is_budgeted(self) -> bool {
        !matches!(self, Reason::NotFresh | Reason::WritesHeld)
    }
}

/// Token bucket of the retries that one client account has left at one service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Budget {
    retries: f64,
    refilled_at: Time,
}

impl Budget {
    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.retries = BUDGET_CAPACITY.min(self.retries + elapsed * BUDGET_REFILL);
        self.refilled_at = now;
    }
}

/// Retry budgets by service and client account.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    budgets: BTreeMap<(ServiceId, AccountId), Budget>,
}

impl Budgets {
    /// Creates budgets that all start full.
    pub fn new() -> Budgets {
        Budgets::default()
    }

    /// Records a new request, which adds `BUDGET_RATIO` to the budget.
    pub fn deposit(&mut self, service: ServiceId, account: AccountId, now: Time) {
        let budget = self.budget(service, account, now);
        budget.retries = BUDGET_CAPACITY.min(budget.retries + BUDGET_RATIO);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn withdraw(&mut self, service: ServiceId, account: AccountId, now: Time) -> bool {
        let budget = self.budget(service, account, now);
        if budget.retries < 1.0 {
            return false;
        }
        budget.retries -= 1.0;
        true
    }

    fn budget(&mut self, service: ServiceId, account: AccountId, now: Time) -> &mut Budget {
        let full = Budget { retries: BUDGET_CAPACITY, refilled_at: now };
        let budget = self.budgets.entry((service, account)).or_insert(full);
        budget.refill(now);
        budget
    }
}
