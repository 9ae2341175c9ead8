//! File-driven cases of the decisions of session hosts, one folder per module: `failover`, `lease`,
//! `floor`, `evidence` and `catalog`. (The cases in `survey` belong to the test of that name.)

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::catalog::{Account, Catalog, Consistency, Denial, Route};
use bergamotvale_core::proxy::directory::{Directory, Entry, Role, TargetName};
use bergamotvale_core::proxy::evidence::{Evidence, View};
use bergamotvale_core::proxy::failover::{Holder, Monitor, Snapshot};
use bergamotvale_core::proxy::floor::{History, Observation, Position};
use bergamotvale_core::proxy::lease::{Attestation, Barrier, Lease, Limits, Member};
use bergamotvale_core::proxy::record::Record;
use bergamotvale_core::proxy::revision::Revision;
use common::case;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// An event and its time in milliseconds.
#[derive(Deserialize)]
struct At<Event> {
    at: u64,
    #[serde(flatten)]
    event: Event,
}

type Case<Given, Event> = case::Case<Given, At<Event>>;

// Failover: a group with primary `p` and replicas `r` and `s`.

const SERVICE: &str = "orders";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    peers: Vec<HostId>,
    /// Last known commit number of each replica.
    positions: BTreeMap<TargetName, u64>,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum FailoverEvent {
    View {
        target: TargetName,
        view: View,
    },
    Peer {
        host: HostId,
        view: View,
    },
    Leaving {
        target: TargetName,
    },
    /// A target is removed from the directory.
    Gone {
        target: TargetName,
    },
    Promote {
        target: TargetName,
        planned: bool,
    },
    Established {
        term: u64,
    },
    /// No live host is known to execute the promotion.
    Abandoned,
    /// This host holds the record.
    Own,
    /// Another host, which is alive, holds the record.
    Other,
    /// This host watches again after it was cut off or suspended.
    Resume,
    /// Shows what a host of this rank decides.
    Look {
        rank: usize,
    },
}

/// Silence after which a peer no longer counts as alive.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

struct WatchedGroup {
    record: Record,
    directory: Directory,
    views: BTreeMap<TargetName, View>,
    peers: BTreeMap<HostId, View>,
    positions: BTreeMap<TargetName, Position>,
    holder: Holder,
    monitor: Monitor,
}

fn entry(name: &str, role: Role) -> (TargetName, Entry) {
    let entry = Entry {
        name: name.into(),
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        slots: 3,
        is_leaving: false,
        role,
        start_time: 1,
    };
    (name.into(), entry)
}

impl WatchedGroup {
    fn new(given: &Group) -> WatchedGroup {
        let directory: Directory =
            [entry("p", Role::Primary), entry("r", Role::Replica), entry("s", Role::Replica)]
                .into();
        let at = |number: &u64| Position { term: 1, number: *number };
        WatchedGroup {
            record: Record::first(&directory, SERVICE, 1, 0).expect("one primary"),
            directory,
            views: BTreeMap::new(),
            peers: given.peers.iter().map(|host| (*host, View::Alive)).collect(),
            positions: given.positions.iter().map(|(name, n)| (name.clone(), at(n))).collect(),
            holder: Holder::Alive,
            monitor: Monitor::default(),
        }
    }

    fn apply(&mut self, at: u64, event: &FailoverEvent) -> Option<String> {
        match event {
            FailoverEvent::View { target, view } => drop(self.views.insert(target.clone(), *view)),
            FailoverEvent::Peer { host, view } => drop(self.peers.insert(*host, *view)),
            FailoverEvent::Leaving { target } => {
                self.directory.get_mut(target).expect("a target").is_leaving = true;
            }
            FailoverEvent::Gone { target } => drop(self.directory.remove(target)),
            FailoverEvent::Promote { target, planned } => {
                self.record = self.record.promote(target, 1, *planned, 1, 0);
            }
            FailoverEvent::Abandoned => self.holder = Holder::Silent,
            FailoverEvent::Own => self.holder = Holder::Own,
            FailoverEvent::Other => self.holder = Holder::Alive,
            FailoverEvent::Resume => self.monitor.resume(ms(at)),
            FailoverEvent::Established { term } => self.record = self.record.establish(*term),
            FailoverEvent::Look { rank } => {
                let snapshot = Snapshot {
                    service: SERVICE,
                    record: &self.record,
                    directory: &self.directory,
                    views: &self.views,
                    evacuated: &BTreeSet::new(),
                    peer_views: &self.peers,
                    positions: &self.positions,
                    holder: self.holder,
                    peer_timeout: PEER_TIMEOUT,
                };
                let change = self.monitor.decide(ms(at), *rank, &snapshot);
                let shown = change.map(|c| format!("{} {}", c.cause, c.candidate));
                return Some(format!("{at}: {}", shown.as_deref().unwrap_or("none")));
            }
        }
        None
    }
}

fn failover(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Group, FailoverEvent>| {
        let mut watched = WatchedGroup::new(&case.given);
        let events = case.events.iter();
        Ok(events.filter_map(|event| watched.apply(event.at, &event.event)).collect())
    })
}

// Leases, from the point of view of host 1.

const LIMITS: Limits = Limits {
    validity: Duration::from_millis(1000),
    max_attested_age: Duration::from_millis(10_000),
    clock_drift_margin: Duration::from_millis(50),
};
/// The platform's clock at time 0, so late that all members entered long ago.
const PLATFORM: Duration = Duration::from_secs(3600);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Members {
    hosts: HostId,
    revision: u64,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum LeaseEvent {
    /// A read sent at this time showed no revision above the given one.
    Prove { revision: u64 },
    /// A heartbeat made at this time arrived.
    Hear {
        host: HostId,
        revision: u64,
        settled: Option<u64>,
        proof_age: Option<u64>,
        #[serde(default = "first_incarnation")]
        run: u64,
    },
    /// The host adopts a newer table. `runs` holds the incarnations that are not the first.
    Adopt {
        revision: u64,
        #[serde(default)]
        runs: BTreeMap<HostId, u64>,
    },
    /// This host wrote a revision, and waits until it is in force.
    Wrote { revision: u64 },
    /// Shows whether the lease is held and, after a write, whether its revision is in force.
    Look,
}

fn first_incarnation() -> u64 {
    1
}

fn first_era(version: u64) -> Revision {
    Revision::new(0, version)
}

struct LeaseHolder {
    lease: Lease,
    hosts: HostId,
    barrier: Option<Barrier>,
}

fn members(hosts: HostId, runs: &BTreeMap<HostId, u64>) -> BTreeMap<HostId, Member> {
    let member = |host| Member {
        incarnation: runs.get(&host).copied().unwrap_or(1),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        entered: Duration::ZERO,
    };
    (1..=hosts).map(|host| (host, member(host))).collect()
}

impl LeaseHolder {
    fn new(given: &Members) -> LeaseHolder {
        let mut lease = Lease::new(1, 1, LIMITS);
        lease.adopt(first_era(given.revision), members(given.hosts, &BTreeMap::new()));
        lease.set_platform_clock(Time::ZERO, PLATFORM);
        LeaseHolder { lease, hosts: given.hosts, barrier: None }
    }

    fn apply(&mut self, at: u64, event: &LeaseEvent) -> Option<String> {
        let now = ms(at);
        match event {
            LeaseEvent::Prove { revision } => self.lease.renew(now, first_era(*revision)),
            LeaseEvent::Hear { host, revision, settled, proof_age, run } => {
                let attestation = Attestation {
                    host: *host,
                    incarnation: *run,
                    revision: first_era(*revision),
                    quiesced: first_era(settled.unwrap_or(*revision)),
                    renewal_age: proof_age.map(ms),
                    reconciled: None,
                    majority_age: None,
                };
                self.lease.record_attestation(now, attestation);
            }
            LeaseEvent::Adopt { revision, runs } => {
                self.lease.adopt(first_era(*revision), members(self.hosts, runs));
            }
            LeaseEvent::Wrote { revision } => {
                self.barrier = Some(Barrier::new(first_era(*revision), now))
            }
            LeaseEvent::Look => {
                let held = if self.lease.is_held(now) { "held" } else { "lapsed" };
                let lease = &self.lease;
                let in_force = self.barrier.as_mut().map(|barrier| barrier.has_passed(lease, now));
                let in_force =
                    in_force.map_or("", |passed| if passed { ", in force" } else { ", waits" });
                return Some(format!("{at}: {held}{in_force}"));
            }
        }
        None
    }
}

fn lease(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Members, LeaseEvent>| {
        let mut holder = LeaseHolder::new(&case.given);
        let events = case.events.iter();
        Ok(events.filter_map(|event| holder.apply(event.at, &event.event)).collect())
    })
}

// Floors of reads.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    bound: u64,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum ReadEvent {
    /// The primary responded to a request that was sent at `sent`.
    Seen { sent: u64, term: u64, number: u64 },
    /// A read with the given staleness bound.
    Floor,
    /// A read of a session whose last commit is at this position.
    Session { term: u64, number: u64 },
}

fn floor(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Bound, ReadEvent>| {
        let mut history = History::default();
        let mut seen = Vec::new();
        for At { at, event } in &case.events {
            let floor = history.bounded_floor(ms(*at), ms(case.given.bound));
            match *event {
                ReadEvent::Seen { sent, term, number } => {
                    let position = Position { term, number };
                    history.observe(ms(*at), Observation { at: ms(sent), position });
                }
                ReadEvent::Floor => {
                    let shown = floor.map_or_else(|| "none".to_owned(), |floor| floor.to_string());
                    seen.push(format!("{at}: {shown}"));
                }
                ReadEvent::Session { term, number } => {
                    let own = history.session_floor(Position { term, number });
                    let shown = floor.map(|floor| floor.max(own).to_string());
                    seen.push(format!("{at}: {}", shown.as_deref().unwrap_or("none")));
                }
            }
        }
        Ok(seen)
    })
}

// Evidence of whether a target is alive.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Empty {}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum EvidenceEvent {
    Ask,
    /// Bytes arrived; `open` tells whether other requests are still pending.
    Answer {
        open: bool,
    },
    Fail,
    Depose,
    Lead,
    /// Shows the view of the target.
    Look,
}

fn evidence(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Empty, EvidenceEvent>| {
        let mut evidence = Evidence::default();
        let mut seen = Vec::new();
        for At { at, event } in &case.events {
            let now = ms(*at);
            match event {
                EvidenceEvent::Ask => evidence.record_request(now),
                EvidenceEvent::Answer { open } => evidence.record_response(now, *open),
                EvidenceEvent::Fail => evidence.record_connection_failure(now),
                EvidenceEvent::Depose => evidence.record_deposed(now),
                EvidenceEvent::Lead => evidence.clear_deposed(),
                EvidenceEvent::Look => seen.push(format!("{at}: {:?}", evidence.view(now))),
            }
        }
        Ok(seen)
    })
}

// Authorization of callers for a database.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Configured {
    /// Databases, and whether each is public.
    databases: BTreeMap<String, bool>,
    /// Names of client accounts by key.
    keys: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum CallerEvent {
    /// A caller opens a session, or begins an operation in one.
    Asks { database: String, key: String },
    /// A newer configuration withdraws a key.
    Withdrawn { key: String },
    /// A newer configuration removes a database.
    Removed { database: String },
}

fn configured(given: &Configured) -> Catalog {
    let route = |is_public| Route {
        service: SERVICE.into(),
        consistency: Consistency::Primary,
        statement_timeout: ms(1000),
        latency_target: ms(500),
        priority: 1,
        is_public,
        home_regions: BTreeSet::new(),
    };
    let account = |name: &String| Account {
        name: name.clone(),
        rate: 10,
        burst: 10,
        home_regions: BTreeSet::new(),
    };
    Catalog {
        version: 1,
        routes: given.databases.iter().map(|(name, open)| (name.clone(), route(*open))).collect(),
        accounts: given.keys.values().map(|name| (name.clone(), account(name))).collect(),
        keys: given.keys.clone(),
        ..Catalog::default()
    }
}

fn catalog(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Configured, CallerEvent>| {
        let mut catalog = configured(&case.given);
        let mut seen = Vec::new();
        for At { at, event } in &case.events {
            match event {
                CallerEvent::Withdrawn { key } => drop(catalog.keys.remove(key)),
                CallerEvent::Removed { database } => drop(catalog.routes.remove(database)),
                CallerEvent::Asks { database, key } => {
                    let shown = match catalog.authorize(database, key) {
                        Ok(grant) => grant.account.map_or("nobody", |account| &account.name),
                        Err(Denial::UnknownDatabase) => "no such database",
                        Err(Denial::UnknownKey) => "no such key",
                    };
                    seen.push(format!("{at}: {shown}"));
                }
            }
        }
        Ok(seen)
    })
}

datatest_stable::harness! {
    { test = failover, root = "tests/proxy/failover", pattern = r"\.yaml$" },
    { test = lease, root = "tests/proxy/lease", pattern = r"\.yaml$" },
    { test = floor, root = "tests/proxy/floor", pattern = r"\.yaml$" },
    { test = evidence, root = "tests/proxy/evidence", pattern = r"\.yaml$" },
    { test = catalog, root = "tests/proxy/catalog", pattern = r"\.yaml$" },
}
