//! Spreads accepted epochs: pushes along the tree, fetches from a peer that is ahead.

use crate::shared::Host;
use bergamotvale_core::distribute;
use bergamotvale_core::id::HostId;
use bergamotvale_core::peer::Update;
use std::sync::Arc;
use std::time::Duration;

/// Time that one push or fetch may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Passes an update on to this host's children in the tree.
pub(super) fn spread(host: &Arc<Host>, update: Update) {
    let own = host.settings.host;
    let fan_out = host.fleet.fan_out;
    let children = distribute::children(&update.row.members, update.origin, own, fan_out);
    let update = Arc::new(update);
    for peer in children.into_iter().filter(|peer| *peer != own) {
        tokio::spawn(push(host.clone(), peer, update.clone()));
    }
}

async fn push(host: Arc<Host>, peer: HostId, update: Arc<Update>) {
    let call = |client: bergamotvale_wire::peer::PeerClient, context| async move {
        client.push(context, Update::clone(&update)).await
    };
    match host.peers.call(peer, TIMEOUT, call).await {
        Ok((incarnation, epoch)) => host.fleet.confirmed(peer, incarnation, epoch),
        Err(fault) => log::debug!("push to host {peer}: {fault}"),
    }
}

/// Fetches what a peer is ahead by.
pub(super) fn catch_up(host: &Arc<Host>, peer: HostId) {
    let host = host.clone();
    tokio::spawn(async move {
        let known = host.fleet.row();
        let call = |client: bergamotvale_wire::peer::PeerClient, context| async move {
            client.fetch(context, known.epoch, known.version).await
        };
        match host.peers.call(peer, TIMEOUT, call).await {
            Ok(Some(update)) => drop(host.adopt(update)),
            Ok(None) => {}
            Err(fault) => log::debug!("fetch from host {peer}: {fault}"),
        }
    });
}
