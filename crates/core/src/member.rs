//! Membership of the fleet and liveness of its members.
//!
//! Combines three sources. The member table of the fleet row defines which hosts may have shares
//! and vote; it changes only by conditional writes. The platform's list shows which hosts started
//! or are leaving, with a delay of a second or more. Heartbeats show which hosts answer now. A host
//! is proposed for removal if none of its watchers that answer receives its heartbeats and either
//! its address refuses connections or it is not on the platform's list. A host that merely cannot
//! reach its peers stays a member: it reads the store, and so keeps its authority and its shares.
//!
//! In a small fleet every host probes all others. In a larger one the hosts form a ring in
//! pseudo-random order on which each watches a fixed number of successors, so that all watchers of
//! a host watch or receive heartbeats from each other, and a tree rooted at the voters along which
//! renewals of authority are passed on.

use crate::id::{Epoch, HostId, Incarnation, Time, Version};
use crate::peer::{Heartbeat, Member};
use crate::rendezvous::{self, Subject, weight};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Number of peers that a host watches; it watches all peers if there are no more than this.
pub const WATCHED_PEERS: usize = 8;
/// Children of a host in the tree along which renewals of authority are passed on.
pub const TREE_ARITY: usize = 16;
/// Parents of a host in that tree.
pub const TREE_PARENTS: usize = 2;
/// Time without a heartbeat after which a peer is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Time without a heartbeat after which a peer that is not on the platform's list, or refuses
/// connections, is removed.
pub const REMOVE_AFTER: Duration = Duration::from_secs(2);
/// Largest number of voters of an epoch.
pub const MAX_VOTERS: usize = 9;
/// Number of hosts in each failure domain that poll the store.
pub const POLLERS_PER_DOMAIN: usize = 2;

/// Age up to which the platform's list is used as evidence.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Hash subject for the order of hosts on the ring, among voters and among pollers.
const RING: Subject = Subject::Store(0);

/// Outcome of a failed probe of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time: the peer may be alive behind a partition.
    Timeout,
    /// The address refuses connections: the process has exited.
    Refused,
}

/// State of one peer as this host knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Latest known incarnation of the peer.
    pub member: Member,
    /// Time of the last heartbeat received, or at which this host learned of the peer.
    pub last_received: Time,
    /// Whether any heartbeat of this incarnation was received.
    pub has_answered: bool,
    /// Highest epoch that the peer reported acting on.
    pub epoch: Epoch,
    /// Highest configuration version that the peer reported acting on.
    pub version: Version,
    /// Members whose heartbeats the peer does not receive.
    pub silent: BTreeSet<HostId>,
    refused: bool,
}

/// The platform's list of hosts as last read.
#[derive(Debug, Clone)]
struct List {
    at: Time,
    incarnations: BTreeMap<HostId, Incarnation>,
}

/// One host's view of its peers.
#[derive(Debug, Clone)]
pub struct View {
    own: HostId,
    peers: BTreeMap<HostId, Peer>,
    recorded: BTreeMap<HostId, Incarnation>,
    platform_list: Option<List>,
    voters: Vec<HostId>,
    watched: usize,
}

impl View {
    /// Creates a view without peers.
    pub fn new(own: HostId) -> View {
        View {
            own,
            peers: BTreeMap::new(),
            recorded: BTreeMap::new(),
            platform_list: None,
            voters: Vec::new(),
            watched: WATCHED_PEERS,
        }
    }

    /// Sets the number of peers that each host watches.
    pub fn with_watched(mut self, watched: usize) -> View {
        self.watched = watched;
        self
    }

    /// Records the member table of an adopted epoch.
    pub fn record_members(&mut self, now: Time, members: &BTreeMap<HostId, Member>) {
        self.recorded = members.iter().map(|(id, m)| (*id, m.incarnation)).collect();
        self.voters = voters(members).into_keys().collect();
        for member in members.values() {
            self.add_peer(now, member);
        }
        self.drop_unknown_peers();
    }

    /// Records the platform's list as read at `now`.
    pub fn record_platform_list(&mut self, now: Time, list: &[Member]) {
        let incarnations = list.iter().map(|m| (m.host, m.incarnation)).collect();
        self.platform_list = Some(List { at: now, incarnations });
        for member in list {
            self.add_peer(now, member);
        }
        self.drop_unknown_peers();
    }

    /// Records a peer's heartbeat or its answer to one; those of older incarnations are ignored.
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

    /// Records a failed probe of `host`.
    pub fn record_probe_failure(&mut self, host: HostId, failure: Failure) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.refused = failure == Failure::Refused;
        }
    }

    /// All known peers by id, without this host.
    pub fn peers(&self) -> &BTreeMap<HostId, Peer> {
        &self.peers
    }

    /// Peers to send a heartbeat to in each round.
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

    /// Watched members whose heartbeats this host no longer receives.
    pub fn silent(&self, now: Time) -> BTreeSet<HostId> {
        self.silent_for(now, SUSPECT_AFTER)
    }

    /// Watched members without a heartbeat for `time` that have certainly stopped and that none of
    /// their live watchers can reach.
    pub fn removable(&self, now: Time, time: Duration) -> BTreeSet<HostId> {
        let mut silent = self.silent_for(now, time);
        silent.retain(|host| {
            self.is_known_stopped(now, *host) && self.is_missed_by_all_watchers(now, *host)
        });
        silent
    }

    /// Whether to read the platform's list: done by the pollers, and by a host that suspects a peer
    /// and needs the list as evidence.
    pub fn reads_list(&self, now: Time, members: &BTreeMap<HostId, Member>) -> bool {
        is_poller(members, self.own, POLLERS_PER_DOMAIN) || !self.silent(now).is_empty()
    }

    /// Number of live peers with a smaller id; used to order actions that any host may take.
    pub fn rank(&self, now: Time) -> u32 {
        let before = self.peers.range(..self.own).map(|(_, peer)| peer);
        before.filter(|peer| self.is_answering(now, peer)).count() as u32
    }

    fn is_answering(&self, now: Time, peer: &Peer) -> bool {
        peer.has_answered && now.saturating_sub(peer.last_received) < SUSPECT_AFTER
    }

    fn silent_for(&self, now: Time, time: Duration) -> BTreeSet<HostId> {
        let is_silent = |peer: &Peer| now.saturating_sub(peer.last_received) >= time;
        let mut silent = self.watched_by(self.own);
        silent.retain(|host| self.recorded.contains_key(host));
        silent.retain(|host| self.peers.get(host).is_some_and(is_silent));
        silent
    }

    fn is_known_stopped(&self, now: Time, host: HostId) -> bool {
        let refused = self.peers.get(&host).is_some_and(|peer| peer.refused);
        // A list that is too old would lack a host that became a member after it was read.
        let listed = self.platform_list.as_ref();
        let listed = listed.filter(|list| now.saturating_sub(list.at) < MAX_LIST_AGE);
        let unlisted =
            listed.is_some_and(|list| list.incarnations.get(&host) != self.recorded.get(&host));
        refused || unlisted
    }

    /// Whether every other live watcher of `host` reports it as silent too.
    fn is_missed_by_all_watchers(&self, now: Time, host: HostId) -> bool {
        let others = self.peers.values().filter(|peer| peer.member.host != host);
        others
            .filter(|peer| self.is_answering(now, peer))
            .filter(|peer| self.watched_by(peer.member.host).contains(&host))
            .all(|peer| peer.silent.contains(&host))
    }

    /// Hosts that follow `watcher` on the ring.
    fn watched_by(&self, watcher: HostId) -> BTreeSet<HostId> {
        let mut ring: Vec<HostId> = self.peers.keys().copied().chain([self.own]).collect();
        ring.sort_by_key(|host| (weight(*host, RING), *host));
        let start = ring.iter().position(|host| *host == watcher).map_or(0, |index| index + 1);
        let count = self.watched.min(ring.len() - 1);
        ring.iter().cycle().skip(start).take(count).copied().collect()
    }

    /// Parents of this host in the tree of renewals; for a voter, all voters.
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

    /// Adds a peer, or replaces an earlier incarnation of it.
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

    /// Removes peers that are neither members nor on the platform's list.
    fn drop_unknown_peers(&mut self) {
        let Some(List { incarnations, .. }) = &self.platform_list else { return };
        let recorded = &self.recorded;
        self.peers.retain(|host, _| recorded.contains_key(host) || incarnations.contains_key(host));
    }
}

/// Voters of an epoch with these members: at most [`MAX_VOTERS`], spread over failure domains.
///
/// Depends only on the members, so every host computes the same voters.
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

/// Whether `own` is among the `per_domain` hosts of its failure domain that poll the store; true
/// for a host that is not a member.
pub fn is_poller(members: &BTreeMap<HostId, Member>, own: HostId, per_domain: usize) -> bool {
    let Some(member) = members.get(&own) else { return true };
    let rank = members
        .values()
        .filter(|other| other.failure_domain == member.failure_domain)
        .filter(|other| (weight(other.host, RING), other.host) < (weight(own, RING), own))
        .count();
    rank < per_domain
}
