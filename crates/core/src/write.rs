//! One write, from the lease of a connection to the acknowledgement.
//!
//! The machine is told what was handed to the connection and what came back, and keeps the last
//! stage that the write may have passed over all its attempts. A refusal says `Ran::No` only while
//! no try has passed the stage where the target alone knows. A write without an idempotency key is
//! sent again only while no byte of it was sent, or where the target itself answered that it did
//! not run; one with a key also after a loss, since its row lets one try commit.
//!
//! Once a try is of unknown outcome the request stays so until its row is found: an insert that
//! succeeds on a superseded primary proves nothing about the present one.

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

/// Part of the time left that the statement of a keyed write leaves for another try.
const RETRY_RESERVE_DIVISOR: u32 = 4;

/// A write under way.
#[derive(Debug, Clone)]
pub struct Write {
    service: ServiceId,
    account: AccountId,
    digest: Option<String>,
    is_whole: bool,
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

/// What happened to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A connection to the primary is leased.
    Leased,
    /// No connection to a primary could be had.
    NoConnection(Reason),
    /// The statement, and the idempotency row if any, were answered without error.
    Executed,
    /// The row of the idempotency key exists already.
    Conflict,
    /// The target answered with an error.
    Failed(Failure, String),
    /// COMMIT was answered; the entry that it made, if it made one.
    Committed(Option<Position>),
    /// The group's confirmed position was answered.
    Confirmed(Position),
    /// The row under the idempotency key, and a position of the primary that includes it.
    Found(Option<Row>, Position),
    /// The connection broke.
    ConnectionLost,
    /// The exchange's deadline ran out.
    TimedOut,
    /// The key was withdrawn, or the host's authority lapsed.
    Denied(Refusal),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Lease a connection to the primary, not before the given time.
    Lease(Time, Option<retry::Reason>),
    /// Send BEGIN, the idempotency row and the statement, after checking authority.
    Execute,
    /// Send COMMIT, after checking authority.
    Commit,
    /// Ask, from the given time on, whether the position is confirmed.
    Confirm(Position, Time),
    /// Read the row of the idempotency key, and then the primary's position.
    Lookup,
    /// Acknowledge; the position to merge into the token.
    Acknowledge(Option<Position>),
    /// Answer with the first outcome of the same request.
    Replay(String, Position),
    /// Refuse.
    Refuse(Refusal),
}

impl Write {
    /// A write for `account` that has to be acknowledged by `deadline`.
    ///
    /// `digest` is that of the request when it carries an idempotency key.
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
            is_whole: true,
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

    /// The COMMIT of an interactive transaction whose statements were answered.
    ///
    /// Its first action is [`Action::Commit`].
    pub fn new_commit(service: ServiceId, account: AccountId, deadline: Time, seed: u64) -> Write {
        let write = Write::new(service, account, None, deadline, seed);
        // Its statements lie with the caller alone, so that it cannot be run again.
        let stage = Stage::StatementSent;
        Write { is_whole: false, state: State::Committing, stage, ..write }
    }

    /// The same write under `policy`.
    pub fn with_policy(mut self, policy: Policy) -> Write {
        self.policy = policy;
        self
    }

    /// The first action, given the group's confirmation delay.
    pub fn start(&mut self, expected: Duration, now: Time) -> Action {
        if now + expected >= self.deadline {
            let detail = "confirmation by a majority takes longer than the time left";
            let refusal = Refusal::new(Reason::ReplicationLag, detail);
            return Action::Refuse(refusal.with_retry_after(expected));
        }
        Action::Lease(now, None)
    }

    /// When an exchange that starts at `now` is given up without a first sign of the target.
    pub fn first_response_deadline(&self, now: Time) -> Time {
        self.policy.attempt_deadline(now, self.deadline)
    }

    /// When the exchange that starts at `now` is given up.
    ///
    /// Without an idempotency key nothing can be tried again, so that statement and COMMIT have
    /// the caller's whole time. With one, COMMIT has the time of a try, and the statement leaves
    /// [`RETRY_RESERVE_DIVISOR`] of the time for another: a connection that went silent is found out only by
    /// giving up on it.
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

    /// Takes an event; answers with what to do.
    pub fn on(&mut self, event: Event, budgets: &mut Budgets, now: Time) -> Action {
        if let Event::Denied(refusal) = event {
            return self.refuse(refusal);
        }
        match (self.state, event) {
            (State::Leasing, Event::Leased) => self.execute(),
            (State::Leasing, Event::NoConnection(reason)) => self.no_connection(reason, now),
            (State::Executing, Event::Executed) => self.commit(),
            (State::Executing, Event::Conflict) => self.look_up(),
            (State::Executing | State::LookingUp, Event::Failed(failure, detail)) => {
                self.failed(failure, detail, budgets, now)
            }
            (State::Committing, Event::Failed(failure, detail)) => {
                self.commit_failed(failure, detail, budgets, now)
            }
            (State::Committing, Event::Committed(Some(position))) => self.confirm(position, now),
            (State::Committing, Event::Committed(None)) => Action::Acknowledge(None),
            (State::Confirming(position), Event::Confirmed(confirmed)) => {
                self.confirmed(position, confirmed, budgets, now)
            }
            (State::Confirming(_), Event::Failed(Failure::Superseded, _)) => {
                self.superseded(budgets, now)
            }
            (State::Confirming(position), Event::Failed(..) | Event::NoConnection(_))
            | (State::Confirming(position), Event::ConnectionLost | Event::TimedOut) => {
                self.confirm_later(position, now)
            }
            (State::LookingUp, Event::Found(row, position)) => {
                self.found(row, position, budgets, now)
            }
            (_, Event::ConnectionLost) => {
                self.lost(retry::Reason::ConnectionLost, Reason::ConnectionLost, budgets, now)
            }
            (_, Event::TimedOut) => {
                self.lost(retry::Reason::TryTimeout, Reason::DeadlineExceeded, budgets, now)
            }
            (state, event) => unreachable_event(state, &event, self.ran.max(self.stage.ran())),
        }
    }

    /// Notes that the next bytes of the present state are about to reach the connection.
    ///
    /// Called before BEGIN with the statement, and before COMMIT; never after the fact.
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
        // The transaction was rolled back; the question changes nothing.
        self.stage = Stage::Unsent;
        Action::Lookup
    }

    fn confirm(&mut self, position: Position, now: Time) -> Action {
        self.state = State::Confirming(position);
        Action::Confirm(position, now)
    }

    fn confirm_later(&mut self, position: Position, now: Time) -> Action {
        self.attempts += 1;
        let at = now + self.policy.retry_delay(self.attempts, self.jitter.bits());
        if at >= self.deadline {
            return self.give_up(Reason::DeadlineExceeded, "not confirmed in time");
        }
        Action::Confirm(position, at)
    }

    fn confirmed(
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
            Verdict::Superseded => self.superseded(budgets, now),
        }
    }

    fn superseded(&mut self, budgets: &mut Budgets, now: Time) -> Action {
        // A replay was someone's earlier write; this request itself has not run anew, but the
        // earlier one may be in the log or not.
        self.ran = Ran::Unknown;
        self.replay = None;
        self.lost(retry::Reason::Superseded, Reason::Superseded, budgets, now)
    }

    fn found(
        &mut self,
        row: Option<Row>,
        position: Position,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        let digest = self.digest.clone().unwrap_or_default();
        match idempotency::decide(row, &digest) {
            Decision::Run => {
                self.again(retry::Reason::ConnectionLost, Reason::ConnectionLost, budgets, now)
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

    fn no_connection(&mut self, reason: Reason, now: Time) -> Action {
        let final_reasons = [Reason::QueueTimeout, Reason::QueueFull, Reason::Stopping];
        if final_reasons.contains(&reason) {
            return self.give_up(reason, "no connection came free in time");
        }
        // Nothing was sent: waiting for a primary is bounded by the deadline alone.
        self.later(retry::Reason::ConnectionRefused, reason, now)
    }

    fn failed(
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
                self.again(retry::Reason::Superseded, Reason::Superseded, budgets, now)
            }
            Failure::Held => {
                self.again(retry::Reason::WritesHeld, Reason::WritesHeld, budgets, now)
            }
            Failure::Target | Failure::Busy if self.is_keyed() => {
                self.again(retry::Reason::TargetFailed, Reason::StatementFailed, budgets, now)
            }
            _ => self.refuse(Refusal::new(Reason::StatementFailed, detail)),
        }
    }

    fn commit_failed(
        &mut self,
        failure: Failure,
        detail: String,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        if failure.proves_rollback() {
            return self.failed(failure, detail, budgets, now);
        }
        self.lost(retry::Reason::TargetFailed, Reason::ConnectionLost, budgets, now)
    }

    /// The try ended without an answer that tells.
    fn lost(
        &mut self,
        retry: retry::Reason,
        reason: Reason,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        let is_sent = !self.stage.is_unsent();
        self.ran = self.ran.max(self.stage.ran());
        self.stage = Stage::Unsent;
        if is_sent && !self.is_keyed() {
            return self.give_up(reason, "the target's answer was lost");
        }
        self.again(retry, reason, budgets, now)
    }

    fn again(
        &mut self,
        retry: retry::Reason,
        reason: Reason,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        let spent = !self.is_whole || self.attempts >= self.policy.max_attempts;
        if spent || retry.is_budgeted() && !budgets.withdraw(self.service, self.account, now) {
            return self.give_up(reason, "no retry is left");
        }
        self.later(retry, reason, now)
    }

    fn later(&mut self, retry: retry::Reason, reason: Reason, now: Time) -> Action {
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

/// An event that the state does not expect is a fault of the caller of this machine; the request
/// ends without a claim.
fn unreachable_event(state: State, event: &Event, ran: Ran) -> Action {
    let detail = format!("unexpected {event:?} while {state:?}");
    debug_assert!(false, "{detail}");
    Action::Refuse(Refusal::new(Reason::ConnectionLost, "internal fault").with_ran(ran))
}
