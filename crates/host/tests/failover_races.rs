//! Failovers with lossy links between hosts, and concurrent promoters.

mod common;
mod failover;

use bergamotvale_core::peer::Member;
use bergamotvale_host::failover::planned;
use bergamotvale_host::settings;
use bergamotvale_standin::group::Options;
use bergamotvale_standin::link::Relay;
use common::{SERVICE, WAIT_TIMEOUT};
use failover::{Fleet, HOSTS, Writers, fleet_with_slow_detection, start_fleet, start_fleet_with};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Fraction of the messages between hosts that are delayed.
const DELAYED_FRACTION: f64 = 0.05;
/// Delay of these messages, as after a retransmission by TCP.
const MESSAGE_DELAY: Duration = Duration::from_millis(300);
/// Interval at which the targets are polled for who leads.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Targets that were observed to lead, by term.
type Leaders = BTreeMap<i64, BTreeSet<usize>>;

/// Puts a relay in front of each host's peer address; dropping the relays partitions the hosts.
async fn start_relays(fleet: &Fleet) -> Vec<Relay> {
    let address = |id: usize| fleet.hosts[id].daemon.host.settings.listen.peers;
    let relays: Vec<Relay> = (0..fleet.hosts.len())
        .map(|id| Relay::start(address(id)).expect("the relay starts"))
        .collect();
    let start = Instant::now();
    let peers = HOSTS as usize - 1;
    // A direct connection that was being opened may still be used instead of the relay's. In that
    // case try again.
    while relays.iter().any(|relay| relay.connections() < peers) {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for the hosts to use the relays"
        );
        route_through_relays(fleet, &relays);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    relays
}

fn route_through_relays(fleet: &Fleet, relays: &[Relay]) {
    for host in &fleet.hosts {
        host.daemon.host.peers.retain(|_| false);
        for (peer, relay) in fleet.hosts.iter().zip(relays) {
            let peer = &peer.daemon.host;
            if peer.settings.host == host.daemon.host.settings.host {
                continue;
            }
            host.daemon.host.peers.update_address(&Member {
                host: peer.settings.host,
                incarnation: peer.incarnation,
                peer_address: relay.address(),
                failure_domain: peer.settings.failure_domain,
                leaving: false,
            });
        }
    }
}

/// Records who leads which term, until the future is dropped.
async fn record_leaders(fleet: &Fleet, leaders: &mut Leaders) {
    loop {
        for target in fleet.fixture.group.targets() {
            let term = target.accepted_term();
            let leads = target.is_primary();
            // If the term changed meanwhile, it is unknown which of the two the target leads.
            if leads && target.accepted_term() == term {
                leaders.entry(term).or_default().insert(target.number());
            }
        }
        tokio::time::sleep(LEADER_POLL_INTERVAL).await;
    }
}

/// Waits for `count` more acknowledged writes, and records who leads meanwhile.
async fn wait_for_writes(fleet: &Fleet, writers: &Writers, count: usize, leaders: &mut Leaders) {
    tokio::select! {
        () = writers.wait_for_writes(count) => {}
        () = record_leaders(fleet, leaders) => {}
    }
}

/// Asserts what must hold after every fault, and that every term had one leader.
async fn verify(fleet: &Fleet, writers: Writers, leaders: &Leaders) {
    let log = writers.stop().await;
    let stored = fleet.stored().await;

    println!("leaders {leaders:?}, refused {:?}", log.refused);
    log.verify(&stored);
    assert!(leaders.values().all(|leaders| leaders.len() == 1), "{leaders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lossy_links_and_pauses_promote_nobody() {
    let fleet = fleet_with_slow_detection().await;
    let relays = start_relays(&fleet).await;
    for relay in &relays {
        let lossy = |fault: &mut bergamotvale_standin::link::Fault| {
            fault.loss = DELAYED_FRACTION;
            fault.stall = MESSAGE_DELAY;
        };
        relay.set(lossy).expect("the relay accepts the fault");
    }
    let writers = fleet.writers();
    let mut leaders = Leaders::new();

    for relay in &relays {
        wait_for_writes(&fleet, &writers, 100, &mut leaders).await;
        // One host's connections are reset while the primary is paused.
        let primary = fleet.fixture.group.target(0);
        primary.pause();
        relay.reset();
        tokio::time::sleep(Duration::from_secs(1)).await;
        primary.resume();
    }
    wait_for_writes(&fleet, &writers, 200, &mut leaders).await;

    assert_eq!(fleet.promotions(), 0);
    assert_eq!(fleet.primary().await, 0);
    assert_eq!(leaders, Leaders::from([(1, BTreeSet::from([0]))]));
    verify(&fleet, writers, &leaders).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_promote_at_once() {
    // Each host acts on its own opinion alone, without waiting for the others.
    let single = |settings: &mut settings::Settings| {
        settings.policy.failover = settings::Failover::Single;
    };
    let fleet = start_fleet_with(Options::default(), single).await;
    let writers = fleet.writers();
    let mut leaders = Leaders::new();

    for _ in 0..3 {
        wait_for_writes(&fleet, &writers, 100, &mut leaders).await;
        let primary = fleet.fixture.group.target(fleet.primary().await);
        primary.kill();
        wait_for_writes(&fleet, &writers, 100, &mut leaders).await;
        primary.restart().expect("the target restarts on its address");
        fleet.wait_for_common_term().await;
    }

    assert!(fleet.promotions() >= 3);
    verify(&fleet, writers, &leaders).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_planned_promotions_at_once() {
    let fleet = start_fleet().await;
    let writers = fleet.writers();
    let mut leaders = Leaders::new();
    wait_for_writes(&fleet, &writers, 100, &mut leaders).await;

    let plan = |host: usize, candidate| {
        planned::promote(&fleet.hosts[host].daemon.host, SERVICE, candidate)
    };
    let (one, other) = tokio::join!(plan(0, 1), plan(1, 2));
    wait_for_writes(&fleet, &writers, 200, &mut leaders).await;

    println!("planned at once: {one:?}, {other:?}");
    // At most one of them can have replaced the initial primary.
    assert!(one != Ok(2) || other != Ok(2), "{one:?}, {other:?}");
    verify(&fleet, writers, &leaders).await;
}
