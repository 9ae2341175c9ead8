//! Heartbeats to the peers.

use crate::shared::Host;
use bergamotvale_core::id::HostId;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Heartbeats to one peer that may wait for their answers at once.
const MAX_OUTSTANDING: u32 = 3;

/// Heartbeats that wait for their answers, by peer.
type Outstanding = Arc<Mutex<BTreeMap<HostId, u32>>>;

/// Exchanges heartbeats until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut ticks = interval(host.settings.policy.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let outstanding = Outstanding::default();
    let mut beats = JoinSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = host.failover.opinion_changed() => {}
        }
        for member in host.fleet.probes() {
            host.peers.update_address(&member);
            if begin(&outstanding, member.host) {
                beats.spawn(beat(host.clone(), member.host, outstanding.clone()));
            }
        }
        while beats.try_join_next().is_some() {}
    }
}

fn begin(outstanding: &Outstanding, peer: HostId) -> bool {
    let mut outstanding = outstanding.lock().expect("no holder of the lock panics");
    let count = outstanding.entry(peer).or_default();
    let allowed = *count < MAX_OUTSTANDING;
    if allowed {
        *count += 1;
    }
    allowed
}

async fn beat(host: Arc<Host>, peer: HostId, outstanding: Outstanding) {
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
            host.fleet.answered(now, sent, &answer);
            host.process_heartbeat(now, &answer);
        }
        Err(fault) => {
            log::debug!("heartbeat to host {peer}: {fault}");
            host.fleet.failed(peer, fault.failure());
            host.metric.count("peer.heartbeat_failures");
        }
    }
    let mut outstanding = outstanding.lock().expect("no holder of the lock panics");
    if let Some(count) = outstanding.get_mut(&peer) {
        *count -= 1;
    }
}
