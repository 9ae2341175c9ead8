//! Fleet membership, configuration and authority of this host.
//!
//! [`Fleet`] keeps the core's state machines behind one lock. [`heartbeat`] exchanges heartbeats
//! with peers, [`follow`] polls the platform, [`push`] distributes accepted epochs, [`change`]
//! writes the fleet row, [`maintenance`] makes changes that need no operator, [`leave`] removes
//! this host from the fleet, and [`loan`] borrows rate tokens and connection slots from peers.

pub mod change;
pub mod follow;
pub mod heartbeat;
pub mod leave;
pub mod loan;
pub mod maintenance;
pub mod push;

use crate::settings::{Defect, Settings};
use crate::shared::Host;
use bergamotvale_core::authority::{Holder, Source};
use bergamotvale_core::distribute::{Adoption, Replica, Row};
use bergamotvale_core::id::{Epoch, HostId, Incarnation, KeyId, Time, Version};
use bergamotvale_core::key;
use bergamotvale_core::maintenance::{Task, due_task};
use bergamotvale_core::member::{self, Failure, View};
use bergamotvale_core::peer::{Heartbeat, Member, Update};
use bergamotvale_core::share::DivisionCounter;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// State of the fleet as this host knows it.
pub struct Fleet {
    validity: Duration,
    fan_out: usize,
    state: Mutex<State>,
    epoch: watch::Sender<Epoch>,
    /// Attempts of this incarnation to write the row; the lock serializes its changes.
    attempts: tokio::sync::Mutex<u64>,
}

struct State {
    own: Member,
    holder: Holder,
    replica: Replica,
    view: View,
    adoption: Adoption,
    divisions: DivisionCounter,
    adopted_at: Time,
}

/// Members between which connections are divided, and how long this host may act on that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Division {
    /// Recorded members of the epoch in force here.
    pub members: BTreeSet<HostId>,
    /// Number of divisions so far, see [`DivisionCounter::generation`].
    pub generation: u64,
    /// Time at which this host's authority expires; zero while this incarnation is not recorded or
    /// without a renewal.
    pub deadline: Time,
}

/// This host's authority to act on its copy of the shared state, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Whether this incarnation is recorded and its latest renewal has not expired.
    pub held: bool,
    /// Time since the latest renewal; `None` if there was none.
    pub age: Option<Duration>,
    /// Origin of the latest renewal; `None` without authority.
    pub source: Option<Source>,
}

/// A member of the fleet, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Entry of the member table, marked as leaving as soon as the host reports that it leaves.
    pub member: Member,
    /// Configuration version that the member last reported to act on.
    pub version: Version,
    /// Time since its last heartbeat; `None` if none was received.
    pub silence: Option<Duration>,
}

impl Fleet {
    /// Creates the state of a host that knows no peers and has no authority.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Fleet {
        let own = Member {
            host: settings.host,
            incarnation,
            peer_address: settings.listen.peers,
            failure_domain: settings.failure_domain,
            leaving: false,
        };
        let validity = settings.policy.authority;
        let state = State {
            holder: Holder::new(own.host, incarnation).with_validity(validity),
            replica: Replica::new(),
            view: View::new(own.host).with_watched(settings.policy.fan_out),
            adoption: Adoption::new().with_validity(validity),
            divisions: DivisionCounter::default(),
            adopted_at: Time::ZERO,
            own,
        };
        Fleet {
            validity,
            fan_out: settings.policy.fan_out,
            state: Mutex::new(state),
            epoch: watch::Sender::new(0),
            attempts: tokio::sync::Mutex::new(0),
        }
    }

    /// This host's entry for the member table.
    pub fn own_member(&self) -> Member {
        self.lock().own.clone()
    }

    /// Reports to peers from now on that this host is leaving.
    pub fn mark_leaving(&self) {
        self.lock().own.leaving = true;
    }

    /// Epoch that this host acts on.
    pub fn epoch(&self) -> Epoch {
        self.lock().replica.row().epoch
    }

    /// Subscribes to the epoch that this host acts on.
    pub fn subscribe_epoch(&self) -> watch::Receiver<Epoch> {
        self.epoch.subscribe()
    }

    /// Fleet row that this host acts on.
    pub fn row(&self) -> Row {
        self.lock().replica.row().clone()
    }

    /// Time at which that row was adopted.
    pub fn adopted_at(&self) -> Time {
        self.lock().adopted_at
    }

    /// Whether this host may act on its copy of the shared state at `now`.
    pub fn has_authority(&self, now: Time) -> bool {
        self.lock().holder.is_held(now)
    }

    /// Authority of this host at `now`.
    pub fn authority(&self, now: Time) -> Authority {
        let state = self.lock();
        Authority {
            held: state.holder.is_held(now),
            age: state.holder.age(now),
            source: state.holder.source(now),
        }
    }

    /// Division that this host acts on.
    ///
    /// Members and deadline are read under one lock, so that they belong to the same epoch: members
    /// of an older epoch must not be used under the authority of a newer one.
    pub fn division(&self, now: Time) -> Division {
        let state = self.lock();
        let age = state.holder.age(now).filter(|_| state.holder.is_recorded());
        Division {
            members: state.divisions.members().clone(),
            generation: state.divisions.generation(),
            deadline: age.map_or(Time::ZERO, |age| now.saturating_sub(age) + self.validity),
        }
    }

    /// Latest epoch and configuration version that are known to be in force on every live host.
    pub fn in_force(&self, now: Time) -> (Epoch, Version) {
        self.lock().adoption.in_force(now)
    }

    /// Status of the recorded members, in the order of their ids.
    pub fn members(&self, now: Time) -> Vec<MemberStatus> {
        let state = self.lock();
        let row = state.replica.row();
        let status = |member: &Member| {
            if member.host == state.own.host {
                let silence = Some(Duration::ZERO);
                return MemberStatus { member: state.own.clone(), version: row.version, silence };
            }
            let peer = state.view.peers().get(&member.host);
            let silence =
                peer.filter(|p| p.has_answered).map(|p| now.saturating_sub(p.last_received));
            let mut member = member.clone();
            member.leaving |= peer.is_some_and(|p| p.member.leaving);
            MemberStatus { member, version: peer.map_or(0, |p| p.version), silence }
        };
        row.members.values().map(status).collect()
    }

    /// Records that `epoch` is about to be written; false if this host already has that epoch.
    pub fn record_announcement(&self, now: Time, epoch: Epoch) -> bool {
        self.lock().holder.record_announcement(now, epoch)
    }

    /// Update from `epoch` and `version` to those of this host; `None` if its epoch is not higher.
    pub fn update(&self, epoch: Epoch, version: Version) -> Option<Update> {
        let state = self.lock();
        state.replica.update(state.own.host, epoch, version)
    }

    /// Records that a read of the store, sent at `sent`, found `epoch`.
    fn record_read(&self, sent: Time, epoch: Epoch) {
        self.lock().holder.record_read(sent, epoch);
    }

    /// Records a peer's answer to a heartbeat that was sent at `sent`.
    fn record_answer(&self, now: Time, sent: Time, answer: &Heartbeat) {
        let mut state = self.lock();
        state.view.record_heartbeat(now, answer);
        state.holder.record_answer(sent, answer);
        let Member { host, incarnation, .. } = answer.member;
        state.adoption.record_confirmed(host, incarnation, answer.epoch);
    }

    /// Records that `incarnation` of `host` confirmed `epoch` in its answer to a push.
    fn record_confirmation(&self, host: HostId, incarnation: Incarnation, epoch: Epoch) {
        self.lock().adoption.record_confirmed(host, incarnation, epoch);
    }

    fn record_failure(&self, host: HostId, failure: Failure) {
        self.lock().view.record_probe_failure(host, failure);
    }

    fn record_platform_list(&self, now: Time, list: &[Member]) {
        self.lock().view.record_platform_list(now, list);
    }

    fn peers_to_probe(&self) -> Vec<Member> {
        self.lock().view.probes()
    }

    /// Whether this host is among those that poll the store for their failure domain.
    pub fn is_poller(&self) -> bool {
        let state = self.lock();
        let members = &state.replica.row().members;
        member::is_poller(members, state.own.host, member::POLLERS_PER_DOMAIN)
    }

    /// Whether this host has to read the platform's list of hosts now.
    fn should_read_list(&self, now: Time) -> bool {
        let state = self.lock();
        state.view.reads_list(now, &state.replica.row().members)
    }

    fn due_task(&self, now: Time) -> Option<Task> {
        let state = self.lock();
        due_task(now, &state.own, &state.holder, &state.view, state.replica.row())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Host {
    /// Whether this host may act on its copy of the shared state now.
    pub fn has_authority(&self) -> bool {
        self.fleet.has_authority(self.clock.now())
    }

    /// Whether the key is active and this host has the authority to rely on that.
    ///
    /// Must be called immediately before any byte of a request is sent to a target, so that no
    /// request runs under a withdrawn key.
    pub fn accepts_key(&self, id: KeyId) -> bool {
        let ignored = self.settings.policy.defects.contains(&Defect::IgnoreWithdrawal);
        ignored || (self.has_authority() && key::is_active(&self.document(), id))
    }

    /// Creates a heartbeat with the present state of this host.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let opinions = self.failover.opinions(now);
        let state = self.fleet.lock();
        Heartbeat {
            member: state.own.clone(),
            version: state.replica.row().version,
            epoch: state.holder.epoch(),
            age: state.holder.age(now),
            announced: state.holder.announced(),
            silent: state.view.silent(now),
            opinions,
        }
    }

    /// Processes a heartbeat that a peer sent.
    pub fn record_heartbeat(self: &Arc<Host>, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        self.fleet.lock().view.record_heartbeat(now, heartbeat);
        self.process_heartbeat(now, heartbeat);
    }

    /// Processes what heartbeats and the answers to them have in common.
    fn process_heartbeat(self: &Arc<Host>, now: Time, heartbeat: &Heartbeat) {
        self.peers.update_address(&heartbeat.member);
        self.failover.record_opinions(now, heartbeat.member.host, &heartbeat.opinions);
        if heartbeat.epoch > self.fleet.epoch() {
            push::fetch_update(self, heartbeat.member.host);
        }
    }

    /// Moves to the update's epoch if it is higher, and pushes the update on; false if the update
    /// was rejected.
    pub fn adopt(self: &Arc<Host>, update: Update) -> bool {
        let now = self.clock.now();
        let Update { origin, row, body } = update;
        {
            let mut state = self.fleet.lock();
            let previous = state.replica.row().clone();
            if let Err(fault) = state.replica.adopt(row.clone(), body.clone()) {
                log::debug!("rejected update to epoch {}: {fault}", row.epoch);
                return false;
            }
            let State { holder, view, adoption, own, .. } = &mut *state;
            holder.adopt(row.epoch, &row.members, member::voters(&row.members));
            view.record_members(now, &row.members);
            adoption.record_accepted(now, &row, &previous, own.host);
            state.adopted_at = now;
            // Published under the lock, so that no lower version is published after a higher one.
            let document = Arc::new(state.replica.document().clone());
            self.document.send_if_modified(|current| {
                let is_newer = current.version < document.version;
                if is_newer {
                    *current = document.clone();
                }
                is_newer
            });
            // Under the lock too, so that an older division cannot replace a newer one. A leaving
            // host keeps its share, since callers use it until they have seen that it is leaving.
            let hosts: BTreeSet<HostId> = row.members.keys().copied().collect();
            if state.divisions.adopt(row.epoch, &hosts) {
                self.limiter.record_missed_division();
            }
            self.limiter.divide(&document, &hosts, self.settings.host);
        }
        let own = row.members.get(&self.settings.host);
        if own.is_some_and(|m| m.leaving && m.incarnation == self.incarnation) {
            self.fleet.mark_leaving();
            self.leaving.send_replace(true);
        }
        log::info!("adopted epoch {} with configuration version {}", row.epoch, row.version);
        self.apply_members(&row.members);
        self.fleet.epoch.send_replace(row.epoch);
        push::push_to_children(self, Update { origin, row, body });
        true
    }

    /// Passes the members on to the connections to peers and to failover.
    fn apply_members(&self, members: &BTreeMap<HostId, Member>) {
        for member in members.values().filter(|m| m.host != self.settings.host) {
            self.peers.update_address(member);
        }
        let domains = members.values().map(|m| (m.host, m.failure_domain)).collect();
        self.failover.set_members(domains);
    }
}
