//! Waits until committed log positions are confirmed, that is, on a majority of the group.
//!
//! All waits of one host for one target share one task and one connection. The task queries for
//! the lowest position that is still awaited; the response is the highest confirmed position, which
//! completes all waits up to it. The first write to wait hands its connection to the task, so that
//! no acknowledgement queues for a slot; later writes release theirs to the pool before waiting.

use super::exchange::position;
use super::exchange::{self, Error};
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
/// Time for which the target may hold one query until the position is confirmed.
const SERVER_WAIT: Duration = Duration::from_millis(100);
/// Time beyond the server's wait after which the connection counts as silent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time without waits after which the task ends and its connection returns to the pool.
const IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// The waits for confirmation of one host, by target.
#[derive(Default)]
pub struct Tracker {
    targets: Mutex<BTreeMap<Key, Arc<TargetWaits>>>,
}

/// The waits for one target, shared with the task that queries it.
#[derive(Default)]
struct TargetWaits {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Default)]
struct State {
    waiters: BTreeMap<(Position, u64), Waiter>,
    sequence: u64,
    is_task_running: bool,
    /// Connection that a write has handed over and the task has not taken yet.
    offered_lease: Option<Lease>,
    is_connected: bool,
    lag: Lag,
}

struct Waiter {
    account: AccountId,
    deadline: Time,
    reply: oneshot::Sender<Event>,
}

impl Tracker {
    /// A tracker without waits.
    #[allow(clippy::new_without_default, reason = "construction is by `new` throughout")]
    pub fn new() -> Tracker {
        Tracker::default()
    }

    /// Waits until `position` is confirmed or known never to be, at most until `deadline`.
    ///
    /// `lease` is a clean connection to the target that the caller no longer needs; the task may
    /// take it over.
    pub async fn wait(
        &self,
        host: &Arc<Host>,
        key: Key,
        account: AccountId,
        position: Position,
        lease: Option<Lease>,
        deadline: Time,
    ) -> Event {
        let target_waits = self.target_waits(key);
        let reply = target_waits.add_waiter(position, account, host.clock.now(), deadline);
        if let Some(lease) = lease.filter(|lease| lease.key() == key) {
            target_waits.offer_lease(lease);
        }
        target_waits.ensure_task(host, key);
        let deadline = host.clock.instant(deadline).into();
        match tokio::time::timeout_at(deadline, reply).await {
            Ok(Ok(event)) => event,
            Ok(Err(_)) => Event::ConnectionLost,
            Err(_) => Event::TimedOut,
        }
    }

    /// Minimum time until confirmation that a write started now must expect, from the replication
    /// lag of the target.
    pub fn expected_delay(&self, host: &Host, key: Key, now: Time) -> Duration {
        let target_waits = self.target_waits(key);
        let mut state = lock(&target_waits.state);
        // Probes update the lag even while writes are refused; otherwise nothing would lower the
        // estimate again and the refusals would not end.
        if let Some(view) = host.pools.views(key.0).get(&key.1) {
            state.lag.record_written(view.status.entry, view.at);
            state.lag.record_confirmed(view.status.confirmed, view.at);
        }
        state.lag.expected_delay(now)
    }

    fn target_waits(&self, key: Key) -> Arc<TargetWaits> {
        lock(&self.targets).entry(key).or_default().clone()
    }
}

impl TargetWaits {
    fn add_waiter(
        &self,
        position: Position,
        account: AccountId,
        now: Time,
        deadline: Time,
    ) -> oneshot::Receiver<Event> {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        state.lag.record_written(position, now);
        state.sequence += 1;
        let sequence = state.sequence;
        state.waiters.insert((position, sequence), Waiter { account, deadline, reply: sender });
        receiver
    }

    /// Hands a connection to the task, or releases it if the task has one already.
    fn offer_lease(&self, lease: Lease) {
        let mut state = lock(&self.state);
        if state.is_connected || state.offered_lease.is_some() {
            drop(state);
            lease.release_clean();
        } else {
            state.offered_lease = Some(lease);
        }
    }

    /// Records whether the task has a connection; if so, returns the offered one as unused.
    fn set_connected(&self, is_connected: bool) -> Option<Lease> {
        let mut state = lock(&self.state);
        state.is_connected = is_connected;
        state.offered_lease.take_if(|_| is_connected)
    }

    fn take_offered_lease(&self) -> Option<Lease> {
        lock(&self.state).offered_lease.take()
    }

    /// Wakes the task of this target, or starts it if it is not running.
    fn ensure_task(self: &Arc<Self>, host: &Arc<Host>, key: Key) {
        let was_running = std::mem::replace(&mut lock(&self.state).is_task_running, true);
        if was_running {
            self.wake.notify_one();
        } else {
            tokio::spawn(run(self.clone(), host.clone(), key));
        }
    }

    /// Query for the lowest awaited position, on behalf of the account that awaits it, with the
    /// latest deadline of all waits. `None` if there are no waits.
    fn next_query(&self, now: Time) -> Option<Query> {
        let mut state = lock(&self.state);
        state.waiters.retain(|_, waiter| !waiter.reply.is_closed() && waiter.deadline > now);
        let deadline = state.waiters.values().map(|waiter| waiter.deadline).max()?;
        let ((position, _), waiter) = state.waiters.first_key_value()?;
        Some(Query { position: *position, account: waiter.account, deadline })
    }

    fn record_confirmed(&self, confirmed: Position, now: Time) {
        let mut state = lock(&self.state);
        state.lag.record_confirmed(confirmed, now);
        let is_decided = |position| ack::verify(position, confirmed) != Verdict::Pending;
        let decided = state.waiters.extract_if(.., |(position, _), _| is_decided(*position));
        for (_, waiter) in decided.collect::<Vec<_>>() {
            // Sending fails if the waiter has given up.
            drop(waiter.reply.send(Event::Confirmed(confirmed)));
        }
    }

    /// Fails the waits after a failed query; if the target was superseded, only those in `term`.
    fn fail_waiters(&self, failure: &Error, term: u64) {
        let event = match failure {
            Error::Failed(code, detail) => Event::Failed(Failure::new(code), detail.clone()),
            Error::TimedOut => Event::TimedOut,
            _ => Event::ConnectionLost,
        };
        let is_term_specific = matches!(event, Event::Failed(Failure::Superseded, _));
        let mut state = lock(&self.state);
        let failed = state
            .waiters
            .extract_if(.., |(position, _), _| !is_term_specific || position.term == term)
            .collect::<Vec<_>>();
        for (_, waiter) in failed {
            drop(waiter.reply.send(event.clone()));
        }
    }

    /// Marks the task as ended and returns what it has to release; `None` if there are new waits.
    fn finish_if_idle(&self) -> Option<Finished> {
        let mut state = lock(&self.state);
        state.is_task_running = !state.waiters.is_empty();
        state.is_connected &= state.is_task_running;
        let is_idle = !state.is_task_running;
        is_idle.then(|| Finished { offered_lease: state.offered_lease.take() })
    }
}

/// What an ended task has to release.
struct Finished {
    offered_lease: Option<Lease>,
}

/// A query for the confirmation of a position.
#[derive(Debug, Clone, Copy)]
struct Query {
    position: Position,
    account: AccountId,
    deadline: Time,
}

async fn run(target_waits: Arc<TargetWaits>, host: Arc<Host>, key: Key) {
    let mut lease = None;
    let finished = loop {
        let Some(query) = target_waits.next_query(host.clock.now()) else {
            let woken = tokio::time::timeout(IDLE_TIMEOUT, target_waits.wake.notified()).await;
            if woken.is_err()
                && let Some(finished) = target_waits.finish_if_idle()
            {
                break finished;
            }
            continue;
        };
        if lease.is_none() {
            lease = target_waits.take_offered_lease();
        }
        let result = query_confirmed(&host, key, &mut lease, query).await;
        if let Some(unused) = target_waits.set_connected(lease.is_some()) {
            unused.release_clean();
        }
        match result {
            Ok(confirmed) => target_waits.record_confirmed(confirmed, host.clock.now()),
            Err(failure) => target_waits.fail_waiters(&failure, query.position.term),
        }
    };
    [lease, finished.offered_lease].into_iter().flatten().for_each(Lease::release_clean);
}

/// Sends the query over the connection in `lease`, or over a new one if there is none. `lease` is
/// empty after a failure.
async fn query_confirmed(
    host: &Arc<Host>,
    key: Key,
    lease: &mut Option<Lease>,
    query: Query,
) -> Result<Position, Error> {
    let open = match lease.take() {
        Some(open) => open,
        None => acquire(host, key, query).await?,
    };
    let now = host.clock.now();
    let server_wait = SERVER_WAIT.min(query.deadline.saturating_sub(now));
    let requested = query.position;
    let numbers = [requested.term, requested.index, server_wait.as_millis() as u64];
    let [term, index, millis] = numbers.map(|n| i64::try_from(n).unwrap_or(i64::MAX));
    let params: [(&(dyn ToSql + Sync), Type); 3] =
        [(&term, Type::INT8), (&index, Type::INT8), (&millis, Type::INT8)];
    let work = open.client().query_typed_one(CONFIRMED, &params);
    let row = match exchange::run(host, &open, now + server_wait + RESPONSE_MARGIN, work).await {
        Ok(row) => row,
        Err(failure) => {
            exchange::record_work(host, key, Some(&failure));
            if matches!(failure, Error::Failed(..)) {
                open.release_clean();
            }
            return Err(failure);
        }
    };
    *lease = Some(open);
    position(&row, "confirmed_term", "confirmed_index").map_err(|_| Error::ConnectionLost)
}

async fn acquire(host: &Arc<Host>, key: Key, query: Query) -> Result<Lease, Error> {
    let lease = host.pools.acquire(host, key, query.account, query.deadline).await;
    lease.map_err(|_| Error::ConnectionLost)
}
