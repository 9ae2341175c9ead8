//! One read, from the choice of a target to the answer.
//!
//! A read changes nothing and may be sent again wherever that helps; it is bounded by the caller's
//! deadline, by a number of attempts and by the retry budget.

use crate::id::{AccountId, ServiceId, TargetId, Time};
use crate::log::Position;
use crate::random::Source;
use crate::refusal::{Ran, Reason, Refusal};
use crate::retry::{self, Budgets, Policy};
use crate::route::{self, Bounds, Report, Requirement, Role, Verdict};
use crate::sqlstate::Failure;
use std::collections::VecDeque;

/// A read under way.
#[derive(Debug, Clone)]
pub struct Read {
    service: ServiceId,
    account: AccountId,
    demand: Requirement,
    deadline: Time,
    policy: Policy,
    bounds: Bounds,
    jitter: Source,
    queue: VecDeque<TargetId>,
    attempts: u32,
    last: Option<Reason>,
}

/// What happened to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Targets, in order of choice; also the answer to [`Action::Choose`].
    Candidates(Vec<TargetId>),
    /// A target in `role` answered.
    Answered(Role, Report),
    /// The target answered with an error.
    Failed(Failure, String),
    /// No connection could be had.
    NoConnection(Reason),
    /// The connection broke.
    ConnectionLost,
    /// The try's deadline ran out.
    TimedOut,
    /// The key was withdrawn, or the host's authority lapsed.
    Denied(Refusal),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Rank the targets after a delay.
    Choose(Time),
    /// Send to the target; with the reason when it is a retry.
    Attempt(TargetId, Option<retry::Reason>),
    /// Serve the answer; the token's new position.
    Serve(Option<Position>),
    /// Refuse.
    Refuse(Refusal),
}

impl Read {
    /// A read for `account` that has to be answered by `deadline`.
    pub fn new(
        service: ServiceId,
        account: AccountId,
        demand: Requirement,
        deadline: Time,
        seed: u64,
    ) -> Read {
        Read {
            service,
            account,
            demand,
            deadline,
            policy: Policy::default(),
            bounds: Bounds::default(),
            jitter: Source::new(seed),
            queue: VecDeque::new(),
            attempts: 0,
            last: None,
        }
    }

    /// The same read under `policy`.
    pub fn with_policy(mut self, policy: Policy) -> Read {
        self.policy = policy;
        self
    }

    /// The same read under `bounds`.
    pub fn with_bounds(mut self, bounds: Bounds) -> Read {
        self.bounds = bounds;
        self
    }

    /// Takes an event; answers with what to do.
    pub fn on(&mut self, event: Event, budgets: &mut Budgets, now: Time) -> Action {
        match event {
            Event::Candidates(targets) => self.choose(targets, now),
            Event::Answered(role, answer) => self.answered(role, &answer, budgets, now),
            Event::Failed(failure, detail) => self.failed(failure, detail, budgets, now),
            Event::NoConnection(Reason::QueueFull) => {
                Action::Refuse(Refusal::new(Reason::QueueFull, "no connection comes free in time"))
            }
            Event::NoConnection(reason) => {
                self.again(retry::Reason::ConnectionRefused, reason, budgets, now)
            }
            Event::ConnectionLost => {
                self.again(retry::Reason::ConnectionLost, Reason::ConnectionLost, budgets, now)
            }
            Event::TimedOut => {
                self.again(retry::Reason::TryTimeout, Reason::DeadlineExceeded, budgets, now)
            }
            Event::Denied(refusal) => Action::Refuse(refusal.with_ran(Ran::No)),
        }
    }

    /// When a try that starts at `now` is given up without a first sign of the target.
    pub fn first_response_deadline(&self, now: Time) -> Time {
        self.policy.attempt_deadline(now, self.deadline)
    }

    /// When a try that starts at `now` is given up, sign or not.
    pub fn statement_deadline(&self, now: Time) -> Time {
        self.policy.statement_deadline(now, self.deadline)
    }

    fn choose(&mut self, targets: Vec<TargetId>, now: Time) -> Action {
        self.queue = targets.into();
        match self.queue.pop_front() {
            Some(target) if now < self.deadline => self.attempt(target, None),
            Some(_) => self.expired(),
            None => {
                self.last = self.last.or(Some(Reason::NoPrimary));
                self.wait(now)
            }
        }
    }

    fn attempt(&mut self, target: TargetId, reason: Option<retry::Reason>) -> Action {
        self.attempts += 1;
        Action::Attempt(target, reason)
    }

    fn answered(
        &mut self,
        role: Role,
        answer: &Report,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        match route::verify(&self.demand, role, answer, &self.bounds) {
            Verdict::Serve(position) => Action::Serve(position),
            Verdict::Behind | Verdict::Stale => {
                self.again(retry::Reason::NotFresh, Reason::NotFresh, budgets, now)
            }
        }
    }

    fn failed(
        &mut self,
        failure: Failure,
        detail: String,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        match failure.retry_reason() {
            // A write in a read is the caller's own mistake, on any target.
            None | Some(retry::Reason::Superseded) => {
                Action::Refuse(Refusal::new(Reason::StatementFailed, detail))
            }
            Some(reason) => self.again(reason, Reason::StatementFailed, budgets, now),
        }
    }

    fn again(
        &mut self,
        reason: retry::Reason,
        refusal: Reason,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        self.last = Some(refusal);
        if now >= self.deadline {
            return self.expired();
        }
        let spent = self.attempts >= self.policy.max_attempts;
        if spent || reason.is_budgeted() && !budgets.withdraw(self.service, self.account, now) {
            return self.expired();
        }
        match self.queue.pop_front() {
            Some(target) => self.attempt(target, Some(reason)),
            None => self.wait(now),
        }
    }

    fn wait(&mut self, now: Time) -> Action {
        let delay = self.policy.retry_delay(self.attempts.max(1), self.jitter.bits());
        if now + delay >= self.deadline {
            return self.expired();
        }
        Action::Choose(now + delay)
    }

    fn expired(&self) -> Action {
        let reason = self.last.unwrap_or(Reason::DeadlineExceeded);
        Action::Refuse(Refusal::new(reason, "no target could serve the read in time"))
    }
}
