//! Connections to one target, shared by this host's sessions.
//!
//! Each connection belongs to one client account. A session takes an idle one of its account,
//! opens a new one while the host's share of the target's limit lasts, replaces the one of another
//! account that was idle longest, or waits. Who waits is served by priority, then by order.

use crate::connection::{Connection, Failure};
use crate::state::Host;
use crate::target::{Target, name_hash};
use bergamotvale_core::id::{HostId, Version};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::directory::Entry;
use bergamotvale_core::proxy::lease::Revision;
use bergamotvale_core::rendezvous::Subject;
use bergamotvale_core::share::share_of;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Percentage of a target's limit that the hosts use together. Connections of hosts that vanished
/// count at the target for a few seconds, in which the hosts that come back need others.
const USED_PERCENT: u32 = 80;
/// Time for which somebody who waits may be passed by others whose account has a connection.
const PASS_LIMIT: Duration = Duration::from_millis(60);
/// Time for which a host opens no further connections after the target had too many.
const FULL_TIME: Duration = Duration::from_millis(150);

/// Connections to one target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
    open: u32,
    limit: u32,
    waiting: BTreeMap<(u32, u64), Waiter>,
    next: u64,
    full_until: Option<Instant>,
    /// Revision of the members and version of the configuration that the limit follows from.
    basis: Option<(Revision, Version)>,
}

#[derive(Debug)]
struct Waiter {
    account: String,
    since: Instant,
    sender: oneshot::Sender<Grant>,
}

/// What somebody who waited gets.
#[derive(Debug)]
enum Grant {
    /// A connection of the same account.
    Connection(Connection),
    /// Leave to open one.
    Room,
}

/// How a request for a connection was met.
enum Offer {
    Connection(Connection),
    Room,
    Wait(oneshot::Receiver<Grant>),
    Full,
}

impl Pool {
    /// Whether an idle connection of the account is there.
    pub fn has_idle(&self, account: &str) -> bool {
        self.idle.iter().any(|connection| connection.account == account)
    }

    /// Whether a connection may be opened, also in place of an idle one.
    pub fn has_room(&self) -> bool {
        self.may_open() || !self.idle.is_empty()
    }

    /// Whether another connection may be opened. One may always be tried where there is none.
    fn may_open(&self) -> bool {
        let is_full = self.full_until.is_some_and(|until| Instant::now() < until);
        self.open < self.limit && (self.open == 0 || !is_full)
    }

    /// Account of some idle connection.
    pub fn idle_account(&self) -> Option<&str> {
        self.idle.last().map(|connection| connection.account.as_str())
    }

    /// Connections that are open or being opened.
    pub fn open_count(&self) -> u32 {
        self.open
    }

    /// Connections that this host may have.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Closes all idle connections: the target is gone.
    pub fn close_idle(&mut self) {
        self.open -= u32::try_from(self.idle.len()).unwrap_or(self.open);
        self.idle.clear();
    }

    /// Time that somebody who joins the queue now will wait, given the mean time of a statement.
    fn expected_wait(&self, work: Duration) -> Duration {
        let ahead = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX).saturating_add(1);
        work.saturating_mul(ahead) / self.limit.max(1)
    }

    fn take_idle(&mut self, account: &str) -> Option<Connection> {
        while let Some(index) = self.idle.iter().rposition(|c| c.account == account) {
            let connection = self.idle.remove(index);
            if !connection.is_stale() {
                return Some(connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Meets a request at once, or queues it if it may be met within `max_wait`.
    fn offer(&mut self, request: &ConnectionRequest<'_>, work: Duration) -> Offer {
        let ConnectionRequest { account, priority, .. } = *request;
        if let Some(connection) = self.take_idle(account) {
            return Offer::Connection(connection);
        }
        if self.may_open() {
            self.open += 1;
            return Offer::Room;
        }
        if !self.idle.is_empty() {
            // The longest idle one stands first. Its place goes to the new one.
            drop(self.idle.remove(0));
            return Offer::Room;
        }
        if self.expected_wait(work) > request.max_wait {
            return Offer::Full;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(
            (priority, self.next),
            Waiter { account: account.to_owned(), since: Instant::now(), sender },
        );
        self.next += 1;
        Offer::Wait(receiver)
    }

    /// Takes a connection back, for the first that waits or to rest.
    fn release(&mut self, connection: Connection) {
        if self.open > self.limit {
            self.open -= 1;
            return;
        }
        let mut connection = connection;
        while let Some(waiter) = self.next_waiter(&connection.account) {
            if waiter.account != connection.account {
                drop(connection);
                return self.give_room_to(waiter);
            }
            match waiter.sender.send(Grant::Connection(connection)) {
                Ok(()) => return,
                Err(Grant::Connection(back)) => connection = back,
                Err(Grant::Room) => return,
            }
        }
        self.idle.push(connection);
    }

    /// A connection is gone: somebody who waits may open another.
    fn give_room(&mut self) {
        if self.open > self.limit {
            self.open -= 1;
            return;
        }
        match self.waiting.pop_first() {
            Some((_, waiter)) => self.give_room_to(waiter),
            None => self.open -= 1,
        }
    }

    fn give_room_to(&mut self, waiter: Waiter) {
        if waiter.sender.send(Grant::Room).is_err() {
            self.give_room();
        }
    }

    /// Who is served next. One of the same account goes ahead of others of its priority, since a
    /// connection for another account takes a slot's time to open, but not for long.
    fn next_waiter(&mut self, account: &str) -> Option<Waiter> {
        let (first, waiter) = self.waiting.first_key_value()?;
        let first = *first;
        let may_pass = waiter.since.elapsed() < PASS_LIMIT;
        let is_next =
            |(key, waiter): &(&(u32, u64), &Waiter)| key.0 == first.0 && waiter.account == account;
        let same = self.waiting.iter().find(is_next).filter(|_| may_pass);
        let key = same.map_or(first, |(key, _)| *key);
        self.waiting.remove(&key)
    }
}

/// A connection in use; dropped without [`Checkout::release`], it is closed.
pub struct Checkout {
    /// Its target.
    pub target: Rc<Target>,
    connection: Option<Connection>,
}

impl Checkout {
    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("only giving back takes it out")
    }

    /// Returns the connection, which is in a clean state, for other sessions.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.target.pool.borrow_mut().release(connection);
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.target.pool.borrow_mut().give_room();
        }
    }
}

/// Leave to open a connection, given up when dropped.
struct Room {
    target: Rc<Target>,
    used: bool,
}

impl Drop for Room {
    fn drop(&mut self) {
        if !self.used {
            self.target.pool.borrow_mut().give_room();
        }
    }
}

/// Whom a connection is for.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionRequest<'a> {
    /// Client account.
    pub account: &'a str,
    /// 0 goes first.
    pub priority: u32,
    /// Time until which to wait.
    pub deadline: Instant,
    /// Time that waiting may be expected to take; beyond it the request is refused at once.
    pub max_wait: Duration,
}

/// Takes a connection to a target.
pub async fn acquire(
    host: &Host,
    entry: &Entry,
    request: ConnectionRequest<'_>,
) -> Result<Checkout, Failure> {
    let target = host.targets.get(&entry.name);
    set_limit(host, &target, &entry.service);
    let offer = target.pool.borrow_mut().offer(&request, target.work());
    let grant = match offer {
        Offer::Connection(connection) => Grant::Connection(connection),
        Offer::Room => Grant::Room,
        Offer::Full => {
            host.metrics.count("queue_full");
            return Err(Failure::Full);
        }
        Offer::Wait(receiver) => {
            host.metrics.count("connection_waits");
            let began = Instant::now();
            let granted = tokio::time::timeout_at(request.deadline, receiver).await;
            host.metrics.time("queue_wait", began.elapsed());
            match granted {
                Ok(Ok(grant)) => grant,
                Ok(Err(_)) | Err(_) => return Err(Failure::Late),
            }
        }
    };
    match grant {
        Grant::Connection(connection) => Ok(Checkout { target, connection: Some(connection) }),
        Grant::Room => {
            let mut room = Room { target: target.clone(), used: false };
            let began = Instant::now();
            let opened =
                Connection::open(host, &target, entry, request.account, request.deadline).await;
            host.metrics.time("connection_open", began.elapsed());
            if matches!(opened, Err(Failure::Refused(Code::TooManyConnections))) {
                let deadline = Instant::now() + FULL_TIME;
                target.pool.borrow_mut().full_until = Some(deadline);
            }
            let connection = opened?;
            room.used = true;
            Ok(Checkout { target, connection: Some(connection) })
        }
    }
}

/// Brings the host's share of the target's limit up to date.
fn set_limit(host: &Host, target: &Target, service: &str) {
    let basis = (host.lease.borrow().revision(), host.catalog.borrow().version);
    if target.pool.borrow().basis == Some(basis) {
        return;
    }
    let total = host.catalog.borrow().groups.get(service).map_or(1, |g| g.connection_limit);
    let members: BTreeSet<HostId> = host.lease.borrow().members().keys().copied().collect();
    let used = u64::from(total * USED_PERCENT / 100);
    let subject = Subject::Connection(name_hash(&target.name));
    let part = share_of(used, &members, host.id, subject, members.len());
    let mut pool = target.pool.borrow_mut();
    pool.limit = u32::try_from(part).unwrap_or(u32::MAX).max(1);
    pool.basis = Some(basis);
}
