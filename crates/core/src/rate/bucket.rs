//! A host's token bucket for one client account.
//!
//! Invariant: the level and the tokens lent within [`LOAN_LIFETIME`] together never exceed the
//! share of the burst. A borrower uses a loan only within that lifetime after its request, and the
//! lender deducted the tokens after the request was sent, so tokens in flight are counted on
//! exactly one side. Tokens beyond the borrower's own capacity are for requests that wait, and are
//! dropped at the end of that lifetime. A lender that knows earlier that a loan has arrived or is
//! lost ends it with [`Bucket::end_loans`]. Summed over hosts, the usable tokens never exceed the
//! burst.

use crate::id::{HostId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Time after the request for a loan within which the borrower may use it.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(100);
/// Micro-tokens per token: a share of a small rate is a fraction of a token per second.
pub const MICRO: u64 = 1_000_000;

/// Number of micro-tokens.
pub type Amount = u64;

/// A token bucket that lends tokens to other hosts.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Amount,
    burst: Amount,
    level: Amount,
    refilled_at: Time,
    lent: VecDeque<Loan>,
    /// Expiry of the first borrowed loan that exceeds the capacity.
    excess_deadline: Time,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    borrower: HostId,
    amount: Amount,
    deadline: Time,
}

impl Bucket {
    /// Creates an empty bucket, since an earlier incarnation of this host may have just spent its
    /// share.
    pub fn new(now: Time) -> Bucket {
        Bucket {
            rate: 0,
            burst: 0,
            level: 0,
            refilled_at: now,
            lent: VecDeque::new(),
            excess_deadline: now,
        }
    }

    /// Sets the share of the rate, per second, and of the burst from `now` on, in micro-tokens.
    pub fn set_share(&mut self, rate: Amount, burst: Amount, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity());
    }

    /// Adds micro-tokens from outside the rate, up to the capacity.
    pub fn add(&mut self, amount: Amount, now: Time) {
        self.refill(now);
        let filled = self.level.saturating_add(amount).min(self.capacity());
        self.level = self.level.max(filled);
    }

    /// Takes one token; returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let has_token = self.level >= MICRO;
        if has_token {
            self.level -= MICRO;
        }
        has_token
    }

    /// Lends up to `count` whole tokens to `borrower`; returns the number of tokens.
    pub fn lend(&mut self, borrower: HostId, count: u32, now: Time) -> u32 {
        self.refill(now);
        let lent = u64::from(count).min(self.level / MICRO);
        if lent == 0 {
            return 0;
        }
        self.level -= lent * MICRO;
        let deadline = now + LOAN_LIFETIME;
        self.lent.push_back(Loan { borrower, amount: lent * MICRO, deadline });
        u32::try_from(lent).expect("not above a count that is a u32")
    }

    /// Ends all loans to `borrower`: they have arrived, within its own capacity, or are lost.
    pub fn end_loans(&mut self, borrower: HostId, now: Time) {
        self.refill(now);
        self.lent.retain(|loan| loan.borrower != borrower);
    }

    /// Whether borrowed tokens exceed the capacity; these are for requests that wait.
    pub fn has_excess(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level > self.capacity()
    }

    /// Adds a loan of `count` tokens that was requested at `requested`; tokens beyond the capacity
    /// are lost.
    ///
    /// `waiting` tokens may be taken at once and so may exceed the capacity. Returns whether the
    /// loan was still valid.
    pub fn receive(&mut self, count: u32, waiting: u32, requested: Time, now: Time) -> bool {
        if now.saturating_sub(requested) > LOAN_LIFETIME {
            return false;
        }
        self.refill(now);
        let deadline = requested + LOAN_LIFETIME;
        let has_excess = self.level > self.capacity();
        self.excess_deadline =
            if has_excess { self.excess_deadline.min(deadline) } else { deadline };
        let room = self.capacity() + u64::from(waiting) * MICRO;
        self.level = (self.level + u64::from(count) * MICRO).min(room);
        true
    }

    /// Drops tokens beyond the capacity that no waiting request took.
    fn drop_excess(&mut self) {
        self.level = self.level.min(self.capacity());
    }

    /// Number of whole tokens available.
    pub fn tokens(&mut self, now: Time) -> u32 {
        self.refill(now);
        u32::try_from(self.level / MICRO).unwrap_or(u32::MAX)
    }

    /// Number of whole tokens that can be added before the capacity is reached.
    pub fn room(&self) -> u32 {
        u32::try_from(self.capacity().saturating_sub(self.level) / MICRO).unwrap_or(u32::MAX)
    }

    /// Share of the rate, per second, and of the burst, in micro-tokens.
    pub fn share(&self) -> (Amount, Amount) {
        (self.rate, self.burst)
    }

    /// Time until one token is available without loans; `None` if the share never yields one.
    pub fn next_token(&mut self, now: Time) -> Option<Duration> {
        self.refill(now);
        let missing = MICRO.saturating_sub(self.level);
        let micros = (missing * MICRO).div_ceil(self.rate.max(1));
        (self.rate > 0 && self.burst >= MICRO).then(|| Duration::from_micros(micros))
    }

    fn capacity(&self) -> Amount {
        let lent: Amount = self.lent.iter().map(|loan| loan.amount).sum();
        self.burst.saturating_sub(lent)
    }

    /// Refills the level up to `now`.
    ///
    /// Capacity freed by the expiry of a loan fills only from that time on, so each interval
    /// between two expiries is computed separately.
    fn refill(&mut self, now: Time) {
        while let Some(loan) = self.lent.front().copied().filter(|loan| loan.deadline <= now) {
            self.refill_until(loan.deadline);
            self.lent.pop_front();
        }
        self.refill_until(now);
        if now > self.excess_deadline {
            self.drop_excess();
        }
    }

    fn refill_until(&mut self, end: Time) {
        let elapsed = end.saturating_sub(self.refilled_at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let gained = u128::from(self.rate) * u128::from(micros) / u128::from(MICRO);
        let gained = Amount::try_from(gained).unwrap_or(Amount::MAX);
        if gained > 0 || self.rate == 0 {
            let refilled = self.level.saturating_add(gained).min(self.capacity());
            self.level = self.level.max(refilled);
            self.refilled_at = self.refilled_at.max(end);
        }
    }
}
