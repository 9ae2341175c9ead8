//! Failover: detects failed primaries and promotes replacements.
//!
//! [`Failover`] holds the core's detector and promoter of each service behind one lock. The
//! [`driver`] probes the targets and executes the actions of these state machines. The rest of the
//! host reports the outcomes of work with [`Failover::record_work`], sends [`Failover::opinions`]
//! to peers with each heartbeat and at once after [`Failover::opinion_changed`], and passes the
//! peers' opinions to [`Failover::record_opinions`].

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

/// State of all groups as this host knows it.
pub struct Failover {
    host: HostId,
    incarnation: u64,
    policy: settings::Policy,
    state: Mutex<State>,
    opinion_changed: Notify,
}

#[derive(Default)]
struct State {
    members: BTreeMap<HostId, FailureDomainId>,
    groups: BTreeMap<ServiceId, Group>,
}

/// State of one group as this host knows it.
pub(crate) struct Group {
    pub(crate) detector: Detector,
    pub(crate) promoter: Promoter,
    /// Planned promotion that this host runs.
    pub(crate) planned: Option<planned::Promotion>,
    /// Planned promotion of this or another host, for which requests to the primary are held.
    pub(crate) hold: Option<hold::Hold>,
    pub(crate) controls: BTreeMap<TargetId, Arc<Control>>,
    /// Targets with a probe in flight.
    pub(crate) probing: BTreeSet<TargetId>,
    /// Rank of this host among the group's watchers, which staggers promotions.
    pub(crate) rank: u32,
}

impl Failover {
    /// Creates the state of a host that has no services and knows itself as the only member.
    pub fn new(settings: &Settings, incarnation: u64) -> Failover {
        let members = BTreeMap::from([(settings.host, settings.failure_domain)]);
        Failover {
            host: settings.host,
            incarnation,
            policy: settings.policy.clone(),
            state: Mutex::new(State { members, groups: BTreeMap::new() }),
            opinion_changed: Notify::new(),
        }
    }

    /// Sets the members of the fleet, from which the watchers of each group are chosen.
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

    /// Members of the fleet and their failure domains, as last set.
    pub fn members(&self) -> BTreeMap<HostId, FailureDomainId> {
        self.lock().members.clone()
    }

    /// This host's opinions of the primaries, for its heartbeats.
    pub fn opinions(&self, now: Time) -> BTreeMap<ServiceId, Opinion> {
        let state = self.lock();
        let groups = state.groups.iter();
        groups.filter_map(|(id, group)| Some((*id, group.opinion(now)?))).collect()
    }

    /// Waits until an opinion has changed that peers should receive at once.
    pub async fn opinion_changed(&self) {
        self.opinion_changed.notified().await;
    }

    /// Records a peer's opinions of the primaries.
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
                if group.observe_hold(now, host, opinion) {
                    self.notify_peers();
                }
            }
        }
    }

    /// Records whether work on a target succeeded or failed because of the target.
    ///
    /// Errors that the statement caused count as success.
    pub fn record_work(&self, now: Time, (service, target): Key, succeeded: bool) {
        if let Some(group) = self.lock().groups.get_mut(&service) {
            group.detector.record_work(now, target, succeeded);
        }
    }

    /// Records that work on a target timed out: the next probes test it with work of their own.
    pub fn suspect(&self, (service, target): Key) {
        if let Some(group) = self.lock().groups.get_mut(&service) {
            group.detector.suspect(target);
        }
    }

    /// Last status of each target of `service`; targets that never answered are left out.
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

    /// Primary of the highest term that any target or peer has reported, and that term.
    pub fn primary(&self, service: ServiceId) -> Option<(TargetId, Term)> {
        self.lock().groups.get(&service)?.detector.primary()
    }

    /// Whether this host considers the primary of `service` failed.
    pub fn is_failed(&self, now: Time, service: ServiceId) -> bool {
        let state = self.lock();
        let opinion = state.groups.get(&service).and_then(|g| g.detector.opinion(now));
        opinion.is_some_and(|opinion| opinion.failed)
    }

    /// Makes the next heartbeats go out at once.
    pub(crate) fn notify_peers(&self) {
        self.opinion_changed.notify_one();
    }

    /// Calls `work` with the group of `service` under the lock; `None` if there is no such group.
    pub(crate) fn with_group<T>(
        &self,
        service: ServiceId,
        work: impl FnOnce(&mut Group) -> T,
    ) -> Option<T> {
        self.lock().groups.get_mut(&service).map(work)
    }

    /// Sets the configured services; returns those that are new.
    ///
    /// A group whose target addresses changed starts over without evidence.
    pub(crate) fn set_services(&self, services: &BTreeMap<ServiceId, Service>) -> Vec<ServiceId> {
        let mut state = self.lock();
        let State { members, groups, .. } = &mut *state;
        groups.retain(|id, _| services.contains_key(id));
        let mut added = Vec::new();
        for (id, service) in services {
            let candidates = candidates(members, service);
            let addresses = service.targets.iter().map(|(t, target)| (*t, target.address));
            let is_unchanged = groups.get(id).is_some_and(|group| {
                let known = group.controls.iter().map(|(t, control)| (*t, control.address()));
                known.eq(addresses.clone())
            });
            if is_unchanged {
                let group = groups.get_mut(id).expect("the group was found above");
                group.promoter.set_targets(candidates);
                continue;
            }
            if !groups.contains_key(id) {
                added.push(*id);
            }
            let mut group = self.new_group(*id, candidates, addresses.collect());
            self.set_watchers(members, *id, &mut group);
            groups.insert(*id, group);
        }
        added
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
    /// Opinion of the primary, with the hold for a planned promotion.
    fn opinion(&self, now: Time) -> Option<Opinion> {
        let opinion = self.detector.opinion(now)?;
        Some(self.with_hold(opinion))
    }

    /// Records a target's answer to a probe.
    pub(crate) fn record_probe_answer(
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
    let hosts_in = |domain: FailureDomainId| members.values().filter(|d| **d == domain).count();
    let targets = service.targets.iter();
    targets
        .map(|(id, target)| {
            let candidate = Candidate {
                failure_domain: target.failure_domain,
                draining: target.state == TargetState::Draining,
                hosts_in_domain: u32::try_from(hosts_in(target.failure_domain)).unwrap_or(u32::MAX),
            };
            (*id, candidate)
        })
        .collect()
}
