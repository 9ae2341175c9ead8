//! Interactive transactions that this host owns.
//!
//! The core's [`Table`] decides which steps are valid; [`Registry`] adds the connections. The
//! connection of a transaction is idle in the registry, or held by the one step in progress. If a
//! transaction ends in any way other than an answered COMMIT or ROLLBACK, its connection is
//! closed and the target rolls back.

use super::exchange::position;
use super::exchange::{self, Error};
use super::state::lock;
use super::write::{collect, commit};
use super::{Caller, permit, value};
use crate::auth::Identity;
use crate::settings::Settings;
use crate::shared::Host;
use crate::target::{Key, Lease};
use bergamotvale_core::id::{HostId, Incarnation, ServiceId, Time, TransactionId};
use bergamotvale_core::log::Position;
use bergamotvale_core::peer::{Outcome, Step};
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::statement::{Rows, Statement};
use bergamotvale_core::transaction::{self as core, End, Limits, Table};
use bergamotvale_core::write::{Action, Event, Write};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

const READ_WRITE: &str = "SET default_transaction_read_only = off";
const BEGIN: &str = "BEGIN READ WRITE";
const LAST_COMMIT: &str = "SELECT * FROM group_commit()";
const ROLLBACK: &str = "ROLLBACK";
/// Interval at which open transactions are checked for expired limits and withdrawn keys.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two attempts to begin a transaction.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open transactions of one host, with their connections.
pub struct Registry {
    table: Mutex<Table>,
    idle: Mutex<BTreeMap<TransactionId, OpenTransaction>>,
    stop_signals: Mutex<BTreeMap<TransactionId, Arc<Notify>>>,
}

/// The connection of an open transaction.
struct OpenTransaction {
    lease: Lease,
    target: Key,
    /// Log entry of the connection's last commit before the transaction.
    previous_commit: Position,
    /// Whether no statement has been executed in the transaction yet.
    is_unused: bool,
}

/// Guards a step in progress: when dropped, ends the transaction as `end` says; `None` leaves it
/// open.
struct StepGuard<'a> {
    registry: &'a Registry,
    id: TransactionId,
    end: Option<End>,
}

impl Drop for StepGuard<'_> {
    fn drop(&mut self) {
        if let Some(end) = self.end {
            self.registry.end(self.id, end);
        }
    }
}

impl Registry {
    /// A registry without transactions, with the time limits from `settings`.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Registry {
        let limits = Limits {
            idle: settings.timeouts.transaction_idle,
            total: settings.timeouts.transaction_total,
            ..Limits::default()
        };
        // Each incarnation starts at a different id, so that an id of an earlier incarnation is
        // not mistaken for one of this incarnation.
        let first = incarnation as u32;
        Registry {
            table: Mutex::new(Table::new(settings.host, first, limits)),
            idle: Mutex::default(),
            stop_signals: Mutex::default(),
        }
    }

    /// Number of open transactions.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Whether no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn end(&self, id: TransactionId, end: End) {
        lock(&self.table).end(id, end);
        lock(&self.stop_signals).remove(&id);
        drop(lock(&self.idle).remove(&id));
    }

    /// Closes the connections of transactions that the table has ended, and stops their steps in
    /// progress.
    fn drop_connections(&self, ids: Vec<TransactionId>) {
        for id in ids {
            if let Some(stop) = lock(&self.stop_signals).remove(&id) {
                stop.notify_one();
            }
            drop(lock(&self.idle).remove(&id));
        }
    }

    /// Finishes a step and keeps the connection for the next one; false, and the connection is
    /// closed, if the transaction has ended meanwhile.
    fn store(&self, id: TransactionId, transaction: OpenTransaction, now: Time) -> bool {
        // The table stays locked until the connection is stored, so that no sweep runs in between.
        let mut table = lock(&self.table);
        let is_open = table.finish_step(id, now);
        if is_open {
            lock(&self.idle).insert(id, transaction);
        }
        is_open
    }

    fn sweep(&self, host: &Host) {
        let document = host.document();
        let mut table = lock(&self.table);
        let mut ended = table.roll_back_expired(host.clock.now());
        for key in table.keys() {
            let is_active = document.keys.get(&key).is_some_and(|k| k.state == ACTIVE);
            if !is_active {
                ended.extend(table.roll_back_key(key));
            }
        }
        drop(table);
        self.drop_connections(ended);
    }

    /// Rolls back every open transaction.
    pub fn roll_back_all(&self) {
        let ended = lock(&self.table).roll_back_all();
        self.drop_connections(ended);
    }
}

const ACTIVE: bergamotvale_core::config::KeyState = bergamotvale_core::config::KeyState::Active;

/// Rolls back the open transactions when the sweep task ends or is aborted.
struct Sweeper(Arc<Host>);

impl Drop for Sweeper {
    fn drop(&mut self) {
        self.0.data.transactions.roll_back_all();
    }
}

/// Checks the open transactions periodically until the task is dropped, then rolls them back.
pub async fn run(host: Arc<Host>) {
    let sweeper = Sweeper(host);
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        sweeper.0.data.transactions.sweep(&sweeper.0);
    }
}

/// Begins a transaction on the primary of `service` and returns its id.
pub async fn begin(
    host: &Arc<Host>,
    identity: Identity,
    service: ServiceId,
    deadline: Time,
) -> Result<TransactionId, Refusal> {
    let registry = &host.data.transactions;
    let caller = Caller::Key(identity);
    permit::verify(host, &caller, service)?;
    let now = host.clock.now();
    let id = lock(&registry.table).begin(identity.account, identity.key, service, now)?;
    let mut guard = StepGuard { registry, id, end: Some(End::RolledBack) };
    let transaction = open_on_primary(host, &caller, service, deadline).await?;
    lock(&registry.stop_signals).insert(id, Arc::new(Notify::new()));
    if !registry.store(id, transaction, host.clock.now()) {
        return Err(transaction_lost("the transaction has ended"));
    }
    guard.end = None;
    Ok(id)
}

/// Executes a step of a transaction for the client account of `caller`.
pub async fn step(
    host: &Arc<Host>,
    id: TransactionId,
    caller: &Caller,
    step: Step,
    deadline: Time,
) -> Outcome {
    let step_kind = match &step {
        Step::Run(_) => core::Step::Run,
        Step::Commit => core::Step::Commit,
        Step::Rollback => core::Step::Rollback,
    };
    let registry = &host.data.transactions;
    let now = host.clock.now();
    let started = lock(&registry.table).start_step(id, caller.account(), step_kind, now);
    let service = match started {
        Ok(service) => service,
        Err(refusal) => return Outcome::new(Err(refusal)),
    };
    let mut guard = StepGuard { registry, id, end: Some(End::RolledBack) };
    if let Err(refusal) = permit::verify(host, caller, service) {
        return Outcome::new(Err(refusal));
    }
    let Some(transaction) = lock(&registry.idle).remove(&id) else {
        return Outcome::new(Err(transaction_lost("the transaction has ended")));
    };
    match step {
        Step::Run(statement) => Outcome::new(
            run_statement(host, &mut guard, caller, transaction, &statement, deadline).await,
        ),
        Step::Commit => commit_transaction(host, &mut guard, caller, transaction, deadline).await,
        Step::Rollback => Outcome::new(roll_back(host, transaction, deadline).await),
    }
}

async fn run_statement(
    host: &Arc<Host>,
    guard: &mut StepGuard<'_>,
    caller: &Caller,
    mut transaction: OpenTransaction,
    statement: &Statement,
    deadline: Time,
) -> Result<Rows, Refusal> {
    let registry = guard.registry;
    let stop = lock(&registry.stop_signals).get(&guard.id).cloned();
    let stop = stop.ok_or_else(|| transaction_lost("the transaction has ended"))?;
    loop {
        let result = tokio::select! {
            result = run_on_lease(host, &transaction.lease, statement, deadline) => result,
            () = stop.notified() => return Err(transaction_lost("the transaction was ended")),
        };
        let failure = match result {
            Ok(rows) => {
                transaction.is_unused = false;
                if !registry.store(guard.id, transaction, host.clock.now()) {
                    return Err(transaction_lost("the transaction has ended"));
                }
                guard.end = None;
                return Ok(rows);
            }
            Err(failure) => failure,
        };
        // A target that refused the first statement as superseded or held has executed nothing,
        // so the transaction can begin again on the current primary.
        let has_moved = matches!(&failure, Error::Failed(code, _) if is_primary_moved(code));
        if !(transaction.is_unused && has_moved && host.clock.now() + BEGIN_RETRY_DELAY < deadline)
        {
            return Err(roll_back_failed(host, transaction, failure, deadline).await);
        }
        drop(transaction);
        tokio::time::sleep(BEGIN_RETRY_DELAY).await;
        transaction =
            open_on_primary(host, caller, transaction_service(registry, guard.id)?, deadline)
                .await?;
    }
}

fn is_primary_moved(code: &str) -> bool {
    matches!(Failure::new(code), Failure::Superseded | Failure::Held)
}

fn transaction_service(registry: &Registry, id: TransactionId) -> Result<ServiceId, Refusal> {
    lock(&registry.table).service(id).ok_or_else(|| transaction_lost("the transaction has ended"))
}

/// Commits, and waits until a majority of the group has the log entry.
async fn commit_transaction(
    host: &Arc<Host>,
    guard: &mut StepGuard<'_>,
    caller: &Caller,
    transaction: OpenTransaction,
    deadline: Time,
) -> Outcome {
    let service = transaction.target.0;
    let target = transaction.target;
    let previous_commit = transaction.previous_commit;
    let mut lease = Some(transaction.lease);
    let mut clean_lease = None;
    let mut write = Write::new_commit(service, caller.account(), deadline, host.data.next_seed());
    let mut action = Action::Commit;
    loop {
        let event = match action {
            Action::Commit => match lease.take() {
                Some(lease) => {
                    guard.end = Some(End::Unknown);
                    write.record_sent();
                    let (event, clean) = send_commit(host, lease, previous_commit, deadline).await;
                    clean_lease = clean;
                    event
                }
                None => Event::ConnectionLost,
            },
            Action::Confirm(position, at) => {
                guard.end = Some(End::Committed);
                tokio::time::sleep_until(host.clock.instant(at).into()).await;
                let confirm_deadline = write.exchange_deadline(host.clock.now());
                let account = caller.account();
                let lease = clean_lease.take();
                host.data
                    .confirm
                    .wait(host, target, account, position, lease, confirm_deadline)
                    .await
            }
            Action::Acknowledge(position) => {
                if let Some(lease) = clean_lease {
                    lease.release_clean();
                }
                guard.end = Some(End::Committed);
                host.metric.count("transaction.committed");
                let mut outcome = Outcome::new(Ok(Rows::default()));
                outcome.position = position.map(|position| (service, position));
                return outcome;
            }
            Action::Refuse(refusal) => {
                if refusal.ran == Ran::No {
                    guard.end = Some(End::RolledBack);
                }
                return Outcome::new(Err(refusal));
            }
            Action::Lease(..) | Action::Execute | Action::Lookup | Action::Replay(..) => {
                Event::ConnectionLost
            }
        };
        let now = host.clock.now();
        action = write.on(event, &mut host.data.budgets(), now);
    }
}

/// Sends COMMIT; also returns the connection if it is clean.
async fn send_commit(
    host: &Host,
    lease: Lease,
    previous_commit: Position,
    deadline: Time,
) -> (Event, Option<Lease>) {
    let event = match commit(host, &lease, None, previous_commit, deadline).await {
        Ok(position) => return (Event::Committed(position), Some(lease)),
        Err(Error::Failed(code, detail)) => Event::Failed(Failure::new(&code), detail),
        Err(Error::TimedOut) => Event::TimedOut,
        Err(_) => Event::ConnectionLost,
    };
    (event, None)
}

async fn roll_back(
    host: &Host,
    transaction: OpenTransaction,
    deadline: Time,
) -> Result<Rows, Refusal> {
    let rollback = transaction.lease.client().batch_execute(ROLLBACK);
    if exchange::run(host, &transaction.lease, deadline, rollback).await.is_ok() {
        transaction.lease.release_clean();
    }
    // If the response is lost, the connection is closed, which rolls back as well.
    Ok(Rows::default())
}

async fn run_on_lease(
    host: &Host,
    lease: &Lease,
    statement: &Statement,
    deadline: Time,
) -> Result<Rows, Error> {
    let params = value::bind(statement);
    let rows = lease.client().query_typed_raw(&statement.sql, params);
    let limit = host.settings.limits.result;
    let work = async { collect(lease.client(), statement, rows.await?, limit).await };
    exchange::run(host, lease, deadline, work).await
}

/// Rolls the transaction back after a failed step, and returns the refusal of that step.
async fn roll_back_failed(
    host: &Arc<Host>,
    transaction: OpenTransaction,
    failure: Error,
    deadline: Time,
) -> Refusal {
    let key = transaction.target;
    exchange::record_work(host, key, Some(&failure));
    match failure {
        Error::Failed(code, detail) => {
            // The refusal does not depend on whether ROLLBACK is answered or the connection closed.
            drop(roll_back(host, transaction, deadline).await);
            let reason = match Failure::new(&code) {
                Failure::Superseded => Reason::Superseded,
                Failure::Held => Reason::WritesHeld,
                _ => Reason::StatementFailed,
            };
            Refusal::new(reason, format!("{detail}; the transaction was rolled back"))
        }
        Error::ConnectionLost | Error::Conflict | Error::NoTable => {
            Refusal::new(Reason::ConnectionLost, ROLLED_BACK)
        }
        Error::TimedOut => Refusal::new(Reason::DeadlineExceeded, ROLLED_BACK),
        Error::Unusable(refusal) => refusal,
    }
}

const ROLLED_BACK: &str = "the target's answer was lost; the transaction was rolled back";

/// Begins a transaction on the primary, with retries until `deadline`.
async fn open_on_primary(
    host: &Arc<Host>,
    caller: &Caller,
    service: ServiceId,
    deadline: Time,
) -> Result<OpenTransaction, Refusal> {
    loop {
        let refusal = match try_open_on_primary(host, caller, service, deadline).await {
            Ok(transaction) => return Ok(transaction),
            Err(refusal) => refusal,
        };
        let is_final = matches!(refusal.reason, Reason::QueueTimeout | Reason::QueueFull);
        if is_final || host.clock.now() + BEGIN_RETRY_DELAY >= deadline {
            return Err(refusal);
        }
        tokio::time::sleep(BEGIN_RETRY_DELAY).await;
    }
}

async fn try_open_on_primary(
    host: &Arc<Host>,
    caller: &Caller,
    service: ServiceId,
    deadline: Time,
) -> Result<OpenTransaction, Refusal> {
    let primary = host.pools.primary(service);
    let primary = primary.ok_or_else(|| Refusal::new(Reason::NoPrimary, "no primary is known"))?;
    let target = (service, primary);
    let lease = host.pools.acquire(host, target, caller.account(), deadline).await?;
    permit::verify(host, caller, service)?;
    let client = lease.client();
    let work = async {
        let mode = client.batch_execute(READ_WRITE);
        let begin = client.batch_execute(BEGIN);
        let previous_commit = client.query_typed_one(LAST_COMMIT, &[]);
        let (mode, begin, previous_commit) = futures::join!(mode, begin, previous_commit);
        mode.and(begin).and(previous_commit)
    };
    let connection_lost =
        |failure: Error| Refusal::new(Reason::ConnectionLost, format!("{failure:?}"));
    let previous_commit =
        exchange::run(host, &lease, deadline, work).await.map_err(connection_lost)?;
    let previous_commit = position(&previous_commit, "term", "index").unwrap_or_default();
    Ok(OpenTransaction { lease, target, previous_commit, is_unused: true })
}

fn transaction_lost(detail: &str) -> Refusal {
    Refusal::new(Reason::TransactionLost, detail)
}

/// The host that owns a transaction, which is encoded in the id.
pub fn owner(id: TransactionId) -> HostId {
    core::owner(id)
}
