//! Whether a group's primary has failed.
//!
//! One [`Detector`] per group and host. Its evidence is the answers to probes and the outcomes of
//! work, since a target may answer probes and fail its work. A host that has seen the primary
//! fail for the threshold of the [`Cause`] holds it failed, and tells the group's other watchers.
//! The primary is deposed when a majority of the watchers hold it failed, or, where too few of
//! them can be heard, when a majority of the group's own targets have lost it too: such a primary
//! can have nothing confirmed any more.
//!
//! A host that was itself stalled has seen nothing: [`Detector::tick`] notices and discards what
//! it gathered. Nothing counts that is older than the primary's own term, so that a new primary is
//! judged by what it does itself. Work that timed out does not count, since the statement may be
//! slow; but it makes the target suspect, and the caller tries it with work of its own.
//! Nothing here decides what is safe; that is the terms' business (see
//! [`crate::promotion`]). A wrong verdict costs availability only.

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

/// Age of a primary's acknowledgement below which it is usual.
pub const MIN_ISOLATED_AGE: Duration = Duration::from_millis(400);
/// Shortest time for which a group counts as without a primary.
const MIN_LEADERLESS_TIME: Duration = Duration::from_millis(1);

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Tell the other watchers at once.
    SendOpinion(Opinion),
    /// A primary is to be replaced.
    ReplacePrimary(Replacement),
}

/// Judges one group's primary.
#[derive(Debug)]
pub struct Detector {
    host: HostId,
    settings: Settings,
    watchers: BTreeSet<HostId>,
    targets: BTreeMap<TargetId, Health>,
    opinions: BTreeMap<HostId, (Time, Opinion)>,
    leaderless: Option<(Term, Time)>,
    led: Option<(Term, Time)>,
    ticked: Option<Time>,
    told: Option<Opinion>,
}

impl Detector {
    /// A detector that knows nothing yet.
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
            led: None,
            ticked: None,
            told: None,
        }
    }

    /// Sets the hosts whose opinions count.
    pub fn set_watchers(&mut self, watchers: BTreeSet<HostId>) {
        self.watchers = watchers;
    }

    /// What is known of each target.
    pub fn targets(&self) -> &BTreeMap<TargetId, Health> {
        &self.targets
    }

    /// The primary of the highest term that any target or peer speaks of.
    ///
    /// A peer's word counts while it holds nothing at all against that primary.
    pub fn primary(&self) -> Option<(TargetId, Term)> {
        let own = self.leader().map(|(id, status)| (id, status.entry.term));
        let peers = self.opinions.values().map(|(_, opinion)| opinion);
        let told = peers.filter(|opinion| opinion.failing.is_zero());
        let told = told.map(|opinion| (opinion.primary, opinion.term));
        own.into_iter().chain(told).max_by_key(|(_, term)| *term)
    }

    /// A probe was sent.
    pub fn record_probe_sent(&mut self, now: Time, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_probe_sent(now);
        }
    }

    /// A probe was answered.
    pub fn record_probe_answer(&mut self, now: Time, target: TargetId, status: Status) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_probe_answer(now, status);
        }
    }

    /// Nothing listens at the target's address, or it reset the connection.
    pub fn record_probe_refused(&mut self, now: Time, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_refusal(now);
        }
    }

    /// The target is alive but has no connection free: no evidence either way.
    pub fn record_probe_overloaded(&mut self, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_overload();
        }
    }

    /// Work on the target timed out, which may be the statement's fault: no evidence by itself.
    pub fn suspect(&mut self, target: TargetId) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.suspected = true;
        }
    }

    /// Work on the target ended, well or by the target's own fault.
    ///
    /// Errors that are the caller's fault count as well done.
    pub fn record_work(&mut self, now: Time, target: TargetId, well: bool) {
        if let Some(health) = self.targets.get_mut(&target) {
            health.record_work(now, well);
        }
    }

    /// A peer told its opinion.
    pub fn record_opinion(&mut self, now: Time, host: HostId, opinion: Opinion) {
        let newer = self.opinions.get(&host).is_none_or(|(_, known)| known.term <= opinion.term);
        if newer {
            self.opinions.insert(host, (now, opinion));
        }
    }

    /// Time passes: notices stalls of this host, changes of opinion and failed primaries.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.discard_after_stall(now);
        self.update_leaderless(now);
        self.update_leader(now);
        let Some(opinion) = self.opinion(now) else { return Vec::new() };
        let mut actions = Vec::new();
        let gist = |opinion: &Opinion| (opinion.primary, opinion.term, opinion.failed);
        if self.told.as_ref().map(gist) != Some(gist(&opinion)) {
            self.told = Some(opinion);
            actions.push(Action::SendOpinion(opinion));
        }
        if opinion.failed && self.should_replace(now, opinion.term) {
            actions.push(Action::ReplacePrimary(self.replacement(&opinion)));
        }
        actions
    }

    /// What this host holds against the primary; none before it knows the group.
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

    /// Each present sign of failure and how long it has lasted.
    pub fn signs(&self, now: Time) -> BTreeMap<Cause, Duration> {
        let mut signs = BTreeMap::new();
        if let Some((_, since)) = self.leaderless {
            let time = now.saturating_sub(since).max(MIN_LEADERLESS_TIME);
            signs.insert(Cause::Leaderless, time);
            return signs;
        }
        let Some((id, status)) = self.leader() else { return signs };
        let health = &self.targets[&id];
        let led = self.led.map_or(now, |(_, since)| since);
        let lasting = |since: Time| now.saturating_sub(since.max(led));
        if let Some(asked) = health.silent_since(now) {
            signs.insert(Cause::Silent, lasting(asked));
        }
        if let Some(since) = health.refusing_since() {
            signs.insert(Cause::Refused, lasting(since));
        }
        if let Some(since) = health.failing_since(now, self.settings.recent) {
            signs.insert(Cause::Poisoned, lasting(since));
        }
        if status.age >= MIN_ISOLATED_AGE {
            signs.insert(Cause::Isolated, status.age.min(now.saturating_sub(led)));
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
        let last = self.ticked.replace(now);
        if last.is_none_or(|last| now.saturating_sub(last) <= self.settings.stall) {
            return;
        }
        self.targets.values_mut().for_each(Health::forget_failures);
        self.opinions.clear();
        self.leaderless = None;
    }

    fn update_leaderless(&mut self, now: Time) {
        let accepted = self.accepted();
        let led = self.leader().is_some_and(|(_, status)| status.entry.term >= accepted);
        let known = self.targets.values().filter(|health| health.status.is_some()).count();
        if led || known < majority(self.targets.len()) {
            self.leaderless = None;
        } else if self.leaderless.is_none_or(|(term, _)| term != accepted) {
            self.leaderless = Some((accepted, now));
        }
    }

    fn replacement(&self, opinion: &Opinion) -> Replacement {
        let avoid = self.leaderless.is_none().then_some(opinion.primary);
        Replacement { term: opinion.term, avoid, preferred: None }
    }

    /// A new primary starts without a record.
    fn update_leader(&mut self, now: Time) {
        let Some((id, status)) = self.leader() else { return };
        let term = status.entry.term;
        if self.led.is_none_or(|(known, _)| known != term) {
            self.led = Some((term, now));
            self.targets.entry(id).or_default().forget_work();
        }
    }

    fn should_replace(&self, now: Time, term: Term) -> bool {
        self.has_majority_against(now, term) || self.is_abandoned(now)
    }

    /// Whether a majority of the watchers hold the primary of `term` failed.
    fn has_majority_against(&self, now: Time, term: Term) -> bool {
        let recent = |at: Time| now.saturating_sub(at) <= self.settings.recent;
        let peers = self.watchers.iter().filter(|host| **host != self.host);
        let opinions = peers.filter_map(|host| self.opinions.get(host));
        let against = opinions.filter(|(at, o)| recent(*at) && o.failed && o.term == term).count();
        let own = usize::from(self.watchers.contains(&self.host));
        against + own >= majority(self.watchers.len())
    }

    /// Whether a majority of the group's targets say that they have lost their primary.
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
