//! Interactive transactions that this host owns.
//!
//! The core's table decides; the connections lie beside it. A transaction's connection is either
//! here, idle, or in the hands of the one step that runs. Whatever ends a transaction but an
//! answered COMMIT or ROLLBACK drops the connection, and the target rolls back.

use super::exchange::position;
use super::exchange::{self, Loss};
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
const COMMITTED: &str = "SELECT * FROM group_commit()";
const ROLLBACK: &str = "ROLLBACK";
/// Time between two sweeps over the limits and keys of open transactions.
const SWEEP: Duration = Duration::from_millis(100);
/// Time between two tries to begin.
const BEGIN_AGAIN: Duration = Duration::from_millis(20);

/// The transactions of one host.
pub struct Owned {
    table: Mutex<Table>,
    live: Mutex<BTreeMap<TransactionId, Live>>,
    stops: Mutex<BTreeMap<TransactionId, Arc<Notify>>>,
}

/// The connection of an open transaction.
struct Live {
    lease: Lease,
    target: Key,
    /// Entry of the connection's last commit before the transaction.
    before: Position,
    /// Whether no statement has run yet.
    is_fresh: bool,
}

/// A step under way; dropped before its end it ends the transaction.
struct Running<'a> {
    owned: &'a Owned,
    id: TransactionId,
    end: Option<End>,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let Some(end) = self.end {
            self.owned.end(self.id, end);
        }
    }
}

impl Owned {
    /// No transaction.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Owned {
        let limits = Limits {
            idle: settings.timeouts.transaction_idle,
            total: settings.timeouts.transaction_total,
            ..Limits::default()
        };
        // Different in each run, so that no id of an earlier run is taken for one of this.
        let first = incarnation as u32;
        Owned {
            table: Mutex::new(Table::new(settings.host, first, limits)),
            live: Mutex::default(),
            stops: Mutex::default(),
        }
    }

    /// Open transactions.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn end(&self, id: TransactionId, end: End) {
        lock(&self.table).end(id, end);
        lock(&self.stops).remove(&id);
        drop(lock(&self.live).remove(&id));
    }

    /// Drops the connections of transactions that the table has ended.
    fn close(&self, ids: Vec<TransactionId>) {
        for id in ids {
            if let Some(stop) = lock(&self.stops).remove(&id) {
                stop.notify_one();
            }
            drop(lock(&self.live).remove(&id));
        }
    }

    fn keep(&self, id: TransactionId, live: Live, now: Time) -> bool {
        // The table's lock is held, so that no sweep comes between the two.
        let mut table = lock(&self.table);
        let goes_on = table.finish_step(id, now);
        if goes_on {
            lock(&self.live).insert(id, live);
        }
        goes_on
    }

    fn sweep(&self, host: &Host) {
        let document = host.document();
        let mut table = lock(&self.table);
        let mut ended = table.roll_back_expired(host.clock.now());
        for key in table.keys() {
            let stands = document.keys.get(&key).is_some_and(|k| k.state == ACTIVE);
            if !stands {
                ended.extend(table.roll_back_key(key));
            }
        }
        drop(table);
        self.close(ended);
    }

    /// Ends every transaction.
    pub fn roll_back_all(&self) {
        let ended = lock(&self.table).roll_back_all();
        self.close(ended);
    }
}

const ACTIVE: bergamotvale_core::config::KeyState = bergamotvale_core::config::KeyState::Active;

/// Ends what is open when the sweeping ends, however.
struct Sweeper(Arc<Host>);

impl Drop for Sweeper {
    fn drop(&mut self) {
        self.0.data.transactions.roll_back_all();
    }
}

/// Sweeps over the open transactions until the host stops, and then ends them.
pub async fn run(host: Arc<Host>) {
    let sweeper = Sweeper(host);
    let mut ticks = tokio::time::interval(SWEEP);
    loop {
        ticks.tick().await;
        sweeper.0.data.transactions.sweep(&sweeper.0);
    }
}

/// Begins a transaction.
pub async fn begin(
    host: &Arc<Host>,
    identity: Identity,
    service: ServiceId,
    deadline: Time,
) -> Result<TransactionId, Refusal> {
    let owned = &host.data.transactions;
    let caller = Caller::Key(identity);
    permit::verify(host, &caller, service)?;
    let now = host.clock.now();
    let id = lock(&owned.table).begin(identity.account, identity.key, service, now)?;
    let mut running = Running { owned, id, end: Some(End::RolledBack) };
    let live = open(host, &caller, service, deadline).await?;
    lock(&owned.stops).insert(id, Arc::new(Notify::new()));
    if !owned.keep(id, live, host.clock.now()) {
        return Err(lost("the transaction has ended"));
    }
    running.end = None;
    Ok(id)
}

/// Runs a step for the client account of `caller`.
pub async fn step(
    host: &Arc<Host>,
    id: TransactionId,
    caller: &Caller,
    step: Step,
    deadline: Time,
) -> Outcome {
    let kind = match &step {
        Step::Run(_) => core::Step::Run,
        Step::Commit => core::Step::Commit,
        Step::Rollback => core::Step::Rollback,
    };
    let owned = &host.data.transactions;
    let now = host.clock.now();
    let started = lock(&owned.table).start_step(id, caller.account(), kind, now);
    let service = match started {
        Ok(service) => service,
        Err(refusal) => return Outcome::new(Err(refusal)),
    };
    let mut running = Running { owned, id, end: Some(End::RolledBack) };
    if let Err(refusal) = permit::verify(host, caller, service) {
        return Outcome::new(Err(refusal));
    }
    let Some(live) = lock(&owned.live).remove(&id) else {
        return Outcome::new(Err(lost("the transaction has ended")));
    };
    match step {
        Step::Run(statement) => Outcome::new(
            run_statement(host, &mut running, caller, live, &statement, deadline).await,
        ),
        Step::Commit => finish(host, &mut running, caller, live, deadline).await,
        Step::Rollback => Outcome::new(roll_back(host, live, deadline).await),
    }
}

async fn run_statement(
    host: &Arc<Host>,
    running: &mut Running<'_>,
    caller: &Caller,
    mut live: Live,
    statement: &Statement,
    deadline: Time,
) -> Result<Rows, Refusal> {
    let owned = running.owned;
    let stop = lock(&owned.stops).get(&running.id).cloned();
    let stop = stop.ok_or_else(|| lost("the transaction has ended"))?;
    loop {
        let result = tokio::select! {
            result = run_on(host, &live.lease, statement, deadline) => result,
            () = stop.notified() => return Err(lost("the transaction was ended")),
        };
        let loss = match result {
            Ok(rows) => {
                live.is_fresh = false;
                if !owned.keep(running.id, live, host.clock.now()) {
                    return Err(lost("the transaction has ended"));
                }
                running.end = None;
                return Ok(rows);
            }
            Err(loss) => loss,
        };
        // A target that refused the first statement has run none: begin on the next primary.
        let is_elsewhere = matches!(&loss, Loss::Failed(code, _) if is_moved(code));
        if !(live.is_fresh && is_elsewhere && host.clock.now() + BEGIN_AGAIN < deadline) {
            return Err(failed(host, live, loss, deadline).await);
        }
        drop(live);
        tokio::time::sleep(BEGIN_AGAIN).await;
        live = open(host, caller, statement_service(owned, running.id)?, deadline).await?;
    }
}

fn is_moved(code: &str) -> bool {
    matches!(Failure::new(code), Failure::Superseded | Failure::Held)
}

fn statement_service(owned: &Owned, id: TransactionId) -> Result<ServiceId, Refusal> {
    lock(&owned.table).service(id).ok_or_else(|| lost("the transaction has ended"))
}

/// Commits, and waits until a majority has the entry.
async fn finish(
    host: &Arc<Host>,
    running: &mut Running<'_>,
    caller: &Caller,
    live: Live,
    deadline: Time,
) -> Outcome {
    let service = live.target.0;
    let target = live.target;
    let before = live.before;
    let mut lease = Some(live.lease);
    let mut spare = None;
    let mut write = Write::new_commit(service, caller.account(), deadline, host.data.seed());
    let mut action = Action::Commit;
    loop {
        let event = match action {
            Action::Commit => match lease.take() {
                Some(lease) => {
                    running.end = Some(End::Unknown);
                    write.record_sent();
                    let (event, clean) = committed(host, lease, before, deadline).await;
                    spare = clean;
                    event
                }
                None => Event::ConnectionLost,
            },
            Action::Confirm(position, at) => {
                running.end = Some(End::Committed);
                tokio::time::sleep_until(host.clock.instant(at).into()).await;
                let until = write.exchange_deadline(host.clock.now());
                let account = caller.account();
                let lease = spare.take();
                host.data.confirm.wait(host, target, account, position, lease, until).await
            }
            Action::Acknowledge(position) => {
                if let Some(lease) = spare {
                    lease.release_clean();
                }
                running.end = Some(End::Committed);
                host.metric.count("transaction.committed");
                let mut outcome = Outcome::new(Ok(Rows::default()));
                outcome.position = position.map(|position| (service, position));
                return outcome;
            }
            Action::Refuse(refusal) => {
                if refusal.ran == Ran::No {
                    running.end = Some(End::RolledBack);
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

/// Sends COMMIT; the connection comes back when it is clean.
async fn committed(
    host: &Host,
    lease: Lease,
    before: Position,
    deadline: Time,
) -> (Event, Option<Lease>) {
    let event = match commit(host, &lease, None, before, deadline).await {
        Ok(position) => return (Event::Committed(position), Some(lease)),
        Err(Loss::Failed(code, detail)) => Event::Failed(Failure::new(&code), detail),
        Err(Loss::TimedOut) => Event::TimedOut,
        Err(_) => Event::ConnectionLost,
    };
    (event, None)
}

async fn roll_back(host: &Host, live: Live, deadline: Time) -> Result<Rows, Refusal> {
    let rollback = live.lease.client().batch_execute(ROLLBACK);
    if exchange::run(host, &live.lease, deadline, rollback).await.is_ok() {
        live.lease.release_clean();
    }
    // Where the answer is lost the connection is closed, which rolls back too.
    Ok(Rows::default())
}

async fn run_on(
    host: &Host,
    lease: &Lease,
    statement: &Statement,
    deadline: Time,
) -> Result<Rows, Loss> {
    let params = value::bind(statement);
    let rows = lease.client().query_typed_raw(&statement.sql, params);
    let limit = host.settings.limits.result;
    let work = async { collect(lease.client(), statement, rows.await?, limit).await };
    exchange::run(host, lease, deadline, work).await
}

/// The refusal of a step that failed; the transaction is rolled back.
async fn failed(host: &Arc<Host>, live: Live, loss: Loss, deadline: Time) -> Refusal {
    let key = live.target;
    exchange::worked(host, key, Some(&loss));
    match loss {
        Loss::Failed(code, detail) => {
            // The refusal is the same whether the rollback is answered or the connection closed.
            drop(roll_back(host, live, deadline).await);
            let reason = match Failure::new(&code) {
                Failure::Superseded => Reason::Superseded,
                Failure::Held => Reason::WritesHeld,
                _ => Reason::StatementFailed,
            };
            Refusal::new(reason, format!("{detail}; the transaction was rolled back"))
        }
        Loss::ConnectionLost | Loss::Conflict | Loss::NoTable => {
            Refusal::new(Reason::ConnectionLost, ROLLED_BACK)
        }
        Loss::TimedOut => Refusal::new(Reason::DeadlineExceeded, ROLLED_BACK),
        Loss::Unusable(refusal) => refusal,
    }
}

const ROLLED_BACK: &str = "the target's answer was lost; the transaction was rolled back";

/// Leases a connection to the primary and begins.
async fn open(
    host: &Arc<Host>,
    caller: &Caller,
    service: ServiceId,
    deadline: Time,
) -> Result<Live, Refusal> {
    loop {
        let refusal = match try_open(host, caller, service, deadline).await {
            Ok(live) => return Ok(live),
            Err(refusal) => refusal,
        };
        let is_final = matches!(refusal.reason, Reason::QueueTimeout | Reason::QueueFull);
        if is_final || host.clock.now() + BEGIN_AGAIN >= deadline {
            return Err(refusal);
        }
        tokio::time::sleep(BEGIN_AGAIN).await;
    }
}

async fn try_open(
    host: &Arc<Host>,
    caller: &Caller,
    service: ServiceId,
    deadline: Time,
) -> Result<Live, Refusal> {
    let primary = host.pools.primary(service);
    let primary = primary.ok_or_else(|| Refusal::new(Reason::NoPrimary, "no primary is known"))?;
    let target = (service, primary);
    let lease = host.pools.acquire(host, target, caller.account(), deadline).await?;
    permit::verify(host, caller, service)?;
    let client = lease.client();
    let work = async {
        let mode = client.batch_execute(READ_WRITE);
        let begin = client.batch_execute(BEGIN);
        let before = client.query_typed_one(COMMITTED, &[]);
        let (mode, begin, before) = futures::join!(mode, begin, before);
        mode.and(begin).and(before)
    };
    let lost = |loss: Loss| Refusal::new(Reason::ConnectionLost, format!("{loss:?}"));
    let before = exchange::run(host, &lease, deadline, work).await.map_err(lost)?;
    let before = position(&before, "term", "index").unwrap_or_default();
    Ok(Live { lease, target, before, is_fresh: true })
}

fn lost(detail: &str) -> Refusal {
    Refusal::new(Reason::TransactionLost, detail)
}

/// Host that owns a transaction.
pub fn owner(id: TransactionId) -> HostId {
    core::owner(id)
}
