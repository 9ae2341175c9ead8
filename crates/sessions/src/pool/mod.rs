//! The connection pool of one target, shared by this host's sessions.
//!
//! Each connection belongs to one client account. A session gets an idle connection of its account;
//! otherwise it opens one if the host's share of the target's limit permits, replaces the longest
//! idle connection of another account, or waits. Waiters are served by priority, then in order of
//! arrival. [`connection`] has the exchanges on a connection, [`target`] what this host knows of a
//! target.

pub mod connection;
pub mod target;

use crate::forward;
use crate::state::Host;
use bergamotvale_core::id::{HostId, Version};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::directory::Entry;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::rendezvous::Subject;
use bergamotvale_core::share::share_of;
use connection::{Connection, Failure};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use target::{Target, name_hash};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Percentage of a target's connection limit that all hosts use together. Connections of a failed
/// host count at the target for a few seconds, in which the restarted host needs new ones.
const USABLE_PERCENT: u32 = 80;
/// Time for which the first waiter may be overtaken by others whose account has a free connection.
const MAX_OVERTAKEN_WAIT: Duration = Duration::from_millis(60);
/// Time for which a host opens no further connection to a target that reported too many.
const TOO_MANY_CONNECTIONS_DELAY: Duration = Duration::from_millis(150);

/// Connections to one target, and the requests that wait for one.
#[derive(Debug, Default)]
pub struct Pool {
    /// Idle connections, the longest idle first.
    idle: Vec<Connection>,
    /// Connections that are open or being opened.
    open: u32,
    limit: u32,
    /// Waiting requests by priority and sequence number.
    waiting: BTreeMap<(u32, u64), Waiter>,
    next_sequence: u64,
    /// End of the delay after the target reported too many connections.
    full_until: Option<Instant>,
    /// Revision of the members and version of the configuration from which `limit` was computed.
    limit_basis: Option<(Revision, Version)>,
    /// Whether only the owners of the target's connections may open any, see [`crate::forward`].
    is_forwarded: bool,
}

#[derive(Debug)]
struct Waiter {
    account: String,
    queued_at: Instant,
    sender: oneshot::Sender<Grant>,
}

/// What a request receives.
#[derive(Debug)]
enum Grant {
    /// An open connection of the same account.
    Connection(Connection),
    /// Permission to open a connection; it already counts as open.
    Permit,
}

/// Result of a request for a connection.
enum Decision {
    Connection(Connection),
    Permit,
    /// Queued; the receiver gets the grant.
    Wait(oneshot::Receiver<Grant>),
    /// Refused, because the expected wait is longer than the request's `max_wait`.
    Full,
}

impl Pool {
    /// Whether there is an idle connection of the account.
    pub fn has_idle(&self, account: &str) -> bool {
        self.idle.iter().any(|connection| connection.account == account)
    }

    /// Whether a connection may be opened, possibly in place of an idle one.
    pub fn can_connect(&self) -> bool {
        self.can_open(self.limit) || !self.idle.is_empty()
    }

    /// Number of connections above which one is closed when it is returned. Waiters on a host that
    /// owns none need one, or they would wait in vain.
    fn retained(&self) -> u32 {
        self.limit.max(u32::from(!self.waiting.is_empty()))
    }

    /// Whether one more connection may be opened. During the delay after too many connections, a
    /// host without any may still try to open one.
    fn can_open(&self, limit: u32) -> bool {
        let is_full = self.full_until.is_some_and(|until| Instant::now() < until);
        self.open < limit && (self.open == 0 || !is_full)
    }

    /// Account of the most recently used idle connection.
    pub fn idle_account(&self) -> Option<&str> {
        self.idle.last().map(|connection| connection.account.as_str())
    }

    /// Number of connections that are open or being opened.
    pub fn open_count(&self) -> u32 {
        self.open
    }

    /// Number of connections that this host may have to the target; 0 before the first request.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Closes all idle connections, because the target was removed from the directory.
    pub fn close_idle(&mut self) {
        self.open -= u32::try_from(self.idle.len()).unwrap_or(self.open);
        self.idle.clear();
    }

    /// Closes idle connections, the longest idle first, while there are more than the limit.
    fn close_idle_above_limit(&mut self) {
        let excess = self.open.saturating_sub(self.limit) as usize;
        let count = excess.min(self.idle.len());
        drop(self.idle.drain(..count));
        self.open -= u32::try_from(count).unwrap_or(self.open);
    }

    /// Number of requests that wait for a connection.
    pub fn waiting_count(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Expected wait of a request that is queued now, given the mean duration of a statement.
    fn expected_wait(&self, statement_time: Duration) -> Duration {
        let ahead = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX).saturating_add(1);
        statement_time.saturating_mul(ahead) / self.limit.max(1)
    }

    /// Takes an idle connection of the account, and closes stale ones on the way.
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

    /// Grants a request at once, or queues it unless the expected wait exceeds its `max_wait`.
    fn admit(&mut self, request: &ConnectionRequest<'_>, statement_time: Duration) -> Decision {
        let ConnectionRequest { account, priority, .. } = *request;
        if let Some(connection) = self.take_idle(account) {
            return Decision::Connection(connection);
        }
        if self.can_open(self.limit.max(u32::from(request.is_last_resort))) {
            self.open += 1;
            return Decision::Permit;
        }
        if !self.idle.is_empty() {
            // Closes the longest idle connection; the new one counts as open in its stead.
            drop(self.idle.remove(0));
            return Decision::Permit;
        }
        if self.expected_wait(statement_time) > request.max_wait {
            return Decision::Full;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(
            (priority, self.next_sequence),
            Waiter { account: account.to_owned(), queued_at: Instant::now(), sender },
        );
        self.next_sequence += 1;
        Decision::Wait(receiver)
    }

    /// Takes back a connection, and grants it to a waiter or keeps it idle. Closes it if the host
    /// is over its limit.
    fn release(&mut self, connection: Connection) {
        if self.open > self.retained() {
            self.open -= 1;
            return;
        }
        let mut connection = connection;
        while let Some(waiter) = self.pop_waiter(&connection.account) {
            if waiter.account != connection.account {
                drop(connection);
                return self.grant_permit(waiter);
            }
            match waiter.sender.send(Grant::Connection(connection)) {
                Ok(()) => return,
                Err(Grant::Connection(unsent)) => connection = unsent,
                Err(Grant::Permit) => return,
            }
        }
        self.idle.push(connection);
    }

    /// Accounts for a closed connection: a waiter may open another if the limit permits.
    fn release_permit(&mut self) {
        if self.open > self.retained() {
            self.open -= 1;
            return;
        }
        match self.waiting.pop_first() {
            Some((_, waiter)) => self.grant_permit(waiter),
            None => self.open -= 1,
        }
    }

    /// Lets a waiter open a connection, or the next waiter if this one has given up.
    fn grant_permit(&mut self, waiter: Waiter) {
        if waiter.sender.send(Grant::Permit).is_err() {
            self.release_permit();
        }
    }

    /// Removes the waiter that is served next.
    ///
    /// A waiter of `account` overtakes others of the same priority, because opening a connection
    /// for another account occupies a slot of the target for some time. It does so only until the
    /// first waiter has waited for [`MAX_OVERTAKEN_WAIT`].
    fn pop_waiter(&mut self, account: &str) -> Option<Waiter> {
        let (first, waiter) = self.waiting.first_key_value()?;
        let first = *first;
        let can_overtake = waiter.queued_at.elapsed() < MAX_OVERTAKEN_WAIT;
        let is_eligible =
            |(key, waiter): &(&(u32, u64), &Waiter)| key.0 == first.0 && waiter.account == account;
        let same_account = self.waiting.iter().find(is_eligible).filter(|_| can_overtake);
        let key = same_account.map_or(first, |(key, _)| *key);
        self.waiting.remove(&key)
    }
}

/// A connection in use by a session. Dropping it without [`Checkout::release`] closes it.
pub struct Checkout {
    /// Target of the connection, whose pool it returns to.
    pub target: Rc<Target>,
    connection: Option<Connection>,
}

impl Checkout {
    /// The connection, on which the session may exchange messages.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("only release takes the connection")
    }

    /// Returns the connection to the pool. It has to be clean, see [`crate::pool::connection::is_clean`].
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.target.pool.borrow_mut().release(connection);
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.target.pool.borrow_mut().release_permit();
        }
    }
}

/// Permission to open a connection; returned to the pool on drop unless `used`.
struct Permit {
    target: Rc<Target>,
    used: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.used {
            self.target.pool.borrow_mut().release_permit();
        }
    }
}

/// A request for a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionRequest<'a> {
    /// Client account that the connection has to belong to.
    pub account: &'a str,
    /// Priority in the queue; 0 is served first.
    pub priority: u32,
    /// Time at which waiting or opening a connection ends with [`Failure::Late`].
    pub deadline: Instant,
    /// Expected wait above which the request is refused at once with [`Failure::Full`].
    pub max_wait: Duration,
    /// Whether a host that may open no connection to the target opens one all the same: for its own
    /// statements, and because no owner can be reached.
    pub is_last_resort: bool,
}

/// Obtains a connection to a target, from its pool or by opening one.
pub async fn acquire(
    host: &Host,
    entry: &Entry,
    request: ConnectionRequest<'_>,
) -> Result<Checkout, Failure> {
    let target = host.targets.get(&entry.name);
    update_limit(host, &target, entry);
    let decision = target.pool.borrow_mut().admit(&request, target.statement_time());
    let grant = match decision {
        Decision::Connection(connection) => Grant::Connection(connection),
        Decision::Permit => Grant::Permit,
        Decision::Full => {
            host.metrics.count("queue_full");
            return Err(Failure::Full);
        }
        Decision::Wait(receiver) => {
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
        Grant::Permit => {
            let mut permit = Permit { target: target.clone(), used: false };
            let began = Instant::now();
            let opened =
                Connection::open(host, &target, entry, request.account, request.deadline).await;
            host.metrics.time("connection_open", began.elapsed());
            if matches!(opened, Err(Failure::Refused(Code::TooManyConnections))) {
                let until = Instant::now() + TOO_MANY_CONNECTIONS_DELAY;
                target.pool.borrow_mut().full_until = Some(until);
            }
            let connection = opened?;
            permit.used = true;
            Ok(Checkout { target, connection: Some(connection) })
        }
    }
}

/// Recomputes the number of connections that the host may have to the target if the members or the
/// configuration have changed: its part as an owner if operations at the target are forwarded, 0 if
/// it is no owner, and otherwise its share among all members, at least 1.
pub fn update_limit(host: &Host, target: &Target, entry: &Entry) {
    let limit_basis = (host.lease.borrow().revision(), host.catalog.borrow().version);
    let is_known = target.pool.borrow().limit_basis == Some(limit_basis);
    // Who the owners are depends on which hosts are alive as well.
    if is_known && !target.pool.borrow().is_forwarded {
        return;
    }
    let part = forward::ownership::part(host, entry);
    let share = part.unwrap_or_else(|| {
        let usable = usable_connections(host, &entry.service);
        let subject = Subject::Connection(name_hash(&target.name));
        let members: BTreeSet<HostId> = host.lease.borrow().members().keys().copied().collect();
        share_of(usable, &members, host.id, subject, members.len()).max(1)
    });
    let mut pool = target.pool.borrow_mut();
    pool.limit = u32::try_from(share).unwrap_or(u32::MAX);
    pool.limit_basis = Some(limit_basis);
    pool.is_forwarded = part.is_some();
    if pool.is_forwarded {
        pool.close_idle_above_limit();
    }
}

/// Number of connections to a target of the service that all hosts use together.
pub fn usable_connections(host: &Host, service: &str) -> u64 {
    let total = host.catalog.borrow().groups.get(service).map_or(1, |g| g.connection_limit);
    u64::from(total * USABLE_PERCENT / 100)
}
