//! Retries of requests that are safe to send again.
//!
//! A retry stays within the caller's deadline, each try within a deadline of its own, and all of a
//! client account's retries at a service within a budget that its requests earn: when everything
//! fails, retries add a fifth to the load and no more.

use crate::id::{AccountId, ServiceId, Time};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a request was sent again; each has a counter of its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The target did not cover the token or the stated age.
    NotFresh,
    /// The connection broke, or went silent, before or during a repeatable request.
    ConnectionLost,
    /// The target refused a new connection.
    ConnectionRefused,
    /// One try's deadline ran out.
    TryTimeout,
    /// The target failed the work itself.
    TargetFailed,
    /// The target is no longer the primary.
    Superseded,
    /// Writes were held for a planned promotion.
    WritesHeld,
}

impl Reason {
    /// Every reason, in order.
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

/// Share of requests that may be sent again, over time.
const BUDGET_RATIO: f64 = 0.2;
/// Retries that a budget holds at most.
const BUDGET_CAPACITY: f64 = 20.0;
/// Retries a second that a budget gains without any request, so that rare callers may retry too.
const BUDGET_REFILL: f64 = 1.0;

/// How a request is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Time in which a healthy target gives its first sign, or answers a short question.
    pub attempt_timeout: Duration,
    /// Delay before the first retry.
    pub base_delay: Duration,
    /// Longest delay before a retry.
    pub max_delay: Duration,
    /// Tries of one request.
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
    /// When a try that starts at `now` is given up without a first sign.
    pub fn attempt_deadline(&self, now: Time, deadline: Time) -> Time {
        deadline.min(now + self.attempt_timeout)
    }

    /// When a statement that was begun at `now`, and may take its time, is given up for another try.
    pub fn statement_deadline(&self, now: Time, deadline: Time) -> Time {
        let half = deadline.saturating_sub(now) / 2;
        deadline.min(now + half.max(self.attempt_timeout))
    }

    /// Delay before retry number `retry` (from 1), jittered over its upper half by `random`.
    pub fn retry_delay(&self, retry: u32, random: u64) -> Duration {
        let doublings = retry.saturating_sub(1).min(16);
        let full = self.max_delay.min(self.base_delay * (1 << doublings));
        let half = full / 2;
        let fraction = (random >> 11) as f64 / (1u64 << 53) as f64;
        half + half.mul_f64(fraction)
    }
}

impl Reason {
    /// Whether a retry takes from the budget.
    ///
    /// A target that was merely behind, or that holds writes back for a planned promotion, is
    /// healthy: such retries are bounded by the deadline and their delays alone.
    pub fn is_budgeted(self) -> bool {
        !matches!(self, Reason::NotFresh | Reason::WritesHeld)
    }
}

/// Retries that one client account has left at one service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Budget {
    tokens: f64,
    refilled: Time,
}

impl Budget {
    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = BUDGET_CAPACITY.min(self.tokens + elapsed * BUDGET_REFILL);
        self.refilled = now;
    }
}

/// Retry budgets by service and client account.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    budgets: BTreeMap<(ServiceId, AccountId), Budget>,
}

impl Budgets {
    /// Every budget full.
    pub fn new() -> Budgets {
        Budgets::default()
    }

    /// Notes a new request, which earns a part of a retry.
    pub fn deposit(&mut self, service: ServiceId, account: AccountId, now: Time) {
        let budget = self.budget(service, account, now);
        budget.tokens = BUDGET_CAPACITY.min(budget.tokens + BUDGET_RATIO);
    }

    /// Takes a retry; false when the budget is spent.
    pub fn withdraw(&mut self, service: ServiceId, account: AccountId, now: Time) -> bool {
        let budget = self.budget(service, account, now);
        if budget.tokens < 1.0 {
            return false;
        }
        budget.tokens -= 1.0;
        true
    }

    fn budget(&mut self, service: ServiceId, account: AccountId, now: Time) -> &mut Budget {
        let full = Budget { tokens: BUDGET_CAPACITY, refilled: now };
        let budget = self.budgets.entry((service, account)).or_insert(full);
        budget.refill(now);
        budget
    }
}
