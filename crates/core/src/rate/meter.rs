//! Admission of requests against the rates of their client accounts.
//!
//! A request takes a token of its host's bucket. Without one it waits for a loan, at most
//! [`MAX_LOAN_WAIT`] and only while some peer may have tokens; a peer that had none is not asked again
//! for [`LENDER_RETRY_DELAY`]. A host whose tokens run low asks ahead, so that most requests do not wait. It
//! asks no more peers than it can keep tokens of: what neither waits for nor fits is lost to all.
//!
//! A borrower asks a peer again only after the answer before it was taken or given up, and only
//! while no borrowed token stands above its capacity. So an ask tells the lender that all earlier
//! loans to this borrower have arrived or are lost, and that it may fill their room again. Asks
//! carry a sequence number: one that was overtaken tells nothing.

use super::bucket::{Amount, Bucket, MICRO};
use crate::id::{AccountId, HostId, Time};
use crate::peer::TokenRequest;
use crate::share::Share;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that a request may wait for a loan.
pub const MAX_LOAN_WAIT: Duration = Duration::from_millis(60);
/// Time for which a peer without tokens is not asked again.
pub const LENDER_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Time that a loan should last at the present demand.
const BORROW_HORIZON: Duration = Duration::from_millis(50);
/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Requests of one client account that may wait for a loan.
const MAX_WAITING: u32 = 1024;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Admitted; a token was taken.
    Admit,
    /// Waits for a loan; decide again when one arrived, and at this time at the latest.
    Wait(Time),
    /// Refused; asking again makes sense after this time.
    Refuse(Duration),
}

/// A loan to ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// Whose tokens.
    pub account: AccountId,
    /// Whom to ask.
    pub peer: HostId,
    /// Tokens wanted.
    pub count: u32,
    /// Number among this run's asks.
    pub sequence: u64,
}

/// Rates of all client accounts at one host.
#[derive(Debug, Clone)]
pub struct Meter {
    settle: Duration,
    lending: bool,
    peers: BTreeSet<HostId>,
    accounts: BTreeMap<AccountId, State>,
    sequence: u64,
}

#[derive(Debug, Clone)]
struct State {
    rate: Share,
    burst: Share,
    bucket: Bucket,
    /// Who may have tokens; all peers if empty.
    holders: BTreeSet<HostId>,
    waiting: u32,
    demand: Demand,
    lenders: BTreeMap<HostId, Lender>,
    /// Highest sequence number heard of each borrower.
    heard: BTreeMap<HostId, u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Lender {
    /// Tokens asked for and not answered yet.
    asked: u32,
    /// Number of the last ask; an answer to an earlier one is lost.
    sequence: u64,
    retry_at: Time,
    /// Whether the last answer brought tokens.
    gave: bool,
}

/// Requests a second, as an exponential average.
#[derive(Debug, Clone, Copy)]
struct Demand {
    per_second: f64,
    at: Time,
}

impl Demand {
    fn record(&mut self, now: Time) {
        let window = DEMAND_WINDOW.as_secs_f64();
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_second = self.per_second * (-elapsed / window).exp() + 1.0 / window;
        self.at = now;
    }

    /// Requests expected within `span`.
    fn within(&self, span: Duration) -> u32 {
        (self.per_second * span.as_secs_f64()).ceil() as u32
    }
}

impl Meter {
    /// No client account yet. `settle` is the lifetime of authority with its margin; without
    /// `lending` every host has its fixed part.
    pub fn new(settle: Duration, lending: bool) -> Meter {
        Meter { settle, lending, peers: BTreeSet::new(), accounts: BTreeMap::new(), sequence: 0 }
    }

    /// Sets whom loans are asked of.
    pub fn set_peers(&mut self, peers: BTreeSet<HostId>) {
        for state in self.accounts.values_mut() {
            state.lenders.retain(|host, _| peers.contains(host));
        }
        self.peers = peers;
    }

    /// Sets which hosts have parts of an account's rate, so that only they are asked for loans.
    pub fn set_holders(&mut self, account: AccountId, holders: BTreeSet<HostId>) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.holders = holders;
        }
    }

    /// Sets this host's part of an account's rate, per second, and burst, in micro-tokens.
    pub fn set_share(&mut self, account: AccountId, rate: Amount, burst: Amount, now: Time) {
        let settle = self.settle;
        let state = self.accounts.entry(account).or_insert_with(|| State::new(settle, now));
        state.rate.update(rate, now);
        state.burst.update(burst, now);
        state.refresh(now);
    }

    /// As [`Meter::set_share`]; an account that is new here has its part at once, with `opening`
    /// micro-tokens.
    ///
    /// For a host that had the same part before, or an account that is new to all hosts. What
    /// `opening` adds to the account's burst, summed over hosts and runs, is the caller's to bound.
    pub fn open_share(
        &mut self,
        account: AccountId,
        rate: Amount,
        burst: Amount,
        opening: Amount,
        now: Time,
    ) {
        let settle = self.settle;
        let state = self.accounts.entry(account).or_insert_with(|| {
            let mut state = State::new(settle, now);
            state.rate = Share::with_value(settle, rate);
            state.burst = Share::with_value(settle, burst);
            state.refresh(now);
            state.bucket.add(opening, now);
            state
        });
        state.rate.update(rate, now);
        state.burst.update(burst, now);
        state.refresh(now);
    }

    /// Puts the token of a request back that was admitted and then certainly did not run.
    pub fn refund(&mut self, account: AccountId, now: Time) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.bucket.add(MICRO, now);
        }
    }

    /// Notes that a division of the rates was missed.
    pub fn record_missed_division(&mut self, now: Time) {
        for state in self.accounts.values_mut() {
            state.rate.record_missed_division(now);
            state.burst.record_missed_division(now);
            state.refresh(now);
        }
    }

    /// Forgets accounts that are not in `known`.
    pub fn retain(&mut self, known: impl Fn(AccountId) -> bool) {
        self.accounts.retain(|account, _| known(*account));
    }

    /// Takes up parts that have come into force; to be called a few times a second.
    pub fn tick(&mut self, now: Time) {
        for state in self.accounts.values_mut() {
            state.refresh(now);
        }
    }

    /// Decides about a request that has just come.
    pub fn request(&mut self, account: AccountId, now: Time) -> Decision {
        let Some(state) = self.accounts.get_mut(&account) else {
            return Decision::Refuse(MAX_LOAN_WAIT);
        };
        state.demand.record(now);
        state.refresh(now);
        // Waiting requests go first: an arrival must not pass them.
        if state.waiting == 0 && state.bucket.take(now) {
            return Decision::Admit;
        }
        let may_come = self.lending && state.may_get_token(&self.peers, now);
        if !may_come || state.waiting >= MAX_WAITING {
            return state.refuse(now);
        }
        state.waiting += 1;
        Decision::Wait(now + MAX_LOAN_WAIT)
    }

    /// Decides again about a request that waits since before `until`.
    pub fn retry(&mut self, account: AccountId, until: Time, now: Time) -> Decision {
        let Some(state) = self.accounts.get_mut(&account) else {
            return Decision::Refuse(MAX_LOAN_WAIT);
        };
        state.refresh(now);
        if state.bucket.take(now) {
            state.waiting = state.waiting.saturating_sub(1);
            return Decision::Admit;
        }
        if now < until && state.may_get_token(&self.peers, now) {
            return Decision::Wait(until);
        }
        state.waiting = state.waiting.saturating_sub(1);
        state.refuse(now)
    }

    /// A request that waited is gone with its caller.
    pub fn abandon(&mut self, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }

    /// Loans to ask for now; each is marked as asked until [`Meter::receive`].
    pub fn loan_requests(&mut self, account: AccountId, now: Time) -> Vec<LoanRequest> {
        if !self.lending {
            return Vec::new();
        }
        let Some(state) = self.accounts.get_mut(&account) else { return Vec::new() };
        state.refresh(now);
        let missing = state.tokens_to_borrow(now);
        if missing == 0 {
            return Vec::new();
        }
        let lenders = state.lenders_to_ask(&self.peers, self.sequence, now);
        let each = missing.div_ceil(u32::try_from(lenders.len()).unwrap_or(1).max(1));
        let mut asks = Vec::new();
        for peer in lenders {
            self.sequence += 1;
            let lender = state.lenders.entry(peer).or_default();
            lender.asked = each;
            lender.sequence = self.sequence;
            asks.push(LoanRequest { account, peer, count: each, sequence: self.sequence });
        }
        asks
    }

    /// Takes the answer to an ask sent at `asked`; no answer counts as zero.
    pub fn receive(&mut self, ask: LoanRequest, count: u32, asked: Time, now: Time) {
        let Some(state) = self.accounts.get_mut(&ask.account) else { return };
        let lender = state.lenders.entry(ask.peer).or_default();
        if lender.sequence != ask.sequence {
            return;
        }
        lender.asked = 0;
        lender.gave = count > 0;
        if count == 0 {
            lender.retry_at = now + LENDER_RETRY_DELAY;
        }
        if count > 0 {
            state.bucket.receive(count, state.waiting, asked, now);
        }
    }

    /// Lends tokens to a peer: half of what is here, more when there is little demand.
    pub fn lend(&mut self, request: &TokenRequest, now: Time) -> u32 {
        let Some(state) = self.accounts.get_mut(&request.account) else { return 0 };
        state.refresh(now);
        state.record_request(request, now);
        if !self.lending || state.waiting > 0 {
            return 0;
        }
        let tokens = state.bucket.tokens(now);
        let kept = state.demand_now(now).min(tokens / 2);
        state.bucket.lend(request.host, request.count.min(tokens - kept), now)
    }

    /// Part of rate, per second, and burst of an account at this host, in micro-tokens.
    pub fn share(&self, account: AccountId) -> (Amount, Amount) {
        self.accounts.get(&account).map(|state| state.bucket.share()).unwrap_or_default()
    }
}

impl State {
    fn new(settle: Duration, now: Time) -> State {
        State {
            rate: Share::new(settle),
            burst: Share::new(settle),
            bucket: Bucket::new(now),
            holders: BTreeSet::new(),
            waiting: 0,
            demand: Demand { per_second: 0.0, at: now },
            lenders: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Ends the loans that the borrower had before this ask, unless the ask was overtaken.
    fn record_request(&mut self, request: &TokenRequest, now: Time) {
        let heard = self.heard.entry(request.host).or_default();
        if request.sequence > *heard {
            *heard = request.sequence;
            self.bucket.end_loans(request.host, now);
        }
    }

    fn refresh(&mut self, now: Time) {
        let part = (self.rate.usable(now), self.burst.usable(now));
        if part != self.bucket.share() {
            self.bucket.set_share(part.0, part.1, now);
        }
    }

    /// Whether a token may come in time: by a loan, or by the bucket's own part of the rate.
    fn may_get_token(&mut self, peers: &BTreeSet<HostId>, now: Time) -> bool {
        let asked = self.lenders.values().any(|lender| lender.asked > 0);
        asked || self.ready_lenders(peers, now).next().is_some() || self.refills_in_time(now)
    }

    /// Peers that may have tokens and can be asked now.
    fn ready_lenders(&self, peers: &BTreeSet<HostId>, now: Time) -> impl Iterator<Item = HostId> {
        let may_have = |peer: &&HostId| self.holders.is_empty() || self.holders.contains(*peer);
        peers.iter().filter(may_have).copied().filter(move |peer| self.is_ready(*peer, now))
    }

    /// Whom to ask: those that gave last time first, then in turns, as many as this host can keep
    /// tokens of.
    fn lenders_to_ask(&self, peers: &BTreeSet<HostId>, turn: u64, now: Time) -> Vec<HostId> {
        let mut ready: Vec<HostId> = self.ready_lenders(peers, now).collect();
        let count = ready.len();
        if count == 0 {
            return ready;
        }
        ready.rotate_left(usize::try_from(turn).unwrap_or(0) % count);
        ready.sort_by_key(|peer| !self.lenders.get(peer).is_some_and(|lender| lender.gave));
        let kept = self.waiting + self.bucket.room();
        ready.truncate(usize::try_from(kept).unwrap_or(usize::MAX).max(1));
        ready
    }

    /// Whether the requests that wait, and one more, get tokens of the bucket's own in time.
    fn refills_in_time(&mut self, now: Time) -> bool {
        let rate = self.bucket.share().0;
        let next = self.bucket.next_token(now);
        let behind = Duration::from_micros(micro(self.waiting) * MICRO / rate.max(1));
        next.is_some_and(|next| next + behind <= MAX_LOAN_WAIT)
    }

    fn is_ready(&self, peer: HostId, now: Time) -> bool {
        let lender = self.lenders.get(&peer).copied().unwrap_or_default();
        lender.asked == 0 && lender.retry_at <= now
    }

    fn demand_now(&self, now: Time) -> u32 {
        let mut demand = self.demand;
        let elapsed = now.saturating_sub(demand.at).as_secs_f64();
        demand.per_second *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        demand.within(BORROW_HORIZON)
    }

    /// Tokens to borrow: for those that wait, and ahead when the level is low.
    fn tokens_to_borrow(&mut self, now: Time) -> u32 {
        // An ask would end loans that still stand above the capacity.
        if self.bucket.has_excess(now) {
            return 0;
        }
        let tokens = self.bucket.tokens(now);
        let ahead = self.demand_now(now);
        let short = ahead.saturating_sub(tokens).min(self.bucket.room());
        let low = self.waiting > 0 || tokens < ahead.div_ceil(2);
        let asked: u32 = self.lenders.values().map(|lender| lender.asked).sum();
        if low { (self.waiting + short).saturating_sub(asked) } else { 0 }
    }

    fn refuse(&mut self, now: Time) -> Decision {
        Decision::Refuse(self.bucket.next_token(now).unwrap_or(Duration::from_secs(1)))
    }
}

/// Micro-tokens in `count` tokens.
pub fn micro(count: u32) -> Amount {
    u64::from(count) * MICRO
}
