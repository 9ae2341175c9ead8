//! Selects the target that a read is sent to, by the expected time until its answer.

use super::directory::TargetName;
use super::floor::Position;
use std::time::Duration;

/// Expected time to open a new connection to a target, including the time for which this occupies a
/// slot there.
const CONNECT_TIME: Duration = Duration::from_millis(14);
/// Added for a target whose last known position is below the floor: it will likely refuse the read.
const LAG_PENALTY: Duration = Duration::from_millis(60);
/// Added for the primary, to keep its slots for writes.
const PRIMARY_PENALTY: Duration = Duration::from_millis(3);

/// One target that may serve a read.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the target.
    pub name: TargetName,
    /// Round-trip time without the execution of a statement.
    pub round_trip: Duration,
    /// Number of this host's requests at the target that have no answer yet.
    pub in_flight: u32,
    /// Number of statements that the target runs concurrently.
    pub slots: u32,
    /// Mean duration of a statement at the target.
    pub statement_time: Duration,
    /// Whether there is an idle connection for the client account.
    pub has_connection: bool,
    /// Whether the connection limit permits another connection.
    pub can_connect: bool,
    /// Last known position of its log; the default value if none is known.
    pub position: Position,
    /// Whether it is the primary.
    pub is_primary: bool,
}

impl Candidate {
    /// Expected time until the answer to a read that has to see `floor`, without what is the same
    /// for all targets.
    pub fn cost(&self, floor: Position) -> Duration {
        let queue_time = self.statement_time * self.in_flight / self.slots.max(1);
        let mut cost = self.round_trip + self.statement_time + queue_time;
        if !self.has_connection {
            cost += CONNECT_TIME;
        }
        if !self.has_connection && !self.can_connect {
            cost += self.statement_time;
        }
        // No penalty while the position is unknown: otherwise the primary would get all reads,
        // which it cannot serve.
        let is_known = self.position != Position::default();
        if !self.is_primary && is_known && self.position < floor {
            cost += LAG_PENALTY;
        }
        if self.is_primary {
            cost += PRIMARY_PENALTY;
        }
        cost
    }
}

/// Returns the candidate with the lowest cost for a read that has to see `floor`, leaving out those
/// in `tried`; none if no other is left.
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
