//! Probes the targets and carries out what the machines of the core decide.
//!
//! One task a service ticks its machines. Each exchange with a target runs in a task of its own,
//! so that a silent target delays nothing; what it brings back goes into the machines under the
//! lock, and the actions that follow are carried out in the same way.

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

/// Rows that note the primary of each service, for people.
pub const PRIMARY_ROW: &str = "primary";
/// Time between two ticks of the machines.
const TICK: Duration = Duration::from_millis(25);

/// Watches every service of the configuration until the host stops.
pub async fn run(host: Arc<Host>) {
    let mut document = host.document.subscribe();
    let mut tasks = JoinSet::new();
    loop {
        let services = document.borrow_and_update().services.clone();
        for service in host.failover.follow(&services) {
            tasks.spawn(watch(host.clone(), service));
        }
        while tasks.try_join_next().is_some() {}
        if document.changed().await.is_err() {
            return;
        }
    }
}

/// Watches one service until it leaves the configuration.
async fn watch(host: Arc<Host>, service: ServiceId) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut probed = None;
    while host.failover.with(service, |_| ()).is_some() {
        ticks.tick().await;
        let now = host.clock.now();
        if probed.is_none_or(|at| now.saturating_sub(at) >= host.settings.policy.probe) {
            probed = Some(now);
            probe_all(&host, service);
        }
        tick(&host, service);
    }
}

fn tick(host: &Arc<Host>, service: ServiceId) {
    let now = host.clock.now();
    let off = host.settings.policy.failover == Policy::Off;
    let promotions = host.failover.with(service, |group| {
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
    carry_out(host, service, promotions.unwrap_or_default());
    planned::tick(host, service);
}

/// Probes every target of `service` that has no probe under way.
pub(crate) fn probe_all(host: &Arc<Host>, service: ServiceId) {
    let now = host.clock.now();
    let due = host.failover.with(service, |group| {
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

async fn probe(host: Arc<Host>, service: ServiceId, target: TargetId, control: Arc<Control>) {
    let answer = control.status(&host.settings).await;
    let now = host.clock.now();
    let noted = host.failover.with(service, |group| {
        let status = answer.ok()?;
        let actions = group.answered(now, target, status);
        Some((actions, group.detector.targets()[&target].suspected))
    });
    let (actions, suspected) = noted.flatten().unwrap_or_default();
    carry_out(&host, service, actions);
    let worked = match suspected {
        true => control.probe_work(&host.settings).await,
        false => Ok(()),
    };
    let now = host.clock.now();
    host.failover.with(service, |group| {
        group.probing.remove(&target);
        if let Err(Failure::Silent | Failure::Failed) = worked {
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

/// Carries out the promoter's actions.
pub(crate) fn carry_out(
    host: &Arc<Host>,
    service: ServiceId,
    actions: impl IntoIterator<Item = promotion::Action>,
) {
    for action in actions {
        match action {
            promotion::Action::Done { target, term } => done(host, service, target, term),
            promotion::Action::Failed { term } => {
                host.metric.count("failover.attempts_failed");
                log::info!("service {service}: no primary came of term {term}");
            }
            action => drop(tokio::spawn(exchange(host.clone(), service, action))),
        }
    }
}

async fn exchange(host: Arc<Host>, service: ServiceId, action: promotion::Action) {
    let (promotion::Action::Fence { target, term, promoter }
    | promotion::Action::Promote { target, term, promoter }) = action
    else {
        return;
    };
    let control = host.failover.with(service, |group| group.controls.get(&target).cloned());
    let Some(control) = control.flatten() else { return };
    let fencing = matches!(action, promotion::Action::Fence { .. });
    let unfenced = host.settings.policy.defects.contains(&Defect::SkipFence);
    let answer = match fencing {
        true if unfenced => pretend_grant(&host, &control, term).await,
        true => control.fence(&host.settings, term, promoter).await,
        false if unfenced => promote_unfenced(&host, &control, term, promoter).await,
        false => control.promote(&host.settings, term, promoter).await,
    };
    log::debug!("service {service}: {action:?}: {answer:?}");
    let now = host.clock.now();
    let actions = host.failover.with(service, |group| match fencing {
        true => group.promoter.record_fence(now, target, term, answer.ok()),
        false => group.promoter.record_promotion(now, target, term, answer.ok()),
    });
    carry_out(&host, service, actions.unwrap_or_default());
}

/// The deliberate defect: a grant that the target was not asked for.
async fn pretend_grant(
    host: &Host,
    control: &Control,
    term: Term,
) -> Result<TermResponse, Failure> {
    let status = control.status(&host.settings).await?;
    Ok(TermResponse { granted: true, accepted: term, entry: status.entry, voter: true })
}

/// The deliberate defect: only the target that is promoted grants the term.
async fn promote_unfenced(
    host: &Host,
    control: &Control,
    term: Term,
    promoter: PromoterId,
) -> Result<TermResponse, Failure> {
    control.fence(&host.settings, term, promoter).await?;
    control.promote(&host.settings, term, promoter).await
}

fn done(host: &Arc<Host>, service: ServiceId, target: TargetId, term: u64) {
    host.metric.count("failover.promotions");
    log::info!("service {service}: target {target} is the primary of term {term}");
    planned::done(host, service, target, term);
    probe_all(host, service);
    tokio::spawn(record(host.clone(), service, target, term));
}

/// Notes the new primary in the store, where operators find it; nothing depends on it.
async fn record(host: Arc<Host>, service: ServiceId, target: TargetId, term: u64) {
    let key = format!("{PRIMARY_ROW}.{service}");
    let value = json!({ "target": target, "term": term });
    let transaction = Transaction { puts: vec![Put { key, value }], ..Transaction::default() };
    if let Err(error) = host.platform.transact(&transaction).await {
        log::info!("service {service}: the store did not note term {term}: {error}");
    }
}
