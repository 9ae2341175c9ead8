//! Fair queue: which waiting request gets the next free connection.
//!
//! Start-time fair queuing between client accounts: each account has a tag in virtual time, which
//! advances by the time that its requests hold connections, divided by its weight. The account with
//! the lowest tag is served next. So each waiting account gets its weighted max-min share of the
//! connection time, time that some accounts leave unused goes to the waiting ones, and an account
//! gets no credit for time that it did not use earlier. The holding time is not known when a
//! request is served: the recent mean is charged, and corrected when the request ends.
//!
//! A request that would miss its deadline in the queue is refused on arrival. The wait is estimated
//! from the requests that would be served before it in this order, and the mean holding time.

use crate::id::{AccountId, RequestId, Time};
use crate::refusal::Reason;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Divisor that gives the weight of the newest holding time in the mean.
const MEAN_DIVISOR: u32 = 16;
/// Virtual time units per nanosecond at weight one; keeps precision when divided by a weight.
const SCALE: i128 = 1 << 10;

/// A request that waits for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// The request that waits.
    pub request: RequestId,
    /// The client account that is charged.
    pub account: AccountId,
    /// The account's weight; zero counts as one.
    pub weight: u32,
    /// Time at which the request leaves the queue without a connection.
    pub deadline: Time,
}

/// A request that gets the next connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The request that is served.
    pub request: RequestId,
    /// What its account is charged until its actual holding time is known.
    pub charge: Charge,
}

/// The provisional charge of a request that holds a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// The client account that is charged.
    pub account: AccountId,
    /// Estimated holding time that was charged in advance.
    pub estimate: Duration,
}

/// Order in which accounts are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Weighted max-min fairness between accounts.
    Fair,
    /// First come, first served, regardless of the account.
    Arrival,
}

#[derive(Debug, Default)]
struct Account {
    weight: u32,
    tag: i128,
    running: u32,
    waiting: VecDeque<(u64, Waiter)>,
}

/// Requests that wait for a connection to one target.
#[derive(Debug)]
pub struct Queue {
    order: Order,
    max_per_account: usize,
    virtual_time: i128,
    arrivals: u64,
    mean: Option<Duration>,
    accounts: BTreeMap<AccountId, Account>,
}

impl Queue {
    /// Creates an empty queue that holds at most `max_per_account` requests of one account.
    pub fn new(max_per_account: usize) -> Queue {
        Queue {
            order: Order::Fair,
            max_per_account,
            virtual_time: 0,
            arrivals: 0,
            mean: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the order in which accounts are served.
    pub fn with_order(mut self, order: Order) -> Queue {
        self.order = order;
        self
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.accounts.values().map(|account| account.waiting.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.accounts.values().all(|account| account.waiting.is_empty())
    }

    /// Queues a request for one of `slots` connections.
    ///
    /// Refuses it if its account has too many waiting requests, or if it is expected to wait beyond
    /// its deadline.
    pub fn push(&mut self, now: Time, waiter: Waiter, slots: usize) -> Result<(), Reason> {
        let waiting = self.accounts.get(&waiter.account).map_or(0, |a| a.waiting.len());
        if waiting >= self.max_per_account
            || now + self.expected_wait(&waiter, slots) > waiter.deadline
        {
            return Err(Reason::QueueFull);
        }
        self.arrivals += 1;
        let account = self.accounts.entry(waiter.account).or_default();
        account.weight = waiter.weight.max(1);
        account.waiting.push_back((self.arrivals, waiter));
        Ok(())
    }

    /// Estimated time until `waiter` would be served; zero until a holding time is known.
    pub fn expected_wait(&self, waiter: &Waiter, slots: usize) -> Duration {
        let Some(mean) = self.mean else { return Duration::ZERO };
        let own = self.accounts.get(&waiter.account).map_or(0, |a| a.waiting.len());
        let others = self.accounts.iter().filter(|(id, _)| **id != waiter.account);
        let share = |account: &Account| match self.order {
            Order::Arrival => account.waiting.len(),
            Order::Fair => {
                let turns_before =
                    (own + 1) * account.weight as usize / waiter.weight.max(1) as usize;
                account.waiting.len().min(turns_before)
            }
        };
        let before: usize = own + others.map(|(_, account)| share(account)).sum::<usize>();
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
        mean.saturating_mul(before) / slots
    }

    /// Removes the next request, and charges its account the mean holding time.
    pub fn pop(&mut self) -> Option<Grant> {
        let virtual_time = self.virtual_time;
        let waiting = self.accounts.iter().filter_map(|(id, account)| {
            let (arrival, _) = account.waiting.front()?;
            let start = match self.order {
                Order::Fair => account.tag.max(virtual_time),
                Order::Arrival => 0,
            };
            Some((start, *arrival, *id))
        });
        let (start, _, id) = waiting.min()?;
        let estimate = self.mean.unwrap_or_default();
        let account = self.accounts.get_mut(&id).expect("it has a waiting request");
        let (_, waiter) = account.waiting.pop_front().expect("it has a waiting request");
        account.tag = start + virtual_cost(estimate, account.weight);
        account.running += 1;
        self.virtual_time = start.max(virtual_time);
        Some(Grant { request: waiter.request, charge: Charge { account: id, estimate } })
    }

    /// Records the end of a served request that held a connection for `held`; corrects its charge.
    pub fn record_end(&mut self, charge: Charge, held: Duration) {
        // Starts at zero, so that a few slow requests at first do not cause others to be refused.
        let mean = self.mean.unwrap_or_default();
        self.mean = Some((mean * (MEAN_DIVISOR - 1) + held) / MEAN_DIVISOR);
        if let Some(account) = self.accounts.get_mut(&charge.account) {
            account.tag +=
                virtual_cost(held, account.weight) - virtual_cost(charge.estimate, account.weight);
            account.running = account.running.saturating_sub(1);
        }
        self.prune();
    }

    /// Reverses the charge of a request that was taken from the queue but got no connection.
    pub fn refund(&mut self, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.account) {
            account.tag -= virtual_cost(charge.estimate, account.weight);
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for account in self.accounts.values_mut() {
            account.waiting.retain(|(_, waiter)| {
                let keep = waiter.deadline > now;
                if !keep {
                    expired.push(waiter.request);
                }
                keep
            });
        }
        expired
    }

    /// Removes a request; true if it was waiting.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.len();
        for account in self.accounts.values_mut() {
            account.waiting.retain(|(_, waiter)| waiter.request != request);
        }
        self.len() < before
    }

    /// Removes accounts without requests whose tag is not ahead of virtual time.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty() || account.running > 0 || account.tag > virtual_time
        });
    }
}

fn virtual_cost(time: Duration, weight: u32) -> i128 {
    let nanoseconds = i128::try_from(time.as_nanos()).unwrap_or(i128::MAX / SCALE);
    nanoseconds * SCALE / i128::from(weight.max(1))
}
