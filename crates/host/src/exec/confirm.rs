//! Waits until written positions are on a majority.
//!
//! All waits of one host for one target share one connection, which asks for the lowest position
//! that is still waited for; the answer names the highest confirmed one and so settles all below.
//! The first write to wait hands its own connection over, so that no acknowledgement queues for a
//! slot; the others give theirs back to the pool before they wait.

use super::exchange::position;
use super::exchange::{self, Loss};
use super::state::lock;
use crate::shared::Host;
use crate::target::{Key, Lease};
use bergamotvale_core::ack::{self, Lag, Verdict};
use bergamotvale_core::id::{AccountId, Time};
use bergamotvale_core::log::Position;
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::write::Event;
use postgres_types::{ToSql, Type};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

const CONFIRMED: &str = "SELECT * FROM group_confirmed($1, $2, $3)";
/// Time that the target may keep one question.
const ASK: Duration = Duration::from_millis(100);
/// Time beyond it after which the connection counts as silent.
const SILENCE: Duration = Duration::from_millis(400);
/// Time after which a connection that nobody needs goes back to the pool.
const IDLE: Duration = Duration::from_millis(100);

/// The waits of one host.
#[derive(Default)]
pub struct Waits {
    targets: Mutex<BTreeMap<Key, Arc<Waiting>>>,
}

/// The waits for one target.
#[derive(Default)]
struct Waiting {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Default)]
struct State {
    waiters: BTreeMap<(Position, u64), Waiter>,
    sequence: u64,
    is_asking: bool,
    /// Handed over by a write, for the task to take.
    offered: Option<Lease>,
    is_connected: bool,
    lag: Lag,
}

struct Waiter {
    account: AccountId,
    until: Time,
    answer: oneshot::Sender<Event>,
}

impl Waits {
    /// No wait.
    #[allow(clippy::new_without_default, reason = "construction is by `new` throughout")]
    pub fn new() -> Waits {
        Waits::default()
    }

    /// Waits until `position` is confirmed or known not to be, at most until the given time.
    ///
    /// `lease` is a clean connection to the target that the caller no longer needs.
    pub async fn wait(
        &self,
        host: &Arc<Host>,
        key: Key,
        account: AccountId,
        position: Position,
        lease: Option<Lease>,
        until: Time,
    ) -> Event {
        let waiting = self.waiting(key);
        let answer = waiting.enter(position, account, host.clock.now(), until);
        if let Some(lease) = lease.filter(|lease| lease.key() == key) {
            waiting.offer(lease);
        }
        waiting.ask(host, key);
        let deadline = host.clock.instant(until).into();
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(event)) => event,
            Ok(Err(_)) => Event::ConnectionLost,
            Err(_) => Event::TimedOut,
        }
    }

    /// Least time that a write begun now has to expect until its confirmation.
    pub fn expected(&self, host: &Host, key: Key, now: Time) -> Duration {
        let waiting = self.waiting(key);
        let mut state = lock(&waiting.state);
        // The probes go on when writes are refused, so that a refusal never feeds on itself.
        if let Some(view) = host.pools.views(key.0).get(&key.1) {
            state.lag.record_written(view.status.entry, view.at);
            state.lag.record_confirmed(view.status.confirmed, view.at);
        }
        state.lag.expected_delay(now)
    }

    fn waiting(&self, key: Key) -> Arc<Waiting> {
        lock(&self.targets).entry(key).or_default().clone()
    }
}

impl Waiting {
    fn enter(
        &self,
        position: Position,
        account: AccountId,
        now: Time,
        until: Time,
    ) -> oneshot::Receiver<Event> {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        state.lag.record_written(position, now);
        state.sequence += 1;
        let sequence = state.sequence;
        state.waiters.insert((position, sequence), Waiter { account, until, answer: sender });
        receiver
    }

    /// Takes the connection for the task, or gives it back when the task has one.
    fn offer(&self, lease: Lease) {
        let mut state = lock(&self.state);
        if state.is_connected || state.offered.is_some() {
            drop(state);
            lease.release_clean();
        } else {
            state.offered = Some(lease);
        }
    }

    /// Notes whether the task has a connection; answers the offered one if it has no use for it.
    fn set_connected(&self, is_connected: bool) -> Option<Lease> {
        let mut state = lock(&self.state);
        state.is_connected = is_connected;
        state.offered.take_if(|_| is_connected)
    }

    fn take_offered(&self) -> Option<Lease> {
        lock(&self.state).offered.take()
    }

    /// Makes sure that a task asks for what is waited for.
    fn ask(self: &Arc<Self>, host: &Arc<Host>, key: Key) {
        let was_asking = std::mem::replace(&mut lock(&self.state).is_asking, true);
        if was_asking {
            self.wake.notify_one();
        } else {
            tokio::spawn(run(self.clone(), host.clone(), key));
        }
    }

    /// The lowest position that someone still waits for, who that is, and until when anyone waits.
    fn next(&self, now: Time) -> Option<Question> {
        let mut state = lock(&self.state);
        state.waiters.retain(|_, waiter| !waiter.answer.is_closed() && waiter.until > now);
        let until = state.waiters.values().map(|waiter| waiter.until).max()?;
        let ((position, _), waiter) = state.waiters.first_key_value()?;
        Some(Question { position: *position, account: waiter.account, until })
    }

    fn confirmed(&self, confirmed: Position, now: Time) {
        let mut state = lock(&self.state);
        state.lag.record_confirmed(confirmed, now);
        let is_settled = |position| ack::verify(position, confirmed) != Verdict::Pending;
        let settled = state.waiters.extract_if(.., |(position, _), _| is_settled(*position));
        for (_, waiter) in settled.collect::<Vec<_>>() {
            // A waiter that is gone needs no answer.
            drop(waiter.answer.send(Event::Confirmed(confirmed)));
        }
    }

    fn failed(&self, loss: &Loss, term: u64) {
        let event = match loss {
            Loss::Failed(code, detail) => Event::Failed(Failure::new(code), detail.clone()),
            Loss::TimedOut => Event::TimedOut,
            _ => Event::ConnectionLost,
        };
        let concerns_term = matches!(event, Event::Failed(Failure::Superseded, _));
        let mut state = lock(&self.state);
        let failed = state
            .waiters
            .extract_if(.., |(position, _), _| !concerns_term || position.term == term)
            .collect::<Vec<_>>();
        for (_, waiter) in failed {
            drop(waiter.answer.send(event.clone()));
        }
    }

    /// Ends the task unless someone came meanwhile; what was offered to it goes with it.
    fn rest(&self) -> Option<Rest> {
        let mut state = lock(&self.state);
        state.is_asking = !state.waiters.is_empty();
        state.is_connected &= state.is_asking;
        let is_over = !state.is_asking;
        is_over.then(|| Rest { offered: state.offered.take() })
    }
}

/// What is left of a task that has ended.
struct Rest {
    offered: Option<Lease>,
}

/// What is asked next.
#[derive(Debug, Clone, Copy)]
struct Question {
    position: Position,
    account: AccountId,
    until: Time,
}

async fn run(waiting: Arc<Waiting>, host: Arc<Host>, key: Key) {
    let mut lease = None;
    let rest = loop {
        let Some(question) = waiting.next(host.clock.now()) else {
            let woken = tokio::time::timeout(IDLE, waiting.wake.notified()).await;
            if woken.is_err()
                && let Some(rest) = waiting.rest()
            {
                break rest;
            }
            continue;
        };
        if lease.is_none() {
            lease = waiting.take_offered();
        }
        let result = ask(&host, key, &mut lease, question).await;
        if let Some(unused) = waiting.set_connected(lease.is_some()) {
            unused.release_clean();
        }
        match result {
            Ok(confirmed) => waiting.confirmed(confirmed, host.clock.now()),
            Err(loss) => waiting.failed(&loss, question.position.term),
        }
    };
    [lease, rest.offered].into_iter().flatten().for_each(Lease::release_clean);
}

/// Asks over the connection in `lease`, which is gone when it fails.
async fn ask(
    host: &Arc<Host>,
    key: Key,
    lease: &mut Option<Lease>,
    question: Question,
) -> Result<Position, Loss> {
    let open = match lease.take() {
        Some(open) => open,
        None => acquire(host, key, question).await?,
    };
    let now = host.clock.now();
    let wait = ASK.min(question.until.saturating_sub(now));
    let wanted = question.position;
    let numbers = [wanted.term, wanted.index, wait.as_millis() as u64];
    let [term, index, millis] = numbers.map(|n| i64::try_from(n).unwrap_or(i64::MAX));
    let params: [(&(dyn ToSql + Sync), Type); 3] =
        [(&term, Type::INT8), (&index, Type::INT8), (&millis, Type::INT8)];
    let work = open.client().query_typed_one(CONFIRMED, &params);
    let row = match exchange::run(host, &open, now + wait + SILENCE, work).await {
        Ok(row) => row,
        Err(loss) => {
            exchange::worked(host, key, Some(&loss));
            if matches!(loss, Loss::Failed(..)) {
                open.release_clean();
            }
            return Err(loss);
        }
    };
    *lease = Some(open);
    position(&row, "confirmed_term", "confirmed_index").map_err(|_| Loss::ConnectionLost)
}

async fn acquire(host: &Arc<Host>, key: Key, question: Question) -> Result<Lease, Loss> {
    let lease = host.pools.acquire(host, key, question.account, question.until).await;
    lease.map_err(|_| Loss::ConnectionLost)
}
