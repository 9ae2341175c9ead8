//! Faults of a run: two or three, each with a start and an end.

use super::{HOSTS, Scene, TARGETS};
use bergamotvale_core::id::{HostId, TargetId, Time};
use bergamotvale_core::random::Source;
use std::fmt;
use std::time::Duration;

/// Time within which all faults start.
const MAX_START: Duration = Duration::from_millis(3_500);
/// Upper bound of the duration of a fault.
const MAX_DURATION: Duration = Duration::from_millis(2_500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A target is partitioned from all hosts.
    IsolatedFromHosts(TargetId),
    /// A target is partitioned from the other targets.
    IsolatedFromTargets(TargetId),
    /// A target is partitioned from all hosts and targets.
    Isolated(TargetId),
    /// The link between one host and one target is blocked.
    LinkBlocked(HostId, TargetId),
    /// A target receives no part of the log.
    Lag(TargetId),
    /// A target is down.
    Killed(TargetId),
    /// A target loses its data but not the terms that it granted.
    Rebuilt(TargetId),
    /// Many answers are lost after their request took effect.
    AnswersLost,
    /// A host dies and is replaced by a new incarnation.
    HostRestarted(HostId),
    /// A host makes no progress.
    HostPaused(HostId),
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub kind: Kind,
    pub from: Time,
    pub until: Time,
    started: bool,
}

impl Fault {
    pub fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.until
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {} to {} ms", self.kind, self.from.as_millis(), self.until.as_millis())
    }
}

/// Draws two or three faults.
pub fn schedule(random: &mut Source) -> Vec<Fault> {
    let count = 2 + random.below(2);
    (0..count).map(|_| draw_fault(random)).collect()
}

fn draw_fault(random: &mut Source) -> Fault {
    // Target 0, the first primary, is hit more often than each replica.
    let target = if random.chance(500) { 0 } else { random.below(TARGETS.into()) as TargetId };
    let host = random.below(HOSTS.into()) as HostId;
    let kind = match random.below(10) {
        0 => Kind::IsolatedFromHosts(target),
        1 => Kind::IsolatedFromTargets(target),
        2 => Kind::Isolated(target),
        3 => Kind::LinkBlocked(host, target),
        4 => Kind::Lag(target),
        5 => Kind::Killed(target),
        6 => Kind::Rebuilt(target),
        7 => Kind::AnswersLost,
        8 => Kind::HostRestarted(host),
        _ => Kind::HostPaused(host),
    };
    let from = random.time_below(MAX_START);
    let until = from + random.time_below(MAX_DURATION);
    Fault { kind, from, until, started: false }
}

/// Marks the faults that are due as started and returns them.
pub fn take_due(scene: &mut Scene) -> Vec<Fault> {
    let now = scene.now;
    let due = scene.faults.iter_mut().filter(|fault| !fault.started && fault.from <= now);
    due.map(|fault| {
        fault.started = true;
        *fault
    })
    .collect()
}

/// Returns the targets that are down and whose faults have ended.
pub fn restartable_targets(scene: &mut Scene) -> Vec<TargetId> {
    let mut targets = Vec::new();
    for (id, target) in &scene.group.targets {
        let is_down = scene.is_active(|kind| *kind == Kind::Killed(*id));
        if !target.is_up && !is_down {
            targets.push(*id);
        }
    }
    targets
}
