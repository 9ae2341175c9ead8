//! Failovers over bad links between hosts, and promoters that race.

mod common;
mod failover;

use bergamotvale_core::peer::Member;
use bergamotvale_host::failover::planned;
use bergamotvale_host::settings;
use bergamotvale_standin::group::Options;
use bergamotvale_standin::link::Relay;
use common::{SERVICE, WAIT_TIMEOUT};
use failover::{Fleet, HOSTS, Writers, fleet, fleet_with, lenient_fleet};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Part of the messages between hosts that come late.
const LOSS: f64 = 0.05;
/// By how much they come late, as over a TCP connection that sends again.
const STALL: Duration = Duration::from_millis(300);
/// Time between two looks at who leads.
const LOOK: Duration = Duration::from_millis(1);

/// Terms, and the targets that were seen to lead them.
type Leaders = BTreeMap<i64, BTreeSet<usize>>;

/// Puts a relay before each host's peer address; dropping them cuts the hosts off.
async fn relays(fleet: &Fleet) -> Vec<Relay> {
    let address = |id: usize| fleet.hosts[id].daemon.host.settings.listen.peers;
    let relays: Vec<Relay> =
        (0..fleet.hosts.len()).map(|id| Relay::start(address(id)).expect("a relay")).collect();
    let start = Instant::now();
    let peers = HOSTS as usize - 1;
    // A connection that was being opened directly may still come in: then once more.
    while relays.iter().any(|relay| relay.connections() < peers) {
        assert!(start.elapsed() < WAIT_TIMEOUT, "hosts do not use the relays");
        relay_all(fleet, &relays);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    relays
}

fn relay_all(fleet: &Fleet, relays: &[Relay]) {
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

/// Notes who leads which term, for ever.
async fn watch(fleet: &Fleet, leaders: &mut Leaders) {
    loop {
        for target in fleet.fixture.group.targets() {
            let term = target.accepted_term();
            let leads = target.is_primary();
            // A term that moved meanwhile says nothing of who leads it.
            if leads && target.accepted_term() == term {
                leaders.entry(term).or_default().insert(target.number());
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Waits for `count` more acknowledged writes, and notes who leads meanwhile.
async fn progress(fleet: &Fleet, writers: &Writers, count: usize, leaders: &mut Leaders) {
    tokio::select! {
        () = writers.progress(count) => {}
        () = watch(fleet, leaders) => {}
    }
}

/// What must hold after every fault.
async fn verify(fleet: &Fleet, writers: Writers, leaders: &Leaders) {
    let log = writers.end().await;
    let stored = fleet.stored().await;

    println!("leaders {leaders:?}, refused {:?}", log.refused);
    log.verify(&stored);
    assert!(leaders.values().all(|leaders| leaders.len() == 1), "{leaders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lossy_links_and_pauses_promote_nobody() {
    let fleet = lenient_fleet().await;
    let relays = relays(&fleet).await;
    for relay in &relays {
        let lossy = |fault: &mut bergamotvale_standin::link::Fault| {
            fault.loss = LOSS;
            fault.stall = STALL;
        };
        relay.set(lossy).expect("a fault");
    }
    let writers = fleet.writers();
    let mut leaders = Leaders::new();

    for relay in &relays {
        progress(&fleet, &writers, 100, &mut leaders).await;
        // One host's connections are cut while the primary stands still.
        let primary = fleet.fixture.group.target(0);
        primary.pause();
        relay.reset();
        tokio::time::sleep(Duration::from_secs(1)).await;
        primary.resume();
    }
    progress(&fleet, &writers, 200, &mut leaders).await;

    assert_eq!(fleet.promotions(), 0);
    assert_eq!(fleet.primary().await, 0);
    assert_eq!(leaders, Leaders::from([(1, BTreeSet::from([0]))]));
    verify(&fleet, writers, &leaders).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_promote_at_once() {
    // Each host goes by its own word, and none waits for another.
    let alone = |settings: &mut settings::Settings| {
        settings.policy.failover = settings::Failover::Single;
    };
    let fleet = fleet_with(Options::default(), alone).await;
    let writers = fleet.writers();
    let mut leaders = Leaders::new();

    for _ in 0..3 {
        progress(&fleet, &writers, 100, &mut leaders).await;
        let primary = fleet.fixture.group.target(fleet.primary().await);
        primary.kill();
        progress(&fleet, &writers, 100, &mut leaders).await;
        primary.restart().expect("the address is still there");
        fleet.settled().await;
    }

    assert!(fleet.promotions() >= 3);
    verify(&fleet, writers, &leaders).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_planned_promotions_at_once() {
    let fleet = fleet().await;
    let writers = fleet.writers();
    let mut leaders = Leaders::new();
    progress(&fleet, &writers, 100, &mut leaders).await;

    let plan = |host: usize, candidate| {
        planned::promote(&fleet.hosts[host].daemon.host, SERVICE, candidate)
    };
    let (one, other) = tokio::join!(plan(0, 1), plan(1, 2));
    progress(&fleet, &writers, 200, &mut leaders).await;

    println!("planned at once: {one:?}, {other:?}");
    // At most one of them can have replaced the first primary.
    assert!(one != Ok(2) || other != Ok(2), "{one:?}, {other:?}");
    verify(&fleet, writers, &leaders).await;
}
