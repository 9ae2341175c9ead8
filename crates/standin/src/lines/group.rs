//! A group of targets: one log a target, replication with lag, promotion, and their troubles.

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

/// Targets of a group.
const TARGETS: usize = 3;
/// Statements that a target runs at once.
const SLOTS: u32 = 3;
/// Statements that wait for a slot at most; more are refused.
const QUEUE: u32 = 24;
/// Connections that a target takes unless it is set.
const CONNECTIONS: u32 = 21;
/// Time between the call and the moment at which the target leads.
const PROMOTE_TIME: Duration = Duration::from_millis(100);
/// Time between two steps of replication.
const REPLICATION_STEP: Duration = Duration::from_millis(2);
/// Lag of replicas unless it is set.
const LAG: Duration = Duration::from_millis(5);

/// A commit in a target's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Commit {
    /// Its place.
    pub position: Position,
    /// Items and the data written.
    pub writes: Vec<(String, String)>,
    at: std::time::Instant,
}

/// What a target holds.
#[derive(Debug)]
pub(super) struct State {
    pub(super) role: Role,
    pub(super) term: Term,
    pub(super) log: Vec<Commit>,
    pub(super) open: u32,
    pub(super) is_leaving: bool,
    pub(super) is_dark: bool,
    pub(super) loses_commit_answers: bool,
    /// Connections that it takes.
    pub(super) connection_limit: u32,
    /// Term below which it receives nothing; 0 unless it was told so.
    pub(super) paused_below: Term,
    lag: Duration,
    sequence: u64,
    born: u64,
}

impl State {
    /// Place of the last commit, or of the beginning of the term.
    pub(super) fn position(&self) -> Position {
        let last = self.log.last().map_or_else(Position::default, |commit| commit.position);
        last.max(Position { term: self.term, number: 0 })
    }

    /// Data of an item.
    pub(super) fn read(&self, item: &str) -> Option<&str> {
        let writes = self.log.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        let mut found = writes.filter(|(name, _)| name == item);
        found.next().map(|(_, data)| data.as_str())
    }
}

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    pub(super) state: Mutex<State>,
    pub(super) ends: Notify,
    restarts: Notify,
    /// Slots for statements that work.
    pub(super) slots: Semaphore,
    queued: AtomicU32,
    port: Port,
    /// Address in its entry: its own, or that of a relay before it.
    published: Mutex<SocketAddr>,
    store: Arc<Store>,
    sync_replicas: Arc<AtomicUsize>,
    /// Commits of its log that enough replicas have received.
    replicated: watch::Sender<usize>,
}

/// A group of targets.
#[derive(Debug)]
pub struct Group {
    /// Its service.
    pub service: String,
    /// Its targets.
    pub targets: Vec<Arc<Target>>,
    /// Replicas that must have received a commit before it is acknowledged.
    sync_replicas: Arc<AtomicUsize>,
}

impl Group {
    /// A group whose first target leads term 1.
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

    /// Starts listening and replicating, on the runtime that runs this.
    pub(super) fn serve(self: &Arc<Group>) {
        for target in &self.targets {
            target.register();
            session::accept(target.clone());
        }
        tokio::spawn(replicate(self.clone()));
    }

    /// The target that leads the highest term.
    pub fn primary(&self) -> Arc<Target> {
        let leads = |target: &&Arc<Target>| lock(&target.state).role == Role::Primary;
        let leaders = self.targets.iter().filter(leads);
        let leader = leaders.max_by_key(|target| lock(&target.state).term);
        leader.unwrap_or(&self.targets[0]).clone()
    }

    /// A target that does not lead.
    pub fn replica(&self) -> Arc<Target> {
        let follows = |target: &&Arc<Target>| lock(&target.state).role == Role::Replica;
        let replica = self.targets.iter().find(follows);
        replica.unwrap_or(&self.targets[1]).clone()
    }

    /// Makes a target lead the next term soon; false if it is not running.
    pub(super) fn promote(self: &Arc<Group>, name: &str) -> bool {
        let Some(target) = self.targets.iter().find(|target| target.name == name).cloned() else {
            return false;
        };
        if lock(&target.state).is_dark {
            return false;
        }
        if lock(&target.state).role == Role::Primary {
            return true;
        }
        let group = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(PROMOTE_TIME).await;
            group.lead(&target);
        });
        true
    }

    fn lead(&self, target: &Target) {
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

    /// Brings every replica that is not deaf up to the primary, as far as its lag allows.
    fn replicate_once(&self) {
        let primary = self.primary();
        let (term, log) = {
            let state = lock(&primary.state);
            if state.is_dark {
                return;
            }
            (state.term, state.log.clone())
        };
        for target in self.targets.iter().filter(|target| target.name != primary.name) {
            let demoted = {
                let mut state = lock(&target.state);
                if state.is_dark || term < state.paused_below {
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
            self.note_replicated(&primary);
        }
    }

    /// Tells the primary how far enough replicas have received its log.
    fn note_replicated(&self, primary: &Target) {
        let log = lock(&primary.state).log.clone();
        // A replica's log may have gone another way before this primary's term.
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
        tokio::time::sleep(REPLICATION_STEP).await;
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
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let state = State {
            role,
            term: 1,
            log: Vec::new(),
            open: 0,
            is_leaving: false,
            is_dark: false,
            loses_commit_answers: false,
            connection_limit: CONNECTIONS,
            paused_below: 0,
            lag: LAG,
            sequence: 0,
            born: u64::try_from(born.as_millis()).unwrap_or_default(),
        };
        let port = Port::new(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Target {
            name: format!("{service}-{index}"),
            service: service.into(),
            state: Mutex::new(state),
            ends: Notify::new(),
            restarts: Notify::new(),
            slots: Semaphore::new(SLOTS as usize),
            queued: AtomicU32::new(0),
            published: Mutex::new(port.address),
            port,
            store,
            sync_replicas,
            replicated: watch::Sender::new(0),
        })
    }

    /// Writes its entry into the platform's directory.
    fn register(&self) {
        let (entry, sequence) = {
            let mut state = lock(&self.state);
            state.sequence += 1;
            let entry = Entry {
                name: self.name.clone(),
                service: self.service.clone(),
                address: *lock(&self.published),
                domain: "a".into(),
                slots: SLOTS,
                is_leaving: state.is_leaving,
                role: state.role,
                born: state.born,
            };
            (entry, state.sequence)
        };
        let value = counterpart::rows::encode_entry(&entry, sequence);
        self.store.write(directory::TABLE, &self.name, Some(value));
    }

    /// Says that it is about to stop.
    pub fn mark_leaving(&self) {
        lock(&self.state).is_leaving = true;
        self.register();
    }

    /// Breaks all connections and refuses new ones; nobody is told.
    pub fn crash(&self) {
        lock(&self.state).is_dark = true;
        self.port.close();
        self.ends.notify_waiters();
    }

    /// Comes back after a crash with its log; as a replica if another was promoted meanwhile.
    pub fn restart(self: &Arc<Target>) -> crate::Result<()> {
        self.port.open()?;
        lock(&self.state).is_dark = false;
        self.restarts.notify_one();
        Ok(())
    }

    /// Address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Names another address in its entry: that of a relay before it.
    pub fn set_published_address(&self, address: SocketAddr) {
        *lock(&self.published) = address;
        self.register();
    }

    /// Waits until it comes back after a crash.
    pub(super) async fn wait_restart(&self) {
        self.restarts.notified().await;
    }

    /// Loses the answers to commits from now on; they take effect.
    pub fn drop_commit_responses(&self, loses: bool) {
        lock(&self.state).loses_commit_answers = loses;
    }

    /// Takes this many connections from now on.
    pub fn set_connection_limit(&self, limit: u32) {
        lock(&self.state).connection_limit = limit;
    }

    /// Waits for a slot; none if too many wait already.
    pub(super) async fn slot(&self) -> Option<SemaphorePermit<'_>> {
        if self.queued.fetch_add(1, Ordering::Relaxed) >= QUEUE + SLOTS {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let permit = self.slots.acquire().await.ok();
        self.queued.fetch_sub(1, Ordering::Relaxed);
        permit
    }

    /// Makes a replica lag by this much.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Whether it holds itself to be the primary.
    pub fn is_primary(&self) -> bool {
        lock(&self.state).role == Role::Primary
    }

    /// Data of an item in its log.
    pub fn read(&self, item: &str) -> Option<String> {
        lock(&self.state).read(item).map(str::to_owned)
    }

    /// All data written to an item in its log, in order.
    pub fn history(&self, item: &str) -> Vec<String> {
        let state = lock(&self.state);
        let writes = state.log.iter().flat_map(|commit| &commit.writes);
        writes.filter(|(name, _)| name == item).map(|(_, data)| data.clone()).collect()
    }

    /// Times that an item was written in its log.
    pub fn count_writes(&self, item: &str) -> usize {
        let state = lock(&self.state);
        let writes = state.log.iter().flat_map(|commit| &commit.writes);
        writes.filter(|(name, _)| name == item).count()
    }

    /// Appends a commit if it leads; answers with its place.
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

    /// Waits until enough replicas have received the log as it is now.
    pub(super) async fn wait_replicated(&self) {
        if self.sync_replicas.load(Ordering::Relaxed) == 0 {
            return;
        }
        let length = lock(&self.state).log.len();
        // The sender lives as long as the target.
        drop(self.replicated.subscribe().wait_for(|received| *received >= length).await);
    }

    /// Stops receiving from primaries of terms below `term`.
    pub(super) fn pause(&self, term: Term) {
        let mut state = lock(&self.state);
        if term > state.term {
            state.paused_below = term;
        }
    }

    /// Waits for a connection to its port; none once it has crashed.
    pub(super) fn accept(&self) -> Option<std::net::TcpStream> {
        self.port.accept()
    }
}

/// Values by name.
pub(super) type Values = BTreeMap<String, String>;
