//! Runs the steps of confirmed plans, and takes over plans whose runner has left the fleet.
//!
//! Progress is stored before and after each step, so that another host can continue the plan.

use super::{audit, plan};
use crate::failover::planned;
use crate::fleet::change;
use crate::platform::{self, Check, Put, Response, Transaction};
use crate::shared::Host;
use bergamotvale_core::config::TargetState;
use bergamotvale_core::id::{HostId, PlanId, ServiceId, TargetId};
use bergamotvale_core::plan::{Operation, Progress, Record, Runner, State};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which a host looks for abandoned plans.
const ABANDONED_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between two attempts of a call, and between two polls of a condition.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Attempts of a read, a write or a change before the plan stops or its step fails.
const MAX_ATTEMPTS: u32 = 50;
/// Attempts of a promotion before its step fails.
const MAX_PROMOTION_ATTEMPTS: u32 = 5;
/// Time within which a leaving host must finish its work and be removed from the members.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(120);

/// Result of a step; the text of either variant is the detail that operators are shown.
type StepResult = Result<String, String>;

/// Takes over abandoned plans, until the task is dropped.
///
/// Looks only once this host has acted on the present row for longer than authority lasts: by then
/// a runner that is no member of it has lost its authority and no longer acts.
pub async fn poll_abandoned(host: Arc<Host>) {
    let mut ticks = interval(ABANDONED_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let adopted_for = host.clock.now().saturating_sub(host.fleet.adopted_at());
        let old_authority_expired = adopted_for > host.settings.policy.authority;
        if !host.fleet.is_poller() || !host.has_authority() || !old_authority_expired {
            continue;
        }
        match plan::load_all(&host).await {
            Ok(records) => take_over(&host, records).await,
            Err(error) => log::debug!("cannot read the plans: {error}; retrying at the next poll"),
        }
    }
}

async fn take_over(host: &Arc<Host>, records: Vec<(u64, Record)>) {
    let row = host.fleet.row();
    for (version, record) in records {
        if !record.is_abandoned(&row) {
            continue;
        }
        let id = record.plan.id;
        let record = record.with_runner(own_runner(host));
        if store(host, version, &record, None).await.is_some() {
            log::info!("plan {id}: taken over from a runner that has left the fleet");
            tokio::spawn(run(host.clone(), id));
        }
    }
}

fn own_runner(host: &Host) -> Runner {
    let own = host.fleet.own_member();
    Runner { host: own.host, incarnation: own.incarnation }
}

/// Runs the steps of a plan that this host has confirmed or taken over.
pub async fn run(host: Arc<Host>, id: PlanId) {
    let Some((mut version, mut record)) = load(&host, id).await else { return };
    loop {
        if record.runner != Some(own_runner(&host)) {
            return;
        }
        let Some((index, operation)) = record.next_step().map(|(i, o)| (i, o.clone())) else {
            return;
        };
        let running = record.clone().with_progress(index, Progress::Running, "");
        let Some(next) = store(&host, version, &running, None).await else { return };
        version = next;
        let outcome = perform(&host, &running, &operation).await;
        let (progress, detail) = match &outcome {
            Ok(detail) => (Progress::Done, detail),
            Err(detail) => (Progress::Failed, detail),
        };
        log::info!("plan {id}: step {}: {progress}: {detail}", index + 1);
        record = running.with_progress(index, progress, detail);
        let Some(next) = store(&host, version, &record, outcome_of(&record)).await else { return };
        version = next;
    }
}

/// Outcome for the audit trail if the plan has ended.
fn outcome_of(record: &Record) -> Option<&'static str> {
    match record.plan.state {
        State::Done => Some("done"),
        State::Failed => Some("failed"),
        _ => None,
    }
}

/// Reads the record of a plan; `None` if all attempts failed.
async fn load(host: &Host, id: PlanId) -> Option<(u64, Record)> {
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(found) = plan::load(host, id).await {
            return Some(found);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    None
}

/// Stores `record` if its row still has `version`, and an audit entry if `ended` has an outcome.
///
/// Returns the row's new version; `None` if another host has written the row or all attempts
/// failed.
async fn store(
    host: &Host,
    version: u64,
    record: &Record,
    ended: Option<&'static str>,
) -> Option<u64> {
    let key = plan::row_key(record.plan.id);
    let value = json!(record);
    let mut puts = vec![Put { key: key.clone(), value: value.clone() }];
    if let Some(outcome) = ended {
        let operator = record.plan.confirmed_by.as_deref().unwrap_or_default();
        puts.push(audit::put(host, operator, "run", Some(record.plan.id), outcome));
    }
    let checks = vec![Check { key: key.clone(), version }];
    let transaction = Transaction { checks, puts, deletes: Vec::new() };
    for _ in 0..MAX_ATTEMPTS {
        match host.platform.transact(&transaction).await {
            Ok(Response::Committed(rows)) => {
                return rows.into_iter().find(|row| row.key == key).map(|row| row.version);
            }
            Ok(Response::Conflict(rows)) => {
                // An earlier attempt of the same write may have taken effect.
                let row = rows.into_iter().find(|row| row.key == key)?;
                return (row.value == value).then_some(row.version);
            }
            Err(error) if platform::has_unknown_outcome(&error) => {
                log::info!("plan {}: the outcome of a write is unknown; retrying", record.plan.id);
            }
            Err(_) => {}
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    None
}

async fn perform(host: &Arc<Host>, record: &Record, operation: &Operation) -> StepResult {
    match operation {
        Operation::Promote(service, target) => promote(host, *service, *target).await,
        Operation::MovePrimary(service, target) => move_primary(host, *service, *target).await,
        Operation::SetTarget(..)
        | Operation::SetRate(..)
        | Operation::IssueKey(_)
        | Operation::WithdrawKey(_) => publish(host, record, operation).await,
        Operation::Overlap => {
            tokio::time::sleep(host.settings.timeouts.key_overlap).await;
            Ok("both keys have worked".to_owned())
        }
        Operation::AwaitInForce => Ok(await_in_force(host).await),
        Operation::MarkLeaving(leaving) => mark_leaving(host, *leaving).await,
        Operation::AwaitGone(leaving) => await_removed(host, *leaving).await,
    }
}

async fn publish(host: &Arc<Host>, record: &Record, operation: &Operation) -> StepResult {
    let mut edit_error = None;
    for _ in 0..MAX_ATTEMPTS {
        let published = change::publish(host, |document| {
            let edits = record.edits(document, operation);
            Ok(edits.unwrap_or_else(|fault| {
                edit_error = Some(fault.to_string());
                Vec::new()
            }))
        })
        .await;
        if let Some(error) = edit_error {
            return Err(error);
        }
        match published {
            Ok(accepted) => return Ok(format!("accepted as version {}", accepted.version)),
            Err(change::Fault::Config(fault)) => return Err(fault.to_string()),
            Err(fault) => log::info!("plan {}: {fault}; retrying the change", record.plan.id),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err("the platform or the peers cannot be reached".to_owned())
}

async fn promote(host: &Arc<Host>, service: ServiceId, target: TargetId) -> StepResult {
    let mut last_error = String::new();
    for _ in 0..MAX_PROMOTION_ATTEMPTS {
        match planned::promote(host, service, target).await {
            Ok(term) => return Ok(format!("target {target} is the primary of term {term}")),
            Err(failure) => last_error = failure.to_string(),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(last_error)
}

async fn move_primary(host: &Arc<Host>, service: ServiceId, target: TargetId) -> StepResult {
    if host.failover.primary(service).is_none_or(|(primary, _)| primary != target) {
        return Ok("another target is the primary".to_owned());
    }
    let document = host.document();
    let Some(found) = document.services.get(&service) else {
        return Err("no such service".to_owned());
    };
    let is_active = |id: &TargetId| found.targets[id].state == TargetState::Active;
    let views = host.failover.views(service);
    let others = found.targets.keys().copied().filter(|id| *id != target && is_active(id));
    let candidate = others.max_by_key(|id| views.get(id).map(|view| view.status.entry));
    match candidate {
        Some(candidate) => promote(host, service, candidate).await,
        None => Err("no other target is active".to_owned()),
    }
}

async fn await_in_force(host: &Arc<Host>) -> String {
    let version = host.fleet.row().version;
    while host.fleet.in_force(host.clock.now()).1 < version {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    format!("version {version} is in force everywhere")
}

async fn mark_leaving(host: &Arc<Host>, leaving: HostId) -> StepResult {
    let marked = change::apply(host, |row| {
        let Some(member) = row.members.get(&leaving).filter(|member| !member.leaving) else {
            return Ok(None);
        };
        let member = bergamotvale_core::peer::Member { leaving: true, ..member.clone() };
        let row = row.with_member(member);
        Ok(Some(change::Proposal { row, body: bergamotvale_core::peer::Body::None }))
    });
    match marked.await {
        Ok(_) => Ok(format!("host {leaving} is leaving")),
        Err(fault) => Err(fault.to_string()),
    }
}

async fn await_removed(host: &Arc<Host>, leaving: HostId) -> StepResult {
    let deadline = host.clock.now() + LEAVE_TIMEOUT;
    while host.fleet.row().members.contains_key(&leaving) {
        if host.clock.now() >= deadline {
            return Err(format!("host {leaving} is still a member"));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Ok(format!("host {leaving} has left"))
}
