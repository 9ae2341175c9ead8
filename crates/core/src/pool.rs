//! Connection pool of one host for one target.
//!
//! A connection has at most one owner, and is closed after use unless its owner reports that no
//! state is left on it. It counts against this host's share from before it is opened until it is
//! known to be closed. A connection that has been idle for a while is checked before it is leased,
//! since a middlebox (a NAT gateway, a load balancer) may have dropped its state; none stays idle
//! for longer than middleboxes usually keep that state.

use crate::fair::{Charge, Queue, Waiter};
use crate::id::{RequestId, Time};
use crate::refusal::Reason;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a connection within its pool; never reused.
pub type ConnectionId = u64;

/// Idle times and retry delay of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Idle time after which a connection is checked before use.
    pub check_after: Duration,
    /// Idle time after which a connection is closed.
    pub max_idle: Duration,
    /// Delay before a new connection is opened after the target reported that it is full.
    pub full_retry_delay: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            check_after: Duration::from_millis(500),
            max_idle: Duration::from_secs(30),
            full_retry_delay: Duration::from_millis(50),
        }
    }
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The connection is being opened.
    Opening,
    /// Unowned, and clean when it was released.
    Idle {
        /// When it was opened, checked or released.
        since: Time,
    },
    /// The other end is being checked for a response.
    Checking,
    /// Owned by a request.
    Leased {
        /// When it was leased.
        since: Time,
        /// What the owner was charged for it in the queue.
        charge: Charge,
    },
    /// Being closed; still counts against the share.
    Closing,
}

/// An operation that the caller of the pool has to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection, then call [`Pool::opened`] or [`Pool::open_failed`].
    Open(ConnectionId),
    /// Close a connection, then call [`Pool::closed`].
    Close(ConnectionId),
    /// Check that the other end of a connection responds, then call [`Pool::checked`].
    Check(ConnectionId),
    /// Give a connection to a request, until [`Pool::released`] is called.
    Lease(RequestId, ConnectionId),
    /// Refuse a request; it gets no connection.
    Refuse(RequestId, Reason),
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// The target cannot be reached.
    Unreachable,
    /// The target has reached its connection limit.
    TargetFull,
}

/// Connections of one host to one target, and the requests that wait for them.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    limit: usize,
    warm: usize,
    next_id: ConnectionId,
    connections: BTreeMap<ConnectionId, State>,
    queue: Queue,
    full_until: Time,
}

impl Pool {
    /// Creates an empty pool that may hold `limit` connections.
    pub fn new(limit: usize, queue: Queue, settings: Settings) -> Pool {
        Pool {
            settings,
            limit,
            warm: 0,
            next_id: 0,
            connections: BTreeMap::new(),
            queue,
            full_until: Time::ZERO,
        }
    }

    /// Number of connections that count against the share.
    pub fn size(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections that are leased or being closed.
    pub fn busy(&self) -> usize {
        let busy = |state: &&State| matches!(state, State::Leased { .. } | State::Closing);
        self.connections.values().filter(busy).count()
    }

    /// Number of connections that have an owner.
    pub fn leased(&self) -> usize {
        self.count(|state| matches!(state, State::Leased { .. }))
    }

    /// Number of connections in the limit that are neither in use nor needed by waiting requests.
    pub fn spare(&self) -> usize {
        let idle = self.count(|state| matches!(state, State::Idle { .. }));
        let needed = self.size() - idle + self.queue.len();
        self.limit.saturating_sub(needed)
    }

    /// Number of requests that wait for a connection.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Maximum number of connections that the pool may hold: this host's share.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// State of a connection; `None` once it is closed.
    pub fn state(&self, connection: ConnectionId) -> Option<State> {
        self.connections.get(&connection).copied()
    }

    /// Sets the share. A lower one closes idle connections now, and leased ones on release.
    pub fn set_limit(&mut self, now: Time, limit: usize) -> Vec<Action> {
        self.limit = limit;
        self.close_excess().into_iter().chain(self.dispatch(now)).collect()
    }

    /// Sets the number of connections that [`Pool::tick`] keeps open without waiting requests.
    pub fn set_warm(&mut self, warm: usize) {
        self.warm = warm;
    }

    /// Queues a request for a connection, or refuses it.
    pub fn acquire(&mut self, now: Time, waiter: Waiter) -> Vec<Action> {
        match self.queue.push(now, waiter, self.limit) {
            Ok(()) => self.dispatch(now),
            Err(reason) => vec![Action::Refuse(waiter.request, reason)],
        }
    }

    /// Removes a request from the queue; it must not have been given a connection.
    pub fn cancel(&mut self, request: RequestId) {
        self.queue.cancel(request);
    }

    /// Records that a connection was opened.
    pub fn opened(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        if self.state(connection) != Some(State::Opening) {
            return vec![Action::Close(connection)];
        }
        self.make_idle(now, connection)
    }

    /// Records that a connection could not be opened.
    ///
    /// If the target is unreachable, the next waiting request is refused; if it is full, the pool
    /// opens no connection for `full_retry_delay`.
    pub fn open_failed(
        &mut self,
        now: Time,
        connection: ConnectionId,
        error: OpenError,
    ) -> Vec<Action> {
        self.connections.remove(&connection);
        if error == OpenError::TargetFull {
            self.full_until = now + self.settings.full_retry_delay;
            return Vec::new();
        }
        let grant = self.queue.pop();
        if let Some(grant) = grant {
            self.queue.refund(grant.charge);
        }
        let refusal = grant.map(|grant| Action::Refuse(grant.request, Reason::ConnectionRefused));
        refusal.into_iter().chain(self.dispatch(now)).collect()
    }

    /// Records whether the other end of a connection responded to a check in time.
    pub fn checked(&mut self, now: Time, connection: ConnectionId, alive: bool) -> Vec<Action> {
        if self.state(connection) != Some(State::Checking) {
            return Vec::new();
        }
        if alive {
            return self.make_idle(now, connection);
        }
        vec![self.close(connection)].into_iter().chain(self.dispatch(now)).collect()
    }

    /// Records that the other end closed an idle connection.
    pub fn disconnected(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        if !matches!(self.state(connection), Some(State::Idle { .. })) {
            return Vec::new();
        }
        self.connections.remove(&connection);
        self.dispatch(now)
    }

    /// Ends the lease of a connection; it is reused only if `clean`: no state is left on it.
    pub fn released(&mut self, now: Time, connection: ConnectionId, clean: bool) -> Vec<Action> {
        let Some(State::Leased { since, charge }) = self.state(connection) else {
            return Vec::new();
        };
        self.queue.record_end(charge, now.saturating_sub(since));
        if clean {
            return self.make_idle(now, connection);
        }
        vec![self.close(connection)].into_iter().chain(self.dispatch(now)).collect()
    }

    /// Records that a connection is closed and no longer counts against the share.
    pub fn closed(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        self.connections.remove(&connection);
        self.dispatch(now)
    }

    /// Performs timed maintenance, called periodically.
    ///
    /// Refuses requests whose deadline has passed, closes connections that were idle for too long
    /// and opens connections up to the warm number.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let expired = self.queue.expire(now).into_iter();
        let mut actions: Vec<Action> =
            expired.map(|request| Action::Refuse(request, Reason::QueueTimeout)).collect();
        actions.extend(self.close_idle(now));
        actions.extend(self.dispatch(now));
        while self.size() < self.warm.min(self.limit) && now >= self.full_until {
            actions.push(self.open());
        }
        actions
    }

    /// Makes a connection idle, or closes it if the pool is over its share.
    fn make_idle(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        if self.size() > self.limit {
            return vec![self.close(connection)];
        }
        self.connections.insert(connection, State::Idle { since: now });
        self.dispatch(now)
    }

    /// Leases fresh idle connections to waiting requests; checks or opens others for the rest.
    fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty()
            && let Some((connection, since)) = self.most_recent_idle()
        {
            if now.saturating_sub(since) >= self.settings.check_after {
                break;
            }
            let Some(grant) = self.queue.pop() else { break };
            let leased = State::Leased { since: now, charge: grant.charge };
            self.connections.insert(connection, leased);
            actions.push(Action::Lease(grant.request, connection));
        }
        let mut pending = self.count(|s| matches!(s, State::Opening | State::Checking));
        while pending < self.queue.len() {
            if let Some((connection, _)) = self.most_recent_idle() {
                self.connections.insert(connection, State::Checking);
                actions.push(Action::Check(connection));
            } else if self.size() < self.limit && now >= self.full_until {
                actions.push(self.open());
            } else {
                break;
            }
            pending += 1;
        }
        actions
    }

    fn most_recent_idle(&self) -> Option<(ConnectionId, Time)> {
        let idle = self.connections.iter().filter_map(|(id, state)| match state {
            State::Idle { since } => Some((*id, *since)),
            _ => None,
        });
        idle.max_by_key(|(_, since)| *since)
    }

    fn close_excess(&mut self) -> Vec<Action> {
        let closing = self.count(|state| matches!(state, State::Closing));
        let excess = (self.size() - closing).saturating_sub(self.limit);
        let idle = self.idle_since(Time::MAX);
        idle.into_iter().take(excess).map(|id| self.close(id)).collect()
    }

    fn close_idle(&mut self, now: Time) -> Vec<Action> {
        let Some(before) = now.checked_sub(self.settings.max_idle) else { return Vec::new() };
        let idle = self.idle_since(before);
        idle.into_iter().map(|id| self.close(id)).collect()
    }

    /// Connections that have been idle since `before` or earlier.
    fn idle_since(&self, before: Time) -> Vec<ConnectionId> {
        let idle = self.connections.iter();
        idle.filter(|(_, state)| matches!(state, State::Idle { since } if *since <= before))
            .map(|(id, _)| *id)
            .collect()
    }

    fn open(&mut self) -> Action {
        let connection = self.next_id;
        self.next_id += 1;
        self.connections.insert(connection, State::Opening);
        Action::Open(connection)
    }

    fn close(&mut self, connection: ConnectionId) -> Action {
        self.connections.insert(connection, State::Closing);
        Action::Close(connection)
    }

    fn count(&self, predicate: impl Fn(&State) -> bool) -> usize {
        self.connections.values().filter(|state| predicate(state)).count()
    }
}
