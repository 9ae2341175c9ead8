//! Which target a read is sent to.

use super::directory::TargetName;
use super::floor::Position;
use std::time::Duration;

/// Expected time of a new connection at a target, slot time included.
const CONNECT: Duration = Duration::from_millis(14);
/// Added for a target that was behind the floor when last heard of: it will likely refuse.
const BEHIND: Duration = Duration::from_millis(60);
/// Added for the primary, whose slots writes need.
const PRIMARY: Duration = Duration::from_millis(3);

/// One target that may serve a read.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its name.
    pub name: TargetName,
    /// Time of an exchange without work.
    pub round_trip: Duration,
    /// Statements of this host that run or wait there.
    pub in_flight: u32,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Mean time of a statement there.
    pub statement_time: Duration,
    /// Whether an idle connection of the client account is at hand.
    pub has_connection: bool,
    /// Whether another connection may be had at all.
    pub can_connect: bool,
    /// Position it was last seen at.
    pub position: Position,
    /// Whether it is the primary.
    pub is_primary: bool,
}

impl Candidate {
    /// Expected time until the answer, as far as it differs between targets.
    pub fn cost(&self, floor: Position) -> Duration {
        let queue = self.statement_time * self.in_flight / self.slots.max(1);
        let mut cost = self.round_trip + self.statement_time + queue;
        if !self.has_connection {
            cost += CONNECT;
        }
        if !self.has_connection && !self.can_connect {
            cost += self.statement_time;
        }
        // Of one that was not heard of yet nothing is known, and the primary cannot serve all.
        let is_known = self.position != Position::default();
        if !self.is_primary && is_known && self.position < floor {
            cost += BEHIND;
        }
        if self.is_primary {
            cost += PRIMARY;
        }
        cost
    }
}

/// The cheapest target for a read that has to see `floor`, but for those in `tried`.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    floor: Position,
    tried: &[TargetName],
) -> Option<&'a Candidate> {
    candidates
        .iter()
        .filter(|candidate| !tried.contains(&candidate.name))
        .min_by_key(|candidate| (candidate.cost(floor), &candidate.name))
}
