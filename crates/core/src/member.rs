//! Who belongs to the fleet, and who is still there.
//!
//! Three sources are joined. The member table of the fleet row says who may hold shares and vote;
//! it changes only by conditional writes. The platform's list says who started or is leaving, a
//! second or more late. Heartbeats say who answers now. A host is proposed for removal when no
//! host that answers hears it and one of two facts is there: its address refuses connections, or
//! it is off the platform's list. A host that merely cannot reach its peers stays: it reads the
//! store, so that it keeps its authority and its shares.
//!
//! With few peers every host probes all of them. With more, the hosts form a ring in pseudo-random
//! order on which each watches a fixed number of successors, so that all watchers of a host watch
//! or hear each other; and a tree rooted in the voters along which proofs of authority travel.

use crate::id::{Epoch, HostId, Incarnation, Time, Version};
use crate::peer::{Heartbeat, Member};
use crate::rendezvous::{self, Subject, weight};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Peers that a host watches; with no more peers than that, all.
pub const WATCHED_PEERS: usize = 8;
/// Hosts that take their proofs of authority from the same host of the tree.
pub const TREE_ARITY: usize = 16;
/// Hosts of the tree from which each host takes its proofs.
pub const TREE_PARENTS: usize = 2;
/// Silence after which a peer is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a suspected peer that is off the list, or refuses connections, is removed.
pub const REMOVE_AFTER: Duration = Duration::from_secs(2);
/// Voters of an epoch.
pub const MAX_VOTERS: usize = 9;
/// Hosts of one failure domain that poll the store.
pub const POLLERS_PER_DOMAIN: usize = 2;

/// Time for which the platform's list counts as evidence.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Order of hosts on the ring, among voters and among pollers.
const RING: Subject = Subject::Store(0);

/// What a failed probe says about a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time: it may be alive behind a partition.
    Timeout,
    /// Its address refuses connections: the process is gone.
    Refused,
}

/// What is known of one peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Latest identity.
    pub member: Member,
    /// Time of its last answer, or when this host began to look.
    pub last_received: Time,
    /// Whether it ever answered.
    pub has_answered: bool,
    /// Epoch that it last said it acts on.
    pub epoch: Epoch,
    /// Configuration version that it last said it acts on.
    pub version: Version,
    /// Hosts that it does not hear.
    pub silent: BTreeSet<HostId>,
    refused: bool,
}

/// The platform's list as last read.
#[derive(Debug, Clone)]
struct List {
    at: Time,
    runs: BTreeMap<HostId, Incarnation>,
}

/// One host's view of its peers.
#[derive(Debug, Clone)]
pub struct View {
    own: HostId,
    peers: BTreeMap<HostId, Peer>,
    recorded: BTreeMap<HostId, Incarnation>,
    listed: Option<List>,
    voters: Vec<HostId>,
    watched: usize,
}

impl View {
    /// Knows nobody yet.
    pub fn new(own: HostId) -> View {
        View {
            own,
            peers: BTreeMap::new(),
            recorded: BTreeMap::new(),
            listed: None,
            voters: Vec::new(),
            watched: WATCHED_PEERS,
        }
    }

    /// The same view with another number of watched peers.
    pub fn with_watched(mut self, watched: usize) -> View {
        self.watched = watched;
        self
    }

    /// Takes the member table of an adopted epoch.
    pub fn record_members(&mut self, now: Time, members: &BTreeMap<HostId, Member>) {
        self.recorded = members.iter().map(|(id, m)| (*id, m.incarnation)).collect();
        self.voters = voters(members).into_keys().collect();
        for member in members.values() {
            self.add_peer(now, member);
        }
        self.drop_unknown_peers();
    }

    /// Takes the platform's list.
    pub fn record_platform_list(&mut self, now: Time, list: &[Member]) {
        let runs = list.iter().map(|m| (m.host, m.incarnation)).collect();
        self.listed = Some(List { at: now, runs });
        for member in list {
            self.add_peer(now, member);
        }
        self.drop_unknown_peers();
    }

    /// Takes a peer's heartbeat or its answer to one.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        self.add_peer(now, &heartbeat.member);
        let Some(peer) = self.peers.get_mut(&heartbeat.member.host) else { return };
        if peer.member.incarnation != heartbeat.member.incarnation {
            return;
        }
        peer.member.leaving = heartbeat.member.leaving;
        peer.last_received = peer.last_received.max(now);
        peer.has_answered = true;
        peer.refused = false;
        peer.epoch = peer.epoch.max(heartbeat.epoch);
        peer.version = peer.version.max(heartbeat.version);
        peer.silent.clone_from(&heartbeat.silent);
    }

    /// Takes a failed probe.
    pub fn record_probe_failure(&mut self, host: HostId, failure: Failure) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.refused = failure == Failure::Refused;
        }
    }

    /// Peers by id.
    pub fn peers(&self) -> &BTreeMap<HostId, Peer> {
        &self.peers
    }

    /// Peers to probe in each round.
    pub fn probes(&self) -> Vec<Member> {
        let mut chosen = self.watched_by(self.own);
        if self.peers.len() > self.watched {
            chosen.extend(self.tree_parents());
            chosen.remove(&self.own);
        }
        chosen
            .iter()
            .filter_map(|host| self.peers.get(host))
            .map(|peer| peer.member.clone())
            .collect()
    }

    /// Recorded peers that this host does not hear.
    pub fn silent(&self, now: Time) -> BTreeSet<HostId> {
        self.silent_for(now, SUSPECT_AFTER)
    }

    /// Recorded peers that have been gone for `time`.
    pub fn removable(&self, now: Time, time: Duration) -> BTreeSet<HostId> {
        let mut silent = self.silent_for(now, time);
        silent.retain(|host| {
            self.is_known_stopped(now, *host) && self.is_missed_by_all_watchers(now, *host)
        });
        silent
    }

    /// Whether to read the platform's list: the task of those that poll, and of whoever misses a
    /// peer and so needs the list as evidence.
    pub fn reads_list(&self, now: Time, members: &BTreeMap<HostId, Member>) -> bool {
        is_poller(members, self.own, POLLERS_PER_DOMAIN) || !self.silent(now).is_empty()
    }

    /// Recorded peers with a smaller id that answer.
    pub fn rank(&self, now: Time) -> u32 {
        let before = self.peers.range(..self.own).map(|(_, peer)| peer);
        before.filter(|peer| self.is_answering(now, peer)).count() as u32
    }

    fn is_answering(&self, now: Time, peer: &Peer) -> bool {
        peer.has_answered && now.saturating_sub(peer.last_received) < SUSPECT_AFTER
    }

    fn silent_for(&self, now: Time, time: Duration) -> BTreeSet<HostId> {
        let quiet = |peer: &Peer| now.saturating_sub(peer.last_received) >= time;
        let mut silent = self.watched_by(self.own);
        silent.retain(|host| self.recorded.contains_key(host));
        silent.retain(|host| self.peers.get(host).is_some_and(quiet));
        silent
    }

    fn is_known_stopped(&self, now: Time, host: HostId) -> bool {
        let refused = self.peers.get(&host).is_some_and(|peer| peer.refused);
        // A host that was recorded after an old list was read is not on that list.
        let listed = self.listed.as_ref();
        let listed = listed.filter(|list| now.saturating_sub(list.at) < MAX_LIST_AGE);
        let unlisted = listed.is_some_and(|list| list.runs.get(&host) != self.recorded.get(&host));
        refused || unlisted
    }

    /// Whether every live watcher of `host` misses it too.
    fn is_missed_by_all_watchers(&self, now: Time, host: HostId) -> bool {
        let others = self.peers.values().filter(|peer| peer.member.host != host);
        others
            .filter(|peer| self.is_answering(now, peer))
            .filter(|peer| self.watched_by(peer.member.host).contains(&host))
            .all(|peer| peer.silent.contains(&host))
    }

    /// The hosts that follow `watcher` on the ring.
    fn watched_by(&self, watcher: HostId) -> BTreeSet<HostId> {
        let mut ring: Vec<HostId> = self.peers.keys().copied().chain([self.own]).collect();
        ring.sort_by_key(|host| (weight(*host, RING), *host));
        let start = ring.iter().position(|host| *host == watcher).map_or(0, |index| index + 1);
        let count = self.watched.min(ring.len() - 1);
        ring.iter().cycle().skip(start).take(count).copied().collect()
    }

    /// The hosts above this one in the tree of proofs; for a voter, the other voters.
    fn tree_parents(&self) -> Vec<HostId> {
        if self.voters.contains(&self.own) {
            return self.voters.clone();
        }
        let mut rest: Vec<HostId> = self.peers.keys().copied().chain([self.own]).collect();
        rest.retain(|host| !self.voters.contains(host));
        rest.sort_by_key(|host| (weight(*host, RING), *host));
        let Some(index) = rest.iter().position(|host| *host == self.own) else {
            return Vec::new();
        };
        let order: Vec<HostId> = self.voters.iter().chain(&rest).copied().collect();
        let parent = index / TREE_ARITY;
        let above = (self.voters.len() + index).max(1);
        (0..TREE_PARENTS).map(|n| order[(parent + n) % above]).collect()
    }

    /// Adds a peer, or replaces an earlier run of it.
    fn add_peer(&mut self, now: Time, member: &Member) {
        if member.host == self.own {
            return;
        }
        let newer = |peer: &Peer| member.incarnation > peer.member.incarnation;
        if self.peers.get(&member.host).is_none_or(newer) {
            let peer = Peer {
                member: member.clone(),
                last_received: now,
                has_answered: false,
                epoch: 0,
                version: 0,
                silent: BTreeSet::new(),
                refused: false,
            };
            self.peers.insert(member.host, peer);
        }
    }

    /// Drops peers that are neither recorded nor listed.
    fn drop_unknown_peers(&mut self) {
        let Some(List { runs, .. }) = &self.listed else { return };
        let recorded = &self.recorded;
        self.peers.retain(|host, _| recorded.contains_key(host) || runs.contains_key(host));
    }
}

/// Voters of an epoch with these members: at most [`VOTERS`], spread over failure domains.
///
/// Depends on nothing but the members, so that every host computes the same.
pub fn voters(members: &BTreeMap<HostId, Member>) -> BTreeMap<HostId, Incarnation> {
    let staying = || members.values().filter(|member| !member.leaving);
    let mut by_weight: Vec<&Member> = staying().collect();
    if by_weight.is_empty() {
        by_weight = members.values().collect();
    }
    by_weight.sort_by_key(|member| (weight(member.host, RING), member.host));
    let ranked = by_weight.into_iter().map(|member| (member.host, member.failure_domain));
    let chosen = rendezvous::interleave_domains(ranked).into_iter().take(MAX_VOTERS);
    chosen.map(|host| (host, members[&host].incarnation)).collect()
}

/// Whether `own` is among the hosts of its failure domain that poll the store.
pub fn is_poller(members: &BTreeMap<HostId, Member>, own: HostId, per_domain: usize) -> bool {
    let Some(member) = members.get(&own) else { return true };
    let rank = members
        .values()
        .filter(|other| other.failure_domain == member.failure_domain)
        .filter(|other| (weight(other.host, RING), other.host) < (weight(own, RING), own))
        .count();
    rank < per_domain
}
