//! Measures how long a configuration change takes from its acceptance until every host acts on it.
//!
//! Runs four hosts on loopback, with fifty changes per scenario: the platform fast or slow, and all
//! hosts or all but one connected to it. "call" is the duration of the whole change for its
//! publisher. "to every host" is the time from the first host that acts on the version, which is the
//! publisher when it learns of the acceptance, until the last one does. "said in force" is the time
//! from then until the publisher knows it.

use anyhow::{Context, Result};
use bergamotvale_core::config::{
    Account, Document, Edit, Key, KeyState, Service, Target, TargetState,
};
use bergamotvale_host::daemon::Daemon;
use bergamotvale_host::fleet::change;
use bergamotvale_host::settings::{Listen, Settings};
use bergamotvale_standin::platform::{Fault, Server};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HOSTS: u32 = 4;
const CHANGES: u64 = 50;
const SLOW_DELAY: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<()> {
    let platform = Server::start(Default::default()).map_err(|error| anyhow::anyhow!("{error}"))?;
    let mut daemons = Vec::new();
    for host in 1..=HOSTS {
        daemons.push(Daemon::start(settings(host, platform.address())).await?);
    }
    let start = Instant::now();
    wait(|| daemons.iter().all(|d| d.host.fleet.row().members.len() == HOSTS as usize)).await?;
    println!("four hosts joined an empty fleet in {} ms", start.elapsed().as_millis());
    while change::bootstrap(&daemons[0].host, document()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let blocked = BTreeSet::from([HOSTS.to_string()]);
    let scenarios = [
        ("platform quick", Duration::ZERO, BTreeSet::new()),
        ("one host cut off from it", Duration::ZERO, blocked.clone()),
        ("platform slow", SLOW_DELAY, BTreeSet::new()),
        ("platform slow, one host cut off from it", SLOW_DELAY, blocked),
    ];
    println!(
        "scenario | call ms median/max | to every host ms median/max | said in force ms median/max"
    );
    for (name, delay, blocked) in scenarios {
        let fault = |fault: &mut Fault| {
            fault.delay = delay;
            fault.blocked_hosts = blocked;
        };
        platform.faults().set(fault).map_err(|error| anyhow::anyhow!("{error}"))?;
        measure(name, &daemons).await?;
    }
    let fault = |fault: &mut Fault| *fault = Fault::default();
    platform.faults().set(fault).map_err(|error| anyhow::anyhow!("{error}"))?;
    measure_join(&platform, &daemons).await?;
    measure_traffic(&platform).await;
    for daemon in daemons {
        daemon.stop().await;
    }
    Ok(())
}

async fn measure(name: &str, daemons: &[Daemon]) -> Result<()> {
    let (mut calls, mut spreads, mut confirmations) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..CHANGES {
        let publisher = &daemons[number as usize % (daemons.len() - 1)].host;
        let next = publisher.document().version + 1;
        let call = Instant::now();
        let watched: Vec<_> = daemons.iter().map(|daemon| daemon.host.clone()).collect();
        let adoptions = tokio::spawn(async move { wait_for_adoption(&watched, next).await });
        let withdraw = |document: &Document| {
            let mut key = document.keys[&1].clone();
            key.state = match key.state {
                KeyState::Active => KeyState::Withdrawn,
                KeyState::Withdrawn => KeyState::Active,
            };
            Ok(vec![Edit::PutKey(1, key)])
        };
        let accepted = change::publish(publisher, withdraw).await.context(name.to_owned())?;
        anyhow::ensure!(accepted.version == next, "a version was skipped");
        calls.push(call.elapsed());
        let (first, last) = adoptions.await??;
        spreads.push(last - first);
        let adopted_everywhere = Instant::now();
        let publisher = publisher.clone();
        wait(|| publisher.fleet.in_force(publisher.clock.now()).1 >= next).await?;
        confirmations.push(adopted_everywhere.elapsed());
    }
    println!("{name} | {} | {} | {}", show(calls), show(spreads), show(confirmations));
    Ok(())
}

/// Waits until all hosts act on `version`; the times at which the first and the last one did.
async fn wait_for_adoption(
    hosts: &[Arc<bergamotvale_host::shared::Host>],
    version: u64,
) -> Result<(Instant, Instant)> {
    wait(|| hosts.iter().any(|host| host.document().version >= version)).await?;
    let first = Instant::now();
    wait(|| hosts.iter().all(|host| host.document().version >= version)).await?;
    Ok((first, Instant::now()))
}

async fn measure_join(platform: &Server, daemons: &[Daemon]) -> Result<()> {
    let mut times = Vec::new();
    for host in 0..10 {
        let start = Instant::now();
        let joiner = Daemon::start(settings(HOSTS + 1 + host, platform.address())).await?;
        let version = daemons[0].host.document().version;
        wait(|| joiner.host.has_authority() && joiner.host.document().version >= version).await?;
        times.push(start.elapsed());
        joiner.stop().await;
    }
    println!("ten joins, start to authority and configuration: {} ms median/max", show(times));
    Ok(())
}

async fn measure_traffic(platform: &Server) {
    const TIME: Duration = Duration::from_secs(10);
    let before = platform.faults().count();
    tokio::time::sleep(TIME).await;
    let after = platform.faults().count();
    let rate = |after: u64, before: u64| (after - before) as f64 / TIME.as_secs_f64();
    println!(
        "four idle hosts: {:.1} reads/s, {:.1} writes/s at the platform",
        rate(after.reads, before.reads),
        rate(after.writes, before.writes)
    );
}

fn show(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let ms = |time: Duration| format!("{:.1}", time.as_secs_f64() * 1000.0);
    format!("{} / {}", ms(times[times.len() / 2]), ms(times[times.len() - 1]))
}

async fn wait(mut done: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !done() {
        anyhow::ensure!(start.elapsed() < TIMEOUT, "timed out waiting for a condition");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}

fn settings(host: u32, platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { callers: any, operators: any, peers: any };
    let mut settings = Settings::new(host, host as u16 % 3, listen, platform);
    settings.timeouts.leave = Duration::ZERO;
    settings
}

fn document() -> Document {
    let target = |number: u16| Target {
        address: SocketAddr::from(([127, 0, 0, 1], 9 + number)),
        failure_domain: number,
        connections: 20,
        state: TargetState::Active,
    };
    let service = Service {
        name: "stock".into(),
        targets: (0..3).map(|number| (number, target(number))).collect(),
        retention: Duration::from_secs(3600),
    };
    let account =
        Account { name: "mill".into(), rate: 100, burst: 50, weight: 1, services: [1].into() };
    let key =
        Key { account: 1, salt: "0".repeat(64), digest: "0".repeat(64), state: KeyState::Active };
    Document {
        version: 1,
        services: BTreeMap::from([(1, service)]),
        accounts: BTreeMap::from([(1, account)]),
        keys: BTreeMap::from([(1, key)]),
        routes: BTreeMap::new(),
    }
}
