//! Planned promotions: drives the core's [`Handover`] up to the fence, and then the promoter.

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

/// Timeout of a planned promotion as a whole.
pub const PROMOTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the outcome to be recorded after the promoter has become idle.
const OUTCOME_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Reason why a planned promotion did not make the candidate the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Failure {
    /// The service, its primary or the candidate is not known.
    #[display("no such service, target or primary")]
    Unknown,
    /// Another promotion of the group is in progress.
    #[display("another planned promotion runs")]
    Busy,
    /// Aborted before the fence; the group is unchanged.
    #[display("taken back: {_0}")]
    Aborted(#[error(not(source))] Abort),
    /// Another target than the candidate became primary.
    #[display("target {_0} became primary")]
    Other(#[error(not(source))] TargetId),
    /// The outcome was not known in time; the promotion may still complete.
    #[display("not ended in time")]
    TimedOut,
}

/// A planned promotion in progress.
pub(crate) struct Promotion {
    handover: Handover,
    /// Reports the new primary and its term, or the failure, to the caller of [`promote`].
    reply: oneshot::Sender<Result<(TargetId, Term), Failure>>,
    started: Time,
    /// Term of the primary that is being replaced.
    term: Term,
    /// Time at which the promoter was last seen active; `None` until the handover has started it.
    promoter_active_at: Option<Time>,
}

/// Makes `candidate` the primary of `service` and returns its term.
pub async fn promote(
    host: &Arc<Host>,
    service: ServiceId,
    candidate: TargetId,
) -> Result<Term, Failure> {
    let (reply, answer) = oneshot::channel();
    let now = host.clock.now();
    let started = host.failover.with_group(service, |group| {
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
        group.planned =
            Some(Promotion { handover, reply, started: now, term, promoter_active_at: None });
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

/// Advances the planned promotion of `service`, if this host runs one; ends it on a timeout.
pub(crate) fn tick(host: &Arc<Host>, service: ServiceId) {
    let now = host.clock.now();
    let (own, members) = (host.settings.host, host.failover.members());
    let members: Vec<HostId> = members.into_keys().collect();
    let actions = host.failover.with_group(service, |group| {
        let promotion = group.planned.as_mut()?;
        let is_late = now.saturating_sub(promotion.started) >= PROMOTION_TIMEOUT;
        if !group.promoter.is_idle() {
            promotion.promoter_active_at = promotion.promoter_active_at.map(|_| now);
        }
        let is_over = promotion
            .promoter_active_at
            .is_some_and(|at| now.saturating_sub(at) >= OUTCOME_GRACE_PERIOD);
        if !is_late && !is_over {
            let others = members.iter().copied().filter(|member| *member != own);
            let drained = group.hold.as_ref().is_some_and(|hold| hold.is_drained(others));
            let mut actions = promotion.handover.tick(now);
            if drained {
                actions.extend(promotion.handover.record_drained(now));
            }
            return Some(actions);
        }
        let promotion = group.planned.take()?;
        // Another host's promotion may have come first.
        let primary = group.detector.primary().filter(|(_, term)| *term > promotion.term);
        // The caller may no longer wait; the group's state does not depend on the reply.
        let _ = promotion.reply.send(primary.ok_or(Failure::TimedOut));
        None
    });
    execute(host, service, actions.flatten().unwrap_or_default());
}

/// Replies to the caller of [`promote`], if any, that `target` is the primary of `term`.
pub(crate) fn complete(host: &Host, service: ServiceId, target: TargetId, term: Term) {
    // The hold remains until this host's probes have shown it the new primary.
    let promotion = host.failover.with_group(service, |group| group.planned.take());
    if let Some(promotion) = promotion.flatten() {
        let _ = promotion.reply.send(Ok((target, term)));
    }
}

fn execute(host: &Arc<Host>, service: ServiceId, actions: Vec<handover::Action>) {
    for action in actions {
        match action {
            handover::Action::Hold { target, time } => {
                tokio::spawn(hold(host.clone(), service, target, time));
            }
            handover::Action::ReadStatus { target } => {
                tokio::spawn(read_status(host.clone(), service, target));
            }
            handover::Action::Promote { candidate, term } => {
                let now = host.clock.now();
                let plan = host.failover.with_group(service, |group| {
                    let promotion = group.planned.as_mut()?;
                    promotion.promoter_active_at = Some(now);
                    Some(group.promoter.start_planned(now, term, candidate))
                });
                driver::execute(host, service, plan.flatten().unwrap_or_default());
            }
            handover::Action::Aborted { reason } => {
                let promotion = host.failover.with_group(service, |group| {
                    group.hold = None;
                    group.planned.take()
                });
                host.failover.notify_peers();
                if let Some(promotion) = promotion.flatten() {
                    let _ = promotion.reply.send(Err(Failure::Aborted(reason)));
                }
            }
        }
    }
}

/// Puts the primary on hold for `time`, or releases it if that is zero.
async fn hold(host: Arc<Host>, service: ServiceId, target: TargetId, time: Duration) {
    let control = host.failover.with_group(service, |group| group.controls.get(&target).cloned());
    let Some(control) = control.flatten() else { return };
    let entry = control.hold(&host.settings, time).await.ok().flatten();
    if time.is_zero() {
        return;
    }
    let now = host.clock.now();
    let actions = host.failover.with_group(service, |group| {
        group.planned.as_mut().map(|promotion| promotion.handover.record_hold(now, entry))
    });
    execute(&host, service, actions.flatten().unwrap_or_default());
}

async fn read_status(host: Arc<Host>, service: ServiceId, target: TargetId) {
    let control = host.failover.with_group(service, |group| group.controls.get(&target).cloned());
    let Some(control) = control.flatten() else { return };
    let Ok(status) = control.status(&host.settings).await else { return };
    let now = host.clock.now();
    let actions = host.failover.with_group(service, |group| {
        let promoter_actions = group.record_probe_answer(now, target, status);
        let promotion = group.planned.as_mut();
        (
            promoter_actions,
            promotion.map(|promotion| promotion.handover.record_status(now, target, &status)),
        )
    });
    let Some((promoter_actions, actions)) = actions else { return };
    driver::execute(&host, service, promoter_actions);
    execute(&host, service, actions.unwrap_or_default());
}
