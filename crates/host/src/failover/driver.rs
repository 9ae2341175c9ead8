//! Probes the targets and executes the actions of the core's detector and promoter.
//!
//! One task per service ticks these state machines. Each exchange with a target runs in a task of
//! its own, so that a target that does not answer delays nothing else. The result is recorded under
//! the lock, and the resulting actions are executed in the same way.

use super::planned;
use crate::platform::{Put, Transaction};
use crate::settings::{Defect, Failover as Policy};
use crate::shared::Host;
use crate::target::probe::{Control, Failure};
use bergamotvale_core::group::TermResponse;
use bergamotvale_core::id::{PromoterId, ServiceId, TargetId};
use bergamotvale_core::log::Term;
use bergamotvale_core::{detect, promotion};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Prefix of the rows in the platform's table that show operators the primary of each service.
pub const PRIMARY_ROW: &str = "primary";
/// Interval at which the state machines are ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Runs a watch task for every service of the configuration until the host stops.
pub async fn run(host: Arc<Host>) {
    let mut document = host.document.subscribe();
    let mut tasks = JoinSet::new();
    loop {
        let services = document.borrow_and_update().services.clone();
        for service in host.failover.set_services(&services) {
            tasks.spawn(watch(host.clone(), service));
        }
        while tasks.try_join_next().is_some() {}
        if document.changed().await.is_err() {
            return;
        }
    }
}

/// Ticks and probes one service until it is removed from the configuration.
async fn watch(host: Arc<Host>, service: ServiceId) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_probed = None;
    while host.failover.with_group(service, |_| ()).is_some() {
        ticks.tick().await;
        let now = host.clock.now();
        if last_probed.is_none_or(|at| now.saturating_sub(at) >= host.settings.policy.probe) {
            last_probed = Some(now);
            probe_all(&host, service);
        }
        tick(&host, service);
    }
}

fn tick(host: &Arc<Host>, service: ServiceId) {
    let now = host.clock.now();
    let off = host.settings.policy.failover == Policy::Off;
    let promotions = host.failover.with_group(service, |group| {
        for action in group.detector.tick(now) {
            match action {
                detect::Action::SendOpinion(opinion) => {
                    log::info!("service {service}: {opinion:?}");
                    host.failover.notify_peers();
                }
                detect::Action::ReplacePrimary(deposed) if !off && group.planned.is_none() => {
                    group.promoter.replace_primary(now, deposed, group.rank);
                }
                detect::Action::ReplacePrimary(_) => {}
            }
        }
        group.promoter.tick(now)
    });
    execute(host, service, promotions.unwrap_or_default());
    planned::tick(host, service);
}

/// Probes every target of `service` that has no probe in flight.
pub(crate) fn probe_all(host: &Arc<Host>, service: ServiceId) {
    let now = host.clock.now();
    let due = host.failover.with_group(service, |group| {
        let controls = group.controls.clone();
        let due = controls.into_iter().filter(|(id, _)| group.probing.insert(*id));
        let due: Vec<_> = due.collect();
        due.iter().for_each(|(id, _)| group.detector.record_probe_sent(now, *id));
        due
    });
    for (target, control) in due.unwrap_or_default() {
        tokio::spawn(probe(host.clone(), service, target, control));
    }
}

/// Queries the status of one target and records the result. A suspected target is also tested with
/// work, since it may answer probes and still fail its work.
async fn probe(host: Arc<Host>, service: ServiceId, target: TargetId, control: Arc<Control>) {
    let answer = control.status(&host.settings).await;
    let now = host.clock.now();
    let recorded = host.failover.with_group(service, |group| {
        let status = answer.ok()?;
        let actions = group.record_probe_answer(now, target, status);
        Some((actions, group.detector.targets()[&target].suspected))
    });
    let (actions, suspected) = recorded.flatten().unwrap_or_default();
    execute(&host, service, actions);
    let work_result = match suspected {
        true => control.probe_work(&host.settings).await,
        false => Ok(()),
    };
    let now = host.clock.now();
    host.failover.with_group(service, |group| {
        group.probing.remove(&target);
        if let Err(Failure::Silent | Failure::Failed) = work_result {
            group.detector.record_work(now, target, false);
        }
        match answer {
            Ok(_) => {}
            Err(Failure::Refused) => group.detector.record_probe_refused(now, target),
            Err(Failure::TooManyConnections) => group.detector.record_probe_overloaded(target),
            Err(Failure::Failed) => group.detector.record_work(now, target, false),
            Err(Failure::Silent) => {}
        }
    });
}

/// Executes the promoter's actions.
pub(crate) fn execute(
    host: &Arc<Host>,
    service: ServiceId,
    actions: impl IntoIterator<Item = promotion::Action>,
) {
    for action in actions {
        match action {
            promotion::Action::Done { target, term } => complete(host, service, target, term),
            promotion::Action::Failed { term } => {
                host.metric.count("failover.attempts_failed");
                log::info!("service {service}: promotion attempt for term {term} failed");
            }
            action => drop(tokio::spawn(send_request(host.clone(), service, action))),
        }
    }
}

/// Sends one fence or promotion request to a target and records the answer.
async fn send_request(host: Arc<Host>, service: ServiceId, action: promotion::Action) {
    let (promotion::Action::Fence { target, term, promoter }
    | promotion::Action::Promote { target, term, promoter }) = action
    else {
        return;
    };
    let control = host.failover.with_group(service, |group| group.controls.get(&target).cloned());
    let Some(control) = control.flatten() else { return };
    let is_fence = matches!(action, promotion::Action::Fence { .. });
    let skips_fence = host.settings.policy.defects.contains(&Defect::SkipFence);
    let answer = match is_fence {
        true if skips_fence => fabricate_grant(&host, &control, term).await,
        true => control.fence(&host.settings, term, promoter).await,
        false if skips_fence => promote_unfenced(&host, &control, term, promoter).await,
        false => control.promote(&host.settings, term, promoter).await,
    };
    log::debug!("service {service}: {action:?}: {answer:?}");
    let now = host.clock.now();
    let actions = host.failover.with_group(service, |group| match is_fence {
        true => group.promoter.record_fence(now, target, term, answer.ok()),
        false => group.promoter.record_promotion(now, target, term, answer.ok()),
    });
    execute(&host, service, actions.unwrap_or_default());
}

/// Deliberate defect [`Defect::SkipFence`]: makes up a grant without sending the fence to the
/// target.
async fn fabricate_grant(
    host: &Host,
    control: &Control,
    term: Term,
) -> Result<TermResponse, Failure> {
    let status = control.status(&host.settings).await?;
    Ok(TermResponse { granted: true, accepted: term, entry: status.entry, voter: true })
}

/// Deliberate defect [`Defect::SkipFence`]: fences only the target that is promoted, so that the
/// other targets never grant the term.
async fn promote_unfenced(
    host: &Host,
    control: &Control,
    term: Term,
    promoter: PromoterId,
) -> Result<TermResponse, Failure> {
    control.fence(&host.settings, term, promoter).await?;
    control.promote(&host.settings, term, promoter).await
}

fn complete(host: &Arc<Host>, service: ServiceId, target: TargetId, term: u64) {
    host.metric.count("failover.promotions");
    log::info!("service {service}: target {target} is the primary of term {term}");
    planned::complete(host, service, target, term);
    probe_all(host, service);
    tokio::spawn(record_primary(host.clone(), service, target, term));
}

/// Records the new primary in the platform's table for operators; nothing depends on it.
async fn record_primary(host: Arc<Host>, service: ServiceId, target: TargetId, term: u64) {
    let key = format!("{PRIMARY_ROW}.{service}");
    let value = json!({ "target": target, "term": term });
    let transaction = Transaction { puts: vec![Put { key, value }], ..Transaction::default() };
    if let Err(error) = host.platform.transact(&transaction).await {
        log::info!(
            "service {service}: cannot record the primary of term {term} in the store: {error}"
        );
    }
}
