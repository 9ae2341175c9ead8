//! The faults of a run: two or three, each with a beginning and an end.

use super::{HOSTS, Scene, TARGETS};
use bergamotvale_core::id::{HostId, TargetId, Time};
use bergamotvale_core::random::Source;
use std::fmt;
use std::time::Duration;

/// Faults begin within this time.
const BEGIN_WITHIN: Duration = Duration::from_millis(3_500);
/// Longest fault.
const LONGEST: Duration = Duration::from_millis(2_500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A target is cut off from all hosts.
    IsolatedFromHosts(TargetId),
    /// A target is cut off from the other targets.
    IsolatedFromTargets(TargetId),
    /// A target is cut off from everything.
    Isolated(TargetId),
    /// One host does not reach one target.
    LinkBlocked(HostId, TargetId),
    /// A replica receives nothing.
    Lag(TargetId),
    /// A target is down.
    Killed(TargetId),
    /// A target loses its data.
    Rebuilt(TargetId),
    /// Answers are lost after their effect.
    AnswersLost,
    /// A host starts anew.
    HostRestarted(HostId),
    /// A host stands still.
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

/// Two or three faults.
pub fn schedule(random: &mut Source) -> Vec<Fault> {
    let count = 2 + random.below(2);
    (0..count).map(|_| draw(random)).collect()
}

fn draw(random: &mut Source) -> Fault {
    // The primary is struck more often than each replica.
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
    let from = random.time_below(BEGIN_WITHIN);
    let until = from + random.time_below(LONGEST);
    Fault { kind, from, until, started: false }
}

/// Faults that begin now.
pub fn take_due(scene: &mut Scene) -> Vec<Fault> {
    let now = scene.now;
    let due = scene.faults.iter_mut().filter(|fault| !fault.started && fault.from <= now);
    due.map(|fault| {
        fault.started = true;
        *fault
    })
    .collect()
}

/// Targets that were killed and come back now.
pub fn restarts(scene: &mut Scene) -> Vec<TargetId> {
    let mut targets = Vec::new();
    for (id, target) in &scene.group.targets {
        let is_down = scene.is_active(|kind| *kind == Kind::Killed(*id));
        if !target.is_up && !is_down {
            targets.push(*id);
        }
    }
    targets
}
