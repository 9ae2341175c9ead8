//! Sends heartbeats to peers and processes their answers.

use crate::shared::Host;
use bergamotvale_core::id::HostId;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Largest number of heartbeats in flight to one peer.
const MAX_IN_FLIGHT: u32 = 3;

/// Number of heartbeats in flight, by peer.
type InFlight = Arc<Mutex<BTreeMap<HostId, u32>>>;

/// Sends heartbeats at the configured interval, and at once after an opinion of a primary has
/// changed, until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut ticks = interval(host.settings.policy.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let in_flight = InFlight::default();
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = host.failover.opinion_changed() => {}
        }
        for member in host.fleet.peers_to_probe() {
            host.peers.update_address(&member);
            if try_begin(&in_flight, member.host) {
                calls.spawn(send(host.clone(), member.host, in_flight.clone()));
            }
        }
        while calls.try_join_next().is_some() {}
    }
}

/// Counts one more heartbeat to `peer`; false if too many are in flight.
fn try_begin(in_flight: &InFlight, peer: HostId) -> bool {
    let mut in_flight = in_flight.lock().expect("no holder of the lock panics");
    let count = in_flight.entry(peer).or_default();
    let allowed = *count < MAX_IN_FLIGHT;
    if allowed {
        *count += 1;
    }
    allowed
}

async fn send(host: Arc<Host>, peer: HostId, in_flight: InFlight) {
    let sent = host.clock.now();
    let heartbeat = host.heartbeat();
    let timeout = host.settings.timeouts.peer;
    let call = |client: bergamotvale_wire::peer::PeerClient, context| async move {
        client.heartbeat(context, heartbeat).await
    };
    let answer = host.peers.call(peer, timeout, call).await;
    match answer {
        Ok(answer) => {
            let now = host.clock.now();
            host.fleet.record_answer(now, sent, &answer);
            host.process_heartbeat(now, &answer);
        }
        Err(fault) => {
            log::debug!("heartbeat to host {peer} failed: {fault}");
            host.fleet.record_failure(peer, fault.failure());
            host.metric.count("peer.heartbeat_failures");
        }
    }
    let mut in_flight = in_flight.lock().expect("no holder of the lock panics");
    if let Some(count) = in_flight.get_mut(&peer) {
        *count -= 1;
    }
}
