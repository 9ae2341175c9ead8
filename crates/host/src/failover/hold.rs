//! Waiting for a planned promotion: this host sends the primary nothing new.
//!
//! The host that runs the promotion says so in its opinions; the others follow at once, say in
//! theirs how many requests still use the primary or wait for a connection to it, and go on when
//! the planner no longer says so, when there is a primary of a higher term, or when [`HOST_HOLD_DURATION`] has
//! passed. The planner says so until its own probes have shown it the new primary, and tells that
//! in the same opinion: a host that went on without knowing it would go on with the old one.

use super::{Failover, Group};
use crate::target::Key;
use bergamotvale_core::handover::HOST_HOLD_DURATION;
use bergamotvale_core::id::{HostId, ServiceId, TargetId, Time};
use bergamotvale_core::log::Term;
use bergamotvale_core::peer::Opinion;
use std::collections::BTreeSet;

/// A planned promotion that this host waits for.
#[derive(Debug, Clone)]
pub(crate) struct Hold {
    /// The host that runs it.
    pub(crate) planner: HostId,
    primary: TargetId,
    term: Term,
    since: Time,
    /// Requests that use the primary or wait to; unknown ones count as many.
    pub(crate) busy: u32,
    /// Peers that use none any more.
    drained: BTreeSet<HostId>,
}

impl Hold {
    /// A hold by `planner` of the primary of `term`.
    pub(crate) fn new(now: Time, planner: HostId, primary: TargetId, term: Term) -> Hold {
        Hold { planner, primary, term, since: now, busy: u32::MAX, drained: BTreeSet::new() }
    }

    /// Whether `opinion` names a primary of a higher term that works.
    fn is_followed(&self, opinion: &Opinion) -> bool {
        opinion.term > self.term && opinion.failing.is_zero()
    }

    /// Whether neither this host nor any of `peers` uses the primary.
    pub(crate) fn is_drained(&self, mut peers: impl Iterator<Item = HostId>) -> bool {
        self.busy == 0 && peers.all(|peer| self.drained.contains(&peer))
    }
}

impl Group {
    /// Follows what a peer says of a planned promotion; says whether this host started to wait.
    pub(super) fn follow_hold(&mut self, now: Time, host: HostId, opinion: &Opinion) -> bool {
        if let Some(hold) = &mut self.hold {
            if opinion.hold == Some(hold.planner) && opinion.busy == 0 {
                hold.drained.insert(host);
            } else {
                hold.drained.remove(&host);
            }
            if host == hold.planner && opinion.hold != Some(host) {
                self.hold = None;
            }
            return false;
        }
        let primary = self.detector.primary();
        // A planner that holds anything against the primary may mean one that it does not know yet.
        let held = opinion.hold == Some(host)
            && opinion.failing.is_zero()
            && primary == Some((opinion.primary, opinion.term));
        if held {
            self.hold = Some(Hold::new(now, host, opinion.primary, opinion.term));
        }
        held
    }

    /// What this host tells of the hold with `opinion`; nothing once that names the next primary.
    pub(super) fn with_hold(&self, opinion: Opinion) -> Opinion {
        match &self.hold {
            Some(hold) if !hold.is_followed(&opinion) => {
                Opinion { hold: Some(hold.planner), busy: hold.busy, ..opinion }
            }
            _ => opinion,
        }
    }

    /// Forgets the hold once this host can tell its peers of the primary that follows.
    fn end_hold(&mut self, now: Time) {
        let Some(hold) = &self.hold else { return };
        let opinion = self.detector.opinion(now);
        let followed = opinion.is_some_and(|opinion| hold.is_followed(&opinion));
        if followed || now.saturating_sub(hold.since) >= HOST_HOLD_DURATION {
            self.hold = None;
        }
    }

    pub(super) fn is_held(&self, now: Time, target: TargetId) -> bool {
        let Some(hold) = &self.hold else { return false };
        let passed = self.detector.primary().is_some_and(|(_, term)| term > hold.term);
        hold.primary == target && !passed && now.saturating_sub(hold.since) < HOST_HOLD_DURATION
    }
}

impl Failover {
    /// Whether nothing new is to be sent to a target, since it is being replaced by plan.
    pub fn is_held(&self, now: Time, (service, target): Key) -> bool {
        self.with(service, |group| group.is_held(now, target)).unwrap_or(false)
    }

    /// The target of `service` whose use has to be reported by [`Failover::set_busy`].
    pub(crate) fn held_target(&self, now: Time, service: ServiceId) -> Option<TargetId> {
        self.with(service, |group| {
            let hold = group.hold.as_ref()?;
            let target = hold.primary;
            if !group.is_held(now, target) {
                group.end_hold(now);
                return None;
            }
            Some(target)
        })
        .flatten()
    }

    /// So many requests use the held target of `service` here, or wait to.
    pub(crate) fn set_busy(&self, service: ServiceId, busy: u32) {
        let changed = self.with(service, |group| {
            let hold = group.hold.as_mut()?;
            let changed = (hold.busy == 0) != (busy == 0);
            hold.busy = busy;
            changed.then_some(())
        });
        if changed.flatten().is_some() {
            self.notify_peers();
        }
    }
}
