//! The platform's table service: rows with revisions, conditional writes, change feeds and faults.

use super::group::Group;
use crate::sync::lock;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::Row;
use bergamotvale_platform::call::ERA_HEADER;
use bergamotvale_platform::counterpart::store::{Call, RowKey, decode, encode};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Reading of the store's clock at its start.
const INITIAL_CLOCK: Duration = Duration::from_secs(3600);

/// Fault of the store; one applies at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Outage {
    /// No fault.
    #[default]
    None,
    /// Calls are accepted, not executed and never answered.
    Silent,
    /// Every call is refused with status 503.
    Busy,
    /// Calls are executed after this delay.
    Slow(Duration),
    /// Writes are executed and never answered.
    LostWriteResponses,
    /// Writes are never answered, and executed after this delay if their condition still holds.
    DelayedWrites(Duration),
    /// Calls beyond this number per second are refused with status 429.
    Limited(u32),
}

/// Value of a row and the revision that wrote it; no value if the row was removed.
type Stored = (Option<Bytes>, u64);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, Stored>,
    /// Every change of a row, in order of revision.
    history: Vec<(RowKey, Stored)>,
    revision: u64,
    /// Change history up to this revision has been discarded.
    compacted_revision: u64,
    outage: Outage,
    /// Times that the store was restored from a copy.
    era: u64,
    /// Current second since the start and the number of calls in it.
    second: (u64, u32),
}

impl State {
    fn insert(&mut self, key: RowKey, stored: Stored) {
        self.rows.insert(key.clone(), stored.clone());
        self.history.push((key, stored));
    }
}

/// A copy of the store's rows, from which it can be restored.
#[derive(Debug, Clone)]
pub struct Copy {
    rows: BTreeMap<RowKey, Stored>,
    revision: u64,
}

impl Copy {
    /// Keys of the rows of a table, in order.
    pub fn keys(&self, table: &str) -> impl Iterator<Item = &str> {
        let rows = self.rows.iter().filter(move |(key, row)| key.0 == table && row.0.is_some());
        rows.map(|(key, _)| key.1.as_str())
    }
}

/// A stand-in of the platform's table service.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Notify,
    started: std::time::Instant,
}

impl Default for Store {
    fn default() -> Store {
        let started = std::time::Instant::now();
        Store { state: Mutex::default(), changed: Notify::new(), started }
    }
}

impl Store {
    /// Writes a row, or removes it if `value` is `None`, unconditionally; returns the new revision.
    pub fn write(&self, table: &str, key: &str, value: Option<Bytes>) -> u64 {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.insert((table.to_owned(), key.to_owned()), (value, revision));
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// Value of a row; `None` if there is no such row.
    pub fn value(&self, table: &str, key: &str) -> Option<Bytes> {
        let state = lock(&self.state);
        state.rows.get(&(table.to_owned(), key.to_owned())).and_then(|row| row.0.clone())
    }

    /// Sets the present fault; [`Outage::None`] ends it.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.state).outage = outage;
    }

    /// Discards the change history: feeds that follow it have to read their tables again.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted_revision = state.revision;
        state.history.clear();
        state.revision += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Copies the rows.
    pub fn copy(&self) -> Copy {
        let state = lock(&self.state);
        Copy { rows: state.rows.clone(), revision: state.revision }
    }

    /// Goes back to `copy` and starts a new era. Revisions that were given out since are given out
    /// again. The rows of the tables in `rewritten` are then written again as they are now, as
    /// operators and targets do.
    pub fn restore(&self, copy: &Copy, rewritten: &[&str]) {
        let mut state = lock(&self.state);
        state.history.retain(|(_, (_, revision))| *revision <= copy.revision);
        let lost = std::mem::replace(&mut state.rows, copy.rows.clone());
        state.revision = copy.revision;
        state.compacted_revision = state.compacted_revision.min(copy.revision);
        state.era += 1;
        for (key, (value, _)) in lost {
            if rewritten.contains(&key.0.as_str()) {
                state.revision += 1;
                let revision = state.revision;
                state.insert(key, (value, revision));
            }
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn era(&self) -> u64 {
        lock(&self.state).era
    }

    /// Monotonic clock. It starts at an hour, like that of a platform that has been running.
    fn now(&self) -> Duration {
        INITIAL_CLOCK + self.started.elapsed()
    }

    /// Counts a call; returns whether it exceeds `limit` calls in the current second.
    fn exceeds_rate(&self, limit: u32) -> bool {
        let second = self.started.elapsed().as_secs();
        let mut state = lock(&self.state);
        if state.second.0 != second {
            state.second = (second, 0);
        }
        state.second.1 += 1;
        state.second.1 > limit
    }

    fn outage(&self) -> Outage {
        lock(&self.state).outage
    }

    fn change(
        &self,
        expected: &[(RowKey, u64)],
        writes: Vec<(RowKey, Bytes)>,
        removals: Vec<RowKey>,
    ) -> Option<u64> {
        let mut state = lock(&self.state);
        let holds = |(key, revision): &(RowKey, u64)| {
            let live = state.rows.get(key).filter(|row| row.0.is_some());
            live.map_or(0, |row| row.1) == *revision
        };
        if !expected.iter().all(holds) {
            return None;
        }
        state.revision += 1;
        let revision = state.revision;
        for (key, value) in writes {
            state.insert(key, (Some(value), revision));
        }
        for key in removals {
            state.insert(key, (None, revision));
        }
        drop(state);
        self.changed.notify_waiters();
        Some(revision)
    }

    /// Rows of a table in order of key, and the current revision.
    fn rows(&self, table: &str) -> (Vec<Row<Bytes>>, u64) {
        let state = lock(&self.state);
        let era = state.era;
        let live = state.rows.iter().filter(|((name, _), row)| name == table && row.0.is_some());
        (live.map(|(key, row)| to_row(era, key, row)).collect(), state.revision)
    }

    /// Changes of a table after `after`, each as the row that it left, and the current revision. A
    /// row that changed several times is included several times.
    fn changes(&self, table: &str, after: u64) -> (Vec<Row<Bytes>>, u64) {
        let state = lock(&self.state);
        let is_included =
            |((name, _), (_, revision)): &&(RowKey, Stored)| name == table && *revision > after;
        let changes = state.history.iter().filter(is_included);
        (changes.map(|(key, row)| to_row(state.era, key, row)).collect(), state.revision)
    }

    /// Whether the changes after a revision are not available: they are discarded, or the store has
    /// not given the revision out yet.
    fn lacks_history(&self, after: u64) -> bool {
        let state = lock(&self.state);
        after < state.compacted_revision || after > state.revision
    }

    async fn poll(&self, table: &str, after: u64, wait: Duration) -> Option<Bytes> {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.lacks_history(after) {
                return None;
            }
            let (rows, revision) = self.changes(table, after);
            if !rows.is_empty() || Instant::now() >= deadline {
                return Some(encode(table, &rows, revision, self.now()));
            }
            // Ends on a change or at the deadline; the next iteration finds out which.
            drop(tokio::time::timeout_at(deadline, changed).await);
        }
    }
}

fn to_row(era: u64, (_, key): &RowKey, (value, revision): &Stored) -> Row<Bytes> {
    let revision = Revision::new(era, *revision);
    Row { key: key.clone(), value: value.clone(), revision }
}

/// Serves the platform's calls until the runtime shuts down.
pub(super) async fn serve(store: Arc<Store>, groups: Vec<Arc<Group>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (store, groups) = (store.clone(), groups.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let (store, groups) = (store.clone(), groups.clone());
                async move {
                    let mut response = handle_request(&store, &groups, request).await?;
                    response.headers_mut().insert(ERA_HEADER, store.era().into());
                    HandlerResult::Ok(response)
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection to the stand-in store failed: {error}");
            }
        });
    }
}

type HandlerResult = Result<Response<Full<Bytes>>, hyper::Error>;

async fn handle_request(
    store: &Arc<Store>,
    groups: &[Arc<Group>],
    request: Request<Incoming>,
) -> HandlerResult {
    match store.outage() {
        Outage::Silent => std::future::pending().await,
        Outage::Busy => return Ok(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
        Outage::Slow(time) => tokio::time::sleep(time).await,
        Outage::Limited(limit) if store.exceeds_rate(limit) => {
            return Ok(response(StatusCode::TOO_MANY_REQUESTS, Bytes::new()));
        }
        Outage::None
        | Outage::LostWriteResponses
        | Outage::DelayedWrites(_)
        | Outage::Limited(_) => {}
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let query = parts.uri.query().unwrap_or_default();
    let Some(call) = decode(parts.uri.path(), query, &body) else {
        return Ok(response(StatusCode::NOT_FOUND, Bytes::new()));
    };
    let is_write = matches!(call, Call::Change { .. });
    if let (true, Outage::DelayedWrites(delay)) = (is_write, store.outage()) {
        let (store, groups) = (store.clone(), groups.to_vec());
        // A separate task executes the write even if its client disconnects.
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            execute(&store, &groups, call).await
        });
        return std::future::pending().await;
    }
    let response = execute(store, groups, call).await;
    if is_write && store.outage() == Outage::LostWriteResponses {
        std::future::pending().await
    }
    Ok(response)
}

async fn execute(store: &Store, groups: &[Arc<Group>], call: Call) -> Response<Full<Bytes>> {
    match call {
        Call::Read { table, from } => {
            let (mut rows, revision) = store.rows(&table);
            rows.retain(|row| row.key >= from);
            response(StatusCode::OK, encode(&table, &rows, revision, store.now()))
        }
        Call::Poll { table, after, wait } => match store.poll(&table, after, wait).await {
            Some(body) => response(StatusCode::OK, body),
            None => response(StatusCode::GONE, Bytes::new()),
        },
        Call::Change { expected, writes, removals } => {
            match store.change(&expected, writes, removals) {
                Some(revision) => response(StatusCode::OK, encode("", &[], revision, store.now())),
                None => response(StatusCode::PRECONDITION_FAILED, encode("", &[], 0, store.now())),
            }
        }
        Call::Promote { service, target } => {
            let group = groups.iter().find(|group| group.service == service);
            match group {
                Some(group) if group.promote(&target) => response(StatusCode::OK, Bytes::new()),
                _ => response(StatusCode::CONFLICT, Bytes::new()),
            }
        }
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
