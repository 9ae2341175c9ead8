//! Promotion of a target to primary, by an election over the group's terms.
//!
//! An attempt picks a term above all terms seen and requests it from every target under a promoter
//! id that is unique to the attempt (the fence). Once a majority of the group, counting voters
//! only, has granted the term, it promotes the granter with the highest last entry. A target
//! grants a term once, a granter rejects everything of lower terms from then on, and an
//! acknowledged entry is on a majority in its own term. Any two majorities intersect, so the
//! highest granter has every acknowledged entry regardless of clocks and message order.
//!
//! The argument depends on four rules:
//! - the choice compares last entries, never granted terms;
//! - a target that is being rebuilt counts for no majority and is never chosen;
//! - an attempt asks only one target to become primary; if that fails, the next attempt uses a
//!   new term;
//! - an attempt sends each target one fence. A second one could be granted after the target has
//!   been rebuilt, and the target would be promoted for a log that it no longer has.
//!
//! An attempt needs no durable state: any host may start over with a higher term after any step,
//! and a promoter that resumes late finds its term outdated. Starts are staggered by rank and
//! repeated with a random backoff, so that promoters rarely compete.

use crate::group::{Status, TermResponse, majority};
use crate::id::{FailureDomainId, HostId, PromoterId, TargetId, Time};
use crate::log::Term;
use crate::random::Source;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay between the starts of hosts of consecutive ranks.
pub const RANK_START_DELAY: Duration = Duration::from_millis(150);
/// Interval at which an unanswered request to become primary is resent.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Wait for grants beyond the majority, which may allow a better choice.
pub const EXTRA_GRANTS_WAIT: Duration = Duration::from_millis(40);
/// Wait for further grants while the majority needs the target that is being replaced.
pub const OTHER_MAJORITY_WAIT: Duration = Duration::from_millis(400);
/// Longest time to collect grants.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for the chosen target to become primary.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_millis(800);
/// Wait for another host's promotion to complete before starting one.
pub const OTHER_PROMOTION_WAIT: Duration = Duration::from_millis(400);
/// Base of the random backoff's upper bound, which doubles with each attempt, the first included.
pub const BASE_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of times that the bound of the backoff is doubled.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Number of random bits in a promoter id; the remaining bits are the host.
const RANDOM_BITS: u32 = 39;

/// Properties of a target that break ties between granters with the same last entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Failure domain of the target.
    pub failure_domain: FailureDomainId,
    /// Whether the target is being drained, which makes it a last choice.
    pub draining: bool,
    /// Number of hosts in the target's failure domain; more is better.
    pub hosts_in_domain: u32,
}

/// What the caller has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Request `term` from `target`.
    Fence {
        /// Target to send the request to.
        target: TargetId,
        /// Term of the attempt.
        term: Term,
        /// Id of the attempt.
        promoter: PromoterId,
    },
    /// Ask `target` to become the primary of `term`.
    Promote {
        /// Target to send the request to.
        target: TargetId,
        /// Term of the attempt.
        term: Term,
        /// Id of the attempt.
        promoter: PromoterId,
    },
    /// `target` is the primary of `term`; the store may record it.
    Done {
        /// The new primary.
        target: TargetId,
        /// Term of the new primary.
        term: Term,
    },
    /// The attempt for `term` has ended without a primary.
    Failed {
        /// Term of the attempt.
        term: Term,
    },
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    Waiting {
        start: Time,
        replacement: Replacement,
    },
    Fencing {
        attempt: Attempt,
        answers: BTreeMap<TargetId, Option<TermResponse>>,
        majority_since: Option<Time>,
    },
    Promoting {
        attempt: Attempt,
        target: TargetId,
    },
}

/// Describes the replacement of a primary: whose term it ends, and which target to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// Term of the primary to replace, or the highest granted term if there is no primary.
    pub term: Term,
    /// Target that is chosen only if the others do not form a majority.
    pub avoid: Option<TargetId>,
    /// Target to choose among granters with the same last entry.
    pub preferred: Option<TargetId>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    term: Term,
    promoter: PromoterId,
    replacement: Replacement,
    started: Time,
    sent: Time,
}

/// Runs the promotions that one host starts for one group.
#[derive(Debug)]
pub struct Promoter {
    host: HostId,
    random: Source,
    targets: BTreeMap<TargetId, Candidate>,
    state: State,
    highest_accepted: Term,
    attempts: u32,
}

impl Promoter {
    /// Creates an idle promoter for a group with these targets.
    pub fn new(host: HostId, targets: BTreeMap<TargetId, Candidate>, random: Source) -> Promoter {
        Promoter { host, random, targets, state: State::Idle, highest_accepted: 0, attempts: 0 }
    }

    /// Updates the tie-breaking properties; a change of the set of targets cancels the attempt.
    pub fn set_targets(&mut self, targets: BTreeMap<TargetId, Candidate>) {
        let same = targets.keys().eq(self.targets.keys());
        self.targets = targets;
        if !same {
            self.state = State::Idle;
        }
    }

    /// Whether no promotion is waiting or in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// Schedules a promotion after the delay of this host's `rank`, unless one is in progress.
    pub fn replace_primary(&mut self, now: Time, replacement: Replacement, rank: u32) {
        self.highest_accepted = self.highest_accepted.max(replacement.term);
        if self.is_idle() {
            self.attempts = 0;
            let start = now + RANK_START_DELAY * rank;
            self.state = State::Waiting { start, replacement };
        }
    }

    /// Starts a planned promotion of `preferred`, whose log has all entries of the primary of
    /// `term`.
    pub fn start_planned(&mut self, now: Time, term: Term, preferred: TargetId) -> Vec<Action> {
        self.highest_accepted = self.highest_accepted.max(term);
        self.attempts = 0;
        self.start(now, Replacement { term, avoid: None, preferred: Some(preferred) })
    }

    /// Records a target's status; a primary of the attempt's term or above ends the attempt.
    pub fn record_status(&mut self, now: Time, status: &Status) -> Vec<Action> {
        let raised = status.accepted_term > self.highest_accepted;
        self.highest_accepted = self.highest_accepted.max(status.accepted_term);
        let primary_term = status.leads().then_some(status.entry.term);
        let (term, end) = match &mut self.state {
            State::Idle => return Vec::new(),
            State::Waiting { replacement, start } => {
                if raised {
                    *start = (*start).max(now + OTHER_PROMOTION_WAIT);
                }
                (replacement.term + 1, None)
            }
            State::Fencing { attempt, .. } => {
                (attempt.term, Some(Action::Failed { term: attempt.term }))
            }
            State::Promoting { attempt, target } if primary_term == Some(attempt.term) => {
                (attempt.term, Some(Action::Done { target: *target, term: attempt.term }))
            }
            State::Promoting { attempt, .. } => {
                (attempt.term, Some(Action::Failed { term: attempt.term }))
            }
        };
        if primary_term.is_none_or(|primary_term| primary_term < term) {
            return Vec::new();
        }
        self.state = State::Idle;
        end.into_iter().collect()
    }

    /// Records the answer of `target` to the fence for `term`; `None` if it could not be reached.
    pub fn record_fence(
        &mut self,
        now: Time,
        target: TargetId,
        term: Term,
        answer: Option<TermResponse>,
    ) -> Vec<Action> {
        self.record_accepted_term(answer);
        let State::Fencing { attempt, answers, .. } = &mut self.state else { return Vec::new() };
        if attempt.term != term || !self.targets.contains_key(&target) {
            return Vec::new();
        }
        if answer.is_some_and(|answer| answer.accepted > term) {
            return self.back_off(now);
        }
        answers.insert(target, answer);
        self.decide(now)
    }

    /// Records the answer of `target` to the request to become primary of `term`; `None` if it
    /// could not be reached, in which case the request is resent.
    pub fn record_promotion(
        &mut self,
        now: Time,
        target: TargetId,
        term: Term,
        answer: Option<TermResponse>,
    ) -> Vec<Action> {
        self.record_accepted_term(answer);
        let State::Promoting { attempt, target: chosen } = self.state else { return Vec::new() };
        if attempt.term != term || chosen != target {
            return Vec::new();
        }
        match answer {
            Some(answer) if answer.granted => {
                self.state = State::Idle;
                vec![Action::Done { target, term }]
            }
            Some(_) => self.back_off(now),
            None => Vec::new(),
        }
    }

    /// Advances time: starts attempts, resends requests and ends attempts that timed out.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        match &self.state {
            State::Idle => Vec::new(),
            State::Waiting { start, replacement } if now >= *start => self.start(now, *replacement),
            State::Waiting { .. } => Vec::new(),
            State::Fencing { .. } => self.tick_fencing(now),
            State::Promoting { .. } => self.tick_promoting(now),
        }
    }

    fn start(&mut self, now: Time, replacement: Replacement) -> Vec<Action> {
        self.highest_accepted += 1;
        let host = i64::from(self.host) & ((1 << (63 - RANDOM_BITS)) - 1);
        let random = self.random.below(1 << RANDOM_BITS) as PromoterId;
        let promoter = (host << RANDOM_BITS) | random;
        let term = self.highest_accepted;
        let attempt = Attempt { term, promoter, replacement, started: now, sent: now };
        self.attempts += 1;
        self.state = State::Fencing { attempt, answers: BTreeMap::new(), majority_since: None };
        fence_actions(self.targets.keys().copied(), attempt)
    }

    fn tick_fencing(&mut self, now: Time) -> Vec<Action> {
        let State::Fencing { attempt, .. } = &self.state else { return Vec::new() };
        if now.saturating_sub(attempt.started) >= FENCE_TIMEOUT {
            return self.back_off(now);
        }
        self.decide(now)
    }

    fn tick_promoting(&mut self, now: Time) -> Vec<Action> {
        let State::Promoting { attempt, target } = &mut self.state else { return Vec::new() };
        if now.saturating_sub(attempt.started) >= PROMOTE_TIMEOUT {
            return self.back_off(now);
        }
        if now.saturating_sub(attempt.sent) < RESEND_INTERVAL {
            return Vec::new();
        }
        attempt.sent = now;
        let (term, promoter) = (attempt.term, attempt.promoter);
        vec![Action::Promote { target: *target, term, promoter }]
    }

    /// Chooses a target once a majority has granted and the wait for further grants has passed.
    fn decide(&mut self, now: Time) -> Vec<Action> {
        let State::Fencing { attempt, answers, majority_since } = &mut self.state else {
            return Vec::new();
        };
        let refusals =
            answers.values().flatten().filter(|answer| !counts_for_majority(answer)).count();
        let needed = majority(self.targets.len());
        if self.targets.len() - refusals < needed {
            return self.back_off(now);
        }
        let granters = granters(answers);
        let all = answers.len() == self.targets.len();
        if granters.len() < needed {
            return if all { self.back_off(now) } else { Vec::new() };
        }
        let others = without_target(&granters, attempt.replacement.avoid);
        let (granters, grace) = match others.len() >= needed {
            true => (others, EXTRA_GRANTS_WAIT),
            false if attempt.replacement.avoid.is_some() => (granters, OTHER_MAJORITY_WAIT),
            false => (granters, EXTRA_GRANTS_WAIT),
        };
        let since = *majority_since.get_or_insert(now);
        if !all && now.saturating_sub(since) < grace {
            return Vec::new();
        }
        let Some(target) = choose(&self.targets, &granters, attempt.replacement.preferred) else {
            return self.back_off(now);
        };
        let attempt = Attempt { started: now, sent: now, ..*attempt };
        self.state = State::Promoting { attempt, target };
        vec![Action::Promote { target, term: attempt.term, promoter: attempt.promoter }]
    }

    fn back_off(&mut self, now: Time) -> Vec<Action> {
        let (State::Fencing { attempt, .. } | State::Promoting { attempt, .. }) = &self.state
        else {
            return Vec::new();
        };
        let (term, replacement) = (attempt.term, attempt.replacement);
        let superseded = self.highest_accepted > term;
        let doublings = self.attempts.min(MAX_BACKOFF_DOUBLINGS);
        let jitter = self.random.time_below(BASE_BACKOFF * (1 << doublings));
        let wait = if superseded { OTHER_PROMOTION_WAIT } else { Duration::ZERO };
        self.state = State::Waiting { start: now + wait + jitter, replacement };
        vec![Action::Failed { term }]
    }

    fn record_accepted_term(&mut self, answer: Option<TermResponse>) {
        self.highest_accepted =
            self.highest_accepted.max(answer.map_or(0, |answer| answer.accepted));
    }
}

fn counts_for_majority(answer: &TermResponse) -> bool {
    answer.granted && answer.voter
}

fn fence_actions(targets: impl Iterator<Item = TargetId>, attempt: Attempt) -> Vec<Action> {
    let (term, promoter) = (attempt.term, attempt.promoter);
    targets.map(|target| Action::Fence { target, term, promoter }).collect()
}

fn granters(
    answers: &BTreeMap<TargetId, Option<TermResponse>>,
) -> BTreeMap<TargetId, TermResponse> {
    let answers = answers.iter().filter_map(|(id, answer)| Some((*id, (*answer)?)));
    answers.filter(|(_, answer)| counts_for_majority(answer)).collect()
}

fn without_target(
    granters: &BTreeMap<TargetId, TermResponse>,
    avoid: Option<TargetId>,
) -> BTreeMap<TargetId, TermResponse> {
    let kept = granters.iter().filter(|(id, _)| Some(**id) != avoid);
    kept.map(|(id, answer)| (*id, *answer)).collect()
}

/// Chooses the granter with the highest last entry; ties are broken by the preferred target, then
/// by the properties of the [`Candidate`]s.
///
/// `granters` must be a majority of the group; any majority is safe.
pub fn choose(
    targets: &BTreeMap<TargetId, Candidate>,
    granters: &BTreeMap<TargetId, TermResponse>,
    preferred: Option<TargetId>,
) -> Option<TargetId> {
    let highest = granters.values().map(|answer| answer.entry).max()?;
    let equals = granters.iter().filter(|(_, answer)| answer.entry == highest);
    equals.map(|(id, _)| *id).max_by_key(|id| {
        let candidate = targets.get(id).copied().unwrap_or_default();
        (Some(*id) == preferred, !candidate.draining, candidate.hosts_in_domain)
    })
}
