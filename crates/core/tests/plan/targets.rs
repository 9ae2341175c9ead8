//! Simulated targets for the promotion step of a plan, against which the handover is run.

use bergamotvale_core::group::{Role, Status};
use bergamotvale_core::handover::{Action, Handover, POLL_INTERVAL};
use bergamotvale_core::id::{TargetId, Time};
use bergamotvale_core::log::{Position, Term};
use serde::Deserialize;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const TERM: Term = 1;
/// Index of the primary's last entry.
const INDEX: u64 = 9;
/// Time by which every handover must have completed or aborted.
const MAX_HANDOVER_TIME: Time = Duration::from_secs(3);

/// How the targets answer.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Targets {
    primary: TargetId,
    /// Target to hand over to.
    candidate: TargetId,
    /// Targets that refuse new connections.
    cut_off: BTreeSet<TargetId>,
    /// Targets that accept requests but never answer.
    silent: BTreeSet<TargetId>,
    /// Whether statements on the primary never end.
    stuck: bool,
    /// Targets that lack the primary's last entry.
    behind: BTreeSet<TargetId>,
}

impl Targets {
    /// Moves the primary to the candidate, if `target` is the primary.
    pub(crate) fn move_off(&self, target: TargetId) -> String {
        if self.primary != target {
            return "another target is the primary".to_owned();
        }
        self.promote(self.candidate)
    }

    /// Runs the handover to `candidate`; returns its outcome as text.
    pub(crate) fn promote(&self, candidate: TargetId) -> String {
        let mut handover = Handover::new(Time::ZERO, self.primary, TERM, candidate);
        let mut now = Time::ZERO;
        let mut held = false;
        let mut due = VecDeque::new();
        if !self.stuck {
            due.extend(handover.record_drained(now));
        }
        while now < MAX_HANDOVER_TIME {
            while let Some(action) = due.pop_front() {
                match action {
                    Action::Hold { time: Duration::ZERO, .. } => held = false,
                    Action::Hold { target, .. } if self.cut_off.contains(&target) => {
                        due.extend(handover.record_hold(now, None));
                    }
                    Action::Hold { target, .. } if self.silent.contains(&target) => held = true,
                    Action::Hold { target, .. } => {
                        held = true;
                        due.extend(handover.record_hold(now, Some(self.status(target).entry)));
                    }
                    Action::ReadStatus { target } if !self.answers(target) => {}
                    Action::ReadStatus { target } => {
                        due.extend(handover.record_status(now, target, &self.status(target)));
                    }
                    Action::Promote { candidate, term } => {
                        return format!("promote {candidate} over term {term}");
                    }
                    Action::Aborted { reason } if held => return format!("{reason}, still held"),
                    Action::Aborted { reason } => return format!("taken back: {reason}"),
                }
            }
            now += POLL_INTERVAL;
            due.extend(handover.tick(now));
        }
        "never ended".to_owned()
    }

    fn answers(&self, target: TargetId) -> bool {
        !self.cut_off.contains(&target) && !self.silent.contains(&target)
    }

    fn status(&self, target: TargetId) -> Status {
        let index = if self.behind.contains(&target) { INDEX - 1 } else { INDEX };
        let entry = Position::new(TERM, index);
        let role = if target == self.primary { Role::Primary } else { Role::Replica };
        Status {
            role,
            accepted_term: TERM,
            entry,
            applied: entry,
            confirmed: entry,
            age: Duration::ZERO,
            primary: Some(self.primary),
            term_start: 1,
        }
    }
}
