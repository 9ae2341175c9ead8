//! A stand-in for a database group: targets that speak the PostgreSQL protocol, replicate
//! asynchronously and keep terms, with faults that tests inject at run time.
//!
//! The group runs on threads of its own: one for each connection, and three for each target, which
//! accept connections, exchange messages with the other targets and apply the log.

pub mod log;
pub mod sqlstate;

mod binary;
mod control;
mod database;
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

const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
const DEFAULT_CONNECT_DELAY: Duration = Duration::from_millis(10);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_TARGETS: usize = 3;
const DEFAULT_CONNECTION_LIMIT: u64 = 20;

/// Settings of a group.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of targets; target 0 starts as the primary.
    pub targets: usize,
    /// Listen addresses by target number; a target without one gets a free loopback port.
    pub addresses: Vec<SocketAddr>,
    /// One-way delay between targets.
    pub replication_delay: Duration,
    /// Interval between two heartbeats of a primary.
    pub heartbeat_interval: Duration,
    /// Maximum number of connections of each target.
    pub connection_limit: u64,
    /// Delay added to the setup of a connection.
    pub connect_delay: Duration,
    /// One-way delay between a target and its callers.
    pub network_delay: Duration,
    /// Time after which an idle transaction is rolled back and its connection closed.
    pub idle_timeout: Duration,
    /// Statements of the first log entry, which all targets have applied at the start.
    pub schema: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            targets: DEFAULT_TARGETS,
            addresses: Vec::new(),
            replication_delay: Duration::ZERO,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            connection_limit: DEFAULT_CONNECTION_LIMIT,
            connect_delay: DEFAULT_CONNECT_DELAY,
            network_delay: Duration::ZERO,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            schema: Vec::new(),
        }
    }
}

/// A running group; dropping it stops its threads.
pub struct Group {
    shared: Arc<Shared>,
    targets: Vec<Target>,
    threads: Vec<JoinHandle<()>>,
}

/// Handle to a target, which injects faults and exposes its state to checks.
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
            group.spawn_threads(number)?;
        }
        Ok(group)
    }

    fn spawn_threads(&mut self, number: usize) -> crate::Result<()> {
        let target = self.targets[number].clone();
        let (messages, data) = (target.inner.clone(), target.inner.clone());
        let accept = move || listener::run(&target.inner, &target.port);
        self.spawn_thread(format!("accept-{number}"), accept)?;
        self.spawn_thread(format!("messages-{number}"), move || replication::run(&messages))?;
        self.spawn_thread(format!("apply-{number}"), move || replication::apply_log(&data))
    }

    fn spawn_thread(
        &mut self,
        name: String,
        run: impl FnOnce() + Send + 'static,
    ) -> crate::Result<()> {
        self.threads.push(std::thread::Builder::new().name(name).spawn(run)?);
        Ok(())
    }

    /// Listen addresses by target number; they don't change over restarts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.targets.iter().map(Target::address).collect()
    }

    /// Handle to a target.
    ///
    /// # Panics
    ///
    /// If there is no target with this number.
    pub fn target(&self, number: usize) -> &Target {
        &self.targets[number]
    }

    /// Handles to all targets, by number.
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
                ::log::error!("a thread of the group panicked");
            }
        }
    }
}

impl Target {
    fn new(number: usize, options: &Options, shared: &Arc<Shared>) -> crate::Result<Self> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = options.addresses.get(number).copied().unwrap_or(loopback);
        let port = Arc::new(Port::new(address)?);
        let state = State::new(number, options.targets, schema_statements(options));
        let inner = Arc::new(target::Target::new(number, shared.clone(), state)?);
        Ok(Target { inner, port })
    }

    /// Number of the target in its group, from 0.
    pub fn number(&self) -> usize {
        self.inner.number
    }

    /// Listen address, which doesn't change over restarts.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Stops the target at once: closes its connections and refuses new ones.
    pub fn kill(&self) {
        self.inner.kill();
        self.port.close();
    }

    /// Restarts a killed target with its durable state; no effect on a running one.
    pub fn restart(&self) -> crate::Result<()> {
        if self.inner.faults.is_running() {
            return Ok(());
        }
        self.inner.restart()?;
        Ok(self.port.open()?)
    }

    /// Suspends the target: it answers neither callers nor targets, and new connections are not
    /// accepted.
    pub fn pause(&self) {
        self.inner.faults.set_paused(true);
    }

    /// Resumes a paused target.
    pub fn resume(&self) {
        self.inner.faults.set_paused(false);
    }

    /// Partitions the target from some other targets, in both directions; callers still reach it.
    pub fn partition(&self, others: &[usize]) {
        for other in others.iter().filter(|other| **other != self.number()) {
            self.inner.group.set_partitioned(self.number(), *other, true);
        }
    }

    /// Ends all partitions between the target and other targets.
    pub fn heal(&self) {
        self.inner.group.heal(self.number());
    }

    /// Partitions the target from its callers, or ends that; other targets still reach it.
    pub fn set_callers_blocked(&self, blocked: bool) {
        self.inner.faults.callers_blocked.store(blocked, Ordering::SeqCst);
    }

    /// Blocks all traffic of the open connections for good, without closing them; new connections
    /// work.
    pub fn silence_connections(&self) {
        for handle in lock(&self.inner.connections).values() {
            handle.control.silence();
        }
    }

    /// Drops the responses of the next `count` commits: they take effect, then their connections go
    /// silent.
    pub fn drop_commit_responses(&self, count: u64) {
        self.inner.faults.drop_commit_responses(count);
    }

    /// Makes every statement fail except group functions and `SELECT 1`, or ends that.
    pub fn set_poisoned(&self, poisoned: bool) {
        self.inner.faults.poisoned.store(poisoned, Ordering::SeqCst);
    }

    /// Delays messages from other targets, and with them the apply and acknowledgement of entries.
    pub fn set_lag(&self, lag: Duration) {
        self.inner.set_lag(lag);
    }

    /// Clears the log and the data; the target continues empty, as `rebuilding` and without a vote,
    /// until it has caught up.
    pub fn rebuild(&self) {
        self.inner.rebuild();
    }

    /// Sets the maximum number of connections; open ones beyond it are kept.
    pub fn set_connection_limit(&self, limit: u64) {
        self.inner.connection_limit.store(limit, Ordering::SeqCst);
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        lock(&self.inner.connections).len()
    }

    /// Positions of all log entries, in order.
    pub fn log_positions(&self) -> Vec<Position> {
        lock(&self.inner.state).log.positions()
    }

    /// All log entries, in order.
    pub fn entries(&self) -> Vec<Arc<Entry>> {
        lock(&self.inner.state).log.range(1, usize::MAX)
    }

    /// Highest position that the target knows to be confirmed.
    pub fn confirmed_position(&self) -> Position {
        lock(&self.inner.state).confirmed
    }

    /// Highest term that the target has granted or followed.
    pub fn accepted_term(&self) -> Term {
        lock(&self.inner.state).accepted_term
    }

    /// Last log index that is applied to the data.
    pub fn applied_index(&self) -> Index {
        lock(&self.inner.state).applied
    }

    /// Whether the target is the primary of its accepted term.
    pub fn is_primary(&self) -> bool {
        lock(&self.inner.state).is_primary()
    }

    /// Whether the target's grants and acknowledgements count towards a majority.
    pub fn is_voter(&self) -> bool {
        lock(&self.inner.state).voter
    }

    /// Runs a query on the committed data, unaffected by faults, and returns its rows.
    pub fn query(&self, sql: &str) -> crate::Result<Vec<Vec<Value>>> {
        let control = Arc::new(Control::default());
        let outcome = lock(&self.inner.database).run(sql, &[], &control)?;
        Ok(outcome.rows)
    }
}

fn schema_statements(options: &Options) -> Vec<log::Statement> {
    let statements = options.schema.iter().flat_map(|sql| statement::split_statements(sql));
    statements.map(|sql| log::Statement { sql: sql.to_owned(), params: Vec::new() }).collect()
}
