//! Hosts that take over configurations late: after a cut, over a slow link.

use crate::fixture::{Caller, Fleet, KEY, Process, catalog, eventually};
use bergamotvale_core::proxy::catalog::Catalog;
use bergamotvale_standin::link::Relay;
use std::time::{Duration, Instant};

/// Rate of the slowest links, 10 Mbit/s.
const SLOW_LINK_BYTES_PER_SECOND: u32 = 1_250_000;
/// Time in which a configuration has to be in force at a host that reaches the store.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Databases in a configuration of about 50 KB.
const DATABASES: usize = 400;
/// Configurations that are published during a cut.
const MISSED_CONFIGURATIONS: usize = 60;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn large_catalog() -> Catalog {
    let mut catalog = catalog();
    let route = catalog.routes.values().next().expect("there is a route").clone();
    for number in 0..DATABASES {
        catalog.routes.insert(format!("database-{number}"), route.clone());
    }
    catalog
}

fn publish_new_database(fleet: &mut Fleet, name: &str) {
    fleet.reconfigure(|catalog| {
        let route = catalog.routes.values().next().expect("there is a route").clone();
        catalog.routes.insert(name.to_owned(), route);
    });
}

/// Guards against callers of a new database that are refused for an unknown database: after a cut,
/// the host asked for every configuration that it had missed and dropped the long answer each time
/// a peer was ahead of it.
#[test]
fn a_host_on_a_slow_link_catches_up_with_many_configurations_after_a_cut() {
    let mut fleet = Fleet::start_with(1, large_catalog());
    let relay = Relay::start(fleet.system.address).expect("the relay starts");
    relay.set(|f| f.bytes_per_second = Some(SLOW_LINK_BYTES_PER_SECOND)).expect("it is open");
    fleet.hosts.push(Process::start(2, relay.address()));
    eventually("the host behind the slow link is ready", || fleet.hosts[1].is_ready());
    relay.set(|fault| fault.refuse = true).expect("the port closes");
    relay.reset();
    for _ in 0..MISSED_CONFIGURATIONS {
        fleet.reconfigure(|_| {});
    }
    publish_new_database(&mut fleet, "added");
    eventually("a peer is ahead", || Caller::connect(fleet.hosts[0].callers, "added", KEY).is_ok());

    let healed = Instant::now();
    relay.set(|fault| fault.refuse = false).expect("the port opens");
    while Caller::connect(fleet.hosts[1].callers, "added", KEY).is_err() {
        assert!(healed.elapsed() < APPLY_TIMEOUT, "{:?}", fleet.hosts[1].events("feed_abandoned"));
        std::thread::sleep(POLL_INTERVAL);
    }
}
