//! Selects the target that a read is sent to, by the expected time until its answer.

use super::capacity::Fraction;
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

/// Percentage of the group's mean duration from which a target may be chosen so seldom that its own
/// mean gets too few samples. The first sample of a target that is slow by eight raises its mean, of
/// sixteen samples, to about 130% of the group's.
const AVOIDED_PERCENT: u32 = 125;

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
    /// Learned limit of its concurrent requests, as a fraction of `slots`.
    pub limit: Fraction,
    /// Mean duration of a statement at the fastest target of the group whose limit is full.
    pub group_time: Duration,
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
        let statement_time = self.expected_statement_time();
        let queue_time = statement_time * self.in_flight / self.slots.max(1);
        let mut cost = self.round_trip + statement_time + queue_time;
        if !self.has_connection {
            cost += CONNECT_TIME;
        }
        if !self.has_connection && !self.can_connect {
            cost += statement_time;
        }
        if self.lags(floor) {
            cost += LAG_PENALTY;
        }
        if self.is_primary {
            cost += PRIMARY_PENALTY;
        }
        cost
    }

    /// Whether the last known position is below `floor`.
    ///
    /// False while the position is unknown: otherwise the primary would get all reads, which it
    /// cannot serve.
    fn lags(&self, floor: Position) -> bool {
        let is_known = self.position != Position::default();
        !self.is_primary && is_known && self.position < floor
    }

    /// Expected duration of a statement. At a target with a reduced limit it is the group's time
    /// divided by the limit: failures, and times of a few kinds of statements, do not show in its
    /// mean duration.
    fn expected_statement_time(&self) -> Duration {
        if !self.limit.is_reduced() {
            return self.statement_time;
        }
        let limited_time = self.group_time * Fraction::FULL.permille() / self.limit.permille();
        self.statement_time.max(limited_time)
    }
}

/// Sets the group time of each candidate: the lowest mean duration among those with a full limit. If
/// none has one, each keeps its own.
pub fn set_group_times(candidates: &mut [Candidate]) {
    let full = candidates.iter().filter(|candidate| !candidate.limit.is_reduced());
    let Some(group_time) = full.map(|candidate| candidate.statement_time).min() else { return };
    for candidate in candidates {
        candidate.group_time = group_time;
    }
}

/// Names of the candidates that the choice by cost passes over until new samples show that they are
/// fast: those with a reduced limit, and those whose mean duration is at least
/// [`AVOIDED_PERCENT`] of the group's.
///
/// A target that lags behind `floor` is left out, since it would refuse a probe.
pub fn avoided(candidates: &[Candidate], floor: Position) -> Vec<TargetName> {
    let is_avoided = |candidate: &&Candidate| {
        let is_slow = candidate.statement_time * 100 >= candidate.group_time * AVOIDED_PERCENT;
        !candidate.lags(floor) && (candidate.limit.is_reduced() || is_slow)
    };
    candidates.iter().filter(is_avoided).map(|candidate| candidate.name.clone()).collect()
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
