//! Maintenance of the fleet row: changes that hosts make without an operator.
//!
//! A host that is not in the member table adds itself. Members remove hosts that have stopped. An
//! announcement whose writer went silent is resolved by an epoch that changes nothing else: the
//! writer's conditional write cannot take effect after it, and the voters confirm again. Hosts
//! wait by rank, so that they rarely compete; if they do, one conditional write wins.

use crate::authority::Holder;
use crate::distribute::Row;
use crate::id::{HostId, Time};
use crate::member::{REMOVE_AFTER, View};
use crate::peer::Member;
use std::collections::BTreeSet;
use std::time::Duration;

/// Age at which an announcement without a known outcome is resolved.
pub const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(2);
/// Additional wait per rank.
pub const RANK_DELAY: Duration = Duration::from_millis(400);

/// A maintenance change of the fleet row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Record this incarnation of this host, or that it is leaving.
    Record,
    /// Remove hosts that have stopped.
    Remove(BTreeSet<HostId>),
    /// Resolve an announcement by an epoch without other changes.
    Resolve,
}

/// Returns the change that the host `own` should make now, if any.
pub fn due_task(now: Time, own: &Member, holder: &Holder, view: &View, row: &Row) -> Option<Task> {
    let recorded = row.members.get(&own.host);
    if recorded.is_some_and(|member| member.incarnation > own.incarnation) {
        return None;
    }
    if recorded != Some(own) && !(recorded.is_none() && own.leaving) {
        return Some(Task::Record);
    }
    let wait = RANK_DELAY * view.rank(now);
    let stopped = view.removable(now, REMOVE_AFTER + wait);
    if !stopped.is_empty() {
        return Some(Task::Remove(stopped));
    }
    let since = holder.unresolved_since()?;
    (now.saturating_sub(since) >= MAX_ANNOUNCEMENT_AGE + wait).then_some(Task::Resolve)
}

impl Task {
    /// Applies the change to `next`, the successor of the present row.
    pub fn apply(&self, next: Row, own: &Member) -> Row {
        match self {
            Task::Record => next.with_member(own.clone()),
            Task::Remove(hosts) => hosts.iter().fold(next, |row, host| row.without_member(*host)),
            Task::Resolve => next,
        }
    }
}
