//! The promoters of all hosts, whose calls to targets may be lost, late or blocked.

use super::{HOSTS, Scene, TARGETS};
use bergamotvale_core::group::TermResponse;
use bergamotvale_core::id::{HostId, TargetId};
use bergamotvale_core::promotion::{Action, Candidate, Promoter, Replacement};
use bergamotvale_core::random::Source;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of rounds of the promotion at the end of a run.
const MAX_FINISH_ROUNDS: u32 = 10_000;

struct Call {
    host: HostId,
    incarnation: u64,
    action: Action,
    /// Outer `None` while the call is in flight, inner `None` if the call or its answer was lost.
    answer: Option<Option<TermResponse>>,
}

pub struct Promotions {
    seed: u64,
    promoters: BTreeMap<HostId, (u64, Promoter)>,
    calls: Vec<Call>,
    pub completed: u64,
}

fn promoter(host: HostId, seed: u64) -> Promoter {
    let candidates = (0..TARGETS).map(|id| (id, Candidate::default())).collect();
    Promoter::new(host, candidates, Source::new(seed))
}

impl Promotions {
    pub fn new(seed: u64) -> Promotions {
        let promoters = (0..HOSTS).map(|host| (host, (0, promoter(host, seed ^ u64::from(host)))));
        Promotions { seed, promoters: promoters.collect(), calls: Vec::new(), completed: 0 }
    }

    /// Replaces the promoter of a host by one of a new incarnation, without state of earlier
    /// attempts.
    pub fn restart(&mut self, host: HostId, incarnation: u64) {
        let seed = self.seed ^ u64::from(host) ^ (incarnation << 32);
        self.promoters.insert(host, (incarnation, promoter(host, seed)));
    }

    pub fn step(&mut self, scene: &mut Scene) {
        match scene.random.below(10) {
            0 => self.depose(scene),
            1..=4 => self.deliver_call(scene),
            5..=7 => self.deliver_response(scene),
            _ => self.tick(scene),
        }
    }

    /// Makes a host replace its primary if it is unhealthy, and in 5% of the attempts also if it is
    /// healthy.
    fn depose(&mut self, scene: &mut Scene) {
        let host = scene.random_host();
        let Some(primary) = scene.hosts[&host].primary else { return };
        let target = &scene.group.targets[&primary];
        let is_healthy =
            target.is_up && target.leading_term.is_some() && !scene.is_blocked(host, primary);
        let (term, by_mistake) = (target.accepted, scene.random.chance(50));
        if is_healthy && !by_mistake || scene.hosts[&host].paused_until > scene.now {
            return;
        }
        let replacement = Replacement { term, avoid: None, preferred: None };
        let promoter = &mut self.promoters.get_mut(&host).expect("known host").1;
        if promoter.is_idle() {
            promoter.replace_primary(scene.now, replacement, host);
        }
    }

    fn tick(&mut self, scene: &mut Scene) {
        let host = scene.random_host();
        if scene.hosts[&host].paused_until <= scene.now {
            let now = scene.now;
            let actions = self.promoters.get_mut(&host).expect("known host").1.tick(now);
            self.enqueue(host, actions);
        }
    }

    /// Delivers a call to its target, or loses it.
    fn deliver_call(&mut self, scene: &mut Scene) {
        let is_in_flight = |call: &Call| call.answer.is_none();
        let Some(at) = pick_call(&mut scene.random, &self.calls, is_in_flight) else { return };
        let call = &self.calls[at];
        let (target, host) = (target_of(&call.action), call.host);
        if scene.is_blocked(host, target) || scene.random.chance(20) {
            self.calls[at].answer = Some(None);
            return;
        }
        let answer = match call.action {
            Action::Fence { target, term, promoter } => scene.group.fence(target, term, promoter),
            // A target that is being rebuilt rejects a promotion.
            Action::Promote { target, .. } if !scene.group.targets[&target].voter => None,
            Action::Promote { target, term, promoter } => {
                scene.group.promote(target, term, promoter)
            }
            Action::Done { .. } | Action::Failed { .. } => None,
        };
        let is_lost = scene.loses_answer();
        self.calls[at].answer = Some(answer.filter(|_| !is_lost));
    }

    /// Delivers the answer to a call, or its absence, to the host that made the call.
    fn deliver_response(&mut self, scene: &mut Scene) {
        let now = scene.now;
        let hosts = &scene.hosts;
        let ready = |call: &Call| call.answer.is_some() && hosts[&call.host].paused_until <= now;
        let Some(at) = pick_call(&mut scene.random, &self.calls, ready) else { return };
        let Call { host, incarnation, action, answer } = self.calls.swap_remove(at);
        let (current, promoter) = self.promoters.get_mut(&host).expect("known host");
        if *current != incarnation {
            return;
        }
        let answer = answer.flatten();
        let actions = match action {
            Action::Fence { target, term, .. } => promoter.record_fence(now, target, term, answer),
            Action::Promote { target, term, .. } => {
                promoter.record_promotion(now, target, term, answer)
            }
            Action::Done { .. } | Action::Failed { .. } => Vec::new(),
        };
        self.enqueue(host, actions);
    }

    fn enqueue(&mut self, host: HostId, actions: Vec<Action>) {
        let incarnation = self.promoters[&host].0;
        for action in actions {
            match action {
                Action::Done { .. } => self.completed += 1,
                Action::Failed { .. } => {}
                action => self.calls.push(Call { host, incarnation, action, answer: None }),
            }
        }
    }

    /// Promotes a target once more, without faults, so that one log survives.
    pub fn finish(&mut self, scene: &mut Scene) {
        self.calls.clear();
        for host in 0..HOSTS {
            let incarnation = self.promoters[&host].0 + 1;
            self.restart(host, incarnation);
            scene.hosts.get_mut(&host).expect("known host").paused_until = Duration::ZERO;
        }
        let terms = scene.group.targets.values().map(|target| target.accepted);
        let term = terms.max().expect("a group has targets");
        let replacement = Replacement { term, avoid: None, preferred: None };
        let promoter = &mut self.promoters.get_mut(&0).expect("known host").1;
        promoter.replace_primary(scene.now, replacement, 0);
        let completed_before = self.completed;
        for _ in 0..MAX_FINISH_ROUNDS {
            scene.now += Duration::from_millis(5);
            self.tick(scene);
            self.deliver_call(scene);
            self.deliver_response(scene);
            if self.completed > completed_before {
                return;
            }
        }
        panic!("no promotion completed on a healed group");
    }
}

fn target_of(action: &Action) -> TargetId {
    match action {
        Action::Fence { target, .. } | Action::Promote { target, .. } => *target,
        Action::Done { .. } | Action::Failed { .. } => 0,
    }
}

fn pick_call(random: &mut Source, calls: &[Call], wanted: impl Fn(&Call) -> bool) -> Option<usize> {
    let indices: Vec<usize> = (0..calls.len()).filter(|at| wanted(&calls[*at])).collect();
    let chosen = random.below(indices.len() as u64) as usize;
    indices.get(chosen).copied()
}
