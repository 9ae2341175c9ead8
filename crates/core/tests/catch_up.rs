//! Hosts that catch up with the table over a link between two regions that has a rate and a queue.
//!
//! Guards against load on the link that feeds on itself: hosts that are behind because the link is
//! full were sent whole tables by every peer, which kept it full.

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::catch_up::CatchUp;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::{Applied, Difference, Replica, Row, Table};
use std::collections::BTreeMap;
use std::time::Duration;

const HOSTS: HostId = 84;
/// Bytes a second that pass between the regions in each direction, 60 Mbit/s.
const LINK_RATE: u64 = 7_500_000;
const REGION_DELAY: Duration = Duration::from_millis(8);
const LOCAL_DELAY: Duration = Duration::from_millis(2);
const STEP: Duration = Duration::from_millis(10);
/// Interval of the heartbeats of a host, and of the host that renews the lease for others.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2200);
const RENEWER_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two copies to the same peer, where hosts send them unasked.
const PUSH_INTERVAL: Duration = Duration::from_millis(300);
const HEARTBEAT_BYTES: u64 = 250;
const ROW_BYTES: u64 = 200;
/// Time between the start of the machines and that of the traffic.
const START_TIME: Duration = Duration::from_secs(14);
/// Bytes that control may send between the regions on a day, of which the start is a part.
const MAX_DAY_BYTES: u64 = 30_000_000;

/// How hosts get the changes that they lack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// A host asks one peer at a time for the difference.
    Request,
    /// Every peer that is ahead sends the whole table.
    Push,
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(Revision),
    Request(Revision),
    Difference(Difference<Vec<u8>>),
    Whole(Table<Vec<u8>>),
}

struct Host {
    replica: Replica<Vec<u8>>,
    catch_up: CatchUp,
    next_heartbeat: Time,
    pushed: BTreeMap<HostId, Time>,
}

/// Hosts of two regions; the even ones are in the region of the store.
struct World {
    way: Way,
    now: Time,
    store: Table<Vec<u8>>,
    hosts: Vec<Host>,
    /// Messages by time of arrival and number: sender, receiver, content.
    messages: BTreeMap<(Time, u64), (HostId, HostId, Message)>,
    sent: u64,
    /// When each direction of the link is free, and how much it has carried.
    link_free: [Time; 2],
    link_bytes: u64,
}

fn is_near(a: HostId, b: HostId) -> bool {
    a % 2 == b % 2
}

/// Creates the hosts of a fleet that has just started: each has read the store, which then had the
/// rows of the hosts that started before it.
fn world(way: Way) -> World {
    let rows = |count: HostId| {
        let rows = (0..count)
            .map(|id| (format!("host.{id}"), (vec![0; 100], Revision::new(0, u64::from(id) + 1))));
        Table::new(rows.collect(), Revision::new(0, count.into()))
    };
    let host = |id: HostId| {
        let mut replica = Replica::default();
        replica.record_peer_copy(rows(id + 1));
        let next_heartbeat = Duration::from_millis(u64::from(id) * 3);
        Host { replica, catch_up: CatchUp::new(id), next_heartbeat, pushed: BTreeMap::new() }
    };
    World {
        way,
        now: Time::ZERO,
        store: rows(HOSTS),
        hosts: (0..HOSTS).map(host).collect(),
        messages: BTreeMap::new(),
        sent: 0,
        link_free: [Time::ZERO; 2],
        link_bytes: 0,
    }
}

impl World {
    fn revision(&self, host: HostId) -> Revision {
        self.hosts[host as usize].replica.settled().map_or(Revision::default(), |t| t.revision)
    }

    fn table(&self, host: HostId) -> &Table<Vec<u8>> {
        self.hosts[host as usize].replica.settled().expect("every host has read a table")
    }

    fn send(&mut self, from: HostId, to: HostId, message: Message) {
        let bytes = match &message {
            Message::Heartbeat(_) | Message::Request(_) => HEARTBEAT_BYTES,
            Message::Whole(table) => table.rows.len() as u64 * ROW_BYTES,
            Message::Difference(difference) => {
                HEARTBEAT_BYTES + difference.changes.len() as u64 * ROW_BYTES
            }
        };
        let arrival = if is_near(from, to) {
            self.now + LOCAL_DELAY
        } else {
            let free = &mut self.link_free[from as usize % 2];
            let time = Duration::from_nanos(bytes * 1_000_000_000 / LINK_RATE);
            *free = self.now.max(*free) + time;
            self.link_bytes += bytes;
            *free + REGION_DELAY
        };
        self.sent += 1;
        self.messages.insert((arrival, self.sent), (from, to, message));
    }

    fn send_heartbeats(&mut self, from: HostId) {
        let interval = if from == 0 { RENEWER_INTERVAL } else { HEARTBEAT_INTERVAL };
        self.hosts[from as usize].next_heartbeat = self.now + interval;
        let revision = self.revision(from);
        for to in (0..HOSTS).filter(|to| *to != from) {
            self.send(from, to, Message::Heartbeat(revision));
        }
    }

    fn deliver(&mut self, from: HostId, to: HostId, message: Message) {
        let now = self.now;
        match message {
            Message::Heartbeat(revision) => self.handle_heartbeat(from, to, revision),
            Message::Request(base) => {
                let difference = self.table(to).difference(base).expect("there is one era");
                self.send(to, from, Message::Difference(difference));
            }
            Message::Difference(difference) => {
                let host = &mut self.hosts[to as usize];
                match host.replica.record_peer_difference(difference) {
                    Applied::Yes => host.catch_up.record_progress(),
                    Applied::Outdated => {}
                    Applied::Mismatch => panic!("a difference did not match at {now:?}"),
                }
            }
            Message::Whole(table) => drop(self.hosts[to as usize].replica.record_peer_copy(table)),
        }
    }

    fn handle_heartbeat(&mut self, from: HostId, to: HostId, reported: Revision) {
        let (now, own) = (self.now, self.revision(to));
        match self.way {
            Way::Request if reported > own => {
                let catch_up = &mut self.hosts[to as usize].catch_up;
                if let Some(base) = catch_up.request(now, own, from == 0) {
                    self.send(to, from, Message::Request(base));
                }
            }
            Way::Push if reported < own => {
                let pushed = self.hosts[to as usize].pushed.insert(from, now);
                if pushed.is_none_or(|at| now - at > PUSH_INTERVAL) {
                    let table = self.table(to).clone();
                    self.send(to, from, Message::Whole(table));
                    // A copy was followed by a heartbeat to everyone, which carries the renewal.
                    self.send_heartbeats(to);
                }
            }
            _ => {}
        }
    }

    /// Plays until all hosts have the store's table or `limit` has passed; returns the time.
    fn run(&mut self, limit: Duration) -> Time {
        while self.now < limit {
            self.now += STEP;
            for host in 0..HOSTS {
                if self.hosts[host as usize].next_heartbeat <= self.now {
                    self.send_heartbeats(host);
                }
            }
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > self.now || self.link_bytes > 10 * MAX_DAY_BYTES {
                    break;
                }
                let (from, to, message) = entry.remove();
                self.deliver(from, to, message);
            }
            if (0..HOSTS).all(|host| self.revision(host) == self.store.revision) {
                return self.now;
            }
        }
        limit
    }
}

#[test]
fn hosts_that_start_together_catch_up_over_a_narrow_link() {
    let mut world = world(Way::Request);
    // One host sees the newest change; the others learn it from peers only.
    let newest = world.store.clone();
    world.hosts[0].replica.record_peer_copy(newest);

    let settled = world.run(START_TIME);

    assert!(settled < START_TIME, "hosts are behind after {settled:?}");
    assert!(world.link_bytes < MAX_DAY_BYTES / 4, "{} bytes", world.link_bytes);
}

#[test]
fn tables_that_are_sent_unasked_fill_the_link() {
    let mut world = world(Way::Push);
    let newest = world.store.clone();
    world.hosts[0].replica.record_peer_copy(newest);

    let settled = world.run(START_TIME);

    let is_over = world.link_bytes > MAX_DAY_BYTES;
    assert!(settled == START_TIME || is_over, "{settled:?}, {} bytes", world.link_bytes);
}

#[test]
fn a_host_asks_again_later_each_time() {
    let mut catch_up = CatchUp::new(7);
    let own = Revision::new(0, 3);
    let mut requests = Vec::new();
    for tick in 0..1000 {
        let now = Duration::from_millis(tick * 20);
        if catch_up.request(now, own, true).is_some() {
            requests.push(now);
        }
    }

    let gaps: Vec<Duration> = requests.windows(2).map(|pair| pair[1] - pair[0]).collect();

    assert!(gaps[0] >= Duration::from_millis(250), "{gaps:?}");
    assert!(gaps.windows(2).all(|pair| pair[1] * 2 > pair[0]), "{gaps:?}");
    assert!(requests.len() < 12, "{} requests in 20 s", requests.len());
}

/// Guards against hosts that lose the lease with every change of the table until the host that
/// renews it is heard.
#[test]
fn a_peer_without_a_renewal_is_asked_only_after_a_while() {
    let mut catch_up = CatchUp::new(7);
    let own = Revision::new(0, 3);

    let early = catch_up.request(Duration::from_millis(1000), own, false);
    let late = catch_up.request(Duration::from_millis(1150), own, false);

    assert_eq!((early, late), (None, Some(own)));
}

/// A removal that the sender has not seen itself is missing in its difference.
#[test]
fn a_difference_that_lacks_a_removal_is_refused_and_the_whole_table_asked_for() {
    let at = |version| Revision::new(0, version);
    let row =
        |key: &str, version| Row { key: key.into(), value: Some(vec![1]), revision: at(version) };
    let mut behind: Replica<Vec<u8>> = Replica::default();
    behind.record_read(at(2), vec![row("a", 1), row("b", 2)]);
    let mut ahead: Replica<Vec<u8>> = Replica::default();
    ahead.record_read(at(4), vec![row("a", 1), row("c", 4)]);
    let mut catch_up = CatchUp::new(7);

    let difference = ahead.settled().and_then(|table| table.difference(at(2))).expect("one era");
    let applied = behind.record_peer_difference(difference);
    catch_up.record_mismatch();

    assert_eq!(applied, Applied::Mismatch);
    assert_eq!(behind.settled().map(|table| table.revision), Some(at(2)));
    assert_eq!(catch_up.request(Time::ZERO, at(2), true), Some(Revision::default()));
}

#[test]
fn a_removal_that_the_sender_has_seen_is_in_its_difference() {
    let at = |version| Revision::new(0, version);
    let row =
        |key: &str, version| Row { key: key.into(), value: Some(vec![1]), revision: at(version) };
    let mut behind: Replica<Vec<u8>> = Replica::default();
    behind.record_read(at(2), vec![row("a", 1), row("b", 2)]);
    let mut ahead = behind.clone();
    let removal = Row { key: "b".into(), value: None, revision: at(3) };
    ahead.record_changes(0, vec![removal, row("c", 4)]);

    let difference = ahead.settled().and_then(|table| table.difference(at(2))).expect("one era");
    let applied = behind.record_peer_difference(difference);

    assert_eq!(applied, Applied::Yes);
    assert_eq!(behind.settled().map(|t| &t.rows), ahead.settled().map(|t| &t.rows));
}
