//! Runs a case, a fault at a step of a protocol, against the checks of the fleet and the
//! expectation of the case.

use super::{Fleet, case};
use bergamotvale_core::config::{Document, Edit, TargetState};
use bergamotvale_core::id::{HostId, ServiceId, TargetId, Time};
use bergamotvale_core::key;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// Time that the fleet takes to form before the events of a case.
const FORMATION_TIME: Duration = Duration::from_secs(3);
/// Key that cases withdraw.
const KEY: u64 = 7;
/// Target that cases drain.
const TARGET: (ServiceId, TargetId) = (1, 1);
const SEED: u64 = 11;

type Case = case::Case<Given, Event, Expect>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    hosts: u32,
    /// Duration of the case in ms.
    time: u64,
}

/// An event. It occurs once `at` ms have passed since the start and the step `when` is reached; each
/// condition is optional.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Event {
    at: Option<u64>,
    when: Option<Step>,
    on: Action,
    host: Option<HostId>,
    value: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Step {
    Announced,
    Written,
    Accepted,
    Spread,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Withdraw,
    DrainTarget,
    CutStore,
    CutPeers,
    Heal,
    StoreDown,
    StoreUp,
    StoreSlow,
    LoseAnswers,
    Pause,
    Resume,
    Kill,
    Start,
    Leave,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    /// Outcomes that the publisher may report; `None` if any outcome is valid.
    outcome: Option<Vec<String>>,
    /// Time in ms after acceptance from which no host accepts the key.
    key_dead_within: Option<u64>,
    /// Time in ms after acceptance from which no host sends work to the drained target.
    target_idle_within: Option<u64>,
    /// Time in ms after acceptance by which the change is reported as in force everywhere.
    in_force_within: Option<u64>,
    /// Time in ms after its start by which the host that was started last is active.
    joined_within: Option<u64>,
    /// Members at the end of the case.
    members: Vec<HostId>,
    /// Hosts that are active at the end.
    acting: Vec<HostId>,
    /// Configuration version of the active hosts at the end.
    version: u64,
}

struct Run {
    fleet: Fleet,
    publisher: HostId,
    key_accepted_at: Option<Time>,
    target_used_at: Option<Time>,
    accepted: Option<Time>,
    in_force: Option<Time>,
    started: Option<(HostId, Time)>,
    joined: Option<Time>,
}

pub(crate) fn run(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = case::read(path)?;
    let mut fleet = Fleet::new(case.given.hosts, SEED);
    fleet.run(FORMATION_TIME);
    let mut run = Run {
        fleet,
        publisher: 1,
        key_accepted_at: None,
        target_used_at: None,
        accepted: None,
        in_force: None,
        started: None,
        joined: None,
    };

    run.apply_events(&case);

    run.verify(&case).map_err(|text| case::describe(&case, &text).into())
}

impl Run {
    fn apply_events(&mut self, case: &Case) {
        let start = self.fleet.now;
        let mut waiting: Vec<&Event> = case.events.iter().collect();
        while self.fleet.now < start + Duration::from_millis(case.given.time) {
            let elapsed = self.fleet.now - start;
            let (due, later): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|event| self.is_due(event, elapsed));
            due.into_iter().for_each(|event| self.perform(event));
            waiting = later;
            self.fleet.step();
            self.observe();
        }
        assert!(waiting.is_empty(), "events that never became due: {waiting:?}");
    }

    fn is_due(&self, event: &Event, elapsed: Duration) -> bool {
        let is_time = event.at.is_none_or(|at| elapsed >= Duration::from_millis(at));
        is_time && event.when.is_none_or(|step| self.is_reached(step))
    }

    fn is_reached(&self, step: Step) -> bool {
        let publisher = self.fleet.nodes.get(&self.publisher);
        let attempt = publisher.and_then(|node| node.attempt.as_ref());
        match step {
            Step::Announced => attempt.is_some(),
            Step::Written => attempt.is_some_and(|attempt| attempt.writing),
            Step::Accepted => self.accepted.is_some(),
            Step::Spread => self.adopters().any(|host| host != self.publisher),
        }
    }

    fn adopters(&self) -> impl Iterator<Item = HostId> {
        let nodes = self.fleet.nodes.iter();
        nodes.filter(|(_, node)| node.replica.row().version >= 2).map(|(host, _)| *host)
    }

    fn perform(&mut self, event: &Event) {
        let host = event.host.unwrap_or(self.publisher);
        let value = event.value.unwrap_or(0);
        let fleet = &mut self.fleet;
        match event.on {
            Action::Withdraw | Action::DrainTarget => {
                self.publisher = host;
                let node = fleet.nodes.get_mut(&host).expect("the publisher is running");
                let document = node.replica.document();
                let edit = match event.on {
                    Action::Withdraw => key::withdraw(document, KEY).expect("known key"),
                    _ => drain_edit(document),
                };
                node.pending_edits.push(vec![edit]);
            }
            Action::CutStore => drop(fleet.store.partitioned.insert(host)),
            Action::CutPeers => fleet.partition_from_peers(host),
            Action::Heal => {
                fleet.store.partitioned.clear();
                fleet.partitioned.clear();
            }
            Action::StoreDown => fleet.store.down = true,
            Action::StoreUp => fleet.store.down = false,
            Action::StoreSlow => fleet.store.delay = Duration::from_millis(value),
            Action::LoseAnswers => fleet.store.answers_to_lose = value as u32,
            Action::Pause => fleet.nodes.get_mut(&host).expect("running").paused = true,
            Action::Resume => fleet.resume(host),
            Action::Kill => fleet.kill(host),
            Action::Start => {
                fleet.start(host);
                self.started = Some((host, fleet.now));
            }
            Action::Leave => fleet.nodes.get_mut(&host).expect("running").member.leaving = true,
        }
    }

    fn observe(&mut self) {
        let now = self.fleet.now;
        let stored = self.fleet.store.row.as_ref().map_or(0, |(row, _)| row.version);
        if stored >= 2 {
            self.accepted.get_or_insert(now);
        }
        if self.fleet.nodes.values().any(|node| node.accepts_key(now, KEY)) {
            self.key_accepted_at = Some(now);
        }
        if self
            .fleet
            .nodes
            .values()
            .any(|node| node.is_active(now) && is_target_active(node.replica.document()))
        {
            self.target_used_at = Some(now);
        }
        let live = self.fleet.nodes.values_mut().filter(|node| !node.paused);
        if live.map(|node| node.adoption.in_force(now).1).max() >= Some(2) {
            self.in_force.get_or_insert(now);
        }
        let joined = |(host, _): (HostId, Time)| {
            self.fleet.nodes.get(&host).is_some_and(|node| node.is_active(now))
        };
        if self.joined.is_none() && self.started.is_some_and(joined) {
            self.joined = Some(now);
        }
    }

    fn verify(&self, case: &Case) -> Result<(), String> {
        let expect = &case.expect;
        if let Some(violation) = self.fleet.violations.first() {
            return Err(violation.clone());
        }
        let outcome = self.fleet.nodes.get(&self.publisher).and_then(|node| node.outcome());
        if let Some(allowed) = &expect.outcome {
            let got = outcome.map_or("none".to_owned(), |outcome| outcome.to_string());
            ensure(allowed.contains(&got), || format!("outcome {got}"))?;
        }
        let since =
            |at: Option<Time>, start: Option<Time>| at.zip(start).map(|(a, s)| a - s.min(a));
        ensure_within(
            "key served",
            since(self.key_accepted_at, self.accepted),
            expect.key_dead_within,
        )?;
        let target_used = since(self.target_used_at, self.accepted);
        ensure(expect.target_idle_within.is_none() || self.accepted.is_some(), || {
            "the change was not accepted".into()
        })?;
        ensure_within("target used", target_used, expect.target_idle_within)?;
        ensure_within("in force", since(self.in_force, self.accepted), expect.in_force_within)?;
        let started = self.started.map(|(_, at)| at);
        ensure(expect.in_force_within.is_none() || self.in_force.is_some(), || {
            "the change was not reported as in force".into()
        })?;
        ensure(expect.joined_within.is_none() || self.joined.is_some(), || "not joined".into())?;
        ensure_within("joined", since(self.joined, started), expect.joined_within)?;
        self.verify_end(expect)
    }

    fn verify_end(&self, expect: &Expect) -> Result<(), String> {
        let now = self.fleet.now;
        let row = self.fleet.store.row.as_ref().map(|(row, _)| row.clone()).unwrap_or_default();
        let members: Vec<HostId> = row.members.keys().copied().collect();
        ensure(members == expect.members, || format!("members {members:?}"))?;
        let acting = self.fleet.nodes.iter().filter(|(_, node)| node.is_active(now));
        let acting: Vec<HostId> = acting.map(|(host, _)| *host).collect();
        ensure(acting == expect.acting, || format!("acting {acting:?}"))?;
        for host in acting {
            let version = self.fleet.nodes[&host].replica.row().version;
            ensure(version == expect.version, || format!("host {host} has version {version}"))?;
        }
        Ok(())
    }
}

/// Returns the edit that drains [`TARGET`].
fn drain_edit(document: &Document) -> Edit {
    let (service, target) = TARGET;
    let mut next = document.services[&service].clone();
    next.targets.get_mut(&target).expect("the service has the target").state =
        TargetState::Draining;
    Edit::PutService(service, next)
}

/// Whether a host that acts on `document` sends work to [`TARGET`].
fn is_target_active(document: &Document) -> bool {
    let (service, target) = TARGET;
    let service = document.services.get(&service);
    service.is_some_and(|service| service.targets[&target].state == TargetState::Active)
}

fn ensure_within(what: &str, took: Option<Duration>, limit: Option<u64>) -> Result<(), String> {
    let Some(limit) = limit.map(Duration::from_millis) else { return Ok(()) };
    ensure(took.unwrap_or_default() <= limit, || format!("{what} took {took:?}"))
}

fn ensure(condition: bool, text: impl FnOnce() -> String) -> Result<(), String> {
    if condition { Ok(()) } else { Err(text()) }
}
