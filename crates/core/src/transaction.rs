//! Interactive transactions on the host that owns them.
//!
//! A transaction holds one connection of its host from begin to end. The table decides who may
//! take a step and what a loss means; the host keeps the connections beside it. One step runs at a
//! time. Every end but an answered COMMIT or ROLLBACK closes the connection, so that the target
//! rolls back.

use crate::id::{AccountId, HostId, KeyId, ServiceId, Time, TransactionId};
use crate::refusal::{Ran, Reason, Refusal};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bits of a transaction's id that count within its host.
const COUNTER_BITS: u32 = 32;
/// Ended transactions of which the end is remembered.
const MAX_ENDED: usize = 4096;

/// Limits of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between two steps.
    pub idle: Duration,
    /// Time from begin to end.
    pub total: Duration,
    /// Open transactions of one client account on a host.
    pub per_account: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { idle: Duration::from_secs(5), total: Duration::from_secs(30), per_account: 64 }
    }
}

/// A step that a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Runs a statement.
    Run,
    /// Commits.
    Commit,
    /// Rolls back.
    Rollback,
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// COMMIT was answered.
    Committed,
    /// It was rolled back, or its connection was closed before COMMIT was sent.
    RolledBack,
    /// The connection was lost after COMMIT was sent.
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
    begun: Time,
    active: Time,
}

/// The transactions that a host owns.
#[derive(Debug, Clone)]
pub struct Table {
    host: HostId,
    next: u32,
    limits: Limits,
    open: BTreeMap<TransactionId, Entry>,
    ended: BTreeMap<TransactionId, (AccountId, End)>,
    order: VecDeque<TransactionId>,
}

/// The host that owns a transaction.
pub fn owner(id: TransactionId) -> HostId {
    (id >> COUNTER_BITS) as HostId
}

impl Table {
    /// No transaction; `first` is where the host starts to count, different in each of its runs.
    pub fn new(host: HostId, first: u32, limits: Limits) -> Table {
        Table {
            host,
            next: first,
            limits,
            open: BTreeMap::new(),
            ended: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Begins a transaction.
    pub fn begin(
        &mut self,
        account: AccountId,
        key: KeyId,
        service: ServiceId,
        now: Time,
    ) -> Result<TransactionId, Refusal> {
        let held = self.open.values().filter(|entry| entry.account == account).count();
        if held >= self.limits.per_account {
            let detail = "the client account has too many open transactions on this host";
            return Err(Refusal::new(Reason::QueueFull, detail));
        }
        let id = (u64::from(self.host) << COUNTER_BITS) | u64::from(self.next);
        self.next = self.next.wrapping_add(1);
        let entry = Entry { account, key, service, state: State::Idle, begun: now, active: now };
        self.open.insert(id, entry);
        Ok(id)
    }

    /// Admits a step of `account`; answers with the service.
    pub fn start_step(
        &mut self,
        id: TransactionId,
        account: AccountId,
        step: Step,
        now: Time,
    ) -> Result<ServiceId, Refusal> {
        let limits = self.limits;
        let Some(entry) = self.open.get_mut(&id) else {
            return Err(self.gone(id, account, step));
        };
        if entry.account != account {
            return Err(foreign());
        }
        match entry.state {
            State::Idle => {}
            State::Running | State::Committing => {
                let detail = "another step of the transaction is running";
                return Err(Refusal::new(Reason::Malformed, detail));
            }
        }
        if is_over(entry, &limits, now) {
            return Err(lost("the transaction is over its time limit"));
        }
        entry.state = if step == Step::Commit { State::Committing } else { State::Running };
        entry.active = now;
        Ok(entry.service)
    }

    /// Notes that a statement was answered; false when the transaction has ended meanwhile.
    pub fn finish_step(&mut self, id: TransactionId, now: Time) -> bool {
        let Some(entry) = self.open.get_mut(&id) else { return false };
        entry.state = State::Idle;
        entry.active = now;
        true
    }

    /// Removes a transaction that has ended.
    pub fn end(&mut self, id: TransactionId, end: End) {
        let Some(entry) = self.open.remove(&id) else { return };
        self.ended.insert(id, (entry.account, end));
        self.order.push_back(id);
        if self.order.len() > MAX_ENDED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Ends the transactions that are over a limit; their connections are to be closed at once.
    pub fn roll_back_expired(&mut self, now: Time) -> Vec<TransactionId> {
        let limits = self.limits;
        self.roll_back(|entry| is_over(entry, &limits, now))
    }

    /// The same for the transactions of a withdrawn key.
    pub fn roll_back_key(&mut self, key: KeyId) -> Vec<TransactionId> {
        self.roll_back(|entry| entry.key == key)
    }

    /// The same for every transaction, when the host stops.
    pub fn roll_back_all(&mut self) -> Vec<TransactionId> {
        self.roll_back(|_| true)
    }

    /// Service of an open transaction.
    pub fn service(&self, id: TransactionId) -> Option<ServiceId> {
        self.open.get(&id).map(|entry| entry.service)
    }

    /// Keys behind the open transactions.
    pub fn keys(&self) -> BTreeSet<KeyId> {
        self.open.values().map(|entry| entry.key).collect()
    }

    /// Whether the transaction goes on.
    pub fn is_open(&self, id: TransactionId) -> bool {
        self.open.contains_key(&id)
    }

    /// Open transactions.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn roll_back(&mut self, is_due: impl Fn(&Entry) -> bool) -> Vec<TransactionId> {
        // A COMMIT in flight is left to its answer: closing now would only hide it.
        let is_due = |entry: &Entry| entry.state != State::Committing && is_due(entry);
        let due: Vec<_> = self.open.iter().filter(|(_, e)| is_due(e)).map(|(id, _)| *id).collect();
        for id in &due {
            self.end(*id, End::RolledBack);
        }
        due
    }

    fn gone(&self, id: TransactionId, account: AccountId, step: Step) -> Refusal {
        match self.ended.get(&id) {
            Some((owner, _)) if *owner != account => foreign(),
            Some((_, End::RolledBack)) => lost("the transaction was rolled back"),
            Some((_, End::Committed)) if step == Step::Commit => {
                lost("the transaction was committed before").with_ran(Ran::Unknown)
            }
            Some((_, End::Committed)) => lost("the transaction was committed before"),
            // Of an earlier run of this host, or forgotten: a COMMIT may have been sent.
            Some((_, End::Unknown)) | None if step == Step::Commit => {
                lost("the transaction's end is unknown").with_ran(Ran::Unknown)
            }
            Some((_, End::Unknown)) | None => lost("the transaction has ended"),
        }
    }
}

fn is_over(entry: &Entry, limits: &Limits, now: Time) -> bool {
    let idle = entry.state == State::Idle && now.saturating_sub(entry.active) > limits.idle;
    idle || now.saturating_sub(entry.begun) > limits.total
}

fn lost(detail: &str) -> Refusal {
    Refusal::new(Reason::TransactionLost, detail)
}

fn foreign() -> Refusal {
    Refusal::new(Reason::TransactionForeign, "the transaction belongs to another client account")
}
