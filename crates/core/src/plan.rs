//! Planned change: an intent becomes a plan, a confirmed plan is run step by step.
//!
//! A plan changes nothing until it is confirmed, and it is confirmed by one conditional write on
//! condition that the configuration still has the version that the plan was made from. Every step
//! is idempotent: its operation first looks whether its effect is there. Progress is written after
//! each step, so that another host continues where a lost runner stopped.

use crate::config::TargetState;
use crate::distribute::Row;
use crate::id::{AccountId, HostId, Incarnation, KeyId, PlanId, ServiceId, TargetId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::time::Duration;

mod edit;
mod outline;

pub use edit::differences;
pub use outline::propose;

/// Time for which an old and a new key both work during a rotation.
pub const KEY_OVERLAP: Duration = Duration::from_secs(30);

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Make a target the primary of its service.
    Promote {
        /// Name of the service.
        service: String,
        /// The candidate.
        target: TargetId,
    },
    /// Give a target no new work.
    DrainTarget {
        /// Name of the service.
        service: String,
        /// The target.
        target: TargetId,
    },
    /// Give a drained target work again.
    RestoreTarget {
        /// Name of the service.
        service: String,
        /// The target.
        target: TargetId,
    },
    /// Let a host stop gracefully.
    DrainHost {
        /// The host.
        host: HostId,
    },
    /// Replace a key.
    Rotate {
        /// Name of the client account.
        account: String,
        /// The key to replace.
        key_id: KeyId,
    },
    /// Set a client account's rate.
    Rate {
        /// Name of the client account.
        account: String,
        /// Requests a second.
        rate: u32,
        /// Requests above the rate at once.
        burst: u32,
    },
}

/// How far a plan has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum State {
    /// Waits for an operator.
    Proposed,
    /// Confirmed; no step has begun.
    Confirmed,
    /// A step has begun.
    Running,
    /// All steps are done.
    Done,
    /// A step failed; the later ones do not run.
    Failed,
}

/// How far a step has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Progress {
    /// Has not begun.
    Pending,
    /// Has begun; may have had its effect.
    Running,
    /// Its check passed.
    Done,
    /// It cannot be done.
    Failed,
}

/// A step as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// From 1.
    pub number: u32,
    /// Command line that does the same by hand.
    pub command: String,
    /// What it changes.
    pub touches: String,
    /// What has to be true afterwards.
    pub check: String,
    /// How far it has come.
    pub state: Progress,
    /// What was seen.
    pub detail: String,
}

/// A plan as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Its id.
    pub id: PlanId,
    /// Version of the configuration that it was made from.
    pub version: Version,
    /// What it is for.
    pub intent: Intent,
    /// How far it has come.
    pub state: State,
    /// Steps, in order.
    pub steps: Vec<Step>,
    /// Who confirmed it.
    pub confirmed_by: Option<String>,
}

/// What a step does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Promotes the target without losing a request.
    Promote(ServiceId, TargetId),
    /// Moves the primary off the target, if it is there.
    MovePrimary(ServiceId, TargetId),
    /// Sets whether a target receives work.
    SetTarget(ServiceId, TargetId, TargetState),
    /// Sets a client account's rate and burst.
    SetRate(AccountId, u32, u32),
    /// Issues the key that the confirmation made.
    IssueKey(AccountId),
    /// Lets both keys work for a time.
    Overlap,
    /// Withdraws a key.
    WithdrawKey(KeyId),
    /// Waits until the configuration is in force on every host.
    AwaitInForce,
    /// Marks a host as leaving.
    MarkLeaving(HostId),
    /// Waits until a host is no longer a member.
    AwaitGone(HostId),
}

/// The host that runs a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// The host.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// The key that a confirmation made; the secret is in no record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issued {
    /// The new key.
    pub key_id: KeyId,
    /// Salt, hexadecimal.
    pub salt: String,
    /// Digest, hexadecimal.
    pub digest: String,
}

/// A plan as the platform's table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What operators see.
    pub plan: Plan,
    /// What each step does.
    pub operations: Vec<Operation>,
    /// Digest of the document that the plan was made from.
    pub base: String,
    /// Who runs it.
    pub runner: Option<Runner>,
    /// Key to issue.
    pub issued: Option<Issued>,
    /// Random number of the confirmation, by which a lost answer is told from another's.
    pub confirmation: u64,
}

/// Why there is no plan for an intent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// No such service.
    #[display("service {_0} does not exist")]
    NoService(#[error(not(source))] String),
    /// No such target.
    #[display("target {_0} does not exist")]
    NoTarget(#[error(not(source))] TargetId),
    /// No such client account.
    #[display("client account {_0} does not exist")]
    NoAccount(#[error(not(source))] String),
    /// No such key of the account.
    #[display("key {_0} is no active key of the account")]
    NoKey(#[error(not(source))] KeyId),
    /// No such host.
    #[display("host {_0} is not a member")]
    NoHost(#[error(not(source))] HostId),
    /// A target that receives no work cannot become primary.
    #[display("target {_0} is draining")]
    Draining(#[error(not(source))] TargetId),
    /// Too few targets would be left.
    #[display("draining target {_0} leaves no majority of active targets")]
    TooFew(#[error(not(source))] TargetId),
    /// A rate or burst of zero.
    #[display("rate and burst must be above zero")]
    Zero,
}

/// Why a plan was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The configuration has moved on.
    #[display("stale")]
    Stale,
    /// Somebody confirmed it before.
    #[display("confirmed")]
    Confirmed,
}

impl Record {
    /// The record once `operator` confirmed it, to be run by `runner`.
    pub fn confirm(
        &self,
        version: Version,
        operator: &str,
        runner: Runner,
        confirmation: u64,
    ) -> Result<Record, Refusal> {
        if self.plan.state != State::Proposed {
            return Err(Refusal::Confirmed);
        }
        if self.plan.version != version {
            return Err(Refusal::Stale);
        }
        let mut next = self.clone();
        next.plan.state = State::Confirmed;
        next.plan.confirmed_by = Some(operator.to_owned());
        next.runner = Some(runner);
        next.confirmation = confirmation;
        Ok(next)
    }

    /// The record with the key that it is to issue.
    pub fn with_issued(mut self, issued: Issued) -> Record {
        self.issued = Some(issued);
        self
    }

    /// Whether a confirmation has to make a key.
    pub fn issues_key(&self) -> bool {
        self.operations.iter().any(|operation| matches!(operation, Operation::IssueKey(_)))
    }

    /// Whether it has steps to run.
    pub fn is_unfinished(&self) -> bool {
        matches!(self.plan.state, State::Confirmed | State::Running)
    }

    /// Whether its runner is no member any more, so that another host may continue it.
    ///
    /// Sound only for a host whose `row` was adopted one validity of authority ago.
    pub fn is_abandoned(&self, row: &Row) -> bool {
        let member = |runner: Runner| {
            row.members.get(&runner.host).is_some_and(|m| m.incarnation == runner.incarnation)
        };
        self.is_unfinished() && !self.runner.is_some_and(member)
    }

    /// The record once `runner` took it over.
    pub fn with_runner(mut self, runner: Runner) -> Record {
        self.runner = Some(runner);
        self
    }

    /// The step to run next, with its operation.
    pub fn next_step(&self) -> Option<(usize, &Operation)> {
        if !self.is_unfinished() {
            return None;
        }
        let index = self.plan.steps.iter().position(|step| step.state != Progress::Done)?;
        Some((index, &self.operations[index]))
    }

    /// The record with the step at `index` moved on.
    pub fn with_progress(mut self, index: usize, progress: Progress, detail: &str) -> Record {
        let step = &mut self.plan.steps[index];
        step.state = progress;
        step.detail = detail.to_owned();
        let done = self.plan.steps.iter().all(|step| step.state == Progress::Done);
        self.plan.state = match progress {
            Progress::Failed => State::Failed,
            Progress::Done if done => State::Done,
            _ => State::Running,
        };
        self
    }
}
