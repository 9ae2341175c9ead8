//! Waits until written positions are on a majority.
//!
//! All waits of one host for one target share one connection, which asks for the lowest position
//! that is still waited for; the answer names the highest confirmed one and so settles all below.
//! No write holds a slot of the pool while it waits, and a queue for the pool delays no
//! acknowledgement.

use super::exchange::position;
use super::exchange::{self, Loss};
use super::state::lock;
use crate::shared::Host;
use crate::target::Key;
use crate::target::connection::Connection;
use bergamotvale_core::ack::{self, Lag, Verdict};
use bergamotvale_core::id::Time;
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
/// Time after which a connection that nobody needs is closed.
const IDLE: Duration = Duration::from_secs(10);

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
    lag: Lag,
}

struct Waiter {
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
    pub async fn wait(&self, host: &Arc<Host>, key: Key, position: Position, until: Time) -> Event {
        let waiting = self.waiting(key);
        let answer = waiting.enter(position, host.clock.now(), until);
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
            state.lag.written(view.status.entry, view.at);
            state.lag.confirmed(view.status.confirmed, view.at);
        }
        state.lag.expected(now)
    }

    fn waiting(&self, key: Key) -> Arc<Waiting> {
        lock(&self.targets).entry(key).or_default().clone()
    }
}

impl Waiting {
    fn enter(&self, position: Position, now: Time, until: Time) -> oneshot::Receiver<Event> {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        state.lag.written(position, now);
        state.sequence += 1;
        let sequence = state.sequence;
        state.waiters.insert((position, sequence), Waiter { until, answer: sender });
        receiver
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

    /// The lowest position that someone still waits for, and the time of the last who waits.
    fn next(&self, now: Time) -> Option<(Position, Time)> {
        let mut state = lock(&self.state);
        state.waiters.retain(|_, waiter| !waiter.answer.is_closed() && waiter.until > now);
        let (position, _) = *state.waiters.keys().next()?;
        let until = state.waiters.values().map(|waiter| waiter.until).max()?;
        Some((position, until))
    }

    fn confirmed(&self, confirmed: Position, now: Time) {
        let mut state = lock(&self.state);
        state.lag.confirmed(confirmed, now);
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

    /// Ends the task unless someone came meanwhile.
    fn rest(&self) -> bool {
        let mut state = lock(&self.state);
        state.is_asking = !state.waiters.is_empty();
        !state.is_asking
    }
}

async fn run(waiting: Arc<Waiting>, host: Arc<Host>, key: Key) {
    let mut connection = None;
    loop {
        let Some((position, until)) = waiting.next(host.clock.now()) else {
            let woken = tokio::time::timeout(IDLE, waiting.wake.notified()).await;
            if woken.is_err() && waiting.rest() {
                return;
            }
            continue;
        };
        match ask(&host, key, &mut connection, position, until).await {
            Ok(confirmed) => waiting.confirmed(confirmed, host.clock.now()),
            Err(loss) => {
                connection = None;
                waiting.failed(&loss, position.term);
            }
        }
    }
}

async fn ask(
    host: &Arc<Host>,
    key: Key,
    connection: &mut Option<Connection>,
    wanted: Position,
    until: Time,
) -> Result<Position, Loss> {
    let open = match connection.take() {
        Some(open) => open,
        None => open(host, key).await?,
    };
    let now = host.clock.now();
    let wait = ASK.min(until.saturating_sub(now));
    let numbers = [wanted.term, wanted.index, wait.as_millis() as u64];
    let [term, index, millis] = numbers.map(|n| i64::try_from(n).unwrap_or(i64::MAX));
    let params: [(&(dyn ToSql + Sync), Type); 3] =
        [(&term, Type::INT8), (&index, Type::INT8), (&millis, Type::INT8)];
    let work = open.client().query_typed_one(CONFIRMED, &params);
    let row = exchange::until(host, now + wait + SILENCE, work).await?;
    *connection = Some(open);
    position(&row, "confirmed_term", "confirmed_index").map_err(|_| Loss::ConnectionLost)
}

async fn open(host: &Arc<Host>, (service, target): Key) -> Result<Connection, Loss> {
    let document = host.document();
    let target = document.services.get(&service).and_then(|s| s.targets.get(&target));
    let address = target.ok_or(Loss::ConnectionLost)?.address;
    Connection::open(address, &host.settings).await.map_err(|_| Loss::ConnectionLost)
}
