//! One target of a group: its state, its data and its connections.
//!
//! Locks are taken in this order: the writer's copy, the committed data, the state, the
//! connections. A commit holds the first three, so that the check of the term and the append are
//! one step.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::control::Control;
use super::database::Database;
use super::log::{Position, Term};
use super::replication::{Inbox, Message};
use super::shared::Shared;
use super::sqlstate::{self, Error, Result};
use super::state::{Promoter, Role, State};
use super::writer::{Transaction, Writer};
use crate::sync::lock;

/// Entries applied under one lock.
const APPLY_BATCH: usize = 64;

/// Faults of a target that are on or off.
#[derive(Debug, Default)]
pub(crate) struct Switches {
    stopped: AtomicBool,
    paused: AtomicBool,
    /// Callers reach the target no more; other targets do.
    pub(crate) callers_cut: AtomicBool,
    /// Statements fail while probes pass.
    pub(crate) poisoned: AtomicBool,
    /// Commits to come whose connection goes silent after the effect.
    lost_answers: AtomicU64,
}

impl Switches {
    /// Whether the target is up.
    pub(crate) fn running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    /// Whether the target is frozen.
    pub(crate) fn paused(&self) -> bool {
        self.paused.load(Ordering::SeqCst)
    }

    /// Whether the target works at all.
    pub(crate) fn passes(&self) -> bool {
        self.running() && !self.paused()
    }

    /// Whether the target answers its callers.
    pub(crate) fn answers(&self) -> bool {
        self.passes() && !self.callers_cut.load(Ordering::SeqCst)
    }

    /// Freezes or thaws.
    pub(crate) fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
    }

    /// The next `count` commits take effect and are not answered.
    pub(crate) fn lose_answers(&self, count: u64) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Whether the answer to this commit is lost; counts it.
    fn loses_answer(&self) -> bool {
        let less = |count: u64| count.checked_sub(1);
        self.lost_answers.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok()
    }

    /// Takes the target down or up.
    pub(crate) fn set_running(&self, running: bool) {
        self.stopped.store(!running, Ordering::SeqCst);
    }
}

/// A connection as others see it.
#[derive(Debug)]
pub(crate) struct Handle {
    /// Ends its statement.
    pub(crate) control: Arc<Control>,
    /// Secret of its cancel requests.
    pub(crate) secret: i32,
    stream: TcpStream,
}

/// One target.
pub(crate) struct Target {
    /// Number in the group.
    pub(crate) number: usize,
    /// What the targets of the group share.
    pub(crate) group: Arc<Shared>,
    /// Terms and log.
    pub(crate) state: Mutex<State>,
    /// Notified when the state has changed.
    pub(crate) changed: Condvar,
    /// Messages of other targets.
    pub(crate) inbox: Inbox,
    /// Faults.
    pub(crate) switches: Switches,
    /// Committed data.
    pub(crate) database: Mutex<Database>,
    /// Connections by process id.
    pub(crate) connections: Mutex<BTreeMap<i32, Handle>>,
    /// Most connections.
    pub(crate) connection_limit: AtomicU64,
    writer: Mutex<Option<Arc<Writer>>>,
    lag: Mutex<Duration>,
}

impl Target {
    /// A target with its first state applied.
    pub(crate) fn new(number: usize, group: Arc<Shared>, state: State) -> crate::Result<Self> {
        let connection_limit = AtomicU64::new(group.connection_limit);
        let target = Target {
            number,
            group,
            state: Mutex::new(state),
            changed: Condvar::new(),
            inbox: Inbox::default(),
            switches: Switches::default(),
            database: Mutex::new(Database::new()?),
            connections: Mutex::default(),
            connection_limit,
            writer: Mutex::new(None),
            lag: Mutex::default(),
        };
        target.apply_first()?;
        Ok(target)
    }

    fn apply_first(&self) -> crate::Result<()> {
        let database = lock(&self.database);
        let mut state = lock(&self.state);
        if let Some(entry) = state.log.get(1) {
            database.replay(&entry.statements)?;
        }
        state.set_applied(1);
        if state.role == Role::Primary {
            *lock(&self.writer) = Some(Arc::new(Writer::new(database.copy()?)));
        }
        Ok(())
    }

    /// Sends to another target.
    pub(crate) fn send(&self, to: usize, message: Message) {
        if self.group.cut(self.number, to) {
            return;
        }
        let Some(target) = self.group.target(to) else { return };
        if target.switches.running() {
            let lag = *lock(&target.lag);
            target.inbox.put(Instant::now() + self.group.replication_delay + lag, message);
        }
    }

    /// Delays what arrives from other targets.
    pub(crate) fn set_lag(&self, lag: Duration) {
        *lock(&self.lag) = lag;
    }

    /// Applies some entries to the data.
    pub(crate) fn apply_some(&self) {
        let mut database = lock(&self.database);
        let mut state = lock(&self.state);
        self.apply_batch(&mut database, &mut state, APPLY_BATCH);
        drop(state);
        self.changed.notify_all();
    }

    fn apply_batch(&self, database: &mut Database, state: &mut State, limit: usize) {
        if state.rewound {
            *database = Database::new().expect("SQLite in memory opens");
            state.rewound = false;
            state.applied = 0;
        }
        let entries = state.log.range(state.applied + 1, limit);
        for entry in entries {
            if let Err(error) = database.replay(&entry.statements) {
                log::error!("target {}: entry {}: {error}", self.number, entry.position);
            }
            state.set_applied(entry.position.index);
        }
    }

    /// Begins a write transaction, when it is its turn.
    pub(crate) fn begin(&self, control: &Control) -> Result<Transaction> {
        let term = self.writable()?;
        let writer = lock(&self.writer).clone();
        let writer = writer.ok_or_else(|| Error::new(sqlstate::SUPERSEDED, "not a primary"))?;
        writer.begin(term, control, || self.writable().map(|_| ()))
    }

    /// Term that a new write transaction belongs to.
    fn writable(&self) -> Result<Term> {
        let state = lock(&self.state);
        if state.role != Role::Primary {
            let message = "cannot execute a write on a target that is not the primary";
            return Err(Error::new(sqlstate::READ_ONLY, message));
        }
        if !state.leads() {
            return Err(superseded(&state));
        }
        if state.held(Instant::now()) {
            return Err(Error::new(sqlstate::HELD, "new write transactions are held; not run"));
        }
        Ok(state.term)
    }

    /// Commits, unless the target was superseded since.
    pub(crate) fn commit(
        &self,
        mut transaction: Transaction,
        control: &Control,
    ) -> Result<Position> {
        let writer = transaction.writer.clone();
        let statements = std::mem::take(&mut transaction.statements);
        let working = lock(&writer.database);
        let committed = lock(&self.database);
        let mut state = lock(&self.state);
        if control.closed() || !self.switches.running() {
            return Err(Error::new(sqlstate::SHUTDOWN, "the connection is closed"));
        }
        if !state.leads_in(transaction.term) {
            return Err(superseded(&state));
        }
        committed.replay(&statements)?;
        working.control("COMMIT")?;
        let position = state.append(statements, Instant::now());
        state.set_applied(position.index);
        if self.switches.loses_answer() {
            control.silence();
        }
        drop(state);
        self.changed.notify_all();
        self.inbox.wake();
        Ok(position)
    }

    /// Becomes primary of a term that was granted to the promoter.
    pub(crate) fn promote(&self, term: Term, promoter: Promoter) -> Result<bool> {
        let mut database = lock(&self.database);
        let mut state = lock(&self.state);
        if !state.may_promote(term, promoter) {
            return Ok(false);
        }
        if state.leads_in(term) {
            return Ok(true);
        }
        self.apply_batch(&mut database, &mut state, usize::MAX);
        if state.role != Role::Primary {
            *lock(&self.writer) = Some(Arc::new(Writer::new(database.copy()?)));
        }
        let position = state.promote();
        state.set_applied(position.index);
        drop(state);
        self.changed.notify_all();
        self.inbox.wake();
        Ok(true)
    }

    /// Ends all connections.
    pub(crate) fn close_connections(&self) {
        for handle in lock(&self.connections).values() {
            handle.control.close();
            // The peer may have closed it already.
            let _ = handle.stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops at once: connections drop, messages on their way are lost.
    pub(crate) fn kill(&self) {
        let state = lock(&self.state);
        self.switches.set_running(false);
        drop(state);
        self.close_connections();
        self.inbox.clear();
        self.changed.notify_all();
    }

    /// Starts again with what is durable.
    pub(crate) fn restart(&self) -> Result<()> {
        let database = lock(&self.database);
        let mut state = lock(&self.state);
        if self.switches.running() {
            return Ok(());
        }
        state.restart();
        if state.role == Role::Primary {
            *lock(&self.writer) = Some(Arc::new(Writer::new(database.copy()?)));
        }
        self.inbox.clear();
        self.switches.set_running(true);
        Ok(())
    }

    /// Loses the log and the data, as a replaced machine does.
    pub(crate) fn rebuild(&self) {
        let mut database = lock(&self.database);
        let mut state = lock(&self.state);
        state.rebuild(Instant::now());
        self.apply_batch(&mut database, &mut state, 0);
        drop(state);
        self.inbox.clear();
        self.close_connections();
        self.changed.notify_all();
    }

    /// Registers a connection; false when the limit is reached or the target is down.
    pub(crate) fn register(&self, pid: i32, handle: Handle) -> bool {
        let mut connections = lock(&self.connections);
        if !self.switches.running() {
            handle.control.close();
            return false;
        }
        if connections.len() as u64 >= self.connection_limit.load(Ordering::SeqCst) {
            return false;
        }
        connections.insert(pid, handle);
        true
    }

    /// Forgets a connection.
    pub(crate) fn unregister(&self, pid: i32) {
        lock(&self.connections).remove(&pid);
    }

    /// Ends the statement that a connection runs.
    pub(crate) fn cancel(&self, pid: i32, secret: i32) {
        let connections = lock(&self.connections);
        if let Some(handle) = connections.get(&pid).filter(|handle| handle.secret == secret) {
            handle.control.cancel();
        }
    }
}

impl Handle {
    /// What others need of a connection.
    pub(crate) fn new(control: Arc<Control>, secret: i32, stream: TcpStream) -> Self {
        Handle { control, secret, stream }
    }
}

fn superseded(state: &State) -> Error {
    let message = format!("superseded by term {}; not committed", state.accepted_term);
    Error::new(sqlstate::SUPERSEDED, message)
}
