//! Bounds on what callers make this host hold: connections, buffered messages and replies, session
//! state. The bounds and the selection of connections to close are in
//! [`bergamotvale_core::proxy::budget`].

mod answers;
mod messages;

pub use answers::{AnswerGate, AnswerPermit};
pub use messages::{MessageGate, MessagePermit};

use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::budget::{Bound, Ledger, Limits, Order};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Bounds of this host and what is held against them.
#[derive(Debug)]
pub struct Overload {
    /// The bounds.
    pub limits: Limits,
    /// Memory for messages from callers.
    pub messages: MessageGate,
    /// Memory for large answers from targets.
    pub answers: AnswerGate,
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    next: Cell<u64>,
    replies: RefCell<Ledger>,
    state: RefCell<Ledger>,
    places: RefCell<BTreeMap<u64, Rc<Signal>>>,
    /// Connections without a session, by age.
    without_session: RefCell<BTreeSet<u64>>,
}

/// Ends the task of one connection.
#[derive(Debug, Default)]
struct Signal {
    task: RefCell<Option<AbortHandle>>,
    bound: Cell<Option<Bound>>,
    closed: Notify,
}

/// The place of one connection among those of the host; free again once it is dropped.
#[derive(Debug)]
pub struct Place {
    id: u64,
    has_replaced: bool,
    signal: Rc<Signal>,
    shared: Rc<Shared>,
}

/// A reply that its caller has not read; recorded until it is dropped.
#[derive(Debug)]
pub struct HeldReply {
    id: u64,
    shared: Rc<Shared>,
}

impl Overload {
    /// Creates the state of a host without connections.
    pub fn new(limits: Limits) -> Overload {
        Overload {
            messages: MessageGate::new(&limits),
            answers: AnswerGate::new(&limits),
            shared: Rc::new(Shared {
                next: Cell::new(0),
                replies: RefCell::new(Ledger::new(limits.reply_bytes, Order::SizeAndAge)),
                state: RefCell::new(Ledger::new(limits.state_bytes, Order::Size)),
                places: RefCell::default(),
                without_session: RefCell::default(),
            }),
            limits,
        }
    }

    /// Returns a place for a new connection. At the limit, the oldest connection without a session
    /// is closed; `None` if all have one.
    pub async fn admit(&self) -> Option<Place> {
        let mut has_replaced = false;
        while self.shared.places.borrow().len() >= self.limits.connections {
            let oldest = self.shared.without_session.borrow_mut().pop_first()?;
            has_replaced = true;
            let signal = self.shared.places.borrow().get(&oldest).cloned();
            if let Some(task) = signal.and_then(|signal| signal.task.borrow_mut().take()) {
                task.abort();
            }
            // The aborted task drops its place, and with it its descriptor, when it next runs.
            while self.shared.places.borrow().contains_key(&oldest) {
                tokio::task::yield_now().await;
            }
        }
        let id = self.shared.next.get();
        self.shared.next.set(id + 1);
        let signal = Rc::new(Signal::default());
        self.shared.places.borrow_mut().insert(id, signal.clone());
        self.shared.without_session.borrow_mut().insert(id);
        Some(Place { id, has_replaced, signal, shared: self.shared.clone() })
    }

    /// Records a reply of a connection until it is sent, and closes the slowest readers if all
    /// unread replies exceed their bound.
    pub fn hold_reply(&self, place: &Place, bytes: usize, now: Time) -> HeldReply {
        let mut replies = self.shared.replies.borrow_mut();
        replies.set(place.id, bytes, now);
        self.shared.close(&replies.evict(now), Bound::ReplyMemory);
        HeldReply { id: place.id, shared: self.shared.clone() }
    }

    /// Bytes that all sessions store.
    pub fn state_bytes(&self) -> usize {
        self.shared.state.borrow().total()
    }

    /// Records what a session stores, and closes those that store the most if all of them exceed
    /// their bound.
    pub fn record_state(&self, place: &Place, bytes: usize, now: Time) {
        let mut state = self.shared.state.borrow_mut();
        state.set(place.id, bytes, now);
        self.shared.close(&state.evict(now), Bound::HostState);
    }
}

impl Shared {
    fn close(&self, connections: &[u64], bound: Bound) {
        let places = self.places.borrow();
        for signal in connections.iter().filter_map(|id| places.get(id)) {
            signal.bound.set(Some(bound));
            signal.closed.notify_one();
        }
    }
}

impl Place {
    /// Whether another connection was closed for this one.
    pub fn has_replaced(&self) -> bool {
        self.has_replaced
    }

    /// Sets the task that serves the connection.
    pub fn set_task(&self, task: AbortHandle) {
        *self.signal.task.borrow_mut() = Some(task);
    }

    /// Records whether the connection has a session, so that it is not closed for a new one.
    pub fn set_in_session(&self, is_in_session: bool) {
        let mut without_session = self.shared.without_session.borrow_mut();
        if is_in_session {
            without_session.remove(&self.id);
        } else {
            without_session.insert(self.id);
        }
    }

    /// Waits until the connection has to be closed, and returns the bound that it met.
    pub async fn closed(&self) -> Bound {
        loop {
            if let Some(bound) = self.signal.bound.get() {
                return bound;
            }
            self.signal.closed.notified().await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.places.borrow_mut().remove(&self.id);
        self.shared.without_session.borrow_mut().remove(&self.id);
        self.shared.state.borrow_mut().release(self.id);
    }
}

impl Drop for HeldReply {
    fn drop(&mut self) {
        self.shared.replies.borrow_mut().release(self.id);
    }
}
