//! Leases of connections: the core's pool and ledger of each target, with sockets and waiters.
//!
//! All state is behind one lock, which is never held while something is awaited. An action of the
//! core that takes time runs in a task of its own and reports back.

use super::Key;
use super::connection::Connection;
use super::lease::Lease;
use super::probe::{Failure, failure};
use crate::shared::Host;
use bergamotvale_core::config::Target;
use bergamotvale_core::fair::{Order, Queue, Waiter};
use bergamotvale_core::id::{AccountId, RequestId, TargetId, Time};
use bergamotvale_core::log::Term;
use bergamotvale_core::pool::{Action, ConnectionId, OpenError, Pool, Settings, State as Stage};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::slot::{self, Ledger};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

/// Time that the other end of an idle connection has to give a sign of life.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two looks of a waiting request whether its primary was replaced.
const REPLACED_LOOK: Duration = Duration::from_millis(20);
/// Time between two looks whether a planned promotion has ended.
const LOOK: Duration = Duration::from_millis(5);
const CHECK: &str = "SELECT 1";

/// State of all pools.
#[derive(Default)]
pub(crate) struct Pools {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    requests: RequestId,
    targets: BTreeMap<Key, Entry>,
}

/// Connections to one target.
pub(crate) struct Entry {
    pub(crate) pool: Pool,
    pub(crate) ledger: Ledger,
    pub(crate) lenders: usize,
    pub(crate) asking: bool,
    pub(crate) idle_since: Option<Time>,
    address: SocketAddr,
    connections: BTreeMap<ConnectionId, Connection>,
    waiting: BTreeMap<RequestId, oneshot::Sender<Result<Lease, Reason>>>,
}

impl Pools {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Runs `work` on the connections to `key`, if there are any.
    pub(crate) fn with<T>(&self, key: Key, work: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        self.lock().targets.get_mut(&key).map(work)
    }

    /// Targets that have a pool.
    pub(crate) fn keys(&self) -> Vec<Key> {
        self.lock().targets.keys().copied().collect()
    }

    /// Makes a pool for the target at `key`, unless it is there.
    pub(crate) fn ensure(&self, host: &Host, key: Key, target: &Target) {
        let mut state = self.lock();
        let known = state.targets.get(&key).is_some_and(|e| e.address == target.address);
        if !known {
            state.targets.insert(key, Entry::new(host, target));
        }
    }

    /// Forgets the targets that `keep` does not want.
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
        let settle = slot::growth_delay(host.settings.policy.authority);
        Entry {
            pool: Pool::new(0, queue, Settings::default()),
            ledger: Ledger::new(host.incarnation, settle),
            lenders: 0,
            asking: false,
            idle_since: None,
            address: target.address,
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Requests that have a connection or wait for one.
    pub(crate) fn in_use(&self) -> usize {
        self.pool.leased() + self.pool.waiting()
    }

    /// Drops the idle connections that the other end has closed.
    pub(crate) fn drop_closed(&mut self, now: Time) -> Vec<Action> {
        let closed: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_dirty())
            .map(|(id, _)| *id)
            .filter(|id| matches!(self.pool.state(*id), Some(Stage::Idle { .. })))
            .collect();
        let mut actions = Vec::new();
        for id in closed {
            self.connections.remove(&id);
            actions.extend(self.pool.disconnected(now, id));
        }
        actions
    }

    /// Lets the pool hold what the ledger allows now.
    pub(crate) fn apply_share(&mut self, now: Time) -> Vec<Action> {
        let usable = self.ledger.usable(now) as usize;
        if usable == self.pool.limit() { Vec::new() } else { self.pool.set_limit(now, usable) }
    }
}

/// Waits for a connection to `key` on behalf of `account`, until `deadline`.
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
        if let Some(entered) = enter(host, key, waiter, &mut sender)? {
            break entered;
        }
        if host.clock.now() >= deadline {
            return Err(refusal(Reason::QueueTimeout));
        }
        tokio::time::sleep(LOOK).await;
        if host.failover.primary(key.0) != primary {
            return Err(Refusal::new(Reason::WritesHeld, "the primary was replaced by plan"));
        }
    };
    perform(host, key, actions);
    let _place = Place { host: host.clone(), key, request };
    let led = primary.filter(|(target, _)| *target == key.1);
    granted(host, key, led, deadline, receiver).await
}

/// Waits in the queue; leaves it when the primary that it is for, if any, is replaced.
///
/// The connections of a primary that is cut off stay taken until their owners give up, so that
/// whoever waits on for one misses the new primary.
async fn granted(
    host: &Host,
    key: Key,
    led: Option<(TargetId, Term)>,
    deadline: Time,
    mut receiver: oneshot::Receiver<Result<Lease, Reason>>,
) -> Result<Lease, Refusal> {
    loop {
        let left = deadline.saturating_sub(host.clock.now());
        let time = if led.is_some() { left.min(REPLACED_LOOK) } else { left };
        match tokio::time::timeout(time, &mut receiver).await {
            Ok(Ok(Ok(lease))) => return Ok(lease),
            Ok(Ok(Err(reason))) => return Err(refusal(reason)),
            Ok(Err(_)) => return Err(refusal(Reason::QueueTimeout)),
            Err(_) if left.is_zero() => return Err(refusal(Reason::QueueTimeout)),
            Err(_) if led.is_some() && host.failover.primary(key.0) != led => {
                return Err(Refusal::new(Reason::Superseded, "the primary was replaced"));
            }
            Err(_) => {}
        }
    }
}

/// Puts a request into the queue, unless its target is held.
fn enter(
    host: &Host,
    key: Key,
    waiter: impl FnOnce(RequestId) -> Waiter,
    sender: &mut Option<oneshot::Sender<Result<Lease, Reason>>>,
) -> Result<Option<(RequestId, Vec<Action>)>, Refusal> {
    let mut state = host.pools.inner.lock();
    let now = host.clock.now();
    // Asked under the lock: who counts what is in use after a hold began misses nobody.
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

/// A request's place in the queue; leaves it on drop.
struct Place {
    host: Arc<Host>,
    key: Key,
    request: RequestId,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.host.pools.inner.with(self.key, |entry| {
            if entry.waiting.remove(&self.request).is_some() {
                entry.pool.cancel(self.request);
            }
        });
    }
}

/// Carries out what a pool decided.
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

fn step(host: &Arc<Host>, key: Key, work: impl FnOnce(&mut Entry) -> Vec<Action>) {
    let actions = host.pools.inner.with(key, work);
    perform(host, key, actions.unwrap_or_default());
}

async fn open(host: Arc<Host>, key: Key, connection: ConnectionId) {
    let Some(address) = host.pools.inner.with(key, |entry| entry.address) else { return };
    let opened = Connection::open(address, &host.settings).await;
    let now = host.clock.now();
    step(&host, key, |entry| match opened {
        Ok(open) => {
            entry.connections.insert(connection, open);
            entry.pool.opened(now, connection)
        }
        Err(error) => {
            let refused = match failure(&error) {
                Failure::TooManyConnections => OpenError::TargetFull,
                _ => OpenError::Unreachable,
            };
            host.metric.count("target.not_opened");
            entry.pool.open_failed(now, connection, refused)
        }
    });
}

async fn check(host: Arc<Host>, key: Key, connection: ConnectionId) {
    let taken = host.pools.inner.with(key, |entry| entry.connections.remove(&connection));
    let Some(open) = taken.flatten() else { return };
    let alive = open.exchange(CHECK_TIMEOUT, open.client().batch_execute(CHECK)).await.is_ok();
    let now = host.clock.now();
    step(&host, key, |entry| {
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
    // The socket goes first; only then does the slot count as free.
    drop(host.pools.inner.with(key, |entry| entry.connections.remove(&connection)));
    step(host, key, |entry| entry.pool.closed(now, connection));
}

fn lease(host: &Arc<Host>, key: Key, request: RequestId, connection: ConnectionId) {
    let handed = host.pools.inner.with(key, |entry| {
        let open = entry.connections.remove(&connection)?;
        Some((entry.waiting.remove(&request), open))
    });
    let Some((waiter, open)) = handed.flatten() else { return };
    let lease = Lease::new(host.clone(), key, connection, open);
    let Some(waiter) = waiter else { return lease.release_clean() };
    if let Err(Ok(lease)) = waiter.send(Ok(lease)) {
        // Nobody waits any more, and nothing has happened on the connection.
        lease.release_clean();
    }
}

fn refuse(host: &Arc<Host>, key: Key, request: RequestId, reason: Reason) {
    let waiter = host.pools.inner.with(key, |entry| entry.waiting.remove(&request));
    if let Some(waiter) = waiter.flatten() {
        // A waiter that is gone needs no answer.
        drop(waiter.send(Err(reason)));
    }
}

/// The owner of a connection is done with it.
pub(crate) fn released(
    host: &Arc<Host>,
    key: Key,
    connection: ConnectionId,
    kept: Option<Connection>,
) {
    let now = host.clock.now();
    let clean = kept.is_some();
    step(host, key, |entry| {
        if let Some(open) = kept {
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
