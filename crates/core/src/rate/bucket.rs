//! A host's tokens of one client account.
//!
//! Invariant: the level and the tokens lent within [`LOAN_LIFETIME`] together never exceed the
//! part of the burst. A borrower counts a loan only within that lifetime after it asked, and the
//! lender deducted later than that, so tokens on their way stand in exactly one account. What the
//! borrower's own capacity cannot hold is for requests that wait, and is dropped at the end of that
//! lifetime. A lender that knows sooner that a loan has arrived or is lost ends it with
//! [`Bucket::end_loans`]. Summed over hosts, the usable tokens never exceed the burst.

use crate::id::{HostId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Time after asking within which a loan counts.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(100);
/// Fine units of a token: a part of a small rate is a fraction of a token a second.
pub const MICRO: u64 = 1_000_000;

/// Amount of micro-tokens.
pub type Amount = u64;

/// A token bucket that lends.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Amount,
    burst: Amount,
    level: Amount,
    at: Time,
    lent: VecDeque<Loan>,
    /// End of the first loan that stands above the capacity.
    excess_until: Time,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    borrower: HostId,
    amount: Amount,
    until: Time,
}

impl Bucket {
    /// An empty bucket: an earlier run of this host may have just spent its part.
    pub fn new(now: Time) -> Bucket {
        Bucket { rate: 0, burst: 0, level: 0, at: now, lent: VecDeque::new(), excess_until: now }
    }

    /// Sets the part of rate, per second, and burst from `now` on.
    pub fn set_share(&mut self, rate: Amount, burst: Amount, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity());
    }

    /// Adds tokens that no part of the rate gave, as far as they fit.
    pub fn add(&mut self, amount: Amount, now: Time) {
        self.refill(now);
        let filled = self.level.saturating_add(amount).min(self.capacity());
        self.level = self.level.max(filled);
    }

    /// Takes one token.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let enough = self.level >= MICRO;
        if enough {
            self.level -= MICRO;
        }
        enough
    }

    /// Takes up to `count` whole tokens out for a borrower.
    pub fn lend(&mut self, borrower: HostId, count: u32, now: Time) -> u32 {
        self.refill(now);
        let lent = u64::from(count).min(self.level / MICRO);
        if lent == 0 {
            return 0;
        }
        self.level -= lent * MICRO;
        let until = now + LOAN_LIFETIME;
        self.lent.push_back(Loan { borrower, amount: lent * MICRO, until });
        u32::try_from(lent).expect("not above a count that is a u32")
    }

    /// All loans to `borrower` have arrived, within its own capacity, or are lost.
    pub fn end_loans(&mut self, borrower: HostId, now: Time) {
        self.refill(now);
        self.lent.retain(|loan| loan.borrower != borrower);
    }

    /// Whether loans stand here above the capacity, for requests that wait.
    pub fn has_excess(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level > self.capacity()
    }

    /// Adds a loan asked for at `asked`; what exceeds the capacity is lost.
    ///
    /// `waiting` tokens may be taken at once and so do not have to fit. Answers whether the loan
    /// was still good.
    pub fn receive(&mut self, count: u32, waiting: u32, asked: Time, now: Time) -> bool {
        if now.saturating_sub(asked) > LOAN_LIFETIME {
            return false;
        }
        self.refill(now);
        let until = asked + LOAN_LIFETIME;
        let has_excess = self.level > self.capacity();
        self.excess_until = if has_excess { self.excess_until.min(until) } else { until };
        let room = self.capacity() + u64::from(waiting) * MICRO;
        self.level = (self.level + u64::from(count) * MICRO).min(room);
        true
    }

    /// Drops what does not fit once the waiting requests have taken theirs.
    fn drop_excess(&mut self) {
        self.level = self.level.min(self.capacity());
    }

    /// Whole tokens at hand.
    pub fn tokens(&mut self, now: Time) -> u32 {
        self.refill(now);
        u32::try_from(self.level / MICRO).unwrap_or(u32::MAX)
    }

    /// Whole tokens that fit.
    pub fn room(&self) -> u32 {
        u32::try_from(self.capacity().saturating_sub(self.level) / MICRO).unwrap_or(u32::MAX)
    }

    /// Part of rate, per second, and burst.
    pub fn share(&self) -> (Amount, Amount) {
        (self.rate, self.burst)
    }

    /// Time until one token is there, without loans; none when none will be.
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

    /// Brings the level up to `now`.
    ///
    /// Capacity that ended loans free is filled only from when it came free, so each span between
    /// two ends is counted on its own.
    fn refill(&mut self, now: Time) {
        while let Some(loan) = self.lent.front().copied().filter(|loan| loan.until <= now) {
            self.grow(loan.until);
            self.lent.pop_front();
        }
        self.grow(now);
        if now > self.excess_until {
            self.drop_excess();
        }
    }

    fn grow(&mut self, until: Time) {
        let elapsed = until.saturating_sub(self.at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let gained = u128::from(self.rate) * u128::from(micros) / u128::from(MICRO);
        let gained = Amount::try_from(gained).unwrap_or(Amount::MAX);
        if gained > 0 || self.rate == 0 {
            let grown = self.level.saturating_add(gained).min(self.capacity());
            self.level = self.level.max(grown);
            self.at = self.at.max(until);
        }
    }
}
