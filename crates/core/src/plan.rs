//! Planned changes: an intent is turned into a plan, and a confirmed plan is run step by step.
//!
//! A plan changes nothing until it is confirmed. The confirmation is one conditional write that
//! requires the configuration to still have the version that the plan was made from. Every step is
//! idempotent: its operation first checks whether its effect is already present. Progress is
//! written after each step, so that another host can continue after the runner has failed.

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

/// Change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Make a target the primary of its service.
    Promote {
        /// Name of the service.
        service: String,
        /// Target to promote.
        target: TargetId,
    },
    /// Stop sending new work to a target.
    DrainTarget {
        /// Name of the service.
        service: String,
        /// Target to drain.
        target: TargetId,
    },
    /// Send work to a drained target again.
    RestoreTarget {
        /// Name of the service.
        service: String,
        /// Target to restore.
        target: TargetId,
    },
    /// Stop a host gracefully.
    DrainHost {
        /// Host to stop.
        host: HostId,
    },
    /// Replace a key by a new one; both work for [`KEY_OVERLAP`].
    Rotate {
        /// Name of the client account.
        account: String,
        /// The key to replace.
        key_id: KeyId,
    },
    /// Set a client account's rate and burst.
    Rate {
        /// Name of the client account.
        account: String,
        /// Requests per second.
        rate: u32,
        /// Size of a burst above the rate, in requests.
        burst: u32,
    },
}

/// State of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum State {
    /// Waits for confirmation by an operator.
    Proposed,
    /// Confirmed; no step has started.
    Confirmed,
    /// At least one step has started.
    Running,
    /// All steps are done.
    Done,
    /// A step failed; the later ones do not run.
    Failed,
}

/// State of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Progress {
    /// Not started.
    Pending,
    /// Started; may already have had its effect.
    Running,
    /// The check of the step passed.
    Done,
    /// The step cannot be completed.
    Failed,
}

/// A step as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of the step, starting at 1.
    pub number: u32,
    /// Command line that does the same by hand.
    pub command: String,
    /// Description of what the step changes.
    pub touches: String,
    /// Condition that must be true after the step.
    pub check: String,
    /// State of the step.
    pub state: Progress,
    /// Last result or error of the step.
    pub detail: String,
}

/// A plan as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the plan.
    pub id: PlanId,
    /// Version of the configuration that the plan was made from.
    pub version: Version,
    /// Intent that the plan implements.
    pub intent: Intent,
    /// State of the plan.
    pub state: State,
    /// Steps in order of execution.
    pub steps: Vec<Step>,
    /// Operator who confirmed the plan; `None` before that.
    pub confirmed_by: Option<String>,
}

/// Operation of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Promotes the target by a planned handover, without losing a request.
    Promote(ServiceId, TargetId),
    /// Moves the primary to another target, if this target is the primary.
    MovePrimary(ServiceId, TargetId),
    /// Sets whether a target receives new work.
    SetTarget(ServiceId, TargetId, TargetState),
    /// Sets a client account's rate and burst.
    SetRate(AccountId, u32, u32),
    /// Issues the key that was created by the confirmation.
    IssueKey(AccountId),
    /// Waits for [`KEY_OVERLAP`] while both keys work.
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
    /// Id of the host.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
}

/// Key created by a confirmation; the secret is not part of any record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issued {
    /// Id of the new key.
    pub key_id: KeyId,
    /// Salt, hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub digest: String,
}

/// A plan as stored in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Part of the record that operators see.
    pub plan: Plan,
    /// Operations of the steps, in the same order.
    pub operations: Vec<Operation>,
    /// Digest of the document that the plan was made from.
    pub base: String,
    /// Host that runs the plan; `None` before the confirmation.
    pub runner: Option<Runner>,
    /// Key to issue; `None` if no step issues one or the plan is not confirmed.
    pub issued: Option<Issued>,
    /// Random number of the confirmation. After a lost answer, it distinguishes this confirmation
    /// from another one.
    pub confirmation: u64,
}

/// Reason why no plan can be made for an intent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The service does not exist.
    #[display("service {_0} does not exist")]
    NoService(#[error(not(source))] String),
    /// The target does not exist.
    #[display("target {_0} does not exist")]
    NoTarget(#[error(not(source))] TargetId),
    /// The client account does not exist.
    #[display("client account {_0} does not exist")]
    NoAccount(#[error(not(source))] String),
    /// The account has no active key with this id.
    #[display("key {_0} is no active key of the account")]
    NoKey(#[error(not(source))] KeyId),
    /// The host is not in the member table.
    #[display("host {_0} is not a member")]
    NoHost(#[error(not(source))] HostId),
    /// The target is draining and so cannot become primary.
    #[display("target {_0} is draining")]
    Draining(#[error(not(source))] TargetId),
    /// Draining the target would leave no majority of active targets.
    #[display("draining target {_0} leaves no majority of active targets")]
    TooFew(#[error(not(source))] TargetId),
    /// The rate or burst is zero.
    #[display("rate and burst must be above zero")]
    Zero,
}

/// Reason why a plan was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The configuration has changed since the plan was made.
    #[display("stale")]
    Stale,
    /// The plan was already confirmed.
    #[display("confirmed")]
    Confirmed,
}

impl Record {
    /// Returns the record as confirmed by `operator` and to be run by `runner`; `version` is the
    /// present version of the configuration.
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

    /// Sets the key to issue.
    pub fn with_issued(mut self, issued: Issued) -> Record {
        self.issued = Some(issued);
        self
    }

    /// Whether a confirmation must create a key.
    pub fn issues_key(&self) -> bool {
        self.operations.iter().any(|operation| matches!(operation, Operation::IssueKey(_)))
    }

    /// Whether the plan is confirmed and has steps left to run.
    pub fn is_unfinished(&self) -> bool {
        matches!(self.plan.state, State::Confirmed | State::Running)
    }

    /// Whether the plan's runner is no longer a member, so that another host may continue the plan.
    ///
    /// Safe only for a host that adopted `row` at least one validity of authority ago.
    pub fn is_abandoned(&self, row: &Row) -> bool {
        let is_member = |runner: Runner| {
            row.members.get(&runner.host).is_some_and(|m| m.incarnation == runner.incarnation)
        };
        self.is_unfinished() && !self.runner.is_some_and(is_member)
    }

    /// Sets the host that runs the plan.
    pub fn with_runner(mut self, runner: Runner) -> Record {
        self.runner = Some(runner);
        self
    }

    /// Returns the index and operation of the next step to run; `None` if there is nothing to run.
    pub fn next_step(&self) -> Option<(usize, &Operation)> {
        if !self.is_unfinished() {
            return None;
        }
        let index = self.plan.steps.iter().position(|step| step.state != Progress::Done)?;
        Some((index, &self.operations[index]))
    }

    /// Sets the state of the step at `index`, and the state of the plan accordingly.
    pub fn with_progress(mut self, index: usize, progress: Progress, detail: &str) -> Record {
        let step = &mut self.plan.steps[index];
        step.state = progress;
        step.detail = detail.to_owned();
        let all_done = self.plan.steps.iter().all(|step| step.state == Progress::Done);
        self.plan.state = match progress {
            Progress::Failed => State::Failed,
            Progress::Done if all_done => State::Done,
            _ => State::Running,
        };
        self
    }
}
