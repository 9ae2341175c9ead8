//! Promotion of a target to primary, through the group's own terms.
//!
//! An attempt chooses a term above all seen, asks every target for it under a promoter id that is
//! unique to the attempt (the fence), and promotes the target with the highest last entry among
//! the granters once a majority of the group, counting voters only, has granted. A target grants a
//! term once, a granter takes nothing of lower terms any more, and an acknowledged entry is on a
//! majority in its own term. So any two majorities meet, and the highest granter holds every
//! acknowledged entry, whatever clocks and messages do.
//!
//! Four rules keep that argument whole:
//! - the choice compares last entries, never granted terms;
//! - a target that is being rebuilt counts for no majority and is never chosen;
//! - an attempt asks one target only to become primary; when that fails, the next attempt takes a
//!   new term;
//! - an attempt sends a target one fence. A second one could be granted after the target has been
//!   rebuilt, and let it be promoted for the log that it no longer has.
//!
//! Nothing of an attempt has to survive it: any host may start anew with a higher term after any
//! step, and a promoter that wakes late finds its term outdated. Starts are staggered by rank and
//! repeated with a random backoff, so that promoters rarely meet.

use crate::group::{Status, TermResponse, majority};
use crate::id::{FailureDomainId, HostId, PromoterId, TargetId, Time};
use crate::log::Term;
use crate::random::Source;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay between the starts of hosts that follow each other in rank.
pub const RANK_START_DELAY: Duration = Duration::from_millis(150);
/// Time between two sendings of an unanswered request to become primary.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Time for grants beyond the majority, which may allow a better choice.
pub const EXTRA_GRANTS_WAIT: Duration = Duration::from_millis(40);
/// The same while the majority counts the target that is being replaced.
pub const OTHER_MAJORITY_WAIT: Duration = Duration::from_millis(400);
/// Longest time to gather grants.
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for the chosen target to become primary.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that another host's promotion gets to come to its end.
pub const OTHER_PROMOTION_WAIT: Duration = Duration::from_millis(400);
/// First bound of the random backoff; doubles with each attempt.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Doublings of the backoff.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Bits of a promoter id that are random; the rest is the host.
const RANDOM_BITS: u32 = 39;

/// What a choice among equals considers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is leaving.
    pub draining: bool,
    /// Hosts in its failure domain.
    pub hosts_in_domain: u32,
}

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Ask `target` for `term`.
    Fence {
        /// Whom to ask.
        target: TargetId,
        /// The term.
        term: Term,
        /// On whose behalf.
        promoter: PromoterId,
    },
    /// Ask `target` to become the primary of `term`.
    Promote {
        /// Whom to ask.
        target: TargetId,
        /// The term.
        term: Term,
        /// On whose behalf.
        promoter: PromoterId,
    },
    /// `target` is the primary of `term`; the store may note it.
    Done {
        /// The new primary.
        target: TargetId,
        /// Its term.
        term: Term,
    },
    /// The attempt for `term` has ended without a primary.
    Failed {
        /// The term.
        term: Term,
    },
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    Waiting {
        until: Time,
        deposed: Replacement,
    },
    Fencing {
        attempt: Attempt,
        answers: BTreeMap<TargetId, Option<TermResponse>>,
        enough: Option<Time>,
    },
    Promoting {
        attempt: Attempt,
        target: TargetId,
    },
}

/// The primary that is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// Its term, or the highest one granted where there is no primary.
    pub term: Term,
    /// A target that is not to be chosen while the others suffice.
    pub avoid: Option<TargetId>,
    /// A target to choose among equals.
    pub preferred: Option<TargetId>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    term: Term,
    promoter: PromoterId,
    deposed: Replacement,
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
    accepted: Term,
    attempts: u32,
}

impl Promoter {
    /// A promoter for a group with these targets.
    pub fn new(host: HostId, targets: BTreeMap<TargetId, Candidate>, random: Source) -> Promoter {
        Promoter { host, random, targets, state: State::Idle, accepted: 0, attempts: 0 }
    }

    /// Sets what is known of the targets; the members of a group do not change during an attempt.
    pub fn set_targets(&mut self, targets: BTreeMap<TargetId, Candidate>) {
        let same = targets.keys().eq(self.targets.keys());
        self.targets = targets;
        if !same {
            self.state = State::Idle;
        }
    }

    /// Whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// A primary is to be replaced; this host is `rank` in the order of starts.
    pub fn replace_primary(&mut self, now: Time, deposed: Replacement, rank: u32) {
        self.accepted = self.accepted.max(deposed.term);
        if self.is_idle() {
            self.attempts = 0;
            let until = now + RANK_START_DELAY * rank;
            self.state = State::Waiting { until, deposed };
        }
    }

    /// A planned promotion of `preferred`, whose log holds all that the primary of `term` wrote.
    pub fn start_planned(&mut self, now: Time, term: Term, preferred: TargetId) -> Vec<Action> {
        self.accepted = self.accepted.max(term);
        self.attempts = 0;
        self.start(now, Replacement { term, avoid: None, preferred: Some(preferred) })
    }

    /// A target told its status.
    pub fn record_status(&mut self, now: Time, status: &Status) -> Vec<Action> {
        let raised = status.accepted_term > self.accepted;
        self.accepted = self.accepted.max(status.accepted_term);
        let led = status.leads().then_some(status.entry.term);
        let (term, ended) = match &mut self.state {
            State::Idle => return Vec::new(),
            State::Waiting { deposed, until } => {
                if raised {
                    *until = (*until).max(now + OTHER_PROMOTION_WAIT);
                }
                (deposed.term + 1, None)
            }
            State::Fencing { attempt, .. } => {
                (attempt.term, Some(Action::Failed { term: attempt.term }))
            }
            State::Promoting { attempt, target } if led == Some(attempt.term) => {
                (attempt.term, Some(Action::Done { target: *target, term: attempt.term }))
            }
            State::Promoting { attempt, .. } => {
                (attempt.term, Some(Action::Failed { term: attempt.term }))
            }
        };
        if led.is_none_or(|led| led < term) {
            return Vec::new();
        }
        self.state = State::Idle;
        ended.into_iter().collect()
    }

    /// `target` answered the fence for `term`, or could not be asked.
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

    /// `target` answered the request to become primary of `term`, or could not be asked.
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

    /// Time passes: starts, repeats and ends attempts.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        match &self.state {
            State::Idle => Vec::new(),
            State::Waiting { until, deposed } if now >= *until => self.start(now, *deposed),
            State::Waiting { .. } => Vec::new(),
            State::Fencing { .. } => self.tick_fencing(now),
            State::Promoting { .. } => self.tick_promoting(now),
        }
    }

    fn start(&mut self, now: Time, deposed: Replacement) -> Vec<Action> {
        self.accepted += 1;
        let host = i64::from(self.host) & ((1 << (63 - RANDOM_BITS)) - 1);
        let random = self.random.below(1 << RANDOM_BITS) as PromoterId;
        let promoter = (host << RANDOM_BITS) | random;
        let term = self.accepted;
        let attempt = Attempt { term, promoter, deposed, started: now, sent: now };
        self.attempts += 1;
        self.state = State::Fencing { attempt, answers: BTreeMap::new(), enough: None };
        fence(self.targets.keys().copied(), attempt)
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

    /// Chooses once a majority has granted and the rest has had its time.
    fn decide(&mut self, now: Time) -> Vec<Action> {
        let State::Fencing { attempt, answers, enough } = &mut self.state else {
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
        let others = without(&granters, attempt.deposed.avoid);
        let (granters, grace) = match others.len() >= needed {
            true => (others, EXTRA_GRANTS_WAIT),
            false if attempt.deposed.avoid.is_some() => (granters, OTHER_MAJORITY_WAIT),
            false => (granters, EXTRA_GRANTS_WAIT),
        };
        let since = *enough.get_or_insert(now);
        if !all && now.saturating_sub(since) < grace {
            return Vec::new();
        }
        let Some(target) = choose(&self.targets, &granters, attempt.deposed.preferred) else {
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
        let (term, deposed) = (attempt.term, attempt.deposed);
        let overtaken = self.accepted > term;
        let doublings = self.attempts.min(MAX_BACKOFF_DOUBLINGS);
        let jitter = self.random.time_below(INITIAL_BACKOFF * (1 << doublings));
        let patience = if overtaken { OTHER_PROMOTION_WAIT } else { Duration::ZERO };
        self.state = State::Waiting { until: now + patience + jitter, deposed };
        vec![Action::Failed { term }]
    }

    fn record_accepted_term(&mut self, answer: Option<TermResponse>) {
        self.accepted = self.accepted.max(answer.map_or(0, |answer| answer.accepted));
    }
}

/// Whether `answer` counts for a majority.
fn counts_for_majority(answer: &TermResponse) -> bool {
    answer.granted && answer.voter
}

fn fence(targets: impl Iterator<Item = TargetId>, attempt: Attempt) -> Vec<Action> {
    let (term, promoter) = (attempt.term, attempt.promoter);
    targets.map(|target| Action::Fence { target, term, promoter }).collect()
}

fn granters(
    answers: &BTreeMap<TargetId, Option<TermResponse>>,
) -> BTreeMap<TargetId, TermResponse> {
    let answers = answers.iter().filter_map(|(id, answer)| Some((*id, (*answer)?)));
    answers.filter(|(_, answer)| counts_for_majority(answer)).collect()
}

fn without(
    granters: &BTreeMap<TargetId, TermResponse>,
    avoid: Option<TargetId>,
) -> BTreeMap<TargetId, TermResponse> {
    let kept = granters.iter().filter(|(id, _)| Some(**id) != avoid);
    kept.map(|(id, answer)| (*id, *answer)).collect()
}

/// The granter to promote: highest last entry first, then the best placed.
///
/// `granters` has to be a majority; any majority will do.
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
