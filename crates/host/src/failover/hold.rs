//! Holds for planned promotions, during which a host sends the primary no new work.
//!
//! The planner, the host that runs the promotion, announces the hold in its opinions. The other
//! hosts join at once and report in their opinions how many requests still use the primary or wait
//! for a connection to it. They end the hold when the planner no longer announces it, when there is
//! a primary of a higher term, or after [`HOST_HOLD_DURATION`]. The planner announces the hold
//! until its own probes have shown it the new primary, and the opinion that ends the hold names
//! that primary: a host that ended the hold without knowing it would continue with the old one.

use super::{Failover, Group};
use crate::target::Key;
use bergamotvale_core::handover::HOST_HOLD_DURATION;
use bergamotvale_core::id::{HostId, ServiceId, TargetId, Time};
use bergamotvale_core::log::Term;
use bergamotvale_core::peer::Opinion;
use std::collections::BTreeSet;

/// A planned promotion for which this host holds requests to the primary.
#[derive(Debug, Clone)]
pub(crate) struct Hold {
    /// Host that runs the promotion.
    pub(crate) planner: HostId,
    primary: TargetId,
    term: Term,
    since: Time,
    /// Number of this host's requests that use the primary or wait for it; the maximum while it is
    /// not known yet.
    pub(crate) busy: u32,
    /// Peers that reported that none of their requests uses the primary.
    drained: BTreeSet<HostId>,
}

impl Hold {
    /// Creates a hold by `planner` of the primary of `term`.
    pub(crate) fn new(now: Time, planner: HostId, primary: TargetId, term: Term) -> Hold {
        Hold { planner, primary, term, since: now, busy: u32::MAX, drained: BTreeSet::new() }
    }

    /// Whether `opinion` names a working primary of a higher term.
    fn is_replaced(&self, opinion: &Opinion) -> bool {
        opinion.term > self.term && opinion.failing.is_zero()
    }

    /// Whether neither this host nor any of `peers` still uses the primary.
    pub(crate) fn is_drained(&self, mut peers: impl Iterator<Item = HostId>) -> bool {
        self.busy == 0 && peers.all(|peer| self.drained.contains(&peer))
    }
}

impl Group {
    /// Joins or ends a hold according to a peer's opinion; true if this host joined one.
    pub(super) fn observe_hold(&mut self, now: Time, host: HostId, opinion: &Opinion) -> bool {
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
        // An opinion that reports a failing primary may be about one that the planner does not know
        // yet, so it starts no hold.
        let starts = opinion.hold == Some(host)
            && opinion.failing.is_zero()
            && primary == Some((opinion.primary, opinion.term));
        if starts {
            self.hold = Some(Hold::new(now, host, opinion.primary, opinion.term));
        }
        starts
    }

    /// Adds the hold to `opinion`, unless that already names the next primary.
    pub(super) fn with_hold(&self, opinion: Opinion) -> Opinion {
        match &self.hold {
            Some(hold) if !hold.is_replaced(&opinion) => {
                Opinion { hold: Some(hold.planner), busy: hold.busy, ..opinion }
            }
            _ => opinion,
        }
    }

    /// Removes the hold once this host's opinion names the next primary, or the hold has expired.
    fn release_hold(&mut self, now: Time) {
        let Some(hold) = &self.hold else { return };
        let opinion = self.detector.opinion(now);
        let replaced = opinion.is_some_and(|opinion| hold.is_replaced(&opinion));
        if replaced || now.saturating_sub(hold.since) >= HOST_HOLD_DURATION {
            self.hold = None;
        }
    }

    /// Whether `target` is the held primary; false once there is a primary of a higher term or the
    /// hold has expired.
    pub(super) fn is_held(&self, now: Time, target: TargetId) -> bool {
        let Some(hold) = &self.hold else { return false };
        let replaced = self.detector.primary().is_some_and(|(_, term)| term > hold.term);
        hold.primary == target && !replaced && now.saturating_sub(hold.since) < HOST_HOLD_DURATION
    }
}

impl Failover {
    /// Whether no new work may be sent to a target because a planned promotion replaces it.
    pub fn is_held(&self, now: Time, (service, target): Key) -> bool {
        self.with_group(service, |group| group.is_held(now, target)).unwrap_or(false)
    }

    /// Held target of `service`, whose use has to be reported with [`Failover::set_busy`].
    pub(crate) fn held_target(&self, now: Time, service: ServiceId) -> Option<TargetId> {
        self.with_group(service, |group| {
            let hold = group.hold.as_ref()?;
            let target = hold.primary;
            if !group.is_held(now, target) {
                group.release_hold(now);
                return None;
            }
            Some(target)
        })
        .flatten()
    }

    /// Sets the number of requests of this host that use the held target of `service` or wait for
    /// it.
    pub(crate) fn set_busy(&self, service: ServiceId, busy: u32) {
        let changed = self.with_group(service, |group| {
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
