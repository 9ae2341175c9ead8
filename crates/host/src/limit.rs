//! Admits requests against the rates of their client accounts.
//!
//! [`bergamotvale_core::rate`] decides; this module wakes the requests that wait for a loan of rate
//! tokens and passes the loan requests to the task that calls peers.

use crate::clock::Clock;
use crate::settings::{Defect, Policy, Rates};
use bergamotvale_core::config::Document;
use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::rate::meter::{Decision, LoanRequest, micro};
use bergamotvale_core::rate::{self, Meter};
use bergamotvale_core::refusal::{Reason, Refusal};
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// Margin added to the validity of authority before a larger share comes into force: by then every
/// host whose share shrinks has adopted the new division or stopped admitting requests.
const SHARE_GROWTH_MARGIN: Duration = Duration::from_millis(100);
/// Interval at which shares come into force and waiting requests are woken.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Rate limiter for all client accounts at this host.
pub struct Limiter {
    clock: Clock,
    undivided_rate: bool,
    state: Mutex<State>,
    loan_requests: mpsc::UnboundedSender<LoanRequest>,
}

struct State {
    meter: Meter,
    wakers: BTreeMap<AccountId, Arc<Notify>>,
}

/// Removes a request that waits for a token from the meter's count when dropped.
struct WaitGuard<'a> {
    limiter: &'a Limiter,
    account: AccountId,
    is_waiting: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.limiter.lock().meter.abandon(self.account);
        }
    }
}

impl Limiter {
    /// A limiter without client accounts, and the receiver of the loan requests to send to peers.
    pub fn new(policy: &Policy, clock: Clock) -> (Limiter, mpsc::UnboundedReceiver<LoanRequest>) {
        let (loan_requests, receiver) = mpsc::unbounded_channel();
        let lending = policy.rates == Rates::Escrow;
        let meter = Meter::new(policy.authority + SHARE_GROWTH_MARGIN, lending);
        let state = Mutex::new(State { meter, wakers: BTreeMap::new() });
        let undivided_rate = policy.defects.contains(&Defect::LocalRate);
        (Limiter { clock, undivided_rate, state, loan_requests }, receiver)
    }

    /// Sets the shares that the host `own` has of the rates in `document` among `members`.
    pub fn divide(&self, document: &Document, members: &BTreeSet<HostId>, own: HostId) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.meter.set_peers(members.iter().copied().filter(|host| *host != own).collect());
        state.meter.retain(|account| document.accounts.contains_key(&account));
        for (id, account) in &document.accounts {
            let (rate, burst) = match self.undivided_rate {
                true => (micro(account.rate), micro(account.burst)),
                false => rate::account_share(*id, account, members, own),
            };
            state.meter.set_share(*id, rate, burst, now);
        }
    }

    /// Records that this host missed a division, because it skipped an epoch of the fleet row.
    pub fn record_missed_division(&self) {
        let now = self.clock.now();
        self.lock().meter.record_missed_division(now);
    }

    /// Waits until a request of `account` is admitted, at most until `deadline`; refuses a request
    /// over the rate.
    pub async fn admit(&self, account: AccountId, deadline: Time) -> Result<(), Refusal> {
        let mut decision = self.decide(account, |meter, now| meter.request(account, now));
        let mut wait_guard = WaitGuard { limiter: self, account, is_waiting: false };
        loop {
            wait_guard.is_waiting = matches!(decision, Decision::Wait(_));
            let wait_deadline = match decision {
                Decision::Admit => return Ok(()),
                Decision::Refuse(retry_after) => return Err(refusal(retry_after)),
                Decision::Wait(wait_deadline) => wait_deadline.min(deadline),
            };
            decision = self.wait(account, wait_deadline).await;
            wait_guard.is_waiting = false;
        }
    }

    /// Lends rate tokens to a peer; returns the number lent.
    pub fn lend(&self, request: &TokenRequest) -> u32 {
        let now = self.clock.now();
        self.lock().meter.lend(request, now)
    }

    /// Records the response to a loan request that was sent at `sent_at`; no response counts as 0
    /// tokens.
    pub fn record_loan(&self, request: LoanRequest, count: Option<u32>, sent_at: Time) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.meter.receive(request, count.unwrap_or(0), sent_at, now);
        state.wake(request.account);
    }

    /// This host's share of the rate (per second) and of the burst of `account`, in whole tokens.
    pub fn share(&self, account: AccountId) -> (u64, u64) {
        let (rate, burst) = self.lock().meter.share(account);
        (rate / rate::bucket::MICRO, burst / rate::bucket::MICRO)
    }

    /// Periodically brings shares into force, wakes waiting requests and requests loans, until the
    /// task is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.meter.tick(now);
        for account in state.wakers.keys().copied().collect::<Vec<_>>() {
            state.wake(account);
            self.send_loan_requests(&mut state, account, now);
        }
        state.wakers.retain(|_, waker| Arc::strong_count(waker) > 1);
    }

    fn decide(
        &self,
        account: AccountId,
        decide: impl FnOnce(&mut Meter, Time) -> Decision,
    ) -> Decision {
        let now = self.clock.now();
        let mut state = self.lock();
        let decision = decide(&mut state.meter, now);
        self.send_loan_requests(&mut state, account, now);
        decision
    }

    fn send_loan_requests(&self, state: &mut State, account: AccountId, now: Time) {
        for request in state.meter.loan_requests(account, now) {
            if self.loan_requests.send(request).is_err() {
                log::debug!("a loan request was not sent: the host is stopping");
            }
        }
    }

    /// Waits for a loan, at most until `deadline`, and decides again.
    async fn wait(&self, account: AccountId, deadline: Time) -> Decision {
        let waker = self.lock().wakers.entry(account).or_default().clone();
        let mut notified = pin!(waker.notified());
        // Registered before the next decision, so that a loan that arrives after that decision
        // still wakes this request.
        notified.as_mut().enable();
        let decision = self.decide(account, |meter, now| meter.retry(account, deadline, now));
        if !matches!(decision, Decision::Wait(_)) {
            return decision;
        }
        let time_left = deadline.saturating_sub(self.clock.now());
        drop(tokio::time::timeout(time_left, notified).await);
        self.decide(account, |meter, now| meter.retry(account, deadline, now))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn wake(&self, account: AccountId) {
        if let Some(waker) = self.wakers.get(&account) {
            waker.notify_waiters();
        }
    }
}

fn refusal(retry_after: Duration) -> Refusal {
    Refusal::new(Reason::RateExceeded, "the client account is over its rate")
        .with_retry_after(retry_after)
}
