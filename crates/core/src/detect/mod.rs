//! Failure detection for a group's primary.
//!
//! There is one [`Detector`] per group and host. Its evidence is the answers to probes and the
//! outcomes of work, since a target may answer probes and still fail its work. A host that has
//! seen the primary fail for the threshold of the [`Cause`] considers it failed and notifies the
//! group's other watchers. The primary is replaced when a majority of the watchers consider it
//! failed, or, if too few of them can be reached, when a majority of the group's own targets have
//! lost contact with it too: such a primary can no longer get any entry confirmed.
//!
//! A host that was itself stalled has no evidence for that time: [`Detector::tick`] detects the
//! stall and discards what was collected. Evidence from before the primary's term is ignored, so
//! that a new primary is judged only by its own behavior. Work that timed out is no evidence, since
//! the statement may be slow, but it marks the target as suspected, and the caller tests the target
//! with work of its own. Safety does not depend on this module but on terms (see
//! [`crate::promotion`]): a wrong decision only costs availability.

mod health;
mod settings;

pub use health::Health;
pub use settings::{Cause, Settings};

use crate::group::{Role, Status, majority};
use crate::id::{HostId, TargetId, Time};
use crate::log::{Position, Term};
use crate::peer::Opinion;
use crate::promotion::Replacement;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum age of the last majority acknowledgement at which a primary may be isolated; lower ages
/// are normal.
pub const MIN_ISOLATED_AGE: Duration = Duration::from_millis(400);
/// Lower bound of the reported time without a primary, so that it is never reported as zero.
const MIN_LEADERLESS_TIME: Duration = Duration::from_millis(1);

/// What the caller has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send this opinion to the other watchers at once.
    SendOpinion(Opinion),
    /// Replace the primary.
    ReplacePrimary(Replacement),
}

/// Detects failures of one group's primary.
#[derive(Debug)]
pub struct Detector {
    host: HostId,
    settings: Settings,
    watchers: BTreeSet<HostId>,
    targets: BTreeMap<TargetId, Health>,
    opinions: BTreeMap<HostId, (Time, Opinion)>,
    leaderless: Option<(Term, Time)>,
    leader_since: Option<(Term, Time)>,
    last_tick: Option<Time>,
    sent_opinion: Option<Opinion>,
}

impl Detector {
    /// Creates a detector without evidence; `host` is the only watcher.
    pub fn new(
        host: HostId,
        targets: impl IntoIterator<Item = TargetId>,
        settings: Settings,
    ) -> Detector {
        Detector {
            host,
            settings,
            watchers: BTreeSet::from([host]),
            targets: targets.into_iter().map(|id| (id, Health::default())).collect(),
            opinions: BTreeMap::new(),
            leaderless: None,
            leader_since: None,
            last_tick: None,
            sent_opinion: None,
        }
    }

    /// Sets the hosts whose opinions are counted.
    pub fn set_watchers(&mut self, watchers: BTreeSet<HostId>) {
        self.watchers = watchers;
    }

    /// Evidence about each target.
    pub fn targets(&self) -> &BTreeMap<TargetId, Health> {
        &self.targets
    }

    /// Primary of the highest term that any target or peer reports.
    ///
    /// A peer's report is used only while the peer sees no failure of that primary.
    pub fn primary(&self) -> Option<(TargetId, Term)> {
        let own = self.leader().map(|(id, status)| (id, status.entry.term));
        let peers = self.opinions.values().map(|(_, opinion)| opinion);
        let reported = peers.filter(|opinion| opinion.failing.is_zero());
        let reported = reported.map(|opinion| (opinion.primary, opinion.term));
        own.into_iter().chain(reported).max_by_key(|(_, term)| *term)
    }

    /// Records that a probe was sent.
    pub fn record_probe_sent(&mut self, now: Time, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_probe_sent(now);
        }
    }

    /// Records the answer to a probe.
    pub fn record_probe_answer(&mut self, now: Time, target: TargetId, status: Status) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_probe_answer(now, status);
        }
    }

    /// Records that the target refused or reset the connection.
    pub fn record_probe_refused(&mut self, now: Time, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_refusal(now);
        }
    }

    /// Records that the target has no free connection: it is alive, but this says nothing about its
    /// work.
    pub fn record_probe_overloaded(&mut self, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_overload();
        }
    }

    /// Marks the target as suspected after work on it timed out. This is no evidence by itself,
    /// since the statement may be slow.
    pub fn suspect(&mut self, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.suspected = true;
        }
    }

    /// Records whether work on the target succeeded or failed because of the target.
    ///
    /// Errors caused by the caller count as success.
    pub fn record_work(&mut self, now: Time, target: TargetId, succeeded: bool) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_work(now, succeeded);
        }
    }

    /// Records a peer's opinion, unless that peer has already sent one on a higher term.
    pub fn record_opinion(&mut self, now: Time, host: HostId, opinion: Opinion) {
        let newer = self.opinions.get(&host).is_none_or(|(_, known)| known.term <= opinion.term);
        if newer {
            self.opinions.insert(host, (now, opinion));
        }
    }

    /// Advances time: detects stalls of this host, changes of its opinion and failed primaries.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.discard_after_stall(now);
        self.update_leaderless(now);
        self.update_leader(now);
        let Some(opinion) = self.opinion(now) else { return Vec::new() };
        let mut actions = Vec::new();
        let compared_fields = |opinion: &Opinion| (opinion.primary, opinion.term, opinion.failed);
        if self.sent_opinion.as_ref().map(compared_fields) != Some(compared_fields(&opinion)) {
            self.sent_opinion = Some(opinion);
            actions.push(Action::SendOpinion(opinion));
        }
        if opinion.failed && self.should_replace(now, opinion.term) {
            actions.push(Action::ReplacePrimary(self.replacement(&opinion)));
        }
        actions
    }

    /// This host's opinion of the primary; `None` before it knows the group.
    pub fn opinion(&self, now: Time) -> Option<Opinion> {
        let (primary, term) = self.subject()?;
        let worst = self
            .signs(now)
            .into_iter()
            .max_by_key(|(cause, time)| (*time >= self.settings.threshold(*cause), *time));
        let confirmed = self.confirmed();
        let (failed, failing) = match worst {
            Some((cause, time)) => (time >= self.settings.threshold(cause), time),
            None => (false, Duration::ZERO),
        };
        Some(Opinion { primary, term, failing, failed, confirmed, hold: None, busy: 0 })
    }

    /// Present signs of failure and how long each has lasted.
    pub fn signs(&self, now: Time) -> BTreeMap<Cause, Duration> {
        let mut signs = BTreeMap::new();
        if let Some((_, since)) = self.leaderless {
            let time = now.saturating_sub(since).max(MIN_LEADERLESS_TIME);
            signs.insert(Cause::Leaderless, time);
            return signs;
        }
        let Some((id, status)) = self.leader() else { return signs };
        let health = &self.targets[&id];
        let leader_since = self.leader_since.map_or(now, |(_, since)| since);
        let lasting = |since: Time| now.saturating_sub(since.max(leader_since));
        if let Some(since) = health.silent_since(now) {
            signs.insert(Cause::Silent, lasting(since));
        }
        if let Some(since) = health.refusing_since() {
            signs.insert(Cause::Refused, lasting(since));
        }
        if let Some(since) = health.failing_since(now, self.settings.recent) {
            signs.insert(Cause::Poisoned, lasting(since));
        }
        if status.age >= MIN_ISOLATED_AGE {
            signs.insert(Cause::Isolated, status.age.min(now.saturating_sub(leader_since)));
        }
        signs
    }

    fn leader(&self) -> Option<(TargetId, Status)> {
        let statuses = self.targets.iter().filter_map(|(id, health)| Some((*id, health.status?)));
        statuses.filter(|(_, status)| status.leads()).max_by_key(|(_, status)| status.entry.term)
    }

    /// Highest term that any target has granted.
    pub fn accepted(&self) -> Term {
        let statuses = self.targets.values().filter_map(|health| health.status);
        statuses.map(|status| status.accepted_term).max().unwrap_or(0)
    }

    fn subject(&self) -> Option<(TargetId, Term)> {
        if let Some((term, _)) = self.leaderless {
            let last = self.leader().map(|(id, _)| id);
            return Some((last.unwrap_or_default(), term));
        }
        self.leader().map(|(id, status)| (id, status.entry.term))
    }

    fn confirmed(&self) -> Position {
        let statuses = self.targets.values().filter_map(|health| health.status);
        statuses.map(|status| status.confirmed).max().unwrap_or_default()
    }

    fn discard_after_stall(&mut self, now: Time) {
        let last = self.last_tick.replace(now);
        if last.is_none_or(|last| now.saturating_sub(last) <= self.settings.stall) {
            return;
        }
        self.targets.values_mut().for_each(Health::forget_failures);
        self.opinions.clear();
        self.leaderless = None;
    }

    fn update_leaderless(&mut self, now: Time) {
        let accepted = self.accepted();
        let has_leader = self.leader().is_some_and(|(_, status)| status.entry.term >= accepted);
        let known = self.targets.values().filter(|health| health.status.is_some()).count();
        if has_leader || known < majority(self.targets.len()) {
            self.leaderless = None;
        } else if self.leaderless.is_none_or(|(term, _)| term != accepted) {
            self.leaderless = Some((accepted, now));
        }
    }

    fn replacement(&self, opinion: &Opinion) -> Replacement {
        let avoid = self.leaderless.is_none().then_some(opinion.primary);
        Replacement { term: opinion.term, avoid, preferred: None }
    }

    /// Discards recorded failures of work when a new primary appears.
    fn update_leader(&mut self, now: Time) {
        let Some((id, status)) = self.leader() else { return };
        let term = status.entry.term;
        if self.leader_since.is_none_or(|(known, _)| known != term) {
            self.leader_since = Some((term, now));
            self.targets.entry(id).or_default().forget_work();
        }
    }

    fn should_replace(&self, now: Time, term: Term) -> bool {
        self.has_majority_against(now, term) || self.is_abandoned(now)
    }

    /// Whether a majority of the watchers consider the primary of `term` failed.
    fn has_majority_against(&self, now: Time, term: Term) -> bool {
        let recent = |at: Time| now.saturating_sub(at) <= self.settings.recent;
        let peers = self.watchers.iter().filter(|host| **host != self.host);
        let opinions = peers.filter_map(|host| self.opinions.get(host));
        let against = opinions.filter(|(at, o)| recent(*at) && o.failed && o.term == term).count();
        let own = usize::from(self.watchers.contains(&self.host));
        against + own >= majority(self.watchers.len())
    }

    /// Whether a majority of the group's targets report that they lost contact with their primary.
    fn is_abandoned(&self, now: Time) -> bool {
        let lost = self.targets.values().filter(|health| self.has_lost_primary(now, health));
        lost.count() >= majority(self.targets.len())
    }

    fn has_lost_primary(&self, now: Time, health: &Health) -> bool {
        let recent = now.saturating_sub(health.answered_at) <= self.settings.recent;
        let lost =
            |status: Status| status.role == Role::Replica && status.age >= self.settings.abandoned;
        recent && !health.is_waiting() && health.status.is_some_and(lost)
    }
}
