//! Single writes, each in a transaction of its own.

use super::exchange::position;
use super::exchange::{self, Loss};
use super::outcome::{self, Id};
use super::read::unusable;
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
const COMMITTED: &str = "SELECT * FROM group_commit()";
/// Time between two looks for another primary.
const LOOK: Duration = Duration::from_millis(5);
/// Keyed writes after which some old outcomes are removed.
const PRUNE_EVERY: u64 = 1000;
/// Time that removing old outcomes may take.
const PRUNE_TIMEOUT: Duration = Duration::from_secs(5);

/// A write in the hands of this host.
struct Task<'a> {
    host: &'a Arc<Host>,
    job: &'a Job,
    id: Option<Id>,
    write: Write,
    lease: Option<Lease>,
    target: Key,
    /// Entry of the connection's last commit before this write.
    before: Position,
    rows: Rows,
    /// Whether a transaction is open on the leased connection.
    is_open: bool,
}

/// Leaves the idempotency keys in use when the write has ended, however.
struct Entered<'a> {
    host: &'a Host,
    job: &'a Job,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        if let Some(key) = &self.job.idempotency_key {
            let account = self.job.caller.account();
            self.host.data.running().finish(self.job.service, account, key);
        }
    }
}

/// Writes on the primary and answers once a majority has the entry.
pub async fn run(host: &Arc<Host>, job: Job) -> Result<Answer, Refusal> {
    let account = job.caller.account();
    if let Some(key) = &job.idempotency_key {
        host.data.running().start(job.service, account, key)?;
    }
    let _entered = Entered { host, job: &job };
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
        let seed = host.data.seed();
        let account = job.caller.account();
        let write = Write::new(job.service, account, digest, job.deadline, seed);
        let target = (job.service, 0);
        let before = Position::default();
        Task {
            host,
            job,
            id,
            write,
            lease: None,
            target,
            before,
            rows: Rows::default(),
            is_open: false,
        }
    }

    async fn run(mut self) -> Result<Answer, Refusal> {
        let now = self.host.clock.now();
        let primary = self.host.pools.primary(self.job.service);
        let expected = primary.map_or(Duration::ZERO, |primary| {
            self.host.data.confirm.expected(self.host, (self.job.service, primary), now)
        });
        let mut action = self.write.start(expected, now);
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
                Action::Lookup => self.look_up().await,
                Action::Acknowledge(position) => return Ok(self.answer(position, None)),
                Action::Replay(outcome, position) => return self.replay(&outcome, position),
                Action::Refuse(refusal) => return Err(refusal),
            };
            let now = self.host.clock.now();
            action = self.write.on(event, &mut self.host.data.budgets(), now);
            let keeps = matches!(
                action,
                Action::Execute | Action::Commit | Action::Lookup | Action::Confirm(..)
            );
            if !keeps {
                self.give_back();
            }
        }
    }

    /// Gives a connection back after a COMMIT or a lookup that needs no confirmation.
    fn give_back(&mut self) {
        if let Some(lease) = self.lease.take_if(|_| !self.is_open) {
            lease.release_clean();
        }
        self.lease = None;
    }

    /// Leases a connection to the primary, at the given time or as soon as there is another one.
    async fn lease(&mut self, at: Time) -> Event {
        self.lease = None;
        let service = self.job.service;
        let failed = self.host.pools.primary(service);
        while self.host.clock.now() < at && self.host.pools.primary(service) == failed {
            tokio::time::sleep(LOOK).await;
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
        let _flight = self.host.data.fly(self.target);
        let until = self.write.exchange_deadline(self.host.clock.now());
        self.write.record_sent();
        let mut result = self.statement(&lease, until).await;
        if result == Err(Loss::NoTable) {
            result = self.create_and_repeat(&lease, until).await;
        }
        exchange::worked(self.host, self.target, result.as_ref().err());
        match result {
            Ok(()) => {
                self.lease = Some(lease);
                self.is_open = true;
                Event::Executed
            }
            Err(loss) => self.failed(lease, loss, until).await,
        }
    }

    /// Sends BEGIN, the idempotency row and the statement in one round trip.
    async fn statement(&mut self, lease: &Lease, until: Time) -> Result<(), Loss> {
        let client = lease.client();
        let params = value::bind(&self.job.statement);
        let limit = self.host.settings.limits.result;
        let insert = async {
            match &self.id {
                Some(id) => outcome::insert(client, id).await,
                None => Ok(()),
            }
        };
        let sign = async {
            let (mode, begin, before) = futures::join!(
                client.batch_execute(READ_WRITE),
                client.batch_execute(BEGIN),
                client.query_typed_one(COMMITTED, &[]),
            );
            mode.and(begin).and(before)
        };
        let work = async {
            // Joined and not tried: whatever fails, every answer is read.
            let rows = client.query_typed_raw(&self.job.statement.sql, params);
            let (insert, rows) = futures::join!(insert, rows);
            insert?;
            collect(client, &self.job.statement, rows?, limit).await
        };
        let limits = (self.write.first_response_deadline(self.host.clock.now()), until);
        let both = Box::pin(async {
            let (before, rows) = exchange::signed(self.host, limits, sign, Box::pin(work)).await?;
            Ok::<_, Loss>((before, rows?))
        });
        let (before, rows) = exchange::run(self.host, lease, until, both).await?;
        self.before = position(&before, "term", "index").unwrap_or_default();
        self.rows = rows;
        Ok(())
    }

    async fn create_and_repeat(&mut self, lease: &Lease, until: Time) -> Result<(), Loss> {
        let create = async {
            lease.client().batch_execute(ROLLBACK).await?;
            outcome::create(lease.client()).await
        };
        exchange::run(self.host, lease, until, create).await?;
        self.statement(lease, until).await
    }

    /// Rolls back after an error, so that the connection is clean.
    async fn failed(&mut self, lease: Lease, loss: Loss, until: Time) -> Event {
        if !matches!(loss, Loss::Failed(..) | Loss::Conflict) {
            return event(loss);
        }
        let rollback = lease.client().batch_execute(ROLLBACK);
        let is_clean = exchange::run(self.host, &lease, until, rollback).await.is_ok();
        if loss == Loss::Conflict {
            self.lease = is_clean.then_some(lease);
            return Event::Conflict;
        }
        if is_clean {
            lease.release_clean();
        }
        event(loss)
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
        let until = self.write.exchange_deadline(self.host.clock.now());
        self.write.record_sent();
        let row = row.as_ref().map(|(id, outcome)| (*id, outcome.as_str()));
        match commit(self.host, &lease, row, self.before, until).await {
            Ok(position) => {
                self.lease = Some(lease);
                self.is_open = false;
                Event::Committed(position)
            }
            Err(loss) => {
                exchange::worked(self.host, self.target, Some(&loss));
                event(loss)
            }
        }
    }

    async fn confirm(&mut self, position: Position, at: Time) -> Event {
        if self.host.settings.policy.defects.contains(&Defect::AcknowledgeUnconfirmed) {
            return Event::Confirmed(position);
        }
        tokio::time::sleep_until(self.host.clock.instant(at).into()).await;
        let until = self.write.exchange_deadline(self.host.clock.now());
        let account = self.job.caller.account();
        let lease = self.lease.take();
        let waits = &self.host.data.confirm;
        waits.wait(self.host, self.target, account, position, lease, until).await
    }

    async fn look_up(&mut self) -> Event {
        let (Some(lease), Some(id)) = (self.lease.take(), &self.id) else {
            return Event::ConnectionLost;
        };
        let until = self.write.exchange_deadline(self.host.clock.now());
        match exchange::run(self.host, &lease, until, outcome::find(lease.client(), id)).await {
            Ok((row, position)) => {
                self.lease = Some(lease);
                Event::Found(row, position)
            }
            Err(loss) => event(loss),
        }
    }

    fn answer(self, position: Option<Position>, replayed: Option<Rows>) -> Answer {
        let mut token = self.job.token.clone();
        if let Some(position) = position {
            token.observe(self.job.service, position);
        }
        self.host.metric.count("write.acknowledged");
        if self.id.is_some() && self.host.data.keyed_write().is_multiple_of(PRUNE_EVERY) {
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
        Ok(self.answer(Some(position), Some(rows)))
    }
}

/// Removes some outcomes that are past the service's retention.
async fn prune(host: Arc<Host>, key: Key, account: AccountId) {
    let Some(retention) = host.document().services.get(&key.0).map(|s| s.retention) else { return };
    let until = host.clock.now() + PRUNE_TIMEOUT;
    let Ok(lease) = host.pools.acquire(&host, key, account, until).await else { return };
    match exchange::run(&host, &lease, until, outcome::prune(lease.client(), retention)).await {
        Ok(count) => {
            lease.release_clean();
            host.metric.add("outcome.pruned", i64::try_from(count).unwrap_or(i64::MAX));
        }
        Err(loss) => log::warn!("cannot prune outcomes of service {}: {loss:?}", key.0),
    }
}

/// Sends the outcome's row, COMMIT and the question for the entry in one round trip; answers with
/// the entry, if one was made since `before`.
pub(super) async fn commit(
    host: &Host,
    lease: &Lease,
    row: Option<(&Id, &str)>,
    before: Position,
    until: Time,
) -> Result<Option<Position>, Loss> {
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
            client.query_typed_one(COMMITTED, &[]),
        );
        // Where the row fails, COMMIT is answered as a rollback.
        let updated = updated?;
        committed?;
        Ok::<_, tokio_postgres::Error>((updated, entry))
    };
    let (updated, entry) = exchange::run(host, lease, until, work).await?;
    // COMMIT was answered: an error from here on denies nothing.
    let entry = entry.map_err(|_| Loss::ConnectionLost)?;
    let entry = position(&entry, "term", "index").map_err(|_| Loss::ConnectionLost)?;
    let is_made = entry != before;
    if updated != 1 || (row.is_some() && !is_made) {
        return Err(Loss::ConnectionLost);
    }
    Ok(is_made.then_some(entry))
}

/// Reads a whole result of at most `limit` bytes.
pub(super) async fn collect(
    client: &tokio_postgres::Client,
    statement: &Statement,
    stream: tokio_postgres::RowStream,
    limit: usize,
) -> Result<Rows, Loss> {
    let mut stream = std::pin::pin!(stream);
    let mut rows = Rows::default();
    let mut size = 0;
    while let Some(row) = stream.next().await {
        let row = row?;
        size += row.raw_size_bytes();
        if size > limit {
            let detail = format!("the result is over {limit} bytes");
            return Err(Loss::Unusable(Refusal::new(Reason::TooLarge, detail)));
        }
        value::push(&mut rows, &row).map_err(unusable)?;
    }
    rows.affected = stream.rows_affected().unwrap_or(0);
    value::describe(client, statement, &mut rows).await?;
    Ok(rows)
}

fn event(loss: Loss) -> Event {
    match loss {
        Loss::Failed(code, detail) => Event::Failed(Failure::new(&code), detail),
        Loss::Conflict => Event::Conflict,
        Loss::ConnectionLost | Loss::NoTable => Event::ConnectionLost,
        Loss::TimedOut => Event::TimedOut,
        Loss::Unusable(refusal) => Event::Denied(refusal),
    }
}
