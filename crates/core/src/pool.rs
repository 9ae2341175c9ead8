//! The connections of one host to one target.
//!
//! A connection has one owner at a time, and is closed unless its owner vouches that nothing is
//! left on it. It counts against this host's share from before it is opened until it is known to
//! be closed. One that has been idle for a while is checked before anybody gets it, since
//! something between the two ends may have lost track of it; none stays idle for longer than such
//! things usually remember.

use crate::fair::{Charge, Queue, Waiter};
use crate::id::{RequestId, Time};
use crate::refusal::Reason;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a connection within its pool; never used again.
pub type ConnectionId = u64;

/// Times of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Idle time after which a connection is checked before use.
    pub check_after: Duration,
    /// Longest idle time.
    pub max_idle: Duration,
    /// Pause after the target refused a connection for want of room.
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
    /// Being opened.
    Opening,
    /// Nobody's, and clean when last used.
    Idle {
        /// Since when.
        since: Time,
    },
    /// Being checked.
    Checking,
    /// Somebody's.
    Leased {
        /// Since when.
        since: Time,
        /// What its owner was charged.
        charge: Charge,
    },
    /// Being closed.
    Closing,
}

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Open(ConnectionId),
    /// Close a connection, and say when that is done.
    Close(ConnectionId),
    /// Ask the other end of a connection for a sign of life.
    Check(ConnectionId),
    /// Hand a connection to a request.
    Lease(RequestId, ConnectionId),
    /// Turn a request away.
    Refuse(RequestId, Reason),
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// The target cannot be reached.
    Unreachable,
    /// The target has no room just now.
    TargetFull,
}

/// Connections of one host to one target.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    limit: usize,
    warm: usize,
    next: ConnectionId,
    connections: BTreeMap<ConnectionId, State>,
    queue: Queue,
    full_until: Time,
}

impl Pool {
    /// A pool without connections that may open `limit`.
    pub fn new(limit: usize, queue: Queue, settings: Settings) -> Pool {
        Pool {
            settings,
            limit,
            warm: 0,
            next: 0,
            connections: BTreeMap::new(),
            queue,
            full_until: Time::ZERO,
        }
    }

    /// Connections that count against the share.
    pub fn size(&self) -> usize {
        self.connections.len()
    }

    /// Connections that are leased or being closed.
    pub fn busy(&self) -> usize {
        let busy = |state: &&State| matches!(state, State::Leased { .. } | State::Closing);
        self.connections.values().filter(busy).count()
    }

    /// Connections that have an owner.
    pub fn leased(&self) -> usize {
        self.count(|state| matches!(state, State::Leased { .. }))
    }

    /// Connections that the pool could do without, now that nobody waits for them.
    pub fn spare(&self) -> usize {
        let idle = self.count(|state| matches!(state, State::Idle { .. }));
        let needed = self.size() - idle + self.queue.len();
        self.limit.saturating_sub(needed)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Connections that the pool may hold.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// State of a connection.
    pub fn state(&self, connection: ConnectionId) -> Option<State> {
        self.connections.get(&connection).copied()
    }

    /// Sets the share; a lower one closes idle connections now and leased ones as they come back.
    pub fn set_limit(&mut self, now: Time, limit: usize) -> Vec<Action> {
        self.limit = limit;
        self.shrink().into_iter().chain(self.dispatch(now)).collect()
    }

    /// Sets the number of connections that are kept open without demand.
    pub fn set_warm(&mut self, warm: usize) {
        self.warm = warm;
    }

    /// A request wants a connection.
    pub fn acquire(&mut self, now: Time, waiter: Waiter) -> Vec<Action> {
        match self.queue.push(now, waiter, self.limit) {
            Ok(()) => self.dispatch(now),
            Err(reason) => vec![Action::Refuse(waiter.request, reason)],
        }
    }

    /// A request wants its connection no more; it must not have got one.
    pub fn cancel(&mut self, request: RequestId) {
        self.queue.cancel(request);
    }

    /// A connection was opened.
    pub fn opened(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        if self.state(connection) != Some(State::Opening) {
            return vec![Action::Close(connection)];
        }
        self.settle(now, connection)
    }

    /// A connection could not be opened.
    pub fn open_failed(
        &mut self,
        now: Time,
        connection: ConnectionId,
        refused: OpenError,
    ) -> Vec<Action> {
        self.connections.remove(&connection);
        if refused == OpenError::TargetFull {
            self.full_until = now + self.settings.full_retry_delay;
            return Vec::new();
        }
        let turn = self.queue.pop();
        if let Some(turn) = turn {
            self.queue.refund(turn.charge);
        }
        let refusal = turn.map(|t| Action::Refuse(t.request, Reason::ConnectionRefused));
        refusal.into_iter().chain(self.dispatch(now)).collect()
    }

    /// The other end of a checked connection gave a sign of life, or did not in time.
    pub fn checked(&mut self, now: Time, connection: ConnectionId, alive: bool) -> Vec<Action> {
        if self.state(connection) != Some(State::Checking) {
            return Vec::new();
        }
        if alive {
            return self.settle(now, connection);
        }
        vec![self.close(connection)].into_iter().chain(self.dispatch(now)).collect()
    }

    /// The other end closed a connection that was nobody's.
    pub fn disconnected(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        if !matches!(self.state(connection), Some(State::Idle { .. })) {
            return Vec::new();
        }
        self.connections.remove(&connection);
        self.dispatch(now)
    }

    /// The owner of a connection is done with it; `clean` says that nothing is left on it.
    pub fn released(&mut self, now: Time, connection: ConnectionId, clean: bool) -> Vec<Action> {
        let Some(State::Leased { since, charge }) = self.state(connection) else {
            return Vec::new();
        };
        self.queue.record_end(charge, now.saturating_sub(since));
        if clean {
            return self.settle(now, connection);
        }
        vec![self.close(connection)].into_iter().chain(self.dispatch(now)).collect()
    }

    /// A connection is closed.
    pub fn closed(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        self.connections.remove(&connection);
        self.dispatch(now)
    }

    /// Time passes: turns late requests away, closes what idles, keeps the warm ones.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let late = self.queue.expire(now).into_iter();
        let mut actions: Vec<Action> =
            late.map(|request| Action::Refuse(request, Reason::QueueTimeout)).collect();
        actions.extend(self.close_idle(now));
        actions.extend(self.dispatch(now));
        while self.size() < self.warm.min(self.limit) && now >= self.full_until {
            actions.push(self.open());
        }
        actions
    }

    /// A connection without an owner: kept if the share allows.
    fn settle(&mut self, now: Time, connection: ConnectionId) -> Vec<Action> {
        if self.size() > self.limit {
            return vec![self.close(connection)];
        }
        self.connections.insert(connection, State::Idle { since: now });
        self.dispatch(now)
    }

    /// Serves those who wait, as far as connections go.
    fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty()
            && let Some((connection, since)) = self.freshest()
        {
            if now.saturating_sub(since) >= self.settings.check_after {
                break;
            }
            let Some(turn) = self.queue.pop() else { break };
            let leased = State::Leased { since: now, charge: turn.charge };
            self.connections.insert(connection, leased);
            actions.push(Action::Lease(turn.request, connection));
        }
        let mut coming = self.count(|s| matches!(s, State::Opening | State::Checking));
        while coming < self.queue.len() {
            if let Some((connection, _)) = self.freshest() {
                self.connections.insert(connection, State::Checking);
                actions.push(Action::Check(connection));
            } else if self.size() < self.limit && now >= self.full_until {
                actions.push(self.open());
            } else {
                break;
            }
            coming += 1;
        }
        actions
    }

    fn freshest(&self) -> Option<(ConnectionId, Time)> {
        let idle = self.connections.iter().filter_map(|(id, state)| match state {
            State::Idle { since } => Some((*id, *since)),
            _ => None,
        });
        idle.max_by_key(|(_, since)| *since)
    }

    fn shrink(&mut self) -> Vec<Action> {
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
        let connection = self.next;
        self.next += 1;
        self.connections.insert(connection, State::Opening);
        Action::Open(connection)
    }

    fn close(&mut self, connection: ConnectionId) -> Action {
        self.connections.insert(connection, State::Closing);
        Action::Close(connection)
    }

    fn count(&self, matching: impl Fn(&State) -> bool) -> usize {
        self.connections.values().filter(|state| matching(state)).count()
    }
}
