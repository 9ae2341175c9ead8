//! Admission of requests against the rates of their client accounts.
//!
//! A request takes a token from its host's bucket. If there is none, it waits for a loan, at most
//! [`MAX_LOAN_WAIT`] and only while some peer may have tokens; a peer that had none is not asked
//! again for [`LENDER_RETRY_DELAY`]. A host with few tokens borrows in advance, so that most
//! requests do not wait. It requests loans from no more peers than the number of tokens that it can
//! use: a token that no request waits for and that exceeds the capacity is lost to all hosts.
//!
//! A borrower sends a peer another request only after the answer to the previous one was received
//! or given up, and only while no borrowed token exceeds its capacity. A request therefore means
//! to the lender that all earlier loans to this borrower have arrived or are lost, and that their
//! capacity may be refilled. Requests have sequence numbers, so that one that arrives after a
//! later one ends no loans.

use super::bucket::{Amount, Bucket, MICRO};
use crate::id::{AccountId, HostId, Time};
use crate::peer::TokenRequest;
use crate::share::Share;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest time that a request waits for a loan.
pub const MAX_LOAN_WAIT: Duration = Duration::from_millis(60);
/// Time for which a peer that had no tokens is not asked again.
pub const LENDER_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Time ahead for which tokens are borrowed, at the present demand.
const BORROW_HORIZON: Duration = Duration::from_millis(50);
/// Time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Requests of one client account that may wait for a loan.
const MAX_WAITING: u32 = 1024;

/// Longest time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Admitted; a token was taken.
    Admit,
    /// Waits for a loan; call [`Meter::retry`] when one arrives, and at this time at the latest.
    Wait(Time),
    /// Refused; a retry may succeed after this time.
    Refuse(Duration),
}

/// A loan to request from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// Account whose tokens are requested.
    pub account: AccountId,
    /// Lender.
    pub peer: HostId,
    /// Number of tokens requested.
    pub count: u32,
    /// Number of the request; grows within the incarnation.
    pub sequence: u64,
}

/// Rates of all client accounts at one host.
#[derive(Debug, Clone)]
pub struct Meter {
    growth_delay: Duration,
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
    /// Hosts that may have tokens; all peers if empty.
    holders: BTreeSet<HostId>,
    waiting: u32,
    /// Rate of one holder, in micro-tokens per second; zero if unknown.
    holder_rate: Amount,
    /// Time at which the last refused caller was told to retry.
    last_retry_at: Time,
    demand: Demand,
    lenders: BTreeMap<HostId, Lender>,
    /// Highest sequence number received from each borrower.
    last_sequences: BTreeMap<HostId, u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Lender {
    /// Tokens of the request in flight; zero if there is none.
    in_flight: u32,
    /// Number of the last request; answers to earlier ones are ignored.
    sequence: u64,
    retry_at: Time,
    /// Whether the last answer contained tokens.
    has_lent: bool,
}

/// Requests per second, as an exponential average.
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
    /// Creates a meter without accounts.
    ///
    /// `growth_delay` is the lifetime of authority plus its margin, after which a grown share may
    /// be used; without `lending` every host has only its fixed share.
    pub fn new(growth_delay: Duration, lending: bool) -> Meter {
        Meter {
            growth_delay,
            lending,
            peers: BTreeSet::new(),
            accounts: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Sets the peers that loans may be requested from.
    pub fn set_peers(&mut self, peers: BTreeSet<HostId>) {
        for state in self.accounts.values_mut() {
            state.lenders.retain(|host, _| peers.contains(host));
        }
        self.peers = peers;
    }

    /// Sets which hosts have a share of an account's rate; only these are asked for loans.
    pub fn set_holders(&mut self, account: AccountId, holders: BTreeSet<HostId>) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.holders = holders;
        }
    }

    /// Sets the rate of each holder of an account, in micro-tokens per second, from which a host
    /// without a share derives when a refused caller should retry.
    pub fn set_holder_rate(&mut self, account: AccountId, rate: Amount) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.holder_rate = rate;
        }
    }

    /// Sets this host's share of an account's rate, per second, and burst, in micro-tokens.
    pub fn set_share(&mut self, account: AccountId, rate: Amount, burst: Amount, now: Time) {
        let growth_delay = self.growth_delay;
        let state = self.accounts.entry(account).or_insert_with(|| State::new(growth_delay, now));
        state.rate.update(rate, now);
        state.burst.update(burst, now);
        state.refresh(now);
    }

    /// Like [`Meter::set_share`], but the share of an account that is new here is usable at once,
    /// and its bucket starts with `opening` micro-tokens.
    ///
    /// For a host that had the same share before, or an account that is new to all hosts. The
    /// caller must bound what `opening` adds to the account's burst, summed over hosts and
    /// incarnations.
    pub fn open_share(
        &mut self,
        account: AccountId,
        rate: Amount,
        burst: Amount,
        opening: Amount,
        now: Time,
    ) {
        let growth_delay = self.growth_delay;
        let state = self.accounts.entry(account).or_insert_with(|| {
            let mut state = State::new(growth_delay, now);
            state.rate = Share::with_value(growth_delay, rate);
            state.burst = Share::with_value(growth_delay, burst);
            state.refresh(now);
            state.bucket.add(opening, now);
            state
        });
        state.rate.update(rate, now);
        state.burst.update(burst, now);
        state.refresh(now);
    }

    /// Gives back the token of a request that was admitted but certainly did not run.
    pub fn refund(&mut self, account: AccountId, now: Time) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.bucket.add(MICRO, now);
        }
    }

    /// Records that a division of the rates was missed, so that no share is usable for the growth
    /// delay.
    pub fn record_missed_division(&mut self, now: Time) {
        for state in self.accounts.values_mut() {
            state.rate.record_missed_division(now);
            state.burst.record_missed_division(now);
            state.refresh(now);
        }
    }

    /// Removes accounts for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(AccountId) -> bool) {
        self.accounts.retain(|account, _| known(*account));
    }

    /// Applies shares that have become usable; to be called a few times a second.
    pub fn tick(&mut self, now: Time) {
        for state in self.accounts.values_mut() {
            state.refresh(now);
        }
    }

    /// Decides on a request that has just arrived.
    pub fn request(&mut self, account: AccountId, now: Time) -> Decision {
        let Some(state) = self.accounts.get_mut(&account) else {
            return Decision::Refuse(MAX_LOAN_WAIT);
        };
        state.demand.record(now);
        state.refresh(now);
        // Waiting requests come first: a new request must not overtake them.
        if state.waiting == 0 && state.bucket.take(now) {
            return Decision::Admit;
        }
        let may_get_token = self.lending && state.may_get_token(&self.peers, now);
        if !may_get_token || state.waiting >= MAX_WAITING {
            return state.refuse(now);
        }
        state.waiting += 1;
        Decision::Wait(now + MAX_LOAN_WAIT)
    }

    /// Decides again on a request that waits until `deadline`.
    pub fn retry(&mut self, account: AccountId, deadline: Time, now: Time) -> Decision {
        let Some(state) = self.accounts.get_mut(&account) else {
            return Decision::Refuse(MAX_LOAN_WAIT);
        };
        state.refresh(now);
        if state.bucket.take(now) {
            state.waiting = state.waiting.saturating_sub(1);
            return Decision::Admit;
        }
        if now < deadline && state.may_get_token(&self.peers, now) {
            return Decision::Wait(deadline);
        }
        state.waiting = state.waiting.saturating_sub(1);
        state.refuse(now)
    }

    /// Records that a waiting request ended because its caller disconnected.
    pub fn abandon(&mut self, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }

    /// Returns the loans to request now; each is in flight until [`Meter::receive`] is called.
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
        let mut requests = Vec::new();
        for peer in lenders {
            self.sequence += 1;
            let lender = state.lenders.entry(peer).or_default();
            lender.in_flight = each;
            lender.sequence = self.sequence;
            requests.push(LoanRequest { account, peer, count: each, sequence: self.sequence });
        }
        requests
    }

    /// Records the answer to a request sent at `sent`; pass zero if there was none.
    pub fn receive(&mut self, request: LoanRequest, count: u32, sent: Time, now: Time) {
        let Some(state) = self.accounts.get_mut(&request.account) else { return };
        let lender = state.lenders.entry(request.peer).or_default();
        if lender.sequence != request.sequence {
            return;
        }
        lender.in_flight = 0;
        lender.has_lent = count > 0;
        if count == 0 {
            lender.retry_at = now + LENDER_RETRY_DELAY;
        }
        if count > 0 {
            state.bucket.receive(count, state.waiting, sent, now);
        }
    }

    /// Lends tokens to a peer: up to half of those available, or more if demand is low.
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

    /// This host's share of an account's rate, per second, and burst, in micro-tokens.
    pub fn share(&self, account: AccountId) -> (Amount, Amount) {
        self.accounts.get(&account).map(|state| state.bucket.share()).unwrap_or_default()
    }
}

impl State {
    fn new(growth_delay: Duration, now: Time) -> State {
        State {
            rate: Share::new(growth_delay),
            burst: Share::new(growth_delay),
            bucket: Bucket::new(now),
            holders: BTreeSet::new(),
            waiting: 0,
            holder_rate: 0,
            last_retry_at: now,
            demand: Demand { per_second: 0.0, at: now },
            lenders: BTreeMap::new(),
            last_sequences: BTreeMap::new(),
        }
    }

    /// Ends earlier loans to the borrower, unless a later request was received before this one.
    fn record_request(&mut self, request: &TokenRequest, now: Time) {
        let last = self.last_sequences.entry(request.host).or_default();
        if request.sequence > *last {
            *last = request.sequence;
            self.bucket.end_loans(request.host, now);
        }
    }

    fn refresh(&mut self, now: Time) {
        let share = (self.rate.usable(now), self.burst.usable(now));
        if share != self.bucket.share() {
            self.bucket.set_share(share.0, share.1, now);
        }
    }

    /// Whether a token may become available in time, by a loan or by the bucket's own rate.
    fn may_get_token(&mut self, peers: &BTreeSet<HostId>, now: Time) -> bool {
        let in_flight = self.lenders.values().any(|lender| lender.in_flight > 0);
        in_flight || self.ready_lenders(peers, now).next().is_some() || self.refills_in_time(now)
    }

    /// Peers that may have tokens and that a request may be sent to now.
    fn ready_lenders(&self, peers: &BTreeSet<HostId>, now: Time) -> impl Iterator<Item = HostId> {
        let may_have = |peer: &&HostId| self.holders.is_empty() || self.holders.contains(*peer);
        peers.iter().filter(may_have).copied().filter(move |peer| self.is_ready(*peer, now))
    }

    /// Peers to request loans from: first those that lent last time, then the others in rotation,
    /// and no more peers than the number of tokens that this host can use.
    fn lenders_to_ask(&self, peers: &BTreeSet<HostId>, turn: u64, now: Time) -> Vec<HostId> {
        let mut ready: Vec<HostId> = self.ready_lenders(peers, now).collect();
        let count = ready.len();
        if count == 0 {
            return ready;
        }
        ready.rotate_left(usize::try_from(turn).unwrap_or(0) % count);
        ready.sort_by_key(|peer| !self.lenders.get(peer).is_some_and(|lender| lender.has_lent));
        let usable = self.waiting + self.bucket.room();
        ready.truncate(usize::try_from(usable).unwrap_or(usize::MAX).max(1));
        ready
    }

    /// Whether the bucket's own rate yields tokens in time for the waiting requests and one more.
    fn refills_in_time(&mut self, now: Time) -> bool {
        let rate = self.bucket.share().0;
        let next = self.bucket.next_token(now);
        let behind = Duration::from_micros(micro(self.waiting) * MICRO / rate.max(1));
        next.is_some_and(|next| next + behind <= MAX_LOAN_WAIT)
    }

    fn is_ready(&self, peer: HostId, now: Time) -> bool {
        let lender = self.lenders.get(&peer).copied().unwrap_or_default();
        lender.in_flight == 0 && lender.retry_at <= now
    }

    fn demand_now(&self, now: Time) -> u32 {
        let mut demand = self.demand;
        let elapsed = now.saturating_sub(demand.at).as_secs_f64();
        demand.per_second *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        demand.within(BORROW_HORIZON)
    }

    /// Number of tokens to borrow: for waiting requests, and in advance if the level is low.
    fn tokens_to_borrow(&mut self, now: Time) -> u32 {
        // A request would end loans at the lender whose tokens still exceed the capacity here.
        if self.bucket.has_excess(now) {
            return 0;
        }
        let tokens = self.bucket.tokens(now);
        let ahead = self.demand_now(now);
        let short = ahead.saturating_sub(tokens).min(self.bucket.room());
        let low = self.waiting > 0 || tokens < ahead.div_ceil(2);
        let in_flight: u32 = self.lenders.values().map(|lender| lender.in_flight).sum();
        if low { (self.waiting + short).saturating_sub(in_flight) } else { 0 }
    }

    /// Refuses a request, with the time after which this host can expect a token for it.
    ///
    /// Callers that are refused one after another are told successive times, at which they do not
    /// compete for one token.
    fn refuse(&mut self, now: Time) -> Decision {
        let own_rate = self.bucket.share().0;
        let rate = if own_rate > 0 { own_rate } else { self.holder_rate };
        if rate == 0 {
            return Decision::Refuse(MAX_RETRY_AFTER);
        }
        let interval = Duration::from_micros((MICRO * MICRO).div_ceil(rate));
        let next = now + self.bucket.next_token(now).unwrap_or(interval);
        let retry_at = next.max(self.last_retry_at + interval).min(now + MAX_RETRY_AFTER);
        self.last_retry_at = retry_at;
        Decision::Refuse(retry_at - now)
    }
}

/// Converts `count` tokens to micro-tokens.
pub fn micro(count: u32) -> Amount {
    u64::from(count) * MICRO
}
