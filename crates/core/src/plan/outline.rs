//! Builds the steps of a plan from an intent.

use super::{Fault, Intent, Operation, Plan, Progress, Record, State, Step};
use crate::config::{Document, Target, TargetState};
use crate::distribute::Row;
use crate::id::{AccountId, HostId, KeyId, PlanId, ServiceId, TargetId};
use crate::key;

/// Makes a plan for `intent` from the present document and row; nothing is stored.
pub fn propose(
    id: PlanId,
    document: &Document,
    row: &Row,
    intent: Intent,
) -> Result<Record, Fault> {
    let (steps, operations) = match &intent {
        Intent::Promote { service, target } => promote(document, service, *target)?,
        Intent::DrainTarget { service, target } => drain_target(document, service, *target)?,
        Intent::RestoreTarget { service, target } => restore_target(document, service, *target)?,
        Intent::DrainHost { host } => drain_host(row, *host)?,
        Intent::Rotate { account, key_id } => rotate(document, account, *key_id)?,
        Intent::Rate { account, rate, burst } => set_rate(document, account, *rate, *burst)?,
    };
    let version = document.version;
    let plan = Plan { id, version, intent, state: State::Proposed, steps, confirmed_by: None };
    Ok(Record {
        plan,
        operations,
        base: row.digest.clone(),
        runner: None,
        issued: None,
        confirmation: 0,
    })
}

type Steps = (Vec<Step>, Vec<Operation>);

/// Collects steps with their operations.
#[derive(Default)]
struct Outline {
    steps: Vec<Step>,
    operations: Vec<Operation>,
}

impl Outline {
    fn with_step(
        mut self,
        operation: Operation,
        command: String,
        touches: String,
        check: &str,
    ) -> Outline {
        self.steps.push(Step {
            number: self.steps.len() as u32 + 1,
            command,
            touches,
            check: check.to_owned(),
            state: Progress::Pending,
            detail: String::new(),
        });
        self.operations.push(operation);
        self
    }

    fn with_await_in_force(self) -> Outline {
        self.with_step(
            Operation::AwaitInForce,
            "bergamotvale status".to_owned(),
            "nothing".to_owned(),
            "every live host acts on the accepted version",
        )
    }

    fn into_steps(self) -> Steps {
        (self.steps, self.operations)
    }
}

fn promote(document: &Document, service: &str, target: TargetId) -> Result<Steps, Fault> {
    let (id, state) = find_target(document, service, target)?;
    if state == TargetState::Draining {
        return Err(Fault::Draining(target));
    }
    Ok(Outline::default()
        .with_step(
            Operation::Promote(id, target),
            format!("bergamotvale promote {service} {target}"),
            format!("primary of service {service}"),
            "the target is the primary of a higher term and confirms writes",
        )
        .into_steps())
}

fn drain_target(document: &Document, service: &str, target: TargetId) -> Result<Steps, Fault> {
    let (id, _) = find_target(document, service, target)?;
    let targets = &document.services[&id].targets;
    let active =
        |(other, t): &(&TargetId, &Target)| **other != target && t.state == TargetState::Active;
    if targets.iter().filter(active).count() <= targets.len() / 2 {
        return Err(Fault::TooFew(target));
    }
    let touches = format!("target {target} of service {service}");
    Ok(Outline::default()
        .with_step(
            Operation::MovePrimary(id, target),
            format!("bergamotvale promote {service} --away-from {target}"),
            format!("primary of service {service}, if it is target {target}"),
            "another target is the primary",
        )
        .with_step(
            Operation::SetTarget(id, target, TargetState::Draining),
            format!("bergamotvale drain target {service} {target}"),
            touches,
            "the target is draining in the accepted configuration",
        )
        .with_await_in_force()
        .into_steps())
}

fn restore_target(document: &Document, service: &str, target: TargetId) -> Result<Steps, Fault> {
    let (id, _) = find_target(document, service, target)?;
    Ok(Outline::default()
        .with_step(
            Operation::SetTarget(id, target, TargetState::Active),
            format!("bergamotvale drain target {service} {target} --restore"),
            format!("target {target} of service {service}"),
            "the target is active in the accepted configuration",
        )
        .with_await_in_force()
        .into_steps())
}

fn drain_host(row: &Row, host: HostId) -> Result<Steps, Fault> {
    if !row.members.contains_key(&host) {
        return Err(Fault::NoHost(host));
    }
    Ok(Outline::default()
        .with_step(
            Operation::MarkLeaving(host),
            format!("bergamotvale drain host {host}"),
            format!("host {host}"),
            "the host is leaving in the member table",
        )
        .with_step(
            Operation::AwaitGone(host),
            "bergamotvale status".to_owned(),
            format!("shares of host {host}"),
            "the host has finished its work and is no member",
        )
        .into_steps())
}

fn rotate(document: &Document, account: &str, key_id: KeyId) -> Result<Steps, Fault> {
    let id = find_account(document, account)?;
    let is_of_account = document.keys.get(&key_id).is_some_and(|key| key.account == id);
    if !is_of_account || !key::is_active(document, key_id) {
        return Err(Fault::NoKey(key_id));
    }
    let touches = format!("keys of client account {account}");
    Ok(Outline::default()
        .with_step(
            Operation::IssueKey(id),
            format!("bergamotvale key issue {account}"),
            touches.clone(),
            "the new key is in the accepted configuration",
        )
        .with_await_in_force()
        .with_step(
            Operation::Overlap,
            "bergamotvale status".to_owned(),
            "nothing".to_owned(),
            "both keys have worked for the overlap",
        )
        .with_step(
            Operation::WithdrawKey(key_id),
            format!("bergamotvale key withdraw {key_id}"),
            touches,
            "the old key is withdrawn in the accepted configuration",
        )
        .with_await_in_force()
        .into_steps())
}

fn set_rate(document: &Document, account: &str, rate: u32, burst: u32) -> Result<Steps, Fault> {
    let id = find_account(document, account)?;
    if rate == 0 || burst == 0 {
        return Err(Fault::Zero);
    }
    Ok(Outline::default()
        .with_step(
            Operation::SetRate(id, rate, burst),
            format!("bergamotvale rate {account} --rate {rate} --burst {burst}"),
            format!("rate of client account {account}"),
            "the rate is in the accepted configuration",
        )
        .with_await_in_force()
        .into_steps())
}

fn find_target(
    document: &Document,
    service: &str,
    target: TargetId,
) -> Result<(ServiceId, TargetState), Fault> {
    let id = document.service_named(service).ok_or_else(|| Fault::NoService(service.to_owned()))?;
    let found = document.services[&id].targets.get(&target).ok_or(Fault::NoTarget(target))?;
    Ok((id, found.state))
}

fn find_account(document: &Document, account: &str) -> Result<AccountId, Fault> {
    document.account_named(account).ok_or_else(|| Fault::NoAccount(account.to_owned()))
}
