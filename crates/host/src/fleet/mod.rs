//! This host's part in the fleet: membership, configuration, authority.
//!
//! [`Fleet`] keeps the core's machines behind one lock. [`heartbeat`] exchanges heartbeats, [`follow`]
//! reads the platform, [`push`] spreads what was accepted, [`change`] writes the fleet row,
//! [`maintenance`] makes the changes that hosts make on their own, and [`loan`] asks peers for tokens
//! and connection slots.

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

/// What this host knows of the fleet.
pub struct Fleet {
    validity: Duration,
    fan_out: usize,
    state: Mutex<State>,
    epoch: watch::Sender<Epoch>,
    turn: tokio::sync::Mutex<u64>,
}

struct State {
    own: Member,
    holder: Holder,
    replica: Replica,
    view: View,
    spread: Adoption,
    divisions: DivisionCounter,
    adopted: Time,
}

/// Among whom connections are divided, and how long this host may act on that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Division {
    /// Recorded members.
    pub members: BTreeSet<HostId>,
    /// Count of divisions, see [`Count`].
    pub generation: u64,
    /// End of the present authority.
    pub deadline: Time,
}

/// This host's authority, as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Whether it may act.
    pub held: bool,
    /// Age of its newest proof.
    pub age: Option<Duration>,
    /// Where that comes from.
    pub source: Option<Source>,
}

/// A member as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Who.
    pub member: Member,
    /// Version that it last said it acts on.
    pub version: Version,
    /// Time since it was last heard; none if it never was.
    pub silence: Option<Duration>,
}

impl Fleet {
    /// Knows nobody yet.
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
            spread: Adoption::new().with_validity(validity),
            divisions: DivisionCounter::default(),
            adopted: Time::ZERO,
            own,
        };
        Fleet {
            validity,
            fan_out: settings.policy.fan_out,
            state: Mutex::new(state),
            epoch: watch::Sender::new(0),
            turn: tokio::sync::Mutex::new(0),
        }
    }

    /// This host as its peers know it.
    pub fn own_member(&self) -> Member {
        self.lock().own.clone()
    }

    /// Says from now on that this host is leaving.
    pub fn leave(&self) {
        self.lock().own.leaving = true;
    }

    /// Epoch in force here.
    pub fn epoch(&self) -> Epoch {
        self.lock().replica.row().epoch
    }

    /// Follows the epoch in force here.
    pub fn epochs(&self) -> watch::Receiver<Epoch> {
        self.epoch.subscribe()
    }

    /// The fleet row in force here.
    pub fn row(&self) -> Row {
        self.lock().replica.row().clone()
    }

    /// Time at which the row in force here was adopted.
    pub fn adopted_at(&self) -> Time {
        self.lock().adopted
    }

    /// Whether this host may act on what it knows.
    pub fn held(&self, now: Time) -> bool {
        self.lock().holder.is_held(now)
    }

    /// This host's authority.
    pub fn authority(&self, now: Time) -> Authority {
        let state = self.lock();
        Authority {
            held: state.holder.is_held(now),
            age: state.holder.age(now),
            source: state.holder.source(now),
        }
    }

    /// The division in force here.
    ///
    /// Members and authority are of one epoch: those of an older one must not be used for longer.
    pub fn division(&self, now: Time) -> Division {
        let state = self.lock();
        let age = state.holder.age(now).filter(|_| state.holder.is_recorded());
        Division {
            members: state.divisions.members().clone(),
            generation: state.divisions.generation(),
            deadline: age.map_or(Time::ZERO, |age| now.saturating_sub(age) + self.validity),
        }
    }

    /// Epoch and configuration version that every live host acts on.
    pub fn in_force(&self, now: Time) -> (Epoch, Version) {
        self.lock().spread.in_force(now)
    }

    /// Recorded members with what is seen of them; this host first.
    pub fn members(&self, now: Time) -> Vec<MemberStatus> {
        let state = self.lock();
        let row = state.replica.row();
        let seen = |member: &Member| {
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
        row.members.values().map(seen).collect()
    }

    /// Notes that `epoch` is about to be written; says whether it was still unknown here.
    pub fn announce(&self, now: Time, epoch: Epoch) -> bool {
        self.lock().holder.record_announcement(now, epoch)
    }

    /// What leads from `epoch` and `version` to those in force here.
    pub fn update(&self, epoch: Epoch, version: Version) -> Option<Update> {
        let state = self.lock();
        state.replica.update(state.own.host, epoch, version)
    }

    /// A read of the store, sent at `sent`, found `epoch`.
    fn record_read(&self, sent: Time, epoch: Epoch) {
        self.lock().holder.record_read(sent, epoch);
    }

    /// A peer answered a heartbeat that was sent at `sent`.
    fn answered(&self, now: Time, sent: Time, answer: &Heartbeat) {
        let mut state = self.lock();
        state.view.record_heartbeat(now, answer);
        state.holder.record_answer(sent, answer);
        let Member { host, incarnation, .. } = answer.member;
        state.spread.record_confirmed(host, incarnation, answer.epoch);
    }

    /// The recorded run of `host` answered a push with `epoch`.
    fn confirmed(&self, host: HostId, incarnation: Incarnation, epoch: Epoch) {
        self.lock().spread.record_confirmed(host, incarnation, epoch);
    }

    fn failed(&self, host: HostId, failure: Failure) {
        self.lock().view.record_probe_failure(host, failure);
    }

    fn listed(&self, now: Time, list: &[Member]) {
        self.lock().view.record_platform_list(now, list);
    }

    fn probes(&self) -> Vec<Member> {
        self.lock().view.probes()
    }

    /// Whether this host is among those that poll the store.
    pub fn is_poller(&self) -> bool {
        let state = self.lock();
        let members = &state.replica.row().members;
        member::is_poller(members, state.own.host, member::POLLERS_PER_DOMAIN)
    }

    /// Whether this host has to read the platform's list now.
    fn reads_list(&self, now: Time) -> bool {
        let state = self.lock();
        state.view.reads_list(now, &state.replica.row().members)
    }

    fn duty(&self, now: Time) -> Option<Task> {
        let state = self.lock();
        due_task(now, &state.own, &state.holder, &state.view, state.replica.row())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Host {
    /// Whether this host may act on the shared state now.
    pub fn has_authority(&self) -> bool {
        self.fleet.held(self.clock.now())
    }

    /// Whether the key still works and this host may say so; to be asked right before any byte of
    /// a request leaves for a target.
    pub fn accepts_key(&self, id: KeyId) -> bool {
        let ignored = self.settings.policy.defects.contains(&Defect::IgnoreWithdrawal);
        ignored || (self.has_authority() && key::is_active(&self.document(), id))
    }

    /// This host's heartbeat.
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

    /// Takes a peer's heartbeat.
    pub fn record_heartbeat(self: &Arc<Host>, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        self.fleet.lock().view.record_heartbeat(now, heartbeat);
        self.process_heartbeat(now, heartbeat);
    }

    /// What follows from any heartbeat, sent or answered.
    fn process_heartbeat(self: &Arc<Host>, now: Time, heartbeat: &Heartbeat) {
        self.peers.update_address(&heartbeat.member);
        self.failover.record_opinions(now, heartbeat.member.host, &heartbeat.opinions);
        if heartbeat.epoch > self.fleet.epoch() {
            push::catch_up(self, heartbeat.member.host);
        }
    }

    /// Moves to the update's epoch if it is higher; says whether it did.
    pub fn adopt(self: &Arc<Host>, update: Update) -> bool {
        let now = self.clock.now();
        let Update { origin, row, body } = update;
        {
            let mut state = self.fleet.lock();
            let previous = state.replica.row().clone();
            if let Err(fault) = state.replica.adopt(row.clone(), body.clone()) {
                log::debug!("epoch {} not taken: {fault}", row.epoch);
                return false;
            }
            let State { holder, view, spread, own, .. } = &mut *state;
            holder.adopt(row.epoch, &row.members, member::voters(&row.members));
            view.record_members(now, &row.members);
            spread.record_accepted(now, &row, &previous, own.host);
            state.adopted = now;
            // Published under the lock, so that no lower version is published after a higher one.
            let document = Arc::new(state.replica.document().clone());
            self.document.send_if_modified(|current| {
                let newer = current.version < document.version;
                if newer {
                    *current = document.clone();
                }
                newer
            });
            // Under the lock too: an older division must not replace a newer one.
            // A leaving host keeps its part: callers come until they have seen that it leaves.
            let hosts: BTreeSet<HostId> = row.members.keys().copied().collect();
            if state.divisions.adopt(row.epoch, &hosts) {
                self.limiter.record_missed_division();
            }
            self.limiter.divide(&document, &hosts, self.settings.host);
        }
        let own = row.members.get(&self.settings.host);
        if own.is_some_and(|m| m.leaving && m.incarnation == self.incarnation) {
            self.fleet.leave();
            self.leaving.send_replace(true);
        }
        log::info!("epoch {} with configuration {} in force here", row.epoch, row.version);
        self.divide(&row.members);
        self.fleet.epoch.send_replace(row.epoch);
        push::spread(self, Update { origin, row, body });
        true
    }

    /// Tells peers' connections and failover who the members are.
    fn divide(&self, members: &BTreeMap<HostId, Member>) {
        for member in members.values().filter(|m| m.host != self.settings.host) {
            self.peers.update_address(member);
        }
        let domains = members.values().map(|m| (m.host, m.failure_domain)).collect();
        self.failover.set_members(domains);
    }
}
