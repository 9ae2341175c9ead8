//! Planned promotions: drives the core's [`Handover`] and then the promoter.

use super::driver;
use super::hold::Hold;
use crate::shared::Host;
use bergamotvale_core::handover::{self, Abort, Handover};
use bergamotvale_core::id::{HostId, ServiceId, TargetId, Time};
use bergamotvale_core::log::Term;
use derive_more::{Display, Error};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time for the whole of a planned promotion.
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the end of the promoter's work to be told.
const GRACE: Duration = Duration::from_millis(100);

/// Why a planned promotion did not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Failure {
    /// The service has no known primary, or no such target.
    #[display("no such service, target or primary")]
    Unknown,
    /// Another planned promotion of the group runs.
    #[display("another planned promotion runs")]
    Busy,
    /// Taken back; nothing has changed.
    #[display("taken back: {_0}")]
    Aborted(#[error(not(source))] Abort),
    /// Another target than the candidate became primary.
    #[display("target {_0} became primary")]
    Other(#[error(not(source))] TargetId),
    /// Not known to have ended in time; the group decides by itself.
    #[display("not ended in time")]
    TimedOut,
}

/// A planned promotion under way.
pub(crate) struct Running {
    handover: Handover,
    reply: oneshot::Sender<Result<(TargetId, Term), Failure>>,
    started: Time,
    /// Term of the primary that it replaces.
    term: Term,
    /// When the promoter was last seen at work, once it has taken over.
    promoting: Option<Time>,
}

/// Makes `candidate` the primary of `service`; answers its term.
pub async fn promote(
    host: &Arc<Host>,
    service: ServiceId,
    candidate: TargetId,
) -> Result<Term, Failure> {
    let (reply, answer) = oneshot::channel();
    let now = host.clock.now();
    let started = host.failover.with(service, |group| {
        let (primary, term) = group.detector.primary().ok_or(Failure::Unknown)?;
        if !group.controls.contains_key(&candidate) {
            return Err(Failure::Unknown);
        }
        if primary == candidate {
            return Ok(Some(term));
        }
        let held = group.is_held(now, primary);
        if held || group.planned.is_some() || !group.promoter.is_idle() {
            return Err(Failure::Busy);
        }
        let handover = Handover::new(now, primary, term, candidate);
        group.planned = Some(Running { handover, reply, started: now, term, promoting: None });
        group.hold = Some(Hold::new(now, host.settings.host, primary, term));
        Ok(None)
    });
    if let Some(term) = started.unwrap_or(Err(Failure::Unknown))? {
        return Ok(term);
    }
    host.failover.notify_peers();
    let (target, term) = answer.await.unwrap_or(Err(Failure::TimedOut))?;
    if target == candidate { Ok(term) } else { Err(Failure::Other(target)) }
}

pub(crate) fn tick(host: &Arc<Host>, service: ServiceId) {
    let now = host.clock.now();
    let (own, members) = (host.settings.host, host.failover.members());
    let members: Vec<HostId> = members.into_keys().collect();
    let actions = host.failover.with(service, |group| {
        let running = group.planned.as_mut()?;
        let late = now.saturating_sub(running.started) >= TIMEOUT;
        if !group.promoter.is_idle() {
            running.promoting = running.promoting.map(|_| now);
        }
        let over = running.promoting.is_some_and(|at| now.saturating_sub(at) >= GRACE);
        if !late && !over {
            let others = members.iter().copied().filter(|member| *member != own);
            let drained = group.hold.as_ref().is_some_and(|hold| hold.is_drained(others));
            let mut actions = running.handover.tick(now);
            if drained {
                actions.extend(running.handover.record_drained(now));
            }
            return Some(actions);
        }
        let running = group.planned.take()?;
        // Another host's promotion may have come first.
        let primary = group.detector.primary().filter(|(_, term)| *term > running.term);
        // The caller may have gone; the group's state does not depend on its hearing this.
        let _ = running.reply.send(primary.ok_or(Failure::TimedOut));
        None
    });
    carry_out(host, service, actions.flatten().unwrap_or_default());
}

/// A promotion of `service` has ended with `target` as the primary.
pub(crate) fn done(host: &Host, service: ServiceId, target: TargetId, term: Term) {
    // The hold goes on until this host has seen the new primary.
    let running = host.failover.with(service, |group| group.planned.take());
    if let Some(running) = running.flatten() {
        let _ = running.reply.send(Ok((target, term)));
    }
}

fn carry_out(host: &Arc<Host>, service: ServiceId, actions: Vec<handover::Action>) {
    for action in actions {
        match action {
            handover::Action::Hold { target, time } => {
                tokio::spawn(hold(host.clone(), service, target, time));
            }
            handover::Action::ReadStatus { target } => {
                tokio::spawn(look(host.clone(), service, target));
            }
            handover::Action::Promote { candidate, term } => {
                let now = host.clock.now();
                let plan = host.failover.with(service, |group| {
                    let running = group.planned.as_mut()?;
                    running.promoting = Some(now);
                    Some(group.promoter.start_planned(now, term, candidate))
                });
                driver::carry_out(host, service, plan.flatten().unwrap_or_default());
            }
            handover::Action::Aborted { reason } => {
                let running = host.failover.with(service, |group| {
                    group.hold = None;
                    group.planned.take()
                });
                host.failover.notify_peers();
                if let Some(running) = running.flatten() {
                    let _ = running.reply.send(Err(Failure::Aborted(reason)));
                }
            }
        }
    }
}

async fn hold(host: Arc<Host>, service: ServiceId, target: TargetId, time: Duration) {
    let control = host.failover.with(service, |group| group.controls.get(&target).cloned());
    let Some(control) = control.flatten() else { return };
    let entry = control.hold(&host.settings, time).await.ok().flatten();
    if time.is_zero() {
        return;
    }
    let now = host.clock.now();
    let actions = host.failover.with(service, |group| {
        group.planned.as_mut().map(|running| running.handover.record_hold(now, entry))
    });
    carry_out(&host, service, actions.flatten().unwrap_or_default());
}

async fn look(host: Arc<Host>, service: ServiceId, target: TargetId) {
    let control = host.failover.with(service, |group| group.controls.get(&target).cloned());
    let Some(control) = control.flatten() else { return };
    let Ok(status) = control.status(&host.settings).await else { return };
    let now = host.clock.now();
    let actions = host.failover.with(service, |group| {
        let ended = group.answered(now, target, status);
        let running = group.planned.as_mut();
        (ended, running.map(|running| running.handover.record_status(now, target, &status)))
    });
    let Some((ended, actions)) = actions else { return };
    driver::carry_out(&host, service, ended);
    carry_out(&host, service, actions.unwrap_or_default());
}
