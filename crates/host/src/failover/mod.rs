//! Failover: what this host knows of each group, and what it does when a primary fails.
//!
//! [`Failover`] holds, per service, the core's detector and promoter behind one lock. The driver
//! (see [`driver`]) probes the targets and carries out the machines' actions. The rest of the host
//! reports the outcomes of work with [`Failover::record_work`], tells peers [`Failover::opinions`] with
//! each heartbeat and at once when [`Failover::opinion_changed`] says so, and hands what it hears to
//! [`Failover::record_opinions`].

pub mod driver;
pub mod hold;
pub mod planned;

use crate::settings::{self, Settings};
use crate::target::probe::Control;
use crate::target::{Key, Status, View};
use bergamotvale_core::config::{Service, TargetState};
use bergamotvale_core::detect::{self, Detector};
use bergamotvale_core::id::{FailureDomainId, HostId, ServiceId, TargetId, Time};
use bergamotvale_core::log::Term;
use bergamotvale_core::peer::Opinion;
use bergamotvale_core::promotion::{self, Candidate, Promoter};
use bergamotvale_core::random::{Source, mix};
use bergamotvale_core::watch;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// What this host knows of all groups.
pub struct Failover {
    host: HostId,
    incarnation: u64,
    policy: settings::Policy,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    members: BTreeMap<HostId, FailureDomainId>,
    groups: BTreeMap<ServiceId, Group>,
}

/// What this host knows of one group.
pub(crate) struct Group {
    pub(crate) detector: Detector,
    pub(crate) promoter: Promoter,
    pub(crate) planned: Option<planned::Running>,
    pub(crate) hold: Option<hold::Hold>,
    pub(crate) controls: BTreeMap<TargetId, Arc<Control>>,
    pub(crate) probing: BTreeSet<TargetId>,
    pub(crate) rank: u32,
}

impl Failover {
    /// Knows nothing yet.
    pub fn new(settings: &Settings, incarnation: u64) -> Failover {
        let members = BTreeMap::from([(settings.host, settings.failure_domain)]);
        Failover {
            host: settings.host,
            incarnation,
            policy: settings.policy.clone(),
            state: Mutex::new(State { members, groups: BTreeMap::new() }),
            changed: Notify::new(),
        }
    }

    /// Sets the live hosts; some of them watch each group.
    pub fn set_members(&self, members: BTreeMap<HostId, FailureDomainId>) {
        let mut state = self.lock();
        if state.members == members {
            return;
        }
        state.members = members;
        let State { members, groups } = &mut *state;
        for (service, group) in groups {
            self.set_watchers(members, *service, group);
        }
    }

    /// The live hosts, as last set.
    pub fn members(&self) -> BTreeMap<HostId, FailureDomainId> {
        self.lock().members.clone()
    }

    /// What this host holds against primaries, for its heartbeats.
    pub fn opinions(&self, now: Time) -> BTreeMap<ServiceId, Opinion> {
        let state = self.lock();
        let groups = state.groups.iter();
        groups.filter_map(|(id, group)| Some((*id, group.opinion(now)?))).collect()
    }

    /// Waits until an opinion has changed in a way that peers should hear at once.
    pub async fn opinion_changed(&self) {
        self.changed.notified().await;
    }

    /// Takes what a peer holds against primaries.
    pub fn record_opinions(
        &self,
        now: Time,
        host: HostId,
        opinions: &BTreeMap<ServiceId, Opinion>,
    ) {
        let mut state = self.lock();
        for (service, opinion) in opinions {
            if let Some(group) = state.groups.get_mut(service) {
                group.detector.record_opinion(now, host, *opinion);
                if group.follow_hold(now, host, opinion) {
                    self.notify_peers();
                }
            }
        }
    }

    /// Work on a target ended, well or by the target's own fault.
    ///
    /// An error that the database gives for the statement's sake counts as well done.
    pub fn record_work(&self, now: Time, (service, target): Key, well: bool) {
        if let Some(group) = self.lock().groups.get_mut(&service) {
            group.detector.record_work(now, target, well);
        }
    }

    /// Work on a target timed out: the next probes try it with work of their own.
    pub fn suspect(&self, (service, target): Key) {
        if let Some(group) = self.lock().groups.get_mut(&service) {
            group.detector.suspect(target);
        }
    }

    /// What the targets of `service` last said.
    pub fn views(&self, service: ServiceId) -> BTreeMap<TargetId, View> {
        let state = self.lock();
        let Some(group) = state.groups.get(&service) else { return BTreeMap::new() };
        let targets = group.detector.targets().iter();
        targets
            .filter_map(|(id, health)| {
                Some((*id, View { status: health.status?, at: health.answered_at }))
            })
            .collect()
    }

    /// The primary of the highest term that any target or peer speaks of, and its term.
    pub fn primary(&self, service: ServiceId) -> Option<(TargetId, Term)> {
        self.lock().groups.get(&service)?.detector.primary()
    }

    /// Whether this host holds the primary of `service` failed.
    pub fn is_failed(&self, now: Time, service: ServiceId) -> bool {
        let state = self.lock();
        let opinion = state.groups.get(&service).and_then(|g| g.detector.opinion(now));
        opinion.is_some_and(|opinion| opinion.failed)
    }

    pub(crate) fn notify_peers(&self) {
        self.changed.notify_one();
    }

    /// Runs `work` on the state of `service`, if it has any.
    pub(crate) fn with<T>(
        &self,
        service: ServiceId,
        work: impl FnOnce(&mut Group) -> T,
    ) -> Option<T> {
        self.lock().groups.get_mut(&service).map(work)
    }

    /// Follows the configuration; answers the services that are new.
    pub(crate) fn follow(&self, services: &BTreeMap<ServiceId, Service>) -> Vec<ServiceId> {
        let mut state = self.lock();
        let State { members, groups, .. } = &mut *state;
        groups.retain(|id, _| services.contains_key(id));
        let mut new = Vec::new();
        for (id, service) in services {
            let candidates = candidates(members, service);
            let addresses = service.targets.iter().map(|(t, target)| (*t, target.address));
            let same = groups.get(id).is_some_and(|group| {
                let known = group.controls.iter().map(|(t, control)| (*t, control.address()));
                known.eq(addresses.clone())
            });
            if same {
                let group = groups.get_mut(id).expect("it was just found");
                group.promoter.set_targets(candidates);
                continue;
            }
            if !groups.contains_key(id) {
                new.push(*id);
            }
            let mut group = self.new_group(*id, candidates, addresses.collect());
            self.set_watchers(members, *id, &mut group);
            groups.insert(*id, group);
        }
        new
    }

    fn new_group(
        &self,
        service: ServiceId,
        candidates: BTreeMap<TargetId, Candidate>,
        addresses: BTreeMap<TargetId, std::net::SocketAddr>,
    ) -> Group {
        let settings = detect::Settings::new(self.policy.failover_after);
        let seed = mix(self.policy.seed ^ self.incarnation) ^ u64::from(service);
        let random = Source::new(seed);
        Group {
            detector: Detector::new(self.host, candidates.keys().copied(), settings),
            promoter: Promoter::new(self.host, candidates, random),
            planned: None,
            hold: None,
            controls: addresses.into_iter().map(|(t, a)| (t, Arc::new(Control::new(a)))).collect(),
            probing: BTreeSet::new(),
            rank: 0,
        }
    }

    fn set_watchers(
        &self,
        members: &BTreeMap<HostId, FailureDomainId>,
        service: ServiceId,
        group: &mut Group,
    ) {
        let chosen = match self.policy.failover {
            settings::Failover::Review => watch::choose(service, members, watch::MAX_WATCHERS),
            settings::Failover::Single | settings::Failover::Off => vec![self.host],
        };
        let rank = chosen.iter().position(|host| *host == self.host).unwrap_or(chosen.len());
        group.rank = u32::try_from(rank).unwrap_or(u32::MAX);
        group.detector.set_watchers(chosen.into_iter().collect());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Group {
    /// What this host holds against the primary, and whether it waits for a planned promotion.
    fn opinion(&self, now: Time) -> Option<Opinion> {
        let opinion = self.detector.opinion(now)?;
        Some(self.with_hold(opinion))
    }

    /// A target answered a probe.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        target: TargetId,
        status: Status,
    ) -> Vec<promotion::Action> {
        self.detector.record_probe_answer(now, target, status);
        self.promoter.record_status(now, &status)
    }
}

fn candidates(
    members: &BTreeMap<HostId, FailureDomainId>,
    service: &Service,
) -> BTreeMap<TargetId, Candidate> {
    let near = |domain: FailureDomainId| members.values().filter(|d| **d == domain).count();
    let targets = service.targets.iter();
    targets
        .map(|(id, target)| {
            let candidate = Candidate {
                failure_domain: target.failure_domain,
                draining: target.state == TargetState::Draining,
                hosts_in_domain: u32::try_from(near(target.failure_domain)).unwrap_or(u32::MAX),
            };
            (*id, candidate)
        })
        .collect()
}
