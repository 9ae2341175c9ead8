//! Simulated fleet: the state machines of the core over a fake store and a fake network, with a
//! manual clock.
#![allow(dead_code, clippy::unwrap_used, reason = "shared by several test binaries")]

#[path = "../common/case.rs"]
pub(crate) mod case;
pub(crate) mod checker;
pub(crate) mod node;
pub(crate) mod script;

use bergamotvale_core::config::{Account, Document, Key, KeyState, Service, Target, TargetState};
use bergamotvale_core::distribute::{Author, Row};
use bergamotvale_core::id::{Epoch, HostId, Incarnation, Time};
use bergamotvale_core::peer::{Heartbeat, Member, Update};
use node::Node;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) const STEP: Duration = Duration::from_millis(10);
pub(crate) const KEYS: u64 = 64;

/// A deliberate defect, which shows that a check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Defect {
    /// Writers write a row without announcing its epoch first.
    SkipAnnouncement,
    /// An answer of the store with an older epoch replaces the replica.
    LateReadOverwrites,
    /// Heartbeats don't report announced epochs.
    ForgetAnnouncement,
    /// The authority of a host never expires.
    NeverExpire,
    /// A heartbeat answer of any incarnation, at any epoch, renews the authority.
    AnyIncarnationVotes,
    /// Writers report attempts with an unknown outcome, or overtaken ones, as accepted.
    ReportLostAsAccepted,
    /// A host reports an epoch as in force everywhere as soon as it has adopted it.
    ReportInForceAtOnce,
}

/// A message between hosts, or between a host and the store (`Read`, `Write` and their answers).
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Heartbeat { sent: Time, heartbeat: Heartbeat },
    HeartbeatAnswer { sent: Time, heartbeat: Heartbeat },
    Announce { attempt: u64, epoch: Epoch },
    AnnounceAnswer { attempt: u64, acknowledged: bool, epoch: Epoch },
    Push(Update),
    Fetch { epoch: Epoch, version: u64 },
    Read { attempt: Option<u64>, sent: Time },
    ReadAnswer { attempt: Option<u64>, sent: Time, row: Option<(Row, Document)> },
    Write { attempt: u64, row: Row, document: Document },
    WriteAnswer { attempt: u64, accepted: bool, row: Option<Row> },
}

/// Fake of the table service that keeps the row of the configuration and the members.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) row: Option<(Row, Document)>,
    pub(crate) accepted: BTreeMap<Epoch, (Time, Author)>,
    pub(crate) down: bool,
    pub(crate) delay: Duration,
    pub(crate) answers_to_lose: u32,
    pub(crate) partitioned: BTreeSet<HostId>,
}

/// A message in flight. `from` or `to` is `None` for the store. An answer has the incarnation that
/// requested it and is dropped by any other.
#[derive(Debug, Clone)]
pub(crate) struct Envelope {
    from: Option<(HostId, Incarnation)>,
    to: Option<HostId>,
    incarnation: Option<Incarnation>,
    message: Message,
}

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: BTreeMap<HostId, Node>,
    pub(crate) store: Store,
    pub(crate) partitioned: BTreeSet<(HostId, HostId)>,
    pub(crate) defects: BTreeSet<Defect>,
    pub(crate) random: StdRng,
    pub(crate) violations: Vec<String>,
    pub(crate) history: checker::History,
    queue: BTreeMap<(Time, u64), Envelope>,
    sequence: u64,
}

pub(crate) fn member(host: HostId, incarnation: u64) -> Member {
    Member {
        host,
        incarnation,
        peer_address: format!("127.0.0.1:{}", 7000 + host).parse().unwrap(),
        failure_domain: (host % 3) as u16,
        leaving: false,
    }
}

/// Returns a configuration with one service, one client account and [`KEYS`] keys.
pub(crate) fn document() -> Document {
    let target = |n: u16| Target {
        address: format!("127.0.0.1:{}", 5000 + n).parse().unwrap(),
        failure_domain: n,
        connections: 20,
        state: TargetState::Active,
    };
    let service = Service {
        name: "orders".to_owned(),
        targets: (0..3).map(|n| (n, target(n))).collect(),
        retention: Duration::from_secs(60),
    };
    let account =
        Account { name: "loom".to_owned(), rate: 100, burst: 50, weight: 1, services: [1].into() };
    let key =
        Key { account: 1, salt: "0".repeat(64), digest: "1".repeat(64), state: KeyState::Active };
    Document {
        version: 1,
        services: [(1, service)].into(),
        accounts: [(1, account)].into(),
        keys: (1..=KEYS).map(|id| (id, key.clone())).collect(),
        routes: BTreeMap::new(),
    }
}

impl Fleet {
    pub(crate) fn new(hosts: u32, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            store: Store { delay: STEP, ..Store::default() },
            partitioned: BTreeSet::new(),
            defects: BTreeSet::new(),
            random: StdRng::seed_from_u64(seed),
            violations: Vec::new(),
            history: checker::History::default(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for host in 1..=hosts {
            fleet.start(host);
        }
        fleet
    }

    pub(crate) fn with_defect(mut self, defect: Defect) -> Fleet {
        self.defects.insert(defect);
        self
    }

    /// Starts a host, or a new incarnation of it.
    pub(crate) fn start(&mut self, host: HostId) {
        let incarnation = self.now.as_millis() as u64 + 1;
        self.nodes.insert(host, Node::new(member(host, incarnation), self.now, &self.defects));
    }

    /// Removes a host at once, without a graceful stop.
    pub(crate) fn kill(&mut self, host: HostId) {
        self.nodes.remove(&host);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`, for at most `time`; returns whether the condition was met.
    pub(crate) fn run_until(
        &mut self,
        time: Duration,
        mut done: impl FnMut(&mut Fleet) -> bool,
    ) -> bool {
        let end = self.now + time;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        checker::check(self);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let envelope = entry.remove();
            self.deliver(envelope);
        }
        let hosts: Vec<HostId> = self.nodes.keys().copied().collect();
        for host in hosts {
            let now = self.now;
            let node = self.nodes.get_mut(&host).unwrap();
            if node.paused {
                continue;
            }
            let outgoing = node.tick(now);
            self.send_all(host, outgoing, None);
        }
        checker::check(self);
    }

    /// Sends messages of `from`; answers among them are addressed to the incarnation in
    /// `requester`.
    fn send_all(
        &mut self,
        from: HostId,
        outgoing: Vec<(Option<HostId>, Message)>,
        requester: Option<(HostId, Incarnation)>,
    ) {
        let own = self.nodes[&from].member.incarnation;
        for (to, message) in outgoing {
            let delay = if to.is_none() { self.store.delay } else { STEP };
            let is_answer =
                matches!(message, Message::HeartbeatAnswer { .. } | Message::AnnounceAnswer { .. });
            let incarnation = requester.filter(|_| is_answer).map(|(_, incarnation)| incarnation);
            self.send(delay, Envelope { from: Some((from, own)), to, incarnation, message });
        }
    }

    fn send(&mut self, delay: Duration, envelope: Envelope) {
        let jitter = Duration::from_millis(self.random.random_range(0..20));
        let is_late = self.random.random_bool(0.01);
        let late_delay = Duration::from_millis(self.random.random_range(0..3000));
        self.sequence += 1;
        let at = self.now + delay + if is_late { late_delay } else { jitter };
        self.queue.insert((at, self.sequence), envelope);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from.map(|(host, _)| host), envelope.to);
        match (from, to) {
            (Some(_), None) => self.handle_store_request(envelope),
            (from, Some(to)) => {
                let is_partitioned = match from {
                    Some(from) => self.partitioned.contains(&(from.min(to), from.max(to))),
                    None => self.store.partitioned.contains(&to),
                };
                if !is_partitioned {
                    self.deliver_to(to, envelope);
                }
            }
            (None, None) => {}
        }
    }

    fn deliver_to(&mut self, to: HostId, envelope: Envelope) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else {
            let sender = envelope.from.and_then(|(from, _)| self.nodes.get_mut(&from));
            sender.into_iter().for_each(|sender| sender.record_refused(to));
            return;
        };
        if envelope.incarnation.is_some_and(|incarnation| incarnation != node.member.incarnation) {
            return;
        }
        if node.paused {
            node.deferred.push(envelope);
            return;
        }
        let outgoing = node.receive(now, envelope.from.map(|(host, _)| host), envelope.message);
        self.send_all(to, outgoing, envelope.from);
    }

    fn handle_store_request(&mut self, envelope: Envelope) {
        let Some((from, incarnation)) = envelope.from else { return };
        if self.store.down || self.store.partitioned.contains(&from) {
            return;
        }
        let answer = match envelope.message {
            Message::Read { attempt, sent } => {
                Message::ReadAnswer { attempt, sent, row: self.store.row.clone() }
            }
            Message::Write { attempt, row, document } => {
                let accepted = self.apply_write(&row, document);
                let row = self.store.row.as_ref().map(|(row, _)| row.clone());
                Message::WriteAnswer { attempt, accepted, row }
            }
            _ => return,
        };
        let is_accepted_write = matches!(answer, Message::WriteAnswer { accepted: true, .. });
        if is_accepted_write && self.store.answers_to_lose > 0 {
            self.store.answers_to_lose -= 1;
            return;
        }
        let envelope = Envelope {
            from: None,
            to: Some(from),
            incarnation: Some(incarnation),
            message: answer,
        };
        self.send(self.store.delay, envelope);
    }

    fn apply_write(&mut self, row: &Row, document: Document) -> bool {
        let current = self.store.row.as_ref().map_or(0, |(row, _)| row.epoch);
        if row.epoch != current + 1 {
            return false;
        }
        self.store.accepted.insert(row.epoch, (self.now, row.authors[&row.epoch]));
        self.store.row = Some((row.clone(), document));
        true
    }

    /// Resumes a paused host and delivers the messages that arrived during the pause.
    pub(crate) fn resume(&mut self, host: HostId) {
        let Some(node) = self.nodes.get_mut(&host) else { return };
        if !node.paused {
            return;
        }
        node.paused = false;
        let deferred = std::mem::take(&mut node.deferred);
        checker::check(self);
        for envelope in deferred {
            self.deliver_to(host, envelope);
        }
    }

    pub(crate) fn partition_from_peers(&mut self, host: HostId) {
        let others: Vec<HostId> = self.nodes.keys().copied().filter(|h| *h != host).collect();
        for other in others {
            self.partitioned.insert((host.min(other), host.max(other)));
        }
    }
}
