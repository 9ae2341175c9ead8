//! A group of targets: a log for each target, replication with lag, promotion, and faults.

use super::session;
use super::store::Store;
use crate::port::Port;
use crate::sync::lock;
use bergamotvale_core::proxy::directory::{Entry, Role};
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::record::Term;
use bergamotvale_platform::{counterpart, directory};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::{Notify, Semaphore, SemaphorePermit, watch};

/// Number of targets of a group.
const TARGETS: usize = 3;
/// Statements that a target runs concurrently.
const SLOTS: u32 = 3;
/// Maximum number of statements that wait for a slot; more are refused as busy.
const MAX_QUEUED: u32 = 24;
/// Default connection limit of a target.
const DEFAULT_CONNECTION_LIMIT: u32 = 21;
/// Time from the promotion call until the target is the primary.
const PROMOTION_DELAY: Duration = Duration::from_millis(100);
/// Interval between two replication steps.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);
/// Execution time of a statement that occupies a slot, unless a test sets that of writes.
pub(super) const EXECUTION_TIME: Duration = Duration::from_millis(2);
/// Default replication lag.
const DEFAULT_LAG: Duration = Duration::from_millis(5);

/// A commit in a target's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Commit {
    /// Position of the commit in the log.
    pub position: Position,
    /// Items and the data written to them, in order.
    pub writes: Vec<(String, String)>,
    at: std::time::Instant,
}

/// Mutable state of a target.
#[derive(Debug)]
pub(super) struct State {
    pub(super) role: Role,
    pub(super) term: Term,
    pub(super) log: Vec<Commit>,
    pub(super) open_connections: u32,
    pub(super) is_leaving: bool,
    /// Failure domain in the directory entry.
    domain: String,
    /// When the last statement of a caller arrived; `None` before the first.
    pub(super) last_statement: Option<std::time::Instant>,
    pub(super) is_crashed: bool,
    /// Whether the store does not hear the target, so that the directory has no entry of it.
    is_unlisted: bool,
    pub(super) drops_commit_responses: bool,
    /// Connections beyond this number are refused.
    pub(super) connection_limit: u32,
    /// Primaries of terms below this one are ignored; 0 if replication is not paused.
    pub(super) paused_below: Term,
    lag: Duration,
    write_time: Duration,
    sequence: u64,
    /// Creation of the target, in milliseconds since the Unix epoch.
    start_time: u64,
}

impl State {
    /// Position of the last commit, or the start of the term if there is no later commit.
    pub(super) fn position(&self) -> Position {
        let last = self.log.last().map_or_else(Position::default, |commit| commit.position);
        last.max(Position { term: self.term, number: 0 })
    }

    /// Data last written to an item.
    pub(super) fn read(&self, item: &str) -> Option<&str> {
        let writes = self.log.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        let mut found = writes.filter(|(name, _)| name == item);
        found.next().map(|(_, data)| data.as_str())
    }
}

/// A target of a group: listener, log and faults.
#[derive(Debug)]
pub struct Target {
    /// Name of the target in the platform's directory.
    pub name: String,
    /// Service that the target belongs to.
    pub service: String,
    pub(super) state: Mutex<State>,
    pub(super) disconnects: Notify,
    restarts: Notify,
    /// Slots for statements that read, write or commit.
    pub(super) slots: Semaphore,
    queued: AtomicU32,
    port: Port,
    /// Address in the directory entry: the target's own, or that of a relay in front of it.
    published_address: Mutex<SocketAddr>,
    store: Arc<Store>,
    sync_replicas: Arc<AtomicUsize>,
    /// Number of commits of this log that enough replicas have received.
    replicated: watch::Sender<usize>,
}

/// A group of targets.
#[derive(Debug)]
pub struct Group {
    /// Service that the group serves.
    pub service: String,
    /// Targets of the group; the first one is the initial primary.
    pub targets: Vec<Arc<Target>>,
    /// Replicas that must have received a commit before it is acknowledged.
    sync_replicas: Arc<AtomicUsize>,
}

impl Group {
    /// Creates a group whose first target is the primary of term 1.
    pub(super) fn new(service: &str, store: Arc<Store>) -> crate::Result<Group> {
        let sync_replicas = Arc::new(AtomicUsize::new(0));
        let target = |index: usize| {
            let role = if index == 0 { Role::Primary } else { Role::Replica };
            Target::new(service, index, role, store.clone(), sync_replicas.clone()).map(Arc::new)
        };
        let targets = (0..TARGETS).map(target).collect::<crate::Result<Vec<_>>>()?;
        Ok(Group { service: service.into(), targets, sync_replicas })
    }

    /// Acknowledges commits once this many replicas have received them.
    pub fn set_sync_replicas(&self, count: usize) {
        self.sync_replicas.store(count, Ordering::Relaxed);
    }

    /// Registers the targets and starts listening and replication on the current runtime.
    pub(super) fn serve(self: &Arc<Group>) {
        for target in &self.targets {
            target.register();
            session::accept(target.clone());
        }
        tokio::spawn(replicate(self.clone()));
    }

    /// The primary of the highest term, or the first target while none leads.
    pub fn primary(&self) -> Arc<Target> {
        self.leader().unwrap_or(&self.targets[0]).clone()
    }

    fn leader(&self) -> Option<&Arc<Target>> {
        let is_primary = |target: &&Arc<Target>| lock(&target.state).role == Role::Primary;
        let primaries = self.targets.iter().filter(is_primary);
        primaries.max_by_key(|target| lock(&target.state).term)
    }

    /// A target that is a replica.
    pub fn replica(&self) -> Arc<Target> {
        let is_replica = |target: &&Arc<Target>| lock(&target.state).role == Role::Replica;
        let replica = self.targets.iter().find(is_replica);
        replica.unwrap_or(&self.targets[1]).clone()
    }

    /// Makes a target the primary of the next term after a delay; false if the target is unknown or
    /// has crashed.
    pub(super) fn promote(self: &Arc<Group>, name: &str) -> bool {
        let Some(target) = self.targets.iter().find(|target| target.name == name).cloned() else {
            return false;
        };
        if lock(&target.state).is_crashed {
            return false;
        }
        if lock(&target.state).role == Role::Primary {
            return true;
        }
        let group = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(PROMOTION_DELAY).await;
            group.make_primary(&target);
        });
        true
    }

    fn make_primary(&self, target: &Target) {
        let term = self.targets.iter().map(|t| lock(&t.state).term).max().unwrap_or_default();
        {
            let mut state = lock(&target.state);
            state.role = Role::Primary;
            state.term = term + 1;
        }
        for target in &self.targets {
            lock(&target.state).paused_below = 0;
        }
        target.register();
    }

    /// Brings every replica that has neither crashed nor paused up to the primary, as far as its
    /// lag allows. Commits that the primary's log lacks are discarded. Nothing changes while no
    /// target leads.
    fn replicate_once(&self) {
        let Some(primary) = self.leader() else { return };
        let (term, log) = {
            let state = lock(&primary.state);
            if state.is_crashed {
                return;
            }
            (state.term, state.log.clone())
        };
        for target in self.targets.iter().filter(|target| target.name != primary.name) {
            let demoted = {
                let mut state = lock(&target.state);
                if state.is_crashed || term < state.paused_below {
                    continue;
                }
                let demoted = state.role == Role::Primary;
                state.role = Role::Replica;
                let due = log.iter().take_while(|commit| commit.at.elapsed() >= state.lag).count();
                let common = log.iter().zip(&state.log).take_while(|(a, b)| a == b).count();
                if common < state.log.len() || due > common {
                    state.log.truncate(common);
                    let from = common.min(due);
                    state.log.extend_from_slice(&log[from..due.max(from)]);
                }
                // A lag of a minute or more also keeps the primary's term from the replica.
                if state.lag < Duration::from_secs(60) {
                    state.term = term;
                }
                demoted
            };
            if demoted {
                target.register();
            }
        }
        if self.sync_replicas.load(Ordering::Relaxed) > 0 {
            self.update_replicated(primary);
        }
    }

    /// Updates the number of commits in the primary's log that enough replicas have received.
    fn update_replicated(&self, primary: &Target) {
        let log = lock(&primary.state).log.clone();
        // Counts common commits only: a replica's log may have diverged in an earlier term.
        let received = |target: &Arc<Target>| {
            let state = lock(&target.state);
            log.iter().zip(&state.log).take_while(|(a, b)| a == b).count()
        };
        let replicas = self.targets.iter().filter(|target| target.name != primary.name);
        let mut lengths: Vec<usize> = replicas.map(received).collect();
        lengths.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.sync_replicas.load(Ordering::Relaxed);
        let received = needed.checked_sub(1).and_then(|index| lengths.get(index).copied());
        primary.replicated.send_replace(received.unwrap_or_default());
    }
}

async fn replicate(group: Arc<Group>) {
    loop {
        tokio::time::sleep(REPLICATION_INTERVAL).await;
        group.replicate_once();
    }
}

impl Target {
    fn new(
        service: &str,
        index: usize,
        role: Role,
        store: Arc<Store>,
        sync_replicas: Arc<AtomicUsize>,
    ) -> crate::Result<Target> {
        let start_time =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let state = State {
            role,
            term: 1,
            log: Vec::new(),
            open_connections: 0,
            is_leaving: false,
            domain: "a".into(),
            last_statement: None,
            is_crashed: false,
            is_unlisted: false,
            drops_commit_responses: false,
            connection_limit: DEFAULT_CONNECTION_LIMIT,
            paused_below: 0,
            lag: DEFAULT_LAG,
            write_time: EXECUTION_TIME,
            sequence: 0,
            start_time: u64::try_from(start_time.as_millis()).unwrap_or_default(),
        };
        let port = Port::new(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Target {
            name: format!("{service}-{index}"),
            service: service.into(),
            state: Mutex::new(state),
            disconnects: Notify::new(),
            restarts: Notify::new(),
            slots: Semaphore::new(SLOTS as usize),
            queued: AtomicU32::new(0),
            published_address: Mutex::new(port.address),
            port,
            store,
            sync_replicas,
            replicated: watch::Sender::new(0),
        })
    }

    /// Writes the target's entry into the platform's directory, unless it is cut from the store.
    fn register(&self) {
        let (entry, sequence) = {
            let mut state = lock(&self.state);
            if state.is_unlisted {
                return;
            }
            state.sequence += 1;
            let entry = Entry {
                name: self.name.clone(),
                service: self.service.clone(),
                address: *lock(&self.published_address),
                domain: state.domain.clone(),
                slots: SLOTS,
                is_leaving: state.is_leaving,
                role: state.role,
                start_time: state.start_time,
            };
            (entry, state.sequence)
        };
        let value = counterpart::rows::encode_entry(&entry, sequence);
        self.store.write(directory::TABLE, &self.name, Some(value));
    }

    /// Moves the target to another failure domain in the directory.
    pub fn set_domain(&self, domain: &str) {
        lock(&self.state).domain = domain.into();
        self.register();
    }

    /// When the last statement of a caller arrived at the target; `None` before the first.
    pub fn last_statement(&self) -> Option<std::time::Instant> {
        lock(&self.state).last_statement
    }

    /// Marks the target as leaving in the directory.
    pub fn mark_leaving(&self) {
        lock(&self.state).is_leaving = true;
        self.register();
    }

    /// Cuts the target from the store, which removes its entry. It goes on serving and receiving.
    pub fn cut_from_store(&self) {
        lock(&self.state).is_unlisted = true;
        self.store.write(directory::TABLE, &self.name, None);
    }

    /// Ends the cut from the store: the target is listed again.
    pub fn reconnect_to_store(&self) {
        lock(&self.state).is_unlisted = false;
        self.register();
    }

    /// Closes all connections and refuses new ones; the directory entry stays as it is.
    pub fn crash(&self) {
        lock(&self.state).is_crashed = true;
        self.port.close();
        self.disconnects.notify_waiters();
    }

    /// Restarts a crashed target with its log; it becomes a replica if another target has been
    /// promoted since.
    pub fn restart(self: &Arc<Target>) -> crate::Result<()> {
        self.port.open()?;
        lock(&self.state).is_crashed = false;
        self.restarts.notify_one();
        Ok(())
    }

    /// Address on which the target listens.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Publishes another address in the directory entry, that of a relay in front of the target.
    pub fn set_published_address(&self, address: SocketAddr) {
        *lock(&self.published_address) = address;
        self.register();
    }

    /// Waits until the target restarts after a crash.
    pub(super) async fn wait_restart(&self) {
        self.restarts.notified().await;
    }

    /// Sets whether the target closes a connection instead of answering a commit, which still takes
    /// effect.
    pub fn drop_commit_responses(&self, drops: bool) {
        lock(&self.state).drops_commit_responses = drops;
    }

    /// Sets the connection limit for new connections; open ones stay.
    pub fn set_connection_limit(&self, limit: u32) {
        lock(&self.state).connection_limit = limit;
    }

    /// Waits for a slot; `None` if too many statements are waiting.
    pub(super) async fn acquire_slot(&self) -> Option<SemaphorePermit<'_>> {
        if self.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED + SLOTS {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let permit = self.slots.acquire().await.ok();
        self.queued.fetch_sub(1, Ordering::Relaxed);
        permit
    }

    /// Sets the delay after which the target, as a replica, receives commits.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Sets the execution time of writes and commits.
    pub fn set_write_time(&self, time: Duration) {
        lock(&self.state).write_time = time;
    }

    pub(super) fn write_time(&self) -> Duration {
        lock(&self.state).write_time
    }

    /// Whether the target considers itself the primary.
    pub fn is_primary(&self) -> bool {
        lock(&self.state).role == Role::Primary
    }

    /// Data last written to an item, according to this target's log.
    pub fn read(&self, item: &str) -> Option<String> {
        lock(&self.state).read(item).map(str::to_owned)
    }

    /// All data written to an item in this target's log, in order.
    pub fn history(&self, item: &str) -> Vec<String> {
        let state = lock(&self.state);
        let writes = state.log.iter().flat_map(|commit| &commit.writes);
        writes.filter(|(name, _)| name == item).map(|(_, data)| data.clone()).collect()
    }

    /// Number of writes to an item in this target's log.
    pub fn count_writes(&self, item: &str) -> usize {
        let state = lock(&self.state);
        let writes = state.log.iter().flat_map(|commit| &commit.writes);
        writes.filter(|(name, _)| name == item).count()
    }

    /// Appends a commit and returns its position; `None` if the target is not the primary. A commit
    /// without writes changes nothing and returns the current position.
    pub(super) fn commit(&self, writes: Vec<(String, String)>) -> Option<Position> {
        let mut state = lock(&self.state);
        if state.role != Role::Primary {
            return None;
        }
        if writes.is_empty() {
            return Some(state.position());
        }
        let last = state.position();
        let position = Position { term: last.term, number: last.number + 1 };
        state.log.push(Commit { position, writes, at: std::time::Instant::now() });
        Some(position)
    }

    /// Waits until enough replicas have received the present log.
    pub(super) async fn wait_replicated(&self) {
        if self.sync_replicas.load(Ordering::Relaxed) == 0 {
            return;
        }
        let length = lock(&self.state).log.len();
        // Cannot fail: the sender lives as long as the target.
        drop(self.replicated.subscribe().wait_for(|received| *received >= length).await);
    }

    /// Stops receiving from primaries of terms below `term`.
    pub(super) fn pause(&self, term: Term) {
        let mut state = lock(&self.state);
        if term > state.term {
            state.paused_below = term;
        }
    }

    /// Waits for a connection; `None` once the target has crashed.
    pub(super) fn accept(&self) -> Option<std::net::TcpStream> {
        self.port.accept()
    }
}

/// Session values by name.
pub(super) type Values = BTreeMap<String, String>;
