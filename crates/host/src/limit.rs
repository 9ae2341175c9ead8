//! Admits requests against the rates of their client accounts.
//!
//! The decisions are [`bergamotvale_core::rate`]'s; this module wakes the requests that wait for a
//! loan and hands the asks to the task that calls peers.

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

/// Time by which a growing part waits longer than authority lives.
const SETTLE_MARGIN: Duration = Duration::from_millis(100);
/// Time between two looks at what waits and what has come into force.
const TICK: Duration = Duration::from_millis(20);

/// Rates of all client accounts at this host.
pub struct Limiter {
    clock: Clock,
    whole_rate: bool,
    state: Mutex<State>,
    asks: mpsc::UnboundedSender<LoanRequest>,
}

struct State {
    meter: Meter,
    wakers: BTreeMap<AccountId, Arc<Notify>>,
}

/// A request that waits for a token; gives its place up when dropped.
struct Place<'a> {
    limiter: &'a Limiter,
    account: AccountId,
    held: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.held {
            self.limiter.lock().meter.abandon(self.account);
        }
    }
}

impl Limiter {
    /// A limiter without client accounts, and the loans that it wants asked for.
    pub fn new(policy: &Policy, clock: Clock) -> (Limiter, mpsc::UnboundedReceiver<LoanRequest>) {
        let (asks, receiver) = mpsc::unbounded_channel();
        let lending = policy.rates == Rates::Escrow;
        let meter = Meter::new(policy.authority + SETTLE_MARGIN, lending);
        let state = Mutex::new(State { meter, wakers: BTreeMap::new() });
        let whole_rate = policy.defects.contains(&Defect::LocalRate);
        (Limiter { clock, whole_rate, state, asks }, receiver)
    }

    /// Takes up the parts that `own` has of the document's rates among `members`.
    pub fn divide(&self, document: &Document, members: &BTreeSet<HostId>, own: HostId) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.meter.set_peers(members.iter().copied().filter(|host| *host != own).collect());
        state.meter.retain(|account| document.accounts.contains_key(&account));
        for (id, account) in &document.accounts {
            let (rate, burst) = match self.whole_rate {
                true => (micro(account.rate), micro(account.burst)),
                false => rate::account_share(*id, account, members, own),
            };
            state.meter.set_share(*id, rate, burst, now);
        }
    }

    /// Notes that a division was missed: members or configuration skipped an epoch here.
    pub fn record_missed_division(&self) {
        let now = self.clock.now();
        self.lock().meter.record_missed_division(now);
    }

    /// Waits until a request of `account` is admitted.
    pub async fn admit(&self, account: AccountId, deadline: Time) -> Result<(), Refusal> {
        let mut decision = self.decide(account, |meter, now| meter.request(account, now));
        let mut place = Place { limiter: self, account, held: false };
        loop {
            place.held = matches!(decision, Decision::Wait(_));
            let until = match decision {
                Decision::Admit => return Ok(()),
                Decision::Refuse(after) => return Err(refusal(after)),
                Decision::Wait(until) => until.min(deadline),
            };
            decision = self.wait(account, until).await;
            place.held = false;
        }
    }

    /// Lends tokens to a peer.
    pub fn lend(&self, request: &TokenRequest) -> u32 {
        let now = self.clock.now();
        self.lock().meter.lend(request, now)
    }

    /// Takes the answer to an ask sent at `asked`; none counts as zero.
    pub fn record_loan(&self, ask: LoanRequest, count: Option<u32>, asked: Time) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.meter.receive(ask, count.unwrap_or(0), asked, now);
        state.wake(ask.account);
    }

    /// Part of rate, per second, and burst of `account` at this host, in whole tokens.
    pub fn share(&self, account: AccountId) -> (u64, u64) {
        let (rate, burst) = self.lock().meter.share(account);
        (rate / rate::bucket::MICRO, burst / rate::bucket::MICRO)
    }

    /// Brings parts into force, wakes what waits, asks for loans; until the task is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(TICK);
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
            self.ask(&mut state, account, now);
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
        self.ask(&mut state, account, now);
        decision
    }

    fn ask(&self, state: &mut State, account: AccountId, now: Time) {
        for ask in state.meter.loan_requests(account, now) {
            if self.asks.send(ask).is_err() {
                log::debug!("nobody asks for loans any more: the host is stopping");
            }
        }
    }

    /// Waits for a loan and decides again.
    async fn wait(&self, account: AccountId, until: Time) -> Decision {
        let waker = self.lock().wakers.entry(account).or_default().clone();
        let mut woken = pin!(waker.notified());
        // Listens before the second look, so that no loan arrives between the two unheard.
        woken.as_mut().enable();
        let decision = self.decide(account, |meter, now| meter.retry(account, until, now));
        if !matches!(decision, Decision::Wait(_)) {
            return decision;
        }
        let left = until.saturating_sub(self.clock.now());
        drop(tokio::time::timeout(left, woken).await);
        self.decide(account, |meter, now| meter.retry(account, until, now))
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

fn refusal(after: Duration) -> Refusal {
    Refusal::new(Reason::RateExceeded, "the client account is over its rate")
        .with_retry_after(after)
}
