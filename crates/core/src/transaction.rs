//! Table of the interactive transactions that a host owns.
//!
//! A transaction holds one connection of its host from begin to end. The table decides who may
//! execute a step and what a lost connection means for the transaction; the host keeps the
//! connections. At most one step of a transaction runs at a time. Unless COMMIT or ROLLBACK was
//! answered, the end of a transaction closes its connection, so that the target rolls back.

use crate::id::{AccountId, HostId, KeyId, ServiceId, Time, TransactionId};
use crate::refusal::{Ran, Reason, Refusal};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Number of low bits of a transaction's id that hold the counter of its host.
const COUNTER_BITS: u32 = 32;
/// Maximum number of ended transactions whose end is kept to answer later steps.
const MAX_ENDED: usize = 4096;

/// Limits of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time without a running step.
    pub idle: Duration,
    /// Maximum time from begin to end.
    pub total: Duration,
    /// Maximum number of open transactions of one client account on a host.
    pub per_account: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { idle: Duration::from_secs(5), total: Duration::from_secs(30), per_account: 64 }
    }
}

/// A step of a transaction that a caller requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Execute a statement.
    Run,
    /// Commit and end the transaction.
    Commit,
    /// Roll back and end the transaction.
    Rollback,
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target answered COMMIT with success.
    Committed,
    /// It was rolled back, or its connection was closed before COMMIT was sent.
    RolledBack,
    /// The connection was lost after COMMIT was sent, so it may have been committed.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Running,
    Committing,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    account: AccountId,
    key: KeyId,
    service: ServiceId,
    state: State,
    begun_at: Time,
    last_active: Time,
}

/// The open transactions that a host owns, and how recent ones ended.
#[derive(Debug, Clone)]
pub struct Table {
    host: HostId,
    next_counter: u32,
    limits: Limits,
    open: BTreeMap<TransactionId, Entry>,
    ended: BTreeMap<TransactionId, (AccountId, End)>,
    ended_order: VecDeque<TransactionId>,
}

/// Returns the host that owns a transaction, which is encoded in the id.
pub fn owner(id: TransactionId) -> HostId {
    (id >> COUNTER_BITS) as HostId
}

impl Table {
    /// Creates an empty table.
    ///
    /// `first` is the counter of the first id; it differs in each incarnation of the host, so that
    /// ids of an earlier incarnation are not found here.
    pub fn new(host: HostId, first: u32, limits: Limits) -> Table {
        Table {
            host,
            next_counter: first,
            limits,
            open: BTreeMap::new(),
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
        }
    }

    /// Begins a transaction; refuses it if the client account has too many open ones.
    pub fn begin(
        &mut self,
        account: AccountId,
        key: KeyId,
        service: ServiceId,
        now: Time,
    ) -> Result<TransactionId, Refusal> {
        let open = self.open.values().filter(|entry| entry.account == account).count();
        if open >= self.limits.per_account {
            let detail = "the client account has too many open transactions on this host";
            return Err(Refusal::new(Reason::QueueFull, detail));
        }
        let id = (u64::from(self.host) << COUNTER_BITS) | u64::from(self.next_counter);
        self.next_counter = self.next_counter.wrapping_add(1);
        let entry =
            Entry { account, key, service, state: State::Idle, begun_at: now, last_active: now };
        self.open.insert(id, entry);
        Ok(id)
    }

    /// Starts a step for `account` and returns the transaction's service.
    ///
    /// Refuses the step if the transaction has ended or is over a limit, belongs to another
    /// account, or is running another step.
    pub fn start_step(
        &mut self,
        id: TransactionId,
        account: AccountId,
        step: Step,
        now: Time,
    ) -> Result<ServiceId, Refusal> {
        let limits = self.limits;
        let Some(entry) = self.open.get_mut(&id) else {
            return Err(self.refuse_ended(id, account, step));
        };
        if entry.account != account {
            return Err(foreign_account());
        }
        match entry.state {
            State::Idle => {}
            State::Running | State::Committing => {
                let detail = "another step of the transaction is running";
                return Err(Refusal::new(Reason::Malformed, detail));
            }
        }
        if exceeds_limits(entry, &limits, now) {
            return Err(transaction_lost("the transaction is over its time limit"));
        }
        entry.state = if step == Step::Commit { State::Committing } else { State::Running };
        entry.last_active = now;
        Ok(entry.service)
    }

    /// Records that a statement has completed; false if the transaction has ended meanwhile.
    pub fn finish_step(&mut self, id: TransactionId, now: Time) -> bool {
        let Some(entry) = self.open.get_mut(&id) else { return false };
        entry.state = State::Idle;
        entry.last_active = now;
        true
    }

    /// Removes a transaction that has ended, and keeps how it ended for later steps.
    pub fn end(&mut self, id: TransactionId, end: End) {
        let Some(entry) = self.open.remove(&id) else { return };
        self.ended.insert(id, (entry.account, end));
        self.ended_order.push_back(id);
        if self.ended_order.len() > MAX_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Ends the transactions that are over a limit, except those with a COMMIT in flight.
    ///
    /// The caller has to close the connections of the returned transactions immediately.
    pub fn roll_back_expired(&mut self, now: Time) -> Vec<TransactionId> {
        let limits = self.limits;
        self.roll_back(|entry| exceeds_limits(entry, &limits, now))
    }

    /// Ends the transactions of a withdrawn key, as [`Table::roll_back_expired`] does.
    pub fn roll_back_key(&mut self, key: KeyId) -> Vec<TransactionId> {
        self.roll_back(|entry| entry.key == key)
    }

    /// Ends all transactions when the host stops, as [`Table::roll_back_expired`] does.
    pub fn roll_back_all(&mut self) -> Vec<TransactionId> {
        self.roll_back(|_| true)
    }

    /// Service of an open transaction; `None` if it is not open.
    pub fn service(&self, id: TransactionId) -> Option<ServiceId> {
        self.open.get(&id).map(|entry| entry.service)
    }

    /// Keys with which the open transactions were begun.
    pub fn keys(&self) -> BTreeSet<KeyId> {
        self.open.values().map(|entry| entry.key).collect()
    }

    /// Whether the transaction has begun and not ended.
    pub fn is_open(&self, id: TransactionId) -> bool {
        self.open.contains_key(&id)
    }

    /// Number of open transactions.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn roll_back(&mut self, is_due: impl Fn(&Entry) -> bool) -> Vec<TransactionId> {
        // Leave a COMMIT in flight to its response: closing the connection would hide the outcome.
        let is_due = |entry: &Entry| entry.state != State::Committing && is_due(entry);
        let due: Vec<_> = self.open.iter().filter(|(_, e)| is_due(e)).map(|(id, _)| *id).collect();
        for id in &due {
            self.end(*id, End::RolledBack);
        }
        due
    }

    fn refuse_ended(&self, id: TransactionId, account: AccountId, step: Step) -> Refusal {
        match self.ended.get(&id) {
            Some((owner, _)) if *owner != account => foreign_account(),
            Some((_, End::RolledBack)) => transaction_lost("the transaction was rolled back"),
            Some((_, End::Committed)) if step == Step::Commit => {
                transaction_lost("the transaction was committed before").with_ran(Ran::Unknown)
            }
            Some((_, End::Committed)) => transaction_lost("the transaction was committed before"),
            // From an earlier incarnation, or no longer kept: COMMIT may have been sent.
            Some((_, End::Unknown)) | None if step == Step::Commit => {
                transaction_lost("the transaction's end is unknown").with_ran(Ran::Unknown)
            }
            Some((_, End::Unknown)) | None => transaction_lost("the transaction has ended"),
        }
    }
}

fn exceeds_limits(entry: &Entry, limits: &Limits, now: Time) -> bool {
    let idle = entry.state == State::Idle && now.saturating_sub(entry.last_active) > limits.idle;
    idle || now.saturating_sub(entry.begun_at) > limits.total
}

fn transaction_lost(detail: &str) -> Refusal {
    Refusal::new(Reason::TransactionLost, detail)
}

fn foreign_account() -> Refusal {
    Refusal::new(Reason::TransactionForeign, "the transaction belongs to another client account")
}
