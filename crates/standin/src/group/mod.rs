//! A database group: targets that speak the PostgreSQL protocol, replicate asynchronously and
//! keep terms, with the faults that a test sets at run time.
//!
//! Everything runs on threads of the group: one for each connection, and three for each target,
//! which accept connections, exchange messages with the other targets and apply the log.

pub mod log;
pub mod sqlstate;

mod control;
mod database;
mod exact;
mod executor;
mod followers;
mod function;
mod listener;
mod replication;
mod row;
mod session;
mod shared;
mod state;
mod statement;
mod target;
mod wire;
mod writer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

pub use rusqlite::types::Value;

pub use self::log::{Entry, Index, Position, Term};

use self::control::Control;
use self::shared::Shared;
use self::state::State;
use crate::port::Port;
use crate::sync::lock;

/// Time between two heartbeats of a primary.
const HEARTBEAT: Duration = Duration::from_millis(20);
/// Delay of a new connection.
const CONNECT_DELAY: Duration = Duration::from_millis(10);
/// How long a transaction may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const TARGETS: usize = 3;
const CONNECTION_LIMIT: u64 = 20;

/// Settings of a group.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of targets.
    pub targets: usize,
    /// Addresses to listen on; free ports of loopback where none is given.
    pub addresses: Vec<SocketAddr>,
    /// Delay one way between targets.
    pub replication_delay: Duration,
    /// Time between two heartbeats of a primary.
    pub heartbeat: Duration,
    /// Connections that each target takes.
    pub connection_limit: u64,
    /// Delay of a new connection.
    pub connect_delay: Duration,
    /// Delay one way between a target and its callers.
    pub network_delay: Duration,
    /// How long a transaction may be idle before its connection ends.
    pub idle_timeout: Duration,
    /// Statements of the first entry of the log.
    pub schema: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            targets: TARGETS,
            addresses: Vec::new(),
            replication_delay: Duration::ZERO,
            heartbeat: HEARTBEAT,
            connection_limit: CONNECTION_LIMIT,
            connect_delay: CONNECT_DELAY,
            network_delay: Duration::ZERO,
            idle_timeout: IDLE_TIMEOUT,
            schema: Vec::new(),
        }
    }
}

/// A running group; dropping it ends it.
pub struct Group {
    shared: Arc<Shared>,
    targets: Vec<Target>,
    threads: Vec<JoinHandle<()>>,
}

/// Handle on one target: its faults, and a look inside for checkers.
#[derive(Clone)]
pub struct Target {
    inner: Arc<target::Target>,
    port: Arc<Port>,
}

impl Group {
    /// Starts a group in which target 0 is the primary of term 1.
    pub fn start(options: Options) -> crate::Result<Self> {
        let shared = Arc::new(Shared::new(&options));
        let numbers = 0..options.targets;
        let targets = numbers.map(|number| Target::new(number, &options, &shared));
        let targets = targets.collect::<crate::Result<Vec<Target>>>()?;
        let inner: Vec<Arc<target::Target>> =
            targets.iter().map(|target| target.inner.clone()).collect();
        shared.set_targets(&inner);
        let mut group = Group { shared, targets, threads: Vec::new() };
        for number in 0..options.targets {
            group.spawn(number)?;
        }
        Ok(group)
    }

    fn spawn(&mut self, number: usize) -> crate::Result<()> {
        let target = self.targets[number].clone();
        let (messages, data) = (target.inner.clone(), target.inner.clone());
        let accept = move || listener::run(&target.inner, &target.port);
        self.thread(format!("accept-{number}"), accept)?;
        self.thread(format!("messages-{number}"), move || replication::run(&messages))?;
        self.thread(format!("apply-{number}"), move || replication::apply(&data))
    }

    fn thread(&mut self, name: String, run: impl FnOnce() + Send + 'static) -> crate::Result<()> {
        self.threads.push(std::thread::Builder::new().name(name).spawn(run)?);
        Ok(())
    }

    /// Addresses of the targets, the same over restarts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.targets.iter().map(Target::address).collect()
    }

    /// Handle on a target.
    ///
    /// # Panics
    ///
    /// Where there is no such target.
    pub fn target(&self, number: usize) -> &Target {
        &self.targets[number]
    }

    /// Handles on all targets.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.shared.end();
        for target in &self.targets {
            target.kill();
        }
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                ::log::error!("a thread of the group has panicked");
            }
        }
    }
}

impl Target {
    fn new(number: usize, options: &Options, shared: &Arc<Shared>) -> crate::Result<Self> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = options.addresses.get(number).copied().unwrap_or(loopback);
        let port = Arc::new(Port::new(address)?);
        let state = State::new(number, options.targets, schema(options));
        let inner = Arc::new(target::Target::new(number, shared.clone(), state)?);
        Ok(Target { inner, port })
    }

    /// Number in the group.
    pub fn number(&self) -> usize {
        self.inner.number
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Takes the target down at once: connections drop, new ones are refused.
    pub fn kill(&self) {
        self.inner.kill();
        self.port.close();
    }

    /// Starts a killed target again with its durable state.
    pub fn restart(&self) -> crate::Result<()> {
        if self.inner.switches.running() {
            return Ok(());
        }
        self.inner.restart()?;
        Ok(self.port.open()?)
    }

    /// Freezes the target: it answers nobody, new connections wait unaccepted.
    pub fn pause(&self) {
        self.inner.switches.set_paused(true);
    }

    /// Ends a pause.
    pub fn resume(&self) {
        self.inner.switches.set_paused(false);
    }

    /// Cuts the links to some other targets, both ways; callers still reach the target.
    pub fn partition(&self, others: &[usize]) {
        for other in others.iter().filter(|other| **other != self.number()) {
            self.inner.group.set_cut(self.number(), *other, true);
        }
    }

    /// Heals all links to other targets.
    pub fn heal(&self) {
        self.inner.group.heal(self.number());
    }

    /// Cuts all callers off, or lets them in again; other targets still reach the target.
    pub fn set_callers_blocked(&self, blocked: bool) {
        self.inner.switches.callers_cut.store(blocked, Ordering::SeqCst);
    }

    /// Open connections go silent for good, both ways; new ones work.
    pub fn silence_connections(&self) {
        for handle in lock(&self.inner.connections).values() {
            handle.control.silence();
        }
    }

    /// The next `count` commits take effect, and their connections go silent before the answer.
    pub fn drop_commit_responses(&self, count: u64) {
        self.inner.switches.lose_answers(count);
    }

    /// Every statement fails but group functions and `SELECT 1`.
    pub fn set_poisoned(&self, poisoned: bool) {
        self.inner.switches.poisoned.store(poisoned, Ordering::SeqCst);
    }

    /// Delays what arrives from other targets, and so applying and acknowledging.
    pub fn set_lag(&self, lag: Duration) {
        self.inner.set_lag(lag);
    }

    /// Loses the log and the data; the target comes back empty as `rebuilding`, without a vote.
    pub fn rebuild(&self) {
        self.inner.rebuild();
    }

    /// Changes the most connections; those over it stay.
    pub fn set_connection_limit(&self, limit: u64) {
        self.inner.connection_limit.store(limit, Ordering::SeqCst);
    }

    /// Open connections.
    pub fn connection_count(&self) -> usize {
        lock(&self.inner.connections).len()
    }

    /// Places of all entries in the log.
    pub fn log_positions(&self) -> Vec<Position> {
        lock(&self.inner.state).log.positions()
    }

    /// Entries of the log.
    pub fn entries(&self) -> Vec<Arc<Entry>> {
        lock(&self.inner.state).log.range(1, usize::MAX)
    }

    /// Highest entry that the target knows as confirmed.
    pub fn confirmed_position(&self) -> Position {
        lock(&self.inner.state).confirmed
    }

    /// Accepted term.
    pub fn accepted_term(&self) -> Term {
        lock(&self.inner.state).accepted_term
    }

    /// Index up to which the data holds the log.
    pub fn applied_index(&self) -> Index {
        lock(&self.inner.state).applied
    }

    /// Whether the target is the primary of its accepted term.
    pub fn is_primary(&self) -> bool {
        lock(&self.inner.state).leads()
    }

    /// Whether the target's grants and acknowledgements count.
    pub fn is_voter(&self) -> bool {
        lock(&self.inner.state).voter
    }

    /// Rows of a query on the committed data, past all faults.
    pub fn query(&self, sql: &str) -> crate::Result<Vec<Vec<Value>>> {
        let control = Arc::new(Control::default());
        let outcome = lock(&self.inner.database).run(sql, &[], &control)?;
        Ok(outcome.rows)
    }
}

fn schema(options: &Options) -> Vec<log::Statement> {
    let statements = options.schema.iter().flat_map(|sql| statement::split(sql));
    statements.map(|sql| log::Statement { sql: sql.to_owned(), params: Vec::new() }).collect()
}
