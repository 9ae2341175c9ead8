//! State machine of one write, from leasing a connection to the acknowledgement.
//!
//! The caller reports what was sent on the connection and what came back. The state machine tracks
//! how far any attempt may have got, and decides when to retry, when to acknowledge and what a
//! refusal may claim:
//!
//! - A refusal carries `Ran::No` only while no attempt may have committed: once COMMIT is sent,
//!   only the target knows.
//! - A write without an idempotency key is retried only if no byte of it was sent, or if the target
//!   itself reported that it did not run.
//! - A write with an idempotency key is also retried after a lost connection: its outcome row lets
//!   at most one attempt commit.
//!
//! Once an attempt has an unknown outcome, the request's outcome stays unknown until its row is
//! found: an insert that succeeds on a superseded primary proves nothing about the current one.

use crate::ack::{self, Verdict};
use crate::id::{AccountId, ServiceId, Time};
use crate::idempotency::{self, Decision, Row};
use crate::log::Position;
use crate::progress::Stage;
use crate::random::Source;
use crate::refusal::{Ran, Reason, Refusal};
use crate::retry::{self, Budgets, Policy};
use crate::sqlstate::Failure;
use std::time::Duration;

/// A keyed write's statement leaves the remaining time divided by this for another attempt.
const RETRY_RESERVE_DIVISOR: u32 = 4;

/// A write in progress.
#[derive(Debug, Clone)]
pub struct Write {
    service: ServiceId,
    account: AccountId,
    digest: Option<String>,
    is_retryable: bool,
    deadline: Time,
    policy: Policy,
    jitter: Source,
    state: State,
    stage: Stage,
    ran: Ran,
    attempts: u32,
    replay: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Leasing,
    Executing,
    Committing,
    Confirming(Position),
    LookingUp,
}

/// An event in the execution of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A connection to the primary was leased.
    Leased,
    /// No connection to a primary could be obtained.
    NoConnection(Reason),
    /// The statement, and the insert of the idempotency row if any, succeeded.
    Executed,
    /// The insert of the idempotency row failed because the key's row already exists.
    Conflict,
    /// The target returned an error; its classification and text.
    Failed(Failure, String),
    /// COMMIT succeeded; the position of its log entry, or `None` if it wrote nothing.
    Committed(Option<Position>),
    /// The group reported its confirmed position.
    Confirmed(Position),
    /// Result of [`Action::Lookup`]: the row, if any, and a primary position that includes it.
    Found(Option<Row>, Position),
    /// The connection broke.
    ConnectionLost,
    /// The deadline of the exchange passed, see [`Write::exchange_deadline`].
    TimedOut,
    /// The caller's key was withdrawn, or the host's authority expired.
    Denied(Refusal),
}

/// The next step, which the caller of the state machine performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Lease a connection to the primary, not before the given time; the reason if it is a retry.
    Lease(Time, Option<retry::Reason>),
    /// Send BEGIN, the idempotency row and the statement, after checking authority.
    Execute,
    /// Send COMMIT, after checking authority.
    Commit,
    /// Query whether the position is confirmed, not before the given time.
    Confirm(Position, Time),
    /// Read the row of the idempotency key, then the primary's position.
    Lookup,
    /// Acknowledge the write; the position to merge into the session token, if it wrote any.
    Acknowledge(Option<Position>),
    /// Return the stored outcome of an earlier attempt, and its position.
    Replay(String, Position),
    /// End the request with this refusal.
    Refuse(Refusal),
}

impl Write {
    /// Creates a write for `account` that has to be acknowledged by `deadline`.
    ///
    /// `digest` is the request's digest if it carries an idempotency key; `seed` drives the jitter
    /// of retry delays.
    pub fn new(
        service: ServiceId,
        account: AccountId,
        digest: Option<String>,
        deadline: Time,
        seed: u64,
    ) -> Write {
        Write {
            service,
            account,
            digest,
            is_retryable: true,
            deadline,
            policy: Policy::default(),
            jitter: Source::new(seed),
            state: State::Leasing,
            stage: Stage::Unsent,
            ran: Ran::No,
            attempts: 1,
            replay: None,
        }
    }

    /// Creates the COMMIT of an interactive transaction, all of whose statements have completed.
    ///
    /// It starts at [`Action::Commit`]; [`Write::start`] is not called.
    pub fn new_commit(service: ServiceId, account: AccountId, deadline: Time, seed: u64) -> Write {
        let write = Write::new(service, account, None, deadline, seed);
        // Only the caller has the transaction's statements, so it can't be retried here.
        let stage = Stage::StatementSent;
        Write { is_retryable: false, state: State::Committing, stage, ..write }
    }

    /// Sets the retry policy.
    pub fn with_policy(mut self, policy: Policy) -> Write {
        self.policy = policy;
        self
    }

    /// Returns the first action; `expected` is the group's current confirmation delay.
    ///
    /// Refuses the write if that delay alone exceeds the time left.
    pub fn start(&mut self, expected: Duration, now: Time) -> Action {
        if now + expected >= self.deadline {
            let detail = "confirmation by a majority takes longer than the time left";
            let refusal = Refusal::new(Reason::ReplicationLag, detail);
            return Action::Refuse(refusal.with_retry_after(expected));
        }
        Action::Lease(now, None)
    }

    /// Deadline for the first response of the target in an exchange that starts at `now`.
    pub fn first_response_deadline(&self, now: Time) -> Time {
        self.policy.attempt_deadline(now, self.deadline)
    }

    /// Deadline of the exchange that starts at `now`.
    ///
    /// Without an idempotency key nothing can be retried, so the statement and COMMIT may use all
    /// of the caller's time. With one, COMMIT is limited to the attempt timeout, and the statement
    /// leaves a part of the time (`RETRY_RESERVE_DIVISOR`) for another attempt: a connection that
    /// went silent can only be detected by a timeout.
    pub fn exchange_deadline(&self, now: Time) -> Time {
        match self.state {
            State::Confirming(_) | State::LookingUp => {
                self.policy.attempt_deadline(now, self.deadline)
            }
            State::Committing if self.is_keyed() => {
                self.policy.attempt_deadline(now, self.deadline)
            }
            State::Executing if self.is_keyed() => {
                let left = self.deadline.saturating_sub(now);
                self.deadline - left / RETRY_RESERVE_DIVISOR
            }
            State::Leasing | State::Executing | State::Committing => self.deadline,
        }
    }

    /// Applies an event and returns the next action.
    pub fn on(&mut self, event: Event, budgets: &mut Budgets, now: Time) -> Action {
        if let Event::Denied(refusal) = event {
            return self.refuse(refusal);
        }
        match (self.state, event) {
            (State::Leasing, Event::Leased) => self.execute(),
            (State::Leasing, Event::NoConnection(reason)) => self.on_no_connection(reason, now),
            (State::Executing, Event::Executed) => self.commit(),
            (State::Executing, Event::Conflict) => self.look_up(),
            (State::Executing | State::LookingUp, Event::Failed(failure, detail)) => {
                self.on_failure(failure, detail, budgets, now)
            }
            (State::Committing, Event::Failed(failure, detail)) => {
                self.on_commit_failure(failure, detail, budgets, now)
            }
            (State::Committing, Event::Committed(Some(position))) => self.confirm(position, now),
            (State::Committing, Event::Committed(None)) => Action::Acknowledge(None),
            (State::Confirming(position), Event::Confirmed(confirmed)) => {
                self.on_confirmed(position, confirmed, budgets, now)
            }
            (State::Confirming(_), Event::Failed(Failure::Superseded, _)) => {
                self.on_superseded(budgets, now)
            }
            (State::Confirming(position), Event::Failed(..) | Event::NoConnection(_))
            | (State::Confirming(position), Event::ConnectionLost | Event::TimedOut) => {
                self.retry_confirm(position, now)
            }
            (State::LookingUp, Event::Found(row, position)) => {
                self.on_lookup(row, position, budgets, now)
            }
            (_, Event::ConnectionLost) => {
                self.on_lost(retry::Reason::ConnectionLost, Reason::ConnectionLost, budgets, now)
            }
            (_, Event::TimedOut) => {
                self.on_lost(retry::Reason::TryTimeout, Reason::DeadlineExceeded, budgets, now)
            }
            (state, event) => unexpected_event(state, &event, self.ran.max(self.stage.ran())),
        }
    }

    /// Records that the bytes of the current state are about to be sent on the connection.
    ///
    /// Must be called before BEGIN and the statement are sent, and before COMMIT is, never
    /// afterwards: otherwise a loss in between would be reported as not run.
    pub fn record_sent(&mut self) {
        self.stage = match self.state {
            State::Executing => Stage::StatementSent,
            State::Committing => Stage::CommitSent,
            _ => self.stage,
        };
    }

    fn is_keyed(&self) -> bool {
        self.digest.is_some()
    }

    fn execute(&mut self) -> Action {
        self.state = State::Executing;
        Action::Execute
    }

    fn commit(&mut self) -> Action {
        self.state = State::Committing;
        Action::Commit
    }

    fn look_up(&mut self) -> Action {
        self.state = State::LookingUp;
        // The transaction was rolled back, and the lookup only reads.
        self.stage = Stage::Unsent;
        Action::Lookup
    }

    fn confirm(&mut self, position: Position, now: Time) -> Action {
        self.state = State::Confirming(position);
        Action::Confirm(position, now)
    }

    fn retry_confirm(&mut self, position: Position, now: Time) -> Action {
        self.attempts += 1;
        let at = now + self.policy.retry_delay(self.attempts, self.jitter.bits());
        if at >= self.deadline {
            return self.give_up(Reason::DeadlineExceeded, "not confirmed in time");
        }
        Action::Confirm(position, at)
    }

    fn on_confirmed(
        &mut self,
        position: Position,
        confirmed: Position,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        match ack::verify(position, confirmed) {
            Verdict::Acknowledged => match self.replay.take() {
                Some(outcome) => Action::Replay(outcome, position),
                None => Action::Acknowledge(Some(position)),
            },
            Verdict::Pending if now < self.deadline => self.confirm(position, now),
            Verdict::Pending => self.give_up(Reason::DeadlineExceeded, "not confirmed in time"),
            Verdict::Superseded => self.on_superseded(budgets, now),
        }
    }

    fn on_superseded(&mut self, budgets: &mut Budgets, now: Time) -> Action {
        // Either this write, or the earlier one to be replayed, may or may not be in the log of
        // the new term.
        self.ran = Ran::Unknown;
        self.replay = None;
        self.on_lost(retry::Reason::Superseded, Reason::Superseded, budgets, now)
    }

    fn on_lookup(
        &mut self,
        row: Option<Row>,
        position: Position,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        let digest = self.digest.clone().unwrap_or_default();
        match idempotency::decide(row, &digest) {
            Decision::Run => {
                self.retry(retry::Reason::ConnectionLost, Reason::ConnectionLost, budgets, now)
            }
            Decision::Replay(outcome) => {
                self.replay = Some(outcome);
                self.ran = Ran::Unknown;
                self.confirm(position, now)
            }
            Decision::Mismatch => {
                let detail = "the idempotency key came with another request before";
                self.give_up(Reason::IdempotencyMismatch, detail)
            }
        }
    }

    fn on_no_connection(&mut self, reason: Reason, now: Time) -> Action {
        let final_reasons = [Reason::QueueTimeout, Reason::QueueFull, Reason::Stopping];
        if final_reasons.contains(&reason) {
            return self.give_up(reason, "no connection came free in time");
        }
        // Nothing was sent, so waiting for a primary is limited only by the deadline.
        self.schedule_retry(retry::Reason::ConnectionRefused, reason, now)
    }

    fn on_failure(
        &mut self,
        failure: Failure,
        detail: String,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        self.stage = Stage::Unsent;
        match failure {
            Failure::Locked if self.is_keyed() => {
                self.give_up(Reason::IdempotencyInProgress, "the same request is running")
            }
            Failure::Superseded => {
                self.retry(retry::Reason::Superseded, Reason::Superseded, budgets, now)
            }
            Failure::Held => {
                self.retry(retry::Reason::WritesHeld, Reason::WritesHeld, budgets, now)
            }
            Failure::Target | Failure::Busy if self.is_keyed() => {
                self.retry(retry::Reason::TargetFailed, Reason::StatementFailed, budgets, now)
            }
            _ => self.refuse(Refusal::new(Reason::StatementFailed, detail)),
        }
    }

    fn on_commit_failure(
        &mut self,
        failure: Failure,
        detail: String,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        if failure.proves_rollback() {
            return self.on_failure(failure, detail, budgets, now);
        }
        self.on_lost(retry::Reason::TargetFailed, Reason::ConnectionLost, budgets, now)
    }

    /// Handles an attempt that ended without a response that tells whether it ran.
    fn on_lost(
        &mut self,
        retry: retry::Reason,
        reason: Reason,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        let was_sent = !self.stage.is_unsent();
        self.ran = self.ran.max(self.stage.ran());
        self.stage = Stage::Unsent;
        if was_sent && !self.is_keyed() {
            return self.give_up(reason, "the target's answer was lost");
        }
        self.retry(retry, reason, budgets, now)
    }

    fn retry(
        &mut self,
        retry: retry::Reason,
        reason: Reason,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        let is_exhausted = !self.is_retryable || self.attempts >= self.policy.max_attempts;
        if is_exhausted || retry.is_budgeted() && !budgets.withdraw(self.service, self.account, now)
        {
            return self.give_up(reason, "no retry is left");
        }
        self.schedule_retry(retry, reason, now)
    }

    fn schedule_retry(&mut self, retry: retry::Reason, reason: Reason, now: Time) -> Action {
        let at = now + self.policy.retry_delay(self.attempts, self.jitter.bits());
        self.attempts += 1;
        if at >= self.deadline {
            return self.give_up(reason, "the time that the caller gave has run out");
        }
        self.state = State::Leasing;
        Action::Lease(at, Some(retry))
    }

    fn give_up(&self, reason: Reason, detail: &str) -> Action {
        self.refuse(Refusal::new(reason, detail))
    }

    fn refuse(&self, refusal: Refusal) -> Action {
        Action::Refuse(refusal.with_ran(self.ran.max(self.stage.ran())))
    }
}

/// Handles an event that is invalid in `state`, which is a bug in the caller of the state machine.
///
/// The request is refused with whatever is known about whether it ran.
fn unexpected_event(state: State, event: &Event, ran: Ran) -> Action {
    let detail = format!("unexpected {event:?} while {state:?}");
    debug_assert!(false, "{detail}");
    Action::Refuse(Refusal::new(Reason::ConnectionLost, "internal fault").with_ran(ran))
}
