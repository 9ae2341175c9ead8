//! One target of a group: its replication state, its data and its connections.
//!
//! Lock order: the writer's copy, the committed data, the state, the connections. A commit holds
//! the first three, so that the check of the term and the append are atomic.

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

/// Bounds how long the data and the state stay locked while entries are applied.
const MAX_APPLY_BATCH_ENTRIES: usize = 64;

/// Injected faults of a target.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    stopped: AtomicBool,
    paused: AtomicBool,
    /// Callers are partitioned from the target; other targets are not.
    pub(crate) callers_blocked: AtomicBool,
    /// Statements fail with an I/O error, while group functions and `SELECT 1` succeed.
    pub(crate) poisoned: AtomicBool,
    /// Number of coming commits whose response is dropped after they took effect.
    commit_responses_to_drop: AtomicU64,
}

impl Faults {
    /// Whether the target is up, possibly paused.
    pub(crate) fn is_running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused.load(Ordering::SeqCst)
    }

    /// Whether the target is up and not paused.
    pub(crate) fn is_active(&self) -> bool {
        self.is_running() && !self.is_paused()
    }

    /// Whether the target is active and its callers can reach it.
    pub(crate) fn serves_callers(&self) -> bool {
        self.is_active() && !self.callers_blocked.load(Ordering::SeqCst)
    }

    pub(crate) fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
    }

    /// Drops the responses of the next `count` commits, which still take effect.
    pub(crate) fn drop_commit_responses(&self, count: u64) {
        self.commit_responses_to_drop.store(count, Ordering::SeqCst);
    }

    /// Whether to drop the response of this commit; decrements the count.
    fn take_response_drop(&self) -> bool {
        let decrement = |count: u64| count.checked_sub(1);
        self.commit_responses_to_drop
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    }

    pub(crate) fn set_running(&self, running: bool) {
        self.stopped.store(!running, Ordering::SeqCst);
    }
}

/// Handle by which other threads close a connection or cancel its statement.
#[derive(Debug)]
pub(crate) struct ConnectionHandle {
    pub(crate) control: Arc<Control>,
    /// Secret that a cancel request must carry.
    pub(crate) secret: i32,
    stream: TcpStream,
}

pub(crate) struct Target {
    pub(crate) number: usize,
    pub(crate) group: Arc<Shared>,
    pub(crate) state: Mutex<State>,
    /// Notified when `state` has changed.
    pub(crate) changed: Condvar,
    pub(crate) inbox: Inbox,
    pub(crate) faults: Faults,
    /// Committed data, which reads use and the log is applied to.
    pub(crate) database: Mutex<Database>,
    /// Open connections by process id.
    pub(crate) connections: Mutex<BTreeMap<i32, ConnectionHandle>>,
    /// Maximum number of open connections.
    pub(crate) connection_limit: AtomicU64,
    writer: Mutex<Option<Arc<Writer>>>,
    lag: Mutex<Duration>,
}

impl Target {
    /// A target whose data holds the schema, the first entry of the log.
    pub(crate) fn new(number: usize, group: Arc<Shared>, state: State) -> crate::Result<Self> {
        let connection_limit = AtomicU64::new(group.connection_limit);
        let target = Target {
            number,
            group,
            state: Mutex::new(state),
            changed: Condvar::new(),
            inbox: Inbox::default(),
            faults: Faults::default(),
            database: Mutex::new(Database::new()?),
            connections: Mutex::default(),
            connection_limit,
            writer: Mutex::new(None),
            lag: Mutex::default(),
        };
        target.apply_schema()?;
        Ok(target)
    }

    fn apply_schema(&self) -> crate::Result<()> {
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

    /// Sends a message to another target; dropped if the link is partitioned or the target down.
    pub(crate) fn send(&self, to: usize, message: Message) {
        if self.group.is_partitioned(self.number, to) {
            return;
        }
        let Some(target) = self.group.target(to) else { return };
        if target.faults.is_running() {
            let lag = *lock(&target.lag);
            target.inbox.deliver(Instant::now() + self.group.replication_delay + lag, message);
        }
    }

    /// Delays messages that arrive from other targets.
    pub(crate) fn set_lag(&self, lag: Duration) {
        *lock(&self.lag) = lag;
    }

    /// Applies the next entries of the log to the data.
    pub(crate) fn apply_next_batch(&self) {
        let mut database = lock(&self.database);
        let mut state = lock(&self.state);
        self.apply_batch(&mut database, &mut state, MAX_APPLY_BATCH_ENTRIES);
        drop(state);
        self.changed.notify_all();
    }

    fn apply_batch(&self, database: &mut Database, state: &mut State, limit: usize) {
        if state.must_reapply {
            *database = Database::new().expect("an in-memory SQLite database opens");
            state.must_reapply = false;
            state.applied = 0;
        }
        let entries = state.log.range(state.applied + 1, limit);
        for entry in entries {
            if let Err(error) = database.replay(&entry.statements) {
                log::error!(
                    "target {}: failed to apply entry {}, which is skipped: {error}",
                    self.number,
                    entry.position
                );
            }
            state.set_applied(entry.position.index);
        }
    }

    /// Waits for earlier write transactions, then begins one.
    pub(crate) fn begin_write(&self, control: &Control) -> Result<Transaction> {
        let term = self.writable_term()?;
        let writer = lock(&self.writer).clone();
        let writer = writer.ok_or_else(|| Error::new(sqlstate::SUPERSEDED, "not a primary"))?;
        writer.begin(term, control, || self.writable_term().map(|_| ()))
    }

    /// Term of a new write transaction, or why the target accepts none.
    fn writable_term(&self) -> Result<Term> {
        let state = lock(&self.state);
        if state.role != Role::Primary {
            let message = "cannot execute a write on a target that is not the primary";
            return Err(Error::new(sqlstate::READ_ONLY, message));
        }
        if !state.is_primary() {
            return Err(superseded(&state));
        }
        if state.is_held(Instant::now()) {
            return Err(Error::new(sqlstate::HELD, "new write transactions are held; not run"));
        }
        Ok(state.term)
    }

    /// Commits, unless the target was superseded after the transaction began.
    pub(crate) fn commit(
        &self,
        mut transaction: Transaction,
        control: &Control,
    ) -> Result<Position> {
        let writer = transaction.writer.clone();
        let statements = std::mem::take(&mut transaction.statements);
        let writer_copy = lock(&writer.database);
        let committed = lock(&self.database);
        let mut state = lock(&self.state);
        if control.is_closed() || !self.faults.is_running() {
            return Err(Error::new(sqlstate::SHUTDOWN, "the connection is closed"));
        }
        if !state.is_primary_in(transaction.term) {
            return Err(superseded(&state));
        }
        committed.replay(&statements)?;
        writer_copy.run_transaction_command("COMMIT")?;
        let position = state.append(statements, Instant::now());
        state.set_applied(position.index);
        if self.faults.take_response_drop() {
            control.silence();
        }
        drop(state);
        self.changed.notify_all();
        self.inbox.wake();
        Ok(position)
    }

    /// Becomes the primary of a term; false if it is not granted to the promoter or the target has
    /// no vote. Idempotent.
    pub(crate) fn promote(&self, term: Term, promoter: Promoter) -> Result<bool> {
        let mut database = lock(&self.database);
        let mut state = lock(&self.state);
        if !state.can_promote(term, promoter) {
            return Ok(false);
        }
        if state.is_primary_in(term) {
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

    pub(crate) fn close_connections(&self) {
        for handle in lock(&self.connections).values() {
            handle.control.close();
            // Fails if the peer has closed the connection already.
            let _ = handle.stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops the target: closes its connections and drops messages in flight to it.
    pub(crate) fn kill(&self) {
        let state = lock(&self.state);
        self.faults.set_running(false);
        drop(state);
        self.close_connections();
        self.inbox.clear();
        self.changed.notify_all();
    }

    /// Starts a stopped target with its durable state.
    pub(crate) fn restart(&self) -> Result<()> {
        let database = lock(&self.database);
        let mut state = lock(&self.state);
        if self.faults.is_running() {
            return Ok(());
        }
        state.restart();
        if state.role == Role::Primary {
            *lock(&self.writer) = Some(Arc::new(Writer::new(database.copy()?)));
        }
        self.inbox.clear();
        self.faults.set_running(true);
        Ok(())
    }

    /// Clears the log and the data, as when a server is replaced.
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
    pub(crate) fn register(&self, pid: i32, handle: ConnectionHandle) -> bool {
        let mut connections = lock(&self.connections);
        if !self.faults.is_running() {
            handle.control.close();
            return false;
        }
        if connections.len() as u64 >= self.connection_limit.load(Ordering::SeqCst) {
            return false;
        }
        connections.insert(pid, handle);
        true
    }

    pub(crate) fn unregister(&self, pid: i32) {
        lock(&self.connections).remove(&pid);
    }

    /// Cancels the running statement of a connection, if the secret is right.
    pub(crate) fn cancel(&self, pid: i32, secret: i32) {
        let connections = lock(&self.connections);
        if let Some(handle) = connections.get(&pid).filter(|handle| handle.secret == secret) {
            handle.control.cancel();
        }
    }
}

impl ConnectionHandle {
    pub(crate) fn new(control: Arc<Control>, secret: i32, stream: TcpStream) -> Self {
        ConnectionHandle { control, secret, stream }
    }
}

fn superseded(state: &State) -> Error {
    let message = format!("superseded by term {}; not committed", state.accepted_term);
    Error::new(sqlstate::SUPERSEDED, message)
}
