//! Executes single writes, each in its own transaction on the primary.
//!
//! A write with an idempotency key records its outcome in the same transaction
//! ([`super::outcome`]), so that a repeated request gets the first outcome.

use super::exchange::position;
use super::exchange::{self, Error};
use super::outcome::{self, Id};
use super::read::unsupported_result;
use super::{Answer, Job, permit, value};
use crate::settings::Defect;
use crate::shared::Host;
use crate::target::{Key, Lease};
use bergamotvale_core::id::{AccountId, Time};
use bergamotvale_core::idempotency;
use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::statement::{Rows, Statement};
use bergamotvale_core::write::{Action, Event, Write};
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;

const READ_WRITE: &str = "SET default_transaction_read_only = off";
const BEGIN: &str = "BEGIN READ WRITE";
const COMMIT: &str = "COMMIT";
const ROLLBACK: &str = "ROLLBACK";
const LAST_COMMIT: &str = "SELECT * FROM group_commit()";
/// Interval at which a retry checks whether the primary has changed.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of writes with an idempotency key between two prunings of old outcomes.
const WRITES_PER_PRUNE: u64 = 1000;
/// Time limit for one pruning.
const PRUNE_TIMEOUT: Duration = Duration::from_secs(5);

/// A write in progress on this host: the core's state machine with the connection it uses.
struct Task<'a> {
    host: &'a Arc<Host>,
    job: &'a Job,
    id: Option<Id>,
    write: Write,
    lease: Option<Lease>,
    target: Key,
    /// Log entry of the connection's last commit before this write.
    previous_commit: Position,
    rows: Rows,
    /// Whether a transaction is open on the leased connection.
    is_transaction_open: bool,
}

/// Removes the idempotency key from the keys in use when the write ends, for whatever reason.
struct KeyGuard<'a> {
    host: &'a Host,
    job: &'a Job,
}

impl Drop for KeyGuard<'_> {
    fn drop(&mut self) {
        if let Some(key) = &self.job.idempotency_key {
            let account = self.job.caller.account();
            self.host.data.keys_in_use().finish(self.job.service, account, key);
        }
    }
}

/// Writes on the primary and returns once a majority of the group has the log entry.
pub async fn run(host: &Arc<Host>, job: Job) -> Result<Answer, Refusal> {
    let account = job.caller.account();
    if let Some(key) = &job.idempotency_key {
        host.data.keys_in_use().start(job.service, account, key)?;
    }
    let _key_guard = KeyGuard { host, job: &job };
    host.data.budgets().deposit(job.service, account, host.clock.now());
    let id = job.idempotency_key.as_ref().map(|key| {
        let digest = idempotency::digest(account, job.service, &job.statement);
        Id { account, key: key.clone(), digest }
    });
    Task::new(host, &job, id).run().await
}

impl<'a> Task<'a> {
    fn new(host: &'a Arc<Host>, job: &'a Job, id: Option<Id>) -> Task<'a> {
        let mut digest = id.as_ref().map(|id| id.digest.clone());
        if host.settings.policy.defects.contains(&Defect::RetryUnkeyed) {
            digest = digest.or(Some(String::new()));
        }
        let seed = host.data.next_seed();
        let account = job.caller.account();
        let write = Write::new(job.service, account, digest, job.deadline, seed);
        let target = (job.service, 0);
        let previous_commit = Position::default();
        Task {
            host,
            job,
            id,
            write,
            lease: None,
            target,
            previous_commit,
            rows: Rows::default(),
            is_transaction_open: false,
        }
    }

    async fn run(mut self) -> Result<Answer, Refusal> {
        let now = self.host.clock.now();
        let primary = self.host.pools.primary(self.job.service);
        let expected_delay = primary.map_or(Duration::ZERO, |primary| {
            self.host.data.confirm.expected_delay(self.host, (self.job.service, primary), now)
        });
        let mut action = self.write.start(expected_delay, now);
        loop {
            let event = match action {
                Action::Lease(at, reason) => {
                    if let Some(reason) = reason {
                        self.host.metric.count_retry(reason);
                    }
                    self.lease(at).await
                }
                Action::Execute => self.execute().await,
                Action::Commit => self.commit().await,
                Action::Confirm(position, at) => self.confirm(position, at).await,
                Action::Lookup => self.find_outcome().await,
                Action::Acknowledge(position) => return Ok(self.acknowledge(position, None)),
                Action::Replay(outcome, position) => return self.replay(&outcome, position),
                Action::Refuse(refusal) => return Err(refusal),
            };
            let now = self.host.clock.now();
            action = self.write.on(event, &mut self.host.data.budgets(), now);
            let keeps_lease = matches!(
                action,
                Action::Execute | Action::Commit | Action::Lookup | Action::Confirm(..)
            );
            if !keeps_lease {
                self.release_lease();
            }
        }
    }

    /// Ends the lease. The connection returns to the pool if no transaction is open on it (after a
    /// COMMIT or a lookup), and is closed otherwise.
    fn release_lease(&mut self) {
        if let Some(lease) = self.lease.take_if(|_| !self.is_transaction_open) {
            lease.release_clean();
        }
        self.lease = None;
    }

    /// Leases a connection to the primary: at the time `at`, or earlier if the primary changes.
    async fn lease(&mut self, at: Time) -> Event {
        self.lease = None;
        let service = self.job.service;
        let failed = self.host.pools.primary(service);
        while self.host.clock.now() < at && self.host.pools.primary(service) == failed {
            tokio::time::sleep(PRIMARY_POLL_INTERVAL).await;
        }
        let Some(primary) = self.host.pools.primary(service) else {
            return Event::NoConnection(Reason::NoPrimary);
        };
        self.target = (service, primary);
        let account = self.job.caller.account();
        let pools = &self.host.pools;
        match pools.acquire(self.host, self.target, account, self.job.deadline).await {
            Ok(lease) => {
                self.lease = Some(lease);
                Event::Leased
            }
            Err(refusal) => Event::NoConnection(refusal.reason),
        }
    }

    async fn execute(&mut self) -> Event {
        if let Err(refusal) = permit::verify(self.host, &self.job.caller, self.job.service) {
            return Event::Denied(refusal);
        }
        let Some(lease) = self.lease.take() else { return Event::ConnectionLost };
        let _in_flight = self.host.data.track_in_flight(self.target);
        let deadline = self.write.exchange_deadline(self.host.clock.now());
        self.write.record_sent();
        let mut result = self.begin_and_execute(&lease, deadline).await;
        if result == Err(Error::NoTable) {
            result = self.create_table_and_retry(&lease, deadline).await;
        }
        exchange::record_work(self.host, self.target, result.as_ref().err());
        match result {
            Ok(()) => {
                self.lease = Some(lease);
                self.is_transaction_open = true;
                Event::Executed
            }
            Err(failure) => self.roll_back(lease, failure, deadline).await,
        }
    }

    /// Sends BEGIN, the insert of the idempotency row and the statement in one round trip.
    async fn begin_and_execute(&mut self, lease: &Lease, deadline: Time) -> Result<(), Error> {
        let client = lease.client();
        let params = value::bind(&self.job.statement);
        let limit = self.host.settings.limits.result;
        let insert = async {
            match &self.id {
                Some(id) => outcome::insert(client, id).await,
                None => Ok(()),
            }
        };
        let probe = async {
            let (mode, begin, previous_commit) = futures::join!(
                client.batch_execute(READ_WRITE),
                client.batch_execute(BEGIN),
                client.query_typed_one(LAST_COMMIT, &[]),
            );
            mode.and(begin).and(previous_commit)
        };
        let work = async {
            // `join!` rather than `try_join!`, so that every response is read even if one fails.
            let rows = client.query_typed_raw(&self.job.statement.sql, params);
            let (insert, rows) = futures::join!(insert, rows);
            insert?;
            collect(client, &self.job.statement, rows?, limit).await
        };
        let deadlines = (self.write.first_response_deadline(self.host.clock.now()), deadline);
        let both = Box::pin(async {
            let (previous_commit, rows) =
                exchange::run_with_probe(self.host, deadlines, probe, Box::pin(work)).await?;
            Ok::<_, Error>((previous_commit, rows?))
        });
        let (previous_commit, rows) = exchange::run(self.host, lease, deadline, both).await?;
        self.previous_commit = position(&previous_commit, "term", "index").unwrap_or_default();
        self.rows = rows;
        Ok(())
    }

    async fn create_table_and_retry(&mut self, lease: &Lease, deadline: Time) -> Result<(), Error> {
        let create = async {
            lease.client().batch_execute(ROLLBACK).await?;
            outcome::create(lease.client()).await
        };
        exchange::run(self.host, lease, deadline, create).await?;
        self.begin_and_execute(lease, deadline).await
    }

    /// Rolls back after an error of the target, so that the connection can be reused.
    async fn roll_back(&mut self, lease: Lease, failure: Error, deadline: Time) -> Event {
        if !matches!(failure, Error::Failed(..) | Error::Conflict) {
            return event(failure);
        }
        let rollback = lease.client().batch_execute(ROLLBACK);
        let is_clean = exchange::run(self.host, &lease, deadline, rollback).await.is_ok();
        if failure == Error::Conflict {
            self.lease = is_clean.then_some(lease);
            return Event::Conflict;
        }
        if is_clean {
            lease.release_clean();
        }
        event(failure)
    }

    async fn commit(&mut self) -> Event {
        if let Err(refusal) = permit::verify(self.host, &self.job.caller, self.job.service) {
            return Event::Denied(refusal);
        }
        let Some(lease) = self.lease.take() else { return Event::ConnectionLost };
        let row = match &self.id {
            Some(id) => match outcome::encode(&self.rows) {
                Ok(outcome) => Some((id, outcome)),
                Err(fault) => {
                    return Event::Denied(Refusal::new(Reason::TooLarge, fault.to_string()));
                }
            },
            None => None,
        };
        let deadline = self.write.exchange_deadline(self.host.clock.now());
        self.write.record_sent();
        let row = row.as_ref().map(|(id, outcome)| (*id, outcome.as_str()));
        match commit(self.host, &lease, row, self.previous_commit, deadline).await {
            Ok(position) => {
                self.lease = Some(lease);
                self.is_transaction_open = false;
                Event::Committed(position)
            }
            Err(failure) => {
                exchange::record_work(self.host, self.target, Some(&failure));
                event(failure)
            }
        }
    }

    async fn confirm(&mut self, position: Position, at: Time) -> Event {
        if self.host.settings.policy.defects.contains(&Defect::AcknowledgeUnconfirmed) {
            return Event::Confirmed(position);
        }
        tokio::time::sleep_until(self.host.clock.instant(at).into()).await;
        let deadline = self.write.exchange_deadline(self.host.clock.now());
        let account = self.job.caller.account();
        let lease = self.lease.take();
        let tracker = &self.host.data.confirm;
        tracker.wait(self.host, self.target, account, position, lease, deadline).await
    }

    async fn find_outcome(&mut self) -> Event {
        let (Some(lease), Some(id)) = (self.lease.take(), &self.id) else {
            return Event::ConnectionLost;
        };
        let deadline = self.write.exchange_deadline(self.host.clock.now());
        match exchange::run(self.host, &lease, deadline, outcome::find(lease.client(), id)).await {
            Ok((row, position)) => {
                self.lease = Some(lease);
                Event::Found(row, position)
            }
            Err(failure) => event(failure),
        }
    }

    fn acknowledge(self, position: Option<Position>, replayed: Option<Rows>) -> Answer {
        let mut token = self.job.token.clone();
        if let Some(position) = position {
            token.observe(self.job.service, position);
        }
        self.host.metric.count("write.acknowledged");
        if self.id.is_some() && self.host.data.count_keyed_write().is_multiple_of(WRITES_PER_PRUNE)
        {
            tokio::spawn(prune(self.host.clone(), self.target, self.job.caller.account()));
        }
        let is_replay = replayed.is_some();
        let rows = replayed.unwrap_or(self.rows);
        Answer { rows, token, target: self.target.1, primary: true, replayed: is_replay }
    }

    fn replay(self, outcome: &str, position: Position) -> Result<Answer, Refusal> {
        let rows = outcome::decode(outcome).map_err(|fault| {
            Refusal::new(Reason::ConnectionLost, fault.to_string()).with_ran(Ran::Unknown)
        })?;
        self.host.metric.count("write.replayed");
        Ok(self.acknowledge(Some(position), Some(rows)))
    }
}

/// Removes outcomes that are older than the service's retention.
async fn prune(host: Arc<Host>, key: Key, account: AccountId) {
    let Some(retention) = host.document().services.get(&key.0).map(|s| s.retention) else { return };
    let deadline = host.clock.now() + PRUNE_TIMEOUT;
    let Ok(lease) = host.pools.acquire(&host, key, account, deadline).await else { return };
    match exchange::run(&host, &lease, deadline, outcome::prune(lease.client(), retention)).await {
        Ok(count) => {
            lease.release_clean();
            host.metric.add("outcome.pruned", i64::try_from(count).unwrap_or(i64::MAX));
        }
        Err(failure) => log::warn!("cannot prune outcomes of service {}: {failure:?}", key.0),
    }
}

/// Sends the update of the outcome's row, COMMIT and the query for the last commit's log entry in
/// one round trip.
///
/// Returns the entry, or `None` if COMMIT created none, that is, if it is still `previous_commit`.
pub(super) async fn commit(
    host: &Host,
    lease: &Lease,
    row: Option<(&Id, &str)>,
    previous_commit: Position,
    deadline: Time,
) -> Result<Option<Position>, Error> {
    let client = lease.client();
    let update = async {
        match row {
            Some((id, outcome)) => outcome::update(client, id, outcome).await,
            None => Ok(1),
        }
    };
    let work = async {
        let (updated, committed, entry) = futures::join!(
            update,
            client.batch_execute(COMMIT),
            client.query_typed_one(LAST_COMMIT, &[]),
        );
        // If the update fails, the target answers COMMIT with a rollback.
        let updated = updated?;
        committed?;
        Ok::<_, tokio_postgres::Error>((updated, entry))
    };
    let (updated, entry) = exchange::run(host, lease, deadline, work).await?;
    // COMMIT has succeeded, so a later error must not report that the write did not run.
    let entry = entry.map_err(|_| Error::ConnectionLost)?;
    let entry = position(&entry, "term", "index").map_err(|_| Error::ConnectionLost)?;
    let is_new = entry != previous_commit;
    if updated != 1 || (row.is_some() && !is_new) {
        return Err(Error::ConnectionLost);
    }
    Ok(is_new.then_some(entry))
}

/// Reads a complete result; fails if it exceeds `limit` bytes.
pub(super) async fn collect(
    client: &tokio_postgres::Client,
    statement: &Statement,
    stream: tokio_postgres::RowStream,
    limit: usize,
) -> Result<Rows, Error> {
    let mut stream = std::pin::pin!(stream);
    let mut rows = Rows::default();
    let mut size = 0;
    while let Some(row) = stream.next().await {
        let row = row?;
        size += row.raw_size_bytes();
        if size > limit {
            let detail = format!("the result is over {limit} bytes");
            return Err(Error::Unusable(Refusal::new(Reason::TooLarge, detail)));
        }
        value::push(&mut rows, &row).map_err(unsupported_result)?;
    }
    rows.affected = stream.rows_affected().unwrap_or(0);
    value::describe(client, statement, &mut rows).await?;
    Ok(rows)
}

fn event(failure: Error) -> Event {
    match failure {
        Error::Failed(code, detail) => Event::Failed(Failure::new(&code), detail),
        Error::Conflict => Event::Conflict,
        Error::ConnectionLost | Error::NoTable => Event::ConnectionLost,
        Error::TimedOut => Event::TimedOut,
        Error::Unusable(refusal) => Event::Denied(refusal),
    }
}
