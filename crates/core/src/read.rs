//! State machine of one read, from the choice of a target to the response.
//!
//! A read has no effects, so it may be retried on any target. Retries are limited by the caller's
//! deadline, the maximum number of attempts and the retry budget.

use crate::id::{AccountId, ServiceId, TargetId, Time};
use crate::log::Position;
use crate::random::Source;
use crate::refusal::{Ran, Reason, Refusal};
use crate::retry::{self, Budgets, Policy};
use crate::route::{self, Bounds, Report, Requirement, Role, Verdict};
use crate::sqlstate::Failure;
use std::collections::VecDeque;

/// A read in progress.
#[derive(Debug, Clone)]
pub struct Read {
    service: ServiceId,
    account: AccountId,
    requirement: Requirement,
    deadline: Time,
    policy: Policy,
    bounds: Bounds,
    jitter: Source,
    candidates: VecDeque<TargetId>,
    attempts: u32,
    last_refusal: Option<Reason>,
}

/// An event in the execution of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Candidate targets, best first: the first event, and the response to [`Action::Choose`].
    Candidates(Vec<TargetId>),
    /// A target returned a result; its role and the freshness that it reported.
    Answered(Role, Report),
    /// The target returned an error; its classification and text.
    Failed(Failure, String),
    /// No connection could be obtained.
    NoConnection(Reason),
    /// The connection broke.
    ConnectionLost,
    /// The deadline of the attempt passed.
    TimedOut,
    /// The caller's key was withdrawn, or the host's authority expired.
    Denied(Refusal),
}

/// The next step, which the caller of the state machine performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Rank the targets again at the given time.
    Choose(Time),
    /// Send the read to the target; the reason if it is a retry.
    Attempt(TargetId, Option<retry::Reason>),
    /// Return the result; the session token's new position, if any.
    Serve(Option<Position>),
    /// End the read with this refusal.
    Refuse(Refusal),
}

impl Read {
    /// Creates a read for `account` that has to be completed by `deadline`.
    ///
    /// `seed` drives the jitter of retry delays.
    pub fn new(
        service: ServiceId,
        account: AccountId,
        requirement: Requirement,
        deadline: Time,
        seed: u64,
    ) -> Read {
        Read {
            service,
            account,
            requirement,
            deadline,
            policy: Policy::default(),
            bounds: Bounds::default(),
            jitter: Source::new(seed),
            candidates: VecDeque::new(),
            attempts: 0,
            last_refusal: None,
        }
    }

    /// Sets the retry policy.
    pub fn with_policy(mut self, policy: Policy) -> Read {
        self.policy = policy;
        self
    }

    /// Sets the bounds on the age of served data.
    pub fn with_bounds(mut self, bounds: Bounds) -> Read {
        self.bounds = bounds;
        self
    }

    /// Applies an event and returns the next action.
    pub fn on(&mut self, event: Event, budgets: &mut Budgets, now: Time) -> Action {
        match event {
            Event::Candidates(targets) => self.choose(targets, now),
            Event::Answered(role, report) => self.on_report(role, &report, budgets, now),
            Event::Failed(failure, detail) => self.on_failure(failure, detail, budgets, now),
            Event::NoConnection(Reason::QueueFull) => {
                Action::Refuse(Refusal::new(Reason::QueueFull, "no connection comes free in time"))
            }
            Event::NoConnection(reason) => {
                self.retry(retry::Reason::ConnectionRefused, reason, budgets, now)
            }
            Event::ConnectionLost => {
                self.retry(retry::Reason::ConnectionLost, Reason::ConnectionLost, budgets, now)
            }
            Event::TimedOut => {
                self.retry(retry::Reason::TryTimeout, Reason::DeadlineExceeded, budgets, now)
            }
            Event::Denied(refusal) => Action::Refuse(refusal.with_ran(Ran::No)),
        }
    }

    /// Deadline for the first response of the target in an attempt that starts at `now`.
    pub fn first_response_deadline(&self, now: Time) -> Time {
        self.policy.attempt_deadline(now, self.deadline)
    }

    /// Deadline for the complete result of an attempt that starts at `now`.
    pub fn statement_deadline(&self, now: Time) -> Time {
        self.policy.statement_deadline(now, self.deadline)
    }

    fn choose(&mut self, targets: Vec<TargetId>, now: Time) -> Action {
        self.candidates = targets.into();
        match self.candidates.pop_front() {
            Some(target) if now < self.deadline => self.send(target, None),
            Some(_) => self.refuse(),
            None => {
                self.last_refusal = self.last_refusal.or(Some(Reason::NoPrimary));
                self.choose_later(now)
            }
        }
    }

    fn send(&mut self, target: TargetId, reason: Option<retry::Reason>) -> Action {
        self.attempts += 1;
        Action::Attempt(target, reason)
    }

    fn on_report(
        &mut self,
        role: Role,
        report: &Report,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        match route::verify(&self.requirement, role, report, &self.bounds) {
            Verdict::Serve(position) => Action::Serve(position),
            Verdict::Behind | Verdict::Stale => {
                self.retry(retry::Reason::NotFresh, Reason::NotFresh, budgets, now)
            }
        }
    }

    fn on_failure(
        &mut self,
        failure: Failure,
        detail: String,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        match failure.retry_reason() {
            // `Superseded` includes a write statement in a read, which fails on any target.
            None | Some(retry::Reason::Superseded) => {
                Action::Refuse(Refusal::new(Reason::StatementFailed, detail))
            }
            Some(reason) => self.retry(reason, Reason::StatementFailed, budgets, now),
        }
    }

    fn retry(
        &mut self,
        reason: retry::Reason,
        refusal: Reason,
        budgets: &mut Budgets,
        now: Time,
    ) -> Action {
        self.last_refusal = Some(refusal);
        if now >= self.deadline {
            return self.refuse();
        }
        let is_exhausted = self.attempts >= self.policy.max_attempts;
        if is_exhausted
            || reason.is_budgeted() && !budgets.withdraw(self.service, self.account, now)
        {
            return self.refuse();
        }
        match self.candidates.pop_front() {
            Some(target) => self.send(target, Some(reason)),
            None => self.choose_later(now),
        }
    }

    fn choose_later(&mut self, now: Time) -> Action {
        let delay = self.policy.retry_delay(self.attempts.max(1), self.jitter.bits());
        if now + delay >= self.deadline {
            return self.refuse();
        }
        Action::Choose(now + delay)
    }

    fn refuse(&self) -> Action {
        let reason = self.last_refusal.unwrap_or(Reason::DeadlineExceeded);
        Action::Refuse(Refusal::new(reason, "no target could serve the read in time"))
    }
}
