//! Whose request gets the next free connection.
//!
//! Start-time fair queuing between client accounts: each account has a tag in virtual time, which
//! grows by the time that its requests hold connections, divided by its weight; the account with
//! the lowest tag is served next. An account that waits is thus served its weighted max-min share
//! of the connection time, what others leave unused goes to those who wait, and time that an
//! account has not used earlier counts for nothing. The holding time is unknown when a request is
//! served; it is charged as the mean of late, and corrected when the request ends.
//!
//! A request that is certain to miss its deadline in the queue is refused on arrival, from the
//! queue before it under this very order and the observed mean.

use crate::id::{AccountId, RequestId, Time};
use crate::refusal::Reason;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Weight of the newest holding time in the mean, as a divisor.
const MEAN_SHARE: u32 = 16;
/// Virtual nanoseconds of one nanosecond at weight one.
const SCALE: i128 = 1 << 10;

/// A request that waits for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: RequestId,
    /// Who pays.
    pub account: AccountId,
    /// The account's weight.
    pub weight: u32,
    /// When waiting is of no use any more.
    pub deadline: Time,
}

/// A request whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub request: RequestId,
    /// What it is charged until its end is known.
    pub charge: Charge,
}

/// What a running request was charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Who pays.
    pub account: AccountId,
    /// Holding time charged in advance.
    pub estimate: Duration,
}

/// Order in which accounts are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Weighted max-min.
    Fair,
    /// First come, first served.
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
    /// An empty queue that holds at most `max_per_account` requests of one account.
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

    /// The same queue with another order.
    pub fn with_order(mut self, order: Order) -> Queue {
        self.order = order;
        self
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.accounts.values().map(|account| account.waiting.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.accounts.values().all(|account| account.waiting.is_empty())
    }

    /// Queues a request for one of `slots` connections, unless it would wait in vain.
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

    /// Time until `waiter` would be served, as far as the mean tells.
    pub fn expected_wait(&self, waiter: &Waiter, slots: usize) -> Duration {
        let Some(mean) = self.mean else { return Duration::ZERO };
        let own = self.accounts.get(&waiter.account).map_or(0, |a| a.waiting.len());
        let others = self.accounts.iter().filter(|(id, _)| **id != waiter.account);
        let share = |account: &Account| match self.order {
            Order::Arrival => account.waiting.len(),
            Order::Fair => {
                let turns = (own + 1) * account.weight as usize / waiter.weight.max(1) as usize;
                account.waiting.len().min(turns)
            }
        };
        let before: usize = own + others.map(|(_, account)| share(account)).sum::<usize>();
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
        mean.saturating_mul(before) / slots
    }

    /// Takes the next request.
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
        account.tag = start + scaled(estimate, account.weight);
        account.running += 1;
        self.virtual_time = start.max(virtual_time);
        Some(Grant { request: waiter.request, charge: Charge { account: id, estimate } })
    }

    /// A request that had its turn has ended after holding a connection for `held`.
    pub fn record_end(&mut self, charge: Charge, held: Duration) {
        // Rises from nothing, so that a few slow requests do not turn others away.
        let mean = self.mean.unwrap_or_default();
        self.mean = Some((mean * (MEAN_SHARE - 1) + held) / MEAN_SHARE);
        if let Some(account) = self.accounts.get_mut(&charge.account) {
            account.tag += scaled(held, account.weight) - scaled(charge.estimate, account.weight);
            account.running = account.running.saturating_sub(1);
        }
        self.prune();
    }

    /// A request that had its turn got no connection: nothing is charged.
    pub fn refund(&mut self, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.account) {
            account.tag -= scaled(charge.estimate, account.weight);
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Removes the requests whose deadline has come.
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

    /// Removes a request that waits no more; says whether it did wait.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.len();
        for account in self.accounts.values_mut() {
            account.waiting.retain(|(_, waiter)| waiter.request != request);
        }
        self.len() < before
    }

    /// Forgets accounts that have nothing here and no debt.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty() || account.running > 0 || account.tag > virtual_time
        });
    }
}

fn scaled(time: Duration, weight: u32) -> i128 {
    let nanoseconds = i128::try_from(time.as_nanos()).unwrap_or(i128::MAX / SCALE);
    nanoseconds * SCALE / i128::from(weight.max(1))
}
