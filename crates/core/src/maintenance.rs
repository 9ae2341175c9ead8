//! Changes of the fleet row that hosts make on their own.
//!
//! A host that is not recorded joins. Recorded hosts remove those that are gone. An announcement
//! whose writer went silent is settled by an epoch that changes nothing: the writer's conditional
//! write cannot take effect after it, and the voters confirm again. The hosts take their turns by
//! rank, so that they seldom race; when they do, one conditional write wins.

use crate::authority::Holder;
use crate::distribute::Row;
use crate::id::{HostId, Time};
use crate::member::{REMOVE_AFTER, View};
use crate::peer::Member;
use std::collections::BTreeSet;
use std::time::Duration;

/// Age at which an announcement is settled.
pub const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(2);
/// Time by which each rank waits longer than the one before.
pub const RANK_DELAY: Duration = Duration::from_millis(400);

/// A change that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Record this run of this host, or that it is leaving.
    Record,
    /// Remove hosts that are gone.
    Remove(BTreeSet<HostId>),
    /// Settle an announcement.
    Settle,
}

/// What the host `own` should change now, if anything.
pub fn due_task(now: Time, own: &Member, holder: &Holder, view: &View, row: &Row) -> Option<Task> {
    let recorded = row.members.get(&own.host);
    if recorded.is_some_and(|member| member.incarnation > own.incarnation) {
        return None;
    }
    if recorded != Some(own) && !(recorded.is_none() && own.leaving) {
        return Some(Task::Record);
    }
    let wait = RANK_DELAY * view.rank(now);
    let gone = view.removable(now, REMOVE_AFTER + wait);
    if !gone.is_empty() {
        return Some(Task::Remove(gone));
    }
    let since = holder.unresolved_since()?;
    (now.saturating_sub(since) >= MAX_ANNOUNCEMENT_AGE + wait).then_some(Task::Settle)
}

impl Task {
    /// `next` with the change made.
    pub fn apply(&self, next: Row, own: &Member) -> Row {
        match self {
            Task::Record => next.with_member(own.clone()),
            Task::Remove(hosts) => hosts.iter().fold(next, |row, host| row.without_member(*host)),
            Task::Settle => next,
        }
    }
}
