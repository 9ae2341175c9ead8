//! Seeded random search over promotions with crashes, pauses, lost messages and rebuilds.
//!
//! Guards against an acknowledged entry that is missing on the primary of a higher term, and
//! against two primaries in one term. Deliberately broken variants show that the checks detect
//! both.

mod group;

use bergamotvale_core::group::{Role, Status, TermResponse};
use bergamotvale_core::id::{TargetId, Time};
use bergamotvale_core::log::Position;
use bergamotvale_core::promotion::{Action, Candidate, Promoter, Replacement};
use bergamotvale_core::random::Source;
use group::{Group, Message, Target};
use std::time::Duration;

const RUNS: u64 = 4_000;
const STEPS: u32 = 400;
const PROMOTERS: u32 = 3;

/// A deliberate defect, applied to the messages that promoters send and receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Compares granted terms instead of last entries when choosing a target.
    ChooseByAccepted,
    /// Counts a target that is being rebuilt towards the majority.
    CountRebuilding,
    /// Sends a fence to a target more than once.
    RepeatFence,
    /// All attempts use the same promoter id.
    SharedPromoter,
}

struct World {
    random: Source,
    defect: Defect,
    group: Group,
    promoters: Vec<(Promoter, Time)>,
    requests: Vec<(usize, Action)>,
    answers: Vec<(usize, Action, Option<TermResponse>)>,
    messages: Vec<Message>,
    now: Time,
    promotions: u32,
}

impl World {
    fn new(seed: u64, targets: TargetId, defect: Defect) -> World {
        let candidates = || (0..targets).map(|id| (id, Candidate::default())).collect();
        let promoter =
            |host| Promoter::new(host, candidates(), Source::new(seed ^ u64::from(host)));
        World {
            random: Source::new(seed),
            defect,
            group: Group::new(targets),
            promoters: (0..PROMOTERS).map(|host| (promoter(host), Time::ZERO)).collect(),
            requests: Vec::new(),
            answers: Vec::new(),
            messages: Vec::new(),
            now: Time::ZERO,
            promotions: 0,
        }
    }

    fn step(&mut self) {
        self.now += self.random.time_below(Duration::from_millis(40));
        let target = self.random.below(self.group.targets.len() as u64) as TargetId;
        match self.random.below(100) {
            0..=9 => self.group.write(target),
            10..=24 => self.replicate(target),
            25..=49 => self.deliver_message(),
            50..=64 => self.deliver_request(),
            65..=79 => self.deliver_answer(),
            80..=84 => self.depose(),
            85..=92 => self.tick(),
            93..=94 => self.observe(target),
            95 => self.group.kill(target),
            96..=97 => self.group.restart(target),
            98 => self.rebuild(target),
            _ => self.pause(),
        }
    }

    /// Rebuilds a target; its connections end, so all messages in flight to or from it are lost.
    fn rebuild(&mut self, id: TargetId) {
        if self.group.rebuild(id) {
            self.messages.retain(|message| match message {
                Message::Append { from, to, .. } | Message::Appended { from, to, .. } => {
                    *from != id && *to != id
                }
            });
        }
    }

    fn replicate(&mut self, from: TargetId) {
        let to = self.random.below(self.group.targets.len() as u64) as TargetId;
        self.messages.extend(self.group.append_message(from, to));
    }

    /// Delivers a message of any age; some are lost or duplicated.
    fn deliver_message(&mut self) {
        let Some(message) = pick(&mut self.random, &mut self.messages) else { return };
        if self.random.chance(50) {
            return;
        }
        if self.random.chance(50) {
            self.messages.push(message.clone());
        }
        let reply = self.group.deliver(message);
        self.messages.extend(reply);
    }

    fn deliver_request(&mut self) {
        let Some((by, action)) = pick(&mut self.random, &mut self.requests) else { return };
        if self.random.chance(50) {
            return;
        }
        let repeats = self.defect == Defect::RepeatFence && self.random.chance(300);
        if repeats && matches!(action, Action::Fence { .. }) {
            self.requests.push((by, action));
        }
        let before = match action {
            Action::Fence { target, .. } => self.group.targets[&target].clone(),
            _ => Target::default(),
        };
        let answer = match action {
            Action::Fence { target, term, promoter } => {
                let promoter = self.promoter_id(promoter);
                self.group.fence(target, term, promoter)
            }
            Action::Promote { target, term, promoter } => {
                let promoter = self.promoter_id(promoter);
                self.group.promote(target, term, promoter)
            }
            Action::Done { .. } | Action::Failed { .. } => return,
        };
        if self.random.chance(50) {
            return;
        }
        let answer = answer.map(|answer| self.distort(answer, &before));
        self.answers.push((by, action, answer));
    }

    fn promoter_id(&self, promoter: i64) -> i64 {
        if self.defect == Defect::SharedPromoter { 1 } else { promoter }
    }

    fn distort(&self, answer: TermResponse, before: &Target) -> TermResponse {
        match self.defect {
            Defect::ChooseByAccepted => {
                let entry = Position::new(before.accepted, answer.entry.index);
                TermResponse { entry, ..answer }
            }
            Defect::CountRebuilding => TermResponse { voter: true, ..answer },
            Defect::None | Defect::RepeatFence | Defect::SharedPromoter => answer,
        }
    }

    fn deliver_answer(&mut self) {
        let Some((by, action, answer)) = pick(&mut self.random, &mut self.answers) else { return };
        let now = self.now;
        let promoter = &mut self.promoters[by].0;
        let actions = match action {
            Action::Fence { target, term, .. } => promoter.record_fence(now, target, term, answer),
            Action::Promote { target, term, .. } => {
                promoter.record_promotion(now, target, term, answer)
            }
            Action::Done { .. } | Action::Failed { .. } => Vec::new(),
        };
        self.enqueue(by, actions);
    }

    fn depose(&mut self) {
        let by = self.random.below(u64::from(PROMOTERS)) as usize;
        let term = self.random.below(4);
        let avoid = self.random.chance(300).then_some(0);
        let replacement = Replacement { term, avoid, preferred: None };
        self.promoters[by].0.replace_primary(self.now, replacement, by as u32);
    }

    fn tick(&mut self) {
        let by = self.random.below(u64::from(PROMOTERS)) as usize;
        if self.now >= self.promoters[by].1 {
            let actions = self.promoters[by].0.tick(self.now);
            self.enqueue(by, actions);
        }
    }

    fn observe(&mut self, target: TargetId) {
        let by = self.random.below(u64::from(PROMOTERS)) as usize;
        let status = status(&self.group.targets[&target]);
        let actions = self.promoters[by].0.record_status(self.now, &status);
        self.enqueue(by, actions);
    }

    fn pause(&mut self) {
        let by = self.random.below(u64::from(PROMOTERS)) as usize;
        self.promoters[by].1 = self.now + self.random.time_below(Duration::from_secs(5));
    }

    fn enqueue(&mut self, by: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Done { .. } => self.promotions += 1,
                Action::Failed { .. } => {}
                request => self.requests.push((by, request)),
            }
        }
    }
}

fn status(target: &Target) -> Status {
    Status {
        role: if target.leading_term.is_some() { Role::Primary } else { Role::Replica },
        accepted_term: target.accepted,
        entry: target.last_entry(),
        applied: target.last_entry(),
        confirmed: Position::default(),
        age: Duration::ZERO,
        primary: None,
        term_start: 0,
    }
}

fn pick<T>(random: &mut Source, from: &mut Vec<T>) -> Option<T> {
    let at = random.below(from.len() as u64) as usize;
    (!from.is_empty()).then(|| from.swap_remove(at))
}

/// Runs one seed; returns the first violation and the number of completed promotions.
fn run(seed: u64, targets: TargetId, defect: Defect) -> (Option<String>, u32) {
    let mut world = World::new(seed, targets, defect);
    for step in 0..STEPS {
        world.step();
        if let Some(entry) = world.group.lost_entry() {
            return (Some(format!("seed {seed}, step {step}: lost {entry:?}")), world.promotions);
        }
        if let Some(term) = world.group.split_term() {
            return (Some(format!("seed {seed}, step {step}: split {term}")), world.promotions);
        }
    }
    (None, world.promotions)
}

fn search(targets: TargetId, defect: Defect) -> (Option<String>, u32) {
    let mut promotions = 0;
    for seed in 0..RUNS {
        let (violation, seen) = run(seed, targets, defect);
        promotions += seen;
        if violation.is_some() {
            return (violation, promotions);
        }
    }
    (None, promotions)
}

#[test]
fn three_targets_hold() {
    let (violation, promotions) = search(3, Defect::None);
    assert_eq!(violation, None);
    assert!(promotions > 1_000, "only {promotions} promotions completed");
}

#[test]
fn five_targets_hold() {
    let (violation, promotions) = search(5, Defect::None);
    assert_eq!(violation, None);
    assert!(promotions > 1_000, "only {promotions} promotions completed");
}

#[test]
fn choice_by_accepted_term_is_found() {
    assert!(search(3, Defect::ChooseByAccepted).0.is_some_and(|found| found.contains("lost")));
}

#[test]
fn counted_rebuilding_target_is_found() {
    assert!(search(3, Defect::CountRebuilding).0.is_some_and(|found| found.contains("lost")));
}

#[test]
fn repeated_fence_is_found() {
    assert!(search(3, Defect::RepeatFence).0.is_some_and(|found| found.contains("lost")));
}

#[test]
fn shared_promoter_id_is_found() {
    assert!(search(3, Defect::SharedPromoter).0.is_some_and(|found| found.contains("split")));
}
