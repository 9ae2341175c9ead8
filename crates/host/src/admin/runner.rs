//! Runs confirmed plans step by step, and takes over those whose runner is gone.

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

/// Time between two looks for abandoned plans.
const PERIOD: Duration = Duration::from_secs(1);
/// Pause between two tries of the same thing.
const PAUSE: Duration = Duration::from_millis(100);
/// Tries of a write before the plan is left to a later look.
const TRIES: u32 = 50;
/// Tries of a promotion.
const PROMOTIONS: u32 = 5;
/// Time for a host to finish its work and leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(120);

/// How a step ended.
type Outcome = Result<String, String>;

/// Looks for plans that nobody runs any more, until the task is dropped.
pub async fn poll_abandoned(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let settled = host.clock.now().saturating_sub(host.fleet.adopted());
        let lapsed = settled > host.settings.policy.authority;
        if !host.fleet.polls() || !host.authority() || !lapsed {
            continue;
        }
        match plan::load_all(&host).await {
            Ok(records) => take_over(&host, records).await,
            Err(error) => log::debug!("cannot read the plans: {error}"),
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
        let record = record.with_runner(own(host));
        if write(host, version, &record, None).await.is_some() {
            log::info!("plan {id}: taken over");
            tokio::spawn(run(host.clone(), id));
        }
    }
}

fn own(host: &Host) -> Runner {
    let own = host.fleet.own();
    Runner { host: own.host, incarnation: own.incarnation }
}

/// Runs the steps of a plan that this host has confirmed or taken over.
pub async fn run(host: Arc<Host>, id: PlanId) {
    let Some((mut version, mut record)) = load(&host, id).await else { return };
    loop {
        if record.runner != Some(own(&host)) {
            return;
        }
        let Some((index, operation)) = record.next_step().map(|(i, o)| (i, o.clone())) else {
            return;
        };
        let running = record.clone().with_progress(index, Progress::Running, "");
        let Some(next) = write(&host, version, &running, None).await else { return };
        version = next;
        let outcome = perform(&host, &running, &operation).await;
        let (progress, detail) = match &outcome {
            Ok(detail) => (Progress::Done, detail),
            Err(detail) => (Progress::Failed, detail),
        };
        log::info!("plan {id}: step {}: {progress}: {detail}", index + 1);
        record = running.with_progress(index, progress, detail);
        let Some(next) = write(&host, version, &record, audited(&record)).await else { return };
        version = next;
    }
}

/// Entry of the audit trail for a plan that has ended.
fn audited(record: &Record) -> Option<&'static str> {
    match record.plan.state {
        State::Done => Some("done"),
        State::Failed => Some("failed"),
        _ => None,
    }
}

async fn load(host: &Host, id: PlanId) -> Option<(u64, Record)> {
    for _ in 0..TRIES {
        if let Ok(found) = plan::load(host, id).await {
            return Some(found);
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

/// Writes progress on condition that nobody else did; answers the row's new version.
async fn write(
    host: &Host,
    version: u64,
    record: &Record,
    ended: Option<&'static str>,
) -> Option<u64> {
    let key = plan::key(record.plan.id);
    let value = json!(record);
    let mut puts = vec![Put { key: key.clone(), value: value.clone() }];
    if let Some(outcome) = ended {
        let operator = record.plan.confirmed_by.as_deref().unwrap_or_default();
        puts.push(audit::put(host, operator, "run", Some(record.plan.id), outcome));
    }
    let checks = vec![Check { key: key.clone(), version }];
    let transaction = Transaction { checks, puts, deletes: Vec::new() };
    for _ in 0..TRIES {
        match host.platform.transact(&transaction).await {
            Ok(Response::Committed(rows)) => {
                return rows.into_iter().find(|row| row.key == key).map(|row| row.version);
            }
            Ok(Response::Conflict(rows)) => {
                // An earlier try of the same write may have taken effect.
                let row = rows.into_iter().find(|row| row.key == key)?;
                return (row.value == value).then_some(row.version);
            }
            Err(error) if platform::has_unknown_outcome(&error) => {
                log::info!("plan {}: the platform did not answer", record.plan.id);
            }
            Err(_) => {}
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

async fn perform(host: &Arc<Host>, record: &Record, operation: &Operation) -> Outcome {
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
        Operation::AwaitGone(leaving) => await_gone(host, *leaving).await,
    }
}

async fn publish(host: &Arc<Host>, record: &Record, operation: &Operation) -> Outcome {
    let mut failed = None;
    for _ in 0..TRIES {
        let published = change::publish(host, |document| {
            let edits = record.edits(document, operation);
            Ok(edits.unwrap_or_else(|fault| {
                failed = Some(fault.to_string());
                Vec::new()
            }))
        })
        .await;
        if let Some(failed) = failed {
            return Err(failed);
        }
        match published {
            Ok(accepted) => return Ok(format!("accepted as version {}", accepted.version)),
            Err(change::Fault::Config(fault)) => return Err(fault.to_string()),
            Err(fault) => log::info!("plan {}: {fault}", record.plan.id),
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err("the platform or the peers cannot be reached".to_owned())
}

async fn promote(host: &Arc<Host>, service: ServiceId, target: TargetId) -> Outcome {
    let mut last = String::new();
    for _ in 0..PROMOTIONS {
        match planned::promote(host, service, target).await {
            Ok(term) => return Ok(format!("target {target} is the primary of term {term}")),
            Err(failure) => last = failure.to_string(),
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(last)
}

async fn move_primary(host: &Arc<Host>, service: ServiceId, target: TargetId) -> Outcome {
    if host.failover.primary(service).is_none_or(|(primary, _)| primary != target) {
        return Ok("another target is the primary".to_owned());
    }
    let document = host.document();
    let Some(found) = document.services.get(&service) else {
        return Err("no such service".to_owned());
    };
    let active = |id: &TargetId| found.targets[id].state == TargetState::Active;
    let views = host.failover.views(service);
    let others = found.targets.keys().copied().filter(|id| *id != target && active(id));
    let best = others.max_by_key(|id| views.get(id).map(|view| view.status.entry));
    match best {
        Some(candidate) => promote(host, service, candidate).await,
        None => Err("no other target is active".to_owned()),
    }
}

async fn await_in_force(host: &Arc<Host>) -> String {
    let wanted = host.fleet.row().version;
    while host.fleet.in_force(host.clock.now()).1 < wanted {
        tokio::time::sleep(PAUSE).await;
    }
    format!("version {wanted} is in force everywhere")
}

async fn mark_leaving(host: &Arc<Host>, leaving: HostId) -> Outcome {
    let marked = change::run(host, |row| {
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

async fn await_gone(host: &Arc<Host>, leaving: HostId) -> Outcome {
    let until = host.clock.now() + LEAVE_TIMEOUT;
    while host.fleet.row().members.contains_key(&leaving) {
        if host.clock.now() >= until {
            return Err(format!("host {leaving} is still a member"));
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(format!("host {leaving} has left"))
}
