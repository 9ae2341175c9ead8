//! Connection pools: combines the core's pool and slot ledger of each target with the sockets and
//! the waiting requests.
//!
//! All state is behind one lock, which is never held across an await point. An action of the core
//! that takes time runs in a separate task, which reports the result back to the pool.

use super::Key;
use super::connection::Connection;
use super::lease::Lease;
use super::probe::{Failure, classify};
use crate::shared::Host;
use bergamotvale_core::config::Target;
use bergamotvale_core::fair::{Order, Queue, Waiter};
use bergamotvale_core::id::{AccountId, RequestId, TargetId, Time};
use bergamotvale_core::log::Term;
use bergamotvale_core::pool::{
    Action, ConnectionId, OpenError, Pool, Settings, State as ConnectionState,
};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::slot::{self, Ledger};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

/// Time within which the target must respond to the check of an idle connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a waiting request checks whether its primary was replaced.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a request checks whether a planned promotion has ended.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);
const CHECK: &str = "SELECT 1";

/// The pools of all targets.
#[derive(Default)]
pub(crate) struct Pools {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    requests: RequestId,
    targets: BTreeMap<Key, Entry>,
}

/// The pool of one target, its sockets and its waiting requests.
pub(crate) struct Entry {
    pub(crate) pool: Pool,
    pub(crate) ledger: Ledger,
    /// Index, modulo the number of peers, of the peer that receives the next loan request.
    pub(crate) next_lender: usize,
    pub(crate) is_loan_pending: bool,
    /// Since when borrowed slots have been idle; `None` if they are in use.
    pub(crate) idle_since: Option<Time>,
    address: SocketAddr,
    connections: BTreeMap<ConnectionId, Connection>,
    waiting: BTreeMap<RequestId, oneshot::Sender<Result<Lease, Reason>>>,
}

impl Pools {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Runs `work` on the pool of `key`; `None` if there is none.
    pub(crate) fn with<T>(&self, key: Key, work: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        self.lock().targets.get_mut(&key).map(work)
    }

    /// Targets that have a pool.
    pub(crate) fn keys(&self) -> Vec<Key> {
        self.lock().targets.keys().copied().collect()
    }

    /// Creates the pool of the target at `key` if it is missing or the target's address changed.
    pub(crate) fn ensure(&self, host: &Host, key: Key, target: &Target) {
        let mut state = self.lock();
        let is_current = state.targets.get(&key).is_some_and(|e| e.address == target.address);
        if !is_current {
            state.targets.insert(key, Entry::new(host, target));
        }
    }

    /// Removes the pools for which `keep` is false.
    pub(crate) fn retain(&self, keep: impl Fn(&Key) -> bool) {
        self.lock().targets.retain(|key, _| keep(key));
    }
}

impl Entry {
    fn new(host: &Host, target: &Target) -> Entry {
        let order = match host.settings.policy.slots {
            crate::settings::Slots::Fair => Order::Fair,
            crate::settings::Slots::Arrival => Order::Arrival,
        };
        let queue = Queue::new(host.settings.limits.queue).with_order(order);
        let growth_delay = slot::growth_delay(host.settings.policy.authority);
        Entry {
            pool: Pool::new(0, queue, Settings::default()),
            ledger: Ledger::new(host.incarnation, growth_delay),
            next_lender: 0,
            is_loan_pending: false,
            idle_since: None,
            address: target.address,
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Number of requests that hold a connection or wait for one.
    pub(crate) fn in_use(&self) -> usize {
        self.pool.leased() + self.pool.waiting()
    }

    /// Removes the idle connections that the target has closed.
    pub(crate) fn drop_closed(&mut self, now: Time) -> Vec<Action> {
        let closed: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_dirty())
            .map(|(id, _)| *id)
            .filter(|id| matches!(self.pool.state(*id), Some(ConnectionState::Idle { .. })))
            .collect();
        let mut actions = Vec::new();
        for id in closed {
            self.connections.remove(&id);
            actions.extend(self.pool.disconnected(now, id));
        }
        actions
    }

    /// Sets the pool's limit to the number of slots that the ledger allows now.
    pub(crate) fn apply_share(&mut self, now: Time) -> Vec<Action> {
        let usable = self.ledger.usable(now) as usize;
        if usable == self.pool.limit() { Vec::new() } else { self.pool.set_limit(now, usable) }
    }
}

/// Waits for a connection to `key` on behalf of `account`, at most until `deadline`.
pub(crate) async fn acquire(
    host: &Arc<Host>,
    key: Key,
    account: AccountId,
    deadline: Time,
) -> Result<Lease, Refusal> {
    let document = host.document();
    let target = document.services.get(&key.0).and_then(|s| s.targets.get(&key.1));
    let target = target.ok_or_else(|| Refusal::new(Reason::NotFound, "no such target"))?;
    let primary = host.failover.primary(key.0);
    let weight = document.accounts.get(&account).map_or(1, |account| account.weight);
    host.pools.inner.ensure(host, key, target);
    let (sender, receiver) = oneshot::channel();
    let mut sender = Some(sender);
    let (request, actions) = loop {
        let waiter = |request| Waiter { request, account, weight, deadline };
        if let Some(enqueued) = enqueue(host, key, waiter, &mut sender)? {
            break enqueued;
        }
        if host.clock.now() >= deadline {
            return Err(refusal(Reason::QueueTimeout));
        }
        tokio::time::sleep(HOLD_POLL_INTERVAL).await;
        if host.failover.primary(key.0) != primary {
            return Err(Refusal::new(Reason::WritesHeld, "the primary was replaced by plan"));
        }
    };
    perform(host, key, actions);
    let _queue_guard = QueueGuard { host: host.clone(), key, request };
    let expected_primary = primary.filter(|(target, _)| *target == key.1);
    wait_for_lease(host, key, expected_primary, deadline, receiver).await
}

/// Waits in the queue for a lease; gives up if `expected_primary` is replaced.
///
/// The connections to a partitioned primary stay leased until their owners time out. A request
/// that kept waiting for one of them would not get to the new primary.
async fn wait_for_lease(
    host: &Host,
    key: Key,
    expected_primary: Option<(TargetId, Term)>,
    deadline: Time,
    mut receiver: oneshot::Receiver<Result<Lease, Reason>>,
) -> Result<Lease, Refusal> {
    loop {
        let time_left = deadline.saturating_sub(host.clock.now());
        let poll_timeout = if expected_primary.is_some() {
            time_left.min(PRIMARY_POLL_INTERVAL)
        } else {
            time_left
        };
        match tokio::time::timeout(poll_timeout, &mut receiver).await {
            Ok(Ok(Ok(lease))) => return Ok(lease),
            Ok(Ok(Err(reason))) => return Err(refusal(reason)),
            Ok(Err(_)) => return Err(refusal(Reason::QueueTimeout)),
            Err(_) if time_left.is_zero() => return Err(refusal(Reason::QueueTimeout)),
            Err(_)
                if expected_primary.is_some()
                    && host.failover.primary(key.0) != expected_primary =>
            {
                return Err(Refusal::new(Reason::Superseded, "the primary was replaced"));
            }
            Err(_) => {}
        }
    }
}

/// Puts a request into the queue; `None` if the target is held for a planned promotion.
fn enqueue(
    host: &Host,
    key: Key,
    waiter: impl FnOnce(RequestId) -> Waiter,
    sender: &mut Option<oneshot::Sender<Result<Lease, Reason>>>,
) -> Result<Option<(RequestId, Vec<Action>)>, Refusal> {
    let mut state = host.pools.inner.lock();
    let now = host.clock.now();
    // Checked under the lock, so that a count of the requests in use after the hold began includes
    // every request that was let through before.
    if host.failover.is_held(now, key) {
        return Ok(None);
    }
    state.requests += 1;
    let request = state.requests;
    let Some(entry) = state.targets.get_mut(&key) else {
        return Err(Refusal::new(Reason::NotFound, "no such target"));
    };
    entry.waiting.extend(sender.take().map(|sender| (request, sender)));
    let mut actions = entry.drop_closed(now);
    actions.extend(entry.pool.acquire(now, waiter(request)));
    Ok(Some((request, actions)))
}

/// Removes a request from the queue when dropped.
struct QueueGuard {
    host: Arc<Host>,
    key: Key,
    request: RequestId,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.host.pools.inner.with(self.key, |entry| {
            if entry.waiting.remove(&self.request).is_some() {
                entry.pool.cancel(self.request);
            }
        });
    }
}

/// Performs the actions that a pool decided on.
pub(crate) fn perform(host: &Arc<Host>, key: Key, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Open(connection) => drop(tokio::spawn(open(host.clone(), key, connection))),
            Action::Check(connection) => drop(tokio::spawn(check(host.clone(), key, connection))),
            Action::Close(connection) => close(host, key, connection),
            Action::Lease(request, connection) => lease(host, key, request, connection),
            Action::Refuse(request, reason) => refuse(host, key, request, reason),
        }
    }
}

fn update(host: &Arc<Host>, key: Key, work: impl FnOnce(&mut Entry) -> Vec<Action>) {
    let actions = host.pools.inner.with(key, work);
    perform(host, key, actions.unwrap_or_default());
}

async fn open(host: Arc<Host>, key: Key, connection: ConnectionId) {
    let Some(address) = host.pools.inner.with(key, |entry| entry.address) else { return };
    let opened = Connection::open(address, &host.settings).await;
    let now = host.clock.now();
    update(&host, key, |entry| match opened {
        Ok(open) => {
            entry.connections.insert(connection, open);
            entry.pool.opened(now, connection)
        }
        Err(error) => {
            let open_error = match classify(&error) {
                Failure::TooManyConnections => OpenError::TargetFull,
                _ => OpenError::Unreachable,
            };
            host.metric.count("target.not_opened");
            entry.pool.open_failed(now, connection, open_error)
        }
    });
}

async fn check(host: Arc<Host>, key: Key, connection: ConnectionId) {
    let taken = host.pools.inner.with(key, |entry| entry.connections.remove(&connection));
    let Some(open) = taken.flatten() else { return };
    let alive = open.exchange(CHECK_TIMEOUT, open.client().batch_execute(CHECK)).await.is_ok();
    let now = host.clock.now();
    update(&host, key, |entry| {
        if alive {
            entry.connections.insert(connection, open);
        } else {
            host.metric.count("target.check_failed");
        }
        entry.pool.checked(now, connection, alive)
    });
}

fn close(host: &Arc<Host>, key: Key, connection: ConnectionId) {
    let now = host.clock.now();
    // The socket is closed before the slot counts as free.
    drop(host.pools.inner.with(key, |entry| entry.connections.remove(&connection)));
    update(host, key, |entry| entry.pool.closed(now, connection));
}

fn lease(host: &Arc<Host>, key: Key, request: RequestId, connection: ConnectionId) {
    let taken = host.pools.inner.with(key, |entry| {
        let open = entry.connections.remove(&connection)?;
        Some((entry.waiting.remove(&request), open))
    });
    let Some((waiter, open)) = taken.flatten() else { return };
    let lease = Lease::new(host.clone(), key, connection, open);
    let Some(waiter) = waiter else { return lease.release_clean() };
    if let Err(Ok(lease)) = waiter.send(Ok(lease)) {
        // The request no longer waits, and the connection is unused.
        lease.release_clean();
    }
}

fn refuse(host: &Arc<Host>, key: Key, request: RequestId, reason: Reason) {
    let waiter = host.pools.inner.with(key, |entry| entry.waiting.remove(&request));
    if let Some(waiter) = waiter.flatten() {
        // Sending fails if the request no longer waits.
        drop(waiter.send(Err(reason)));
    }
}

/// Records that the owner of a connection released it; `clean_connection` is `None` if it was
/// closed.
pub(crate) fn record_release(
    host: &Arc<Host>,
    key: Key,
    connection: ConnectionId,
    clean_connection: Option<Connection>,
) {
    let now = host.clock.now();
    let clean = clean_connection.is_some();
    update(host, key, |entry| {
        if let Some(open) = clean_connection {
            entry.connections.insert(connection, open);
        }
        entry.pool.released(now, connection, clean)
    });
}

fn refusal(reason: Reason) -> Refusal {
    let detail = match reason {
        Reason::QueueFull => "too many requests wait for a connection to meet the deadline",
        Reason::QueueTimeout => "no connection came free in time",
        Reason::ConnectionRefused => "the target cannot be reached",
        _ => "no connection",
    };
    Refusal::new(reason, detail)
}
