//! The load generator: sends each operation at its due time, regardless of the outcomes of others.
//!
//! The network delay between callers and hosts is simulated by a delay before and after a request;
//! times are taken at the caller's side of it. Like the platform's balancer, a caller sends to
//! hosts that the platform lists, and to another one when a connection can't be made.

use crate::bench::arrival::Arrival;
use crate::bench::balancer::Balancer;
use crate::bench::history::{Attempt, Kind, Op, Outcome, Seen, Step, Verdict};
use crate::bench::progress::Progress;
use crate::bench::session::Session;
use crate::client::caller::{Client, Failure, Operation, Request, Response};
use bergamotvale_core::statement::{Statement, Value};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Statements that create the schema of the load.
pub const SCHEMA: [&str; 2] = [
    "CREATE TABLE bolts (op BIGINT NOT NULL, account BIGINT NOT NULL, session BIGINT NOT NULL, \
     seq BIGINT NOT NULL)",
    "CREATE INDEX bolts_of_session ON bolts (session, seq)",
];
/// Inserts the row of a write.
const INSERT: &str = "INSERT INTO bolts (op, account, session, seq) VALUES ($1, $2, $3, $4)";
/// Reads the last write of a session; also returns the number of the reading operation, so that a
/// response to another request is recognized.
const SELECT: &str =
    "SELECT CAST($1 AS BIGINT) AS op, COALESCE(MAX(seq), 0) AS seq FROM bolts WHERE session = $2";
/// Time beyond the timeout that a request states after which the caller gives up on its response.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of attempts of a keyed write while its outcome is unknown.
const MAX_KEYED_WRITE_ATTEMPTS: usize = 5;
/// Delay before a keyed write of unknown outcome is sent again.
const UNKNOWN_OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of operations in flight; further ones are recorded as not sent.
const MAX_IN_FLIGHT: usize = 10_000;

/// The system under load and the parameters of the load.
pub struct Setup {
    /// Clients by account and host index.
    pub callers: Vec<Vec<Client>>,
    /// Key of each account.
    pub keys: Vec<String>,
    /// Names of the services.
    pub services: Vec<String>,
    /// Number of sessions over all accounts.
    pub sessions: usize,
    /// Timeout that callers send with a request.
    pub timeout: Duration,
    /// Maximum age that aged reads accept.
    pub max_age: Duration,
    /// One-way network delay between callers and hosts.
    pub network_delay: Duration,
    /// Chooses among the hosts that accept requests.
    pub balancer: Balancer,
}

/// A running load.
struct Load {
    setup: Setup,
    start: Instant,
    sessions: Vec<Mutex<Session>>,
    progress: Arc<Progress>,
}

/// Sends `arrivals`, timed from `start`, and returns their operations, in order, once all have
/// ended.
pub async fn run(
    setup: Setup,
    arrivals: Vec<Arrival>,
    start: Instant,
    progress: Arc<Progress>,
) -> Vec<Op> {
    let sessions = (0..setup.sessions).map(|_| Mutex::default()).collect();
    let load = Arc::new(Load { setup, start, sessions, progress });
    let mut running = JoinSet::new();
    let mut ops = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.at).await;
        while let Some(ended) = running.try_join_next() {
            ops.extend(ended);
        }
        if running.len() >= MAX_IN_FLIGHT {
            ops.push(load.record_unsent(&arrival));
            continue;
        }
        let load = load.clone();
        running.spawn(async move { load.run_operation(arrival).await });
    }
    while let Some(ended) = running.join_next().await {
        ops.extend(ended);
    }
    ops.sort_by_key(|op| op.id);
    ops
}

impl Load {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn session(&self, arrival: &Arrival) -> MutexGuard<'_, Session> {
        let session = &self.sessions[arrival.session as usize];
        session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_unsent(&self, arrival: &Arrival) -> Op {
        let now = self.now();
        let outcome = Outcome::Unsent;
        let attempt =
            Attempt { step: Step::Whole, host: arrival.host, sent: now, ended: now, outcome };
        Op { attempts: vec![attempt], ..new_op(arrival) }
    }

    async fn run_operation(&self, arrival: Arrival) -> Op {
        self.progress.record_start();
        let mut op = new_op(&arrival);
        match arrival.kind {
            Kind::KeyedWrite => self.keyed_write(&arrival, &mut op).await,
            Kind::UnkeyedWrite => self.unkeyed_write(&arrival, &mut op).await,
            Kind::SessionRead => self.session_read(&arrival, &mut op).await,
            Kind::AgedRead => self.aged_read(&arrival, &mut op).await,
            Kind::Transaction => self.transaction(&arrival, &mut op).await,
            Kind::Foreign => self.foreign(&arrival, &mut op).await,
        }
        self.progress.record_end(&op);
        op
    }

    async fn keyed_write(&self, arrival: &Arrival, op: &mut Op) {
        let seq = self.session(arrival).next_seq(arrival.service);
        // Different accounts use equal keys, to check that idempotency keys are scoped by account.
        let key = format!("write-{}-{seq}", arrival.account_session);
        let request = self.write(arrival, seq).with_idempotency_key(&key);
        for attempt in 0..MAX_KEYED_WRITE_ATTEMPTS {
            let host = if attempt % 2 == 0 { arrival.host } else { arrival.other_host };
            self.send_write(arrival, op, host, &request, seq).await;
            if op.verdict() != Verdict::Unknown {
                break;
            }
            tokio::time::sleep(UNKNOWN_OUTCOME_RETRY_DELAY).await;
        }
        if arrival.is_repeated && op.verdict() == Verdict::Acknowledged {
            self.send_write(arrival, op, arrival.other_host, &request, seq).await;
        }
    }

    async fn unkeyed_write(&self, arrival: &Arrival, op: &mut Op) {
        let seq = self.session(arrival).next_seq(arrival.service);
        let request = self.write(arrival, seq);
        self.send_write(arrival, op, arrival.host, &request, seq).await;
    }

    async fn send_write(
        &self,
        arrival: &Arrival,
        op: &mut Op,
        host: usize,
        request: &Request,
        seq: u64,
    ) {
        let response = self.send(arrival, op, host, Step::Whole, request).await;
        if response.is_some() {
            self.session(arrival).record_acknowledged(arrival.service, seq, self.now());
        }
    }

    async fn session_read(&self, arrival: &Arrival, op: &mut Op) {
        let (request, floor) = {
            let session = self.session(arrival);
            let request = self.read(arrival).with_session(session.token());
            (request, session.floor(arrival.service, self.now()))
        };
        op.floor = floor;
        let response = self.send(arrival, op, arrival.host, Step::Whole, &request).await;
        op.seen = response.as_ref().and_then(read_result);
    }

    async fn aged_read(&self, arrival: &Arrival, op: &mut Op) {
        let request = self.read(arrival).with_max_age(self.setup.max_age);
        // The read must include all writes that were acknowledged longer ago than the maximum age.
        let covered_until = self.now().checked_sub(self.setup.max_age);
        op.floor =
            covered_until.and_then(|time| self.session(arrival).floor(arrival.service, time));
        let response = self.send(arrival, op, arrival.host, Step::Whole, &request).await;
        op.seen = response.as_ref().and_then(read_result);
    }

    async fn transaction(&self, arrival: &Arrival, op: &mut Op) {
        let seq = self.session(arrival).next_seq(arrival.service);
        let begin = self.request(arrival, Operation::Begin(self.service(arrival)));
        let Some(response) = self.send(arrival, op, arrival.host, Step::Begin, &begin).await else {
            return;
        };
        let id = response.transaction.unwrap_or_default();
        let run = self.request(arrival, Operation::Run(id.clone(), insert(arrival, seq)));
        let ran = self.send(arrival, op, arrival.host, Step::Run, &run).await;
        if ran.is_none() {
            let rollback = self.request(arrival, Operation::Rollback(id));
            // If this request fails, the host ends the idle transaction by itself.
            let _ = self.setup.callers[arrival.account][arrival.host].send(&rollback).await;
            return;
        }
        let commit = self.request(arrival, Operation::Commit(id));
        let committed = self.send(arrival, op, arrival.other_host, Step::Commit, &commit).await;
        if committed.is_some() {
            self.session(arrival).record_acknowledged(arrival.service, seq, self.now());
        }
    }

    /// Sends a write with the key id of another account and the caller's own secret.
    async fn foreign(&self, arrival: &Arrival, op: &mut Op) {
        let own = &self.setup.keys[arrival.account];
        let other = &self.setup.keys[(arrival.account + 1) % self.setup.keys.len()];
        let operation = Operation::Write(self.service(arrival), insert(arrival, 0));
        let request = self.request(arrival, operation).with_key(&mismatched_key(other, own));
        self.send(arrival, op, arrival.host, Step::Whole, &request).await;
    }

    fn service(&self, arrival: &Arrival) -> String {
        self.setup.services[arrival.service].clone()
    }

    fn request(&self, arrival: &Arrival, operation: Operation) -> Request {
        let key = &self.setup.keys[arrival.account];
        Request::new(operation).with_key(key).with_timeout(self.setup.timeout)
    }

    fn write(&self, arrival: &Arrival, seq: u64) -> Request {
        self.request(arrival, Operation::Write(self.service(arrival), insert(arrival, seq)))
    }

    fn read(&self, arrival: &Arrival) -> Request {
        let params = vec![int(arrival.id), int(u64::from(arrival.session))];
        let statement = Statement { sql: SELECT.to_owned(), params };
        self.request(arrival, Operation::Read(self.service(arrival), statement))
    }

    /// Sends a request and records the attempt. If no connection can be made, sends it once more,
    /// to another host.
    async fn send(
        &self,
        arrival: &Arrival,
        op: &mut Op,
        host: usize,
        step: Step,
        request: &Request,
    ) -> Option<Response> {
        let host = self.setup.balancer.pick(host);
        let response = self.attempt(arrival, op, host, step, request).await;
        let is_unsent = op.last().is_some_and(|last| last.outcome == Outcome::Unsent);
        if !is_unsent {
            return response;
        }
        let next = self.setup.balancer.pick(host + 1);
        self.attempt(arrival, op, next, step, request).await
    }

    async fn attempt(
        &self,
        arrival: &Arrival,
        op: &mut Op,
        host: usize,
        step: Step,
        request: &Request,
    ) -> Option<Response> {
        let sent = self.now();
        let client = &self.setup.callers[arrival.account][host];
        let timeout = self.setup.timeout + RESPONSE_TIMEOUT_MARGIN;
        let result =
            match tokio::time::timeout(timeout, self.send_with_delay(client, request)).await {
                Ok(result) => result,
                Err(_) => Err(Failure::Incomplete("response timed out".to_owned())),
            };
        let ended = self.now();
        if let Ok(Response { session: Some(token), .. }) = &result {
            self.session(arrival).merge(token);
        }
        op.attempts.push(Attempt { step, host, sent, ended, outcome: outcome(&result) });
        result.ok()
    }

    async fn send_with_delay(
        &self,
        client: &Client,
        request: &Request,
    ) -> Result<Response, Failure> {
        if self.setup.network_delay.is_zero() {
            return client.send(request).await;
        }
        tokio::time::sleep(self.setup.network_delay).await;
        let result = client.send(request).await;
        tokio::time::sleep(self.setup.network_delay).await;
        result
    }
}

fn new_op(arrival: &Arrival) -> Op {
    Op {
        id: arrival.id,
        account: arrival.account,
        session: arrival.session,
        service: arrival.service,
        kind: arrival.kind,
        scheduled: arrival.at,
        attempts: Vec::new(),
        floor: None,
        seen: None,
    }
}

fn insert(arrival: &Arrival, seq: u64) -> Statement {
    let params = vec![
        int(arrival.id),
        int(arrival.account as u64),
        int(u64::from(arrival.session)),
        int(seq),
    ];
    Statement { sql: INSERT.to_owned(), params }
}

fn int(number: u64) -> Value {
    Value::Int(i64::try_from(number).unwrap_or(i64::MAX))
}

/// A key that combines the id of `key` with the secret of `other`.
fn mismatched_key(key: &str, other: &str) -> String {
    let id = key.rsplit_once('_').map_or(key, |(id, _)| id);
    let secret = other.rsplit_once('_').map_or(other, |(_, secret)| secret);
    format!("{id}_{secret}")
}

fn outcome(result: &Result<Response, Failure>) -> Outcome {
    match result {
        Ok(response) => Outcome::Done {
            replica: response.target.as_ref().map(|target| target.is_replica),
            replayed: response.replayed,
        },
        Err(failure @ Failure::Refused(problem)) => {
            Outcome::Refused { reason: problem.known_reason(), ran: failure.ran() }
        }
        Err(Failure::Unsent(_)) => Outcome::Unsent,
        Err(Failure::Incomplete(_)) => Outcome::Cut,
    }
}

fn read_result(response: &Response) -> Option<Seen> {
    let row = response.rows.rows.first()?;
    Some(Seen { op: number(row.first()?)?, seq: number(row.get(1)?)? })
}

fn number(value: &Value) -> Option<u64> {
    match value {
        Value::Int(number) => u64::try_from(*number).ok(),
        Value::Text(text) => text.parse().ok(),
        _ => None,
    }
}
