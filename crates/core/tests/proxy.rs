//! Cases of the decisions of session hosts, a folder a machine: `failover`, `lease`, `floor`,
//! `evidence`, `catalog`.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::catalog::{Account, Catalog, Consistency, Denial, Route};
use bergamotvale_core::proxy::directory::{Directory, Entry, Role, TargetName};
use bergamotvale_core::proxy::evidence::{Evidence, View};
use bergamotvale_core::proxy::failover::{Monitor, Snapshot};
use bergamotvale_core::proxy::floor::{History, Observation, Position};
use bergamotvale_core::proxy::lease::{Attestation, Barrier, Lease, Limits, Member};
use bergamotvale_core::proxy::record::Record;
use common::case;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// An event at a time, in milliseconds.
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
    /// Last numbers that replicas were seen at.
    positions: BTreeMap<TargetName, u64>,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum Failover {
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
    /// Nobody is known to carry the promotion out.
    Abandoned,
    Look {
        rank: usize,
    },
}

struct Watched {
    record: Record,
    directory: Directory,
    views: BTreeMap<TargetName, View>,
    peers: BTreeMap<HostId, View>,
    positions: BTreeMap<TargetName, Position>,
    is_holder_active: bool,
    watch: Monitor,
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

impl Watched {
    fn new(given: &Group) -> Watched {
        let directory: Directory =
            [entry("p", Role::Primary), entry("r", Role::Replica), entry("s", Role::Replica)]
                .into();
        let at = |number: &u64| Position { term: 1, number: *number };
        Watched {
            record: Record::first(&directory, SERVICE, 1).expect("one primary"),
            directory,
            views: BTreeMap::new(),
            peers: given.peers.iter().map(|host| (*host, View::Alive)).collect(),
            positions: given.positions.iter().map(|(name, n)| (name.clone(), at(n))).collect(),
            is_holder_active: true,
            watch: Monitor::default(),
        }
    }

    fn apply(&mut self, at: u64, event: &Failover) -> Option<String> {
        match event {
            Failover::View { target, view } => drop(self.views.insert(target.clone(), *view)),
            Failover::Peer { host, view } => drop(self.peers.insert(*host, *view)),
            Failover::Leaving { target } => {
                self.directory.get_mut(target).expect("a target").is_leaving = true;
            }
            Failover::Gone { target } => drop(self.directory.remove(target)),
            Failover::Promote { target, planned } => {
                self.record = self.record.promote(target, 1, *planned, 1);
            }
            Failover::Abandoned => self.is_holder_active = false,
            Failover::Established { term } => self.record = self.record.establish(*term),
            Failover::Look { rank } => {
                let facts = Snapshot {
                    service: SERVICE,
                    record: &self.record,
                    directory: &self.directory,
                    views: &self.views,
                    peer_views: &self.peers,
                    positions: &self.positions,
                    is_holder_active: self.is_holder_active,
                };
                let change = self.watch.decide(ms(at), *rank, &facts);
                let said = change.map(|c| format!("{} {}", c.cause, c.candidate));
                return Some(format!("{at}: {}", said.as_deref().unwrap_or("none")));
            }
        }
        None
    }
}

fn failover(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Group, Failover>| {
        let mut watched = Watched::new(&case.given);
        let events = case.events.iter();
        Ok(events.filter_map(|event| watched.apply(event.at, &event.event)).collect())
    })
}

// Leases: host 1 of a few.

const TERMS: Limits = Limits {
    validity: Duration::from_millis(1000),
    max_attested_age: Duration::from_millis(10_000),
    clock_drift_margin: Duration::from_millis(50),
};
/// The platform's clock at the beginning: all members entered long ago.
const PLATFORM: Duration = Duration::from_secs(3600);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Members {
    hosts: HostId,
    revision: u64,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum Leased {
    /// The platform shows nothing above a revision, to a question sent then.
    Prove {
        revision: u64,
    },
    /// A heartbeat that was made then.
    Hear {
        host: HostId,
        revision: u64,
        settled: Option<u64>,
        proof_age: Option<u64>,
        #[serde(default = "first_run")]
        run: u64,
    },
    /// A newer table, with the runs of the hosts that are not in their first.
    Adopt {
        revision: u64,
        #[serde(default)]
        runs: BTreeMap<HostId, u64>,
    },
    /// This host wrote a revision.
    Wrote {
        revision: u64,
    },
    Look,
}

fn first_run() -> u64 {
    1
}

struct Holder {
    lease: Lease,
    hosts: HostId,
    wait: Option<Barrier>,
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

impl Holder {
    fn new(given: &Members) -> Holder {
        let mut lease = Lease::new(1, 1, TERMS);
        lease.adopt(given.revision, members(given.hosts, &BTreeMap::new()));
        lease.set_platform_clock(Time::ZERO, PLATFORM);
        Holder { lease, hosts: given.hosts, wait: None }
    }

    fn apply(&mut self, at: u64, event: &Leased) -> Option<String> {
        let now = ms(at);
        match event {
            Leased::Prove { revision } => self.lease.renew(now, *revision),
            Leased::Hear { host, revision, settled, proof_age, run } => {
                let vouch = Attestation {
                    host: *host,
                    incarnation: *run,
                    revision: *revision,
                    quiesced: settled.unwrap_or(*revision),
                    renewal_age: proof_age.map(ms),
                };
                self.lease.record_attestation(now, vouch);
            }
            Leased::Adopt { revision, runs } => {
                self.lease.adopt(*revision, members(self.hosts, runs));
            }
            Leased::Wrote { revision } => self.wait = Some(Barrier::new(*revision, now)),
            Leased::Look => {
                let held = if self.lease.is_held(now) { "held" } else { "lapsed" };
                let lease = &self.lease;
                let force = self.wait.as_mut().map(|wait| wait.has_passed(lease, now));
                let force = force.map_or("", |over| if over { ", in force" } else { ", waits" });
                return Some(format!("{at}: {held}{force}"));
            }
        }
        None
    }
}

fn lease(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Members, Leased>| {
        let mut holder = Holder::new(&case.given);
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
enum Read {
    /// The primary answered, to a question that was sent then.
    Seen { sent: u64, term: u64, number: u64 },
    /// A read under the bound.
    Floor,
    /// A read of a session that has committed.
    Session { term: u64, number: u64 },
}

fn floor(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Bound, Read>| {
        let mut history = History::default();
        let mut seen = Vec::new();
        for At { at, event } in &case.events {
            let floor = history.bounded_floor(ms(*at), ms(case.given.bound));
            match *event {
                Read::Seen { sent, term, number } => {
                    let position = Position { term, number };
                    history.observe(ms(*at), Observation { at: ms(sent), position });
                }
                Read::Floor => {
                    let said = floor.map_or_else(|| "none".to_owned(), |floor| floor.to_string());
                    seen.push(format!("{at}: {said}"));
                }
                Read::Session { term, number } => {
                    let own = history.session_floor(Position { term, number });
                    let said = floor.map(|floor| floor.max(own).to_string());
                    seen.push(format!("{at}: {}", said.as_deref().unwrap_or("none")));
                }
            }
        }
        Ok(seen)
    })
}

// Evidence of a target's life.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Nothing {}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum Sign {
    Ask,
    /// Bytes came; `open` says whether other questions are.
    Answer {
        open: bool,
    },
    Fail,
    Depose,
    Lead,
    Look,
}

fn evidence(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Nothing, Sign>| {
        let mut evidence = Evidence::default();
        let mut seen = Vec::new();
        for At { at, event } in &case.events {
            let now = ms(*at);
            match event {
                Sign::Ask => evidence.record_request(now),
                Sign::Answer { open } => evidence.record_response(now, *open),
                Sign::Fail => evidence.record_connection_failure(now),
                Sign::Depose => evidence.record_deposed(now),
                Sign::Lead => evidence.clear_deposed(),
                Sign::Look => seen.push(format!("{at}: {:?}", evidence.view(now))),
            }
        }
        Ok(seen)
    })
}

// Who may use a database.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Configured {
    /// Databases, and whether each is public.
    databases: BTreeMap<String, bool>,
    /// Client accounts by key.
    keys: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(tag = "on", rename_all = "snake_case")]
enum Session {
    /// A caller opens a session, or begins an operation in one.
    Asks { database: String, key: String },
    /// A newer configuration withdraws a key.
    Withdrawn { key: String },
    /// A newer configuration takes a database away.
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
    };
    let account = |name: &String| Account { name: name.clone(), rate: 10, burst: 10 };
    Catalog {
        version: 1,
        routes: given.databases.iter().map(|(name, open)| (name.clone(), route(*open))).collect(),
        accounts: given.keys.values().map(|name| (name.clone(), account(name))).collect(),
        keys: given.keys.clone(),
        ..Catalog::default()
    }
}

fn catalog(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, |case: &Case<Configured, Session>| {
        let mut catalog = configured(&case.given);
        let mut seen = Vec::new();
        for At { at, event } in &case.events {
            match event {
                Session::Withdrawn { key } => drop(catalog.keys.remove(key)),
                Session::Removed { database } => drop(catalog.routes.remove(database)),
                Session::Asks { database, key } => {
                    let said = match catalog.authorize(database, key) {
                        Ok(grant) => grant.account.map_or("nobody", |account| &account.name),
                        Err(Denial::UnknownDatabase) => "no such database",
                        Err(Denial::UnknownKey) => "no such key",
                    };
                    seen.push(format!("{at}: {said}"));
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
