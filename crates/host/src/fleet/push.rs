//! Distributes accepted epochs: pushes them along the tree, and fetches from a peer with a higher
//! epoch what a push did not deliver.

use crate::shared::Host;
use bergamotvale_core::distribute;
use bergamotvale_core::id::HostId;
use bergamotvale_core::peer::Update;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of one push or fetch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pushes an update to this host's children in the tree.
///
/// A failed push is not retried: the peer fetches the update once a heartbeat shows it the epoch.
pub(super) fn push_to_children(host: &Arc<Host>, update: Update) {
    let own = host.settings.host;
    let fan_out = host.fleet.fan_out;
    let children = distribute::children(&update.row.members, update.origin, own, fan_out);
    let update = Arc::new(update);
    for peer in children.into_iter().filter(|peer| *peer != own) {
        tokio::spawn(push_to(host.clone(), peer, update.clone()));
    }
}

async fn push_to(host: Arc<Host>, peer: HostId, update: Arc<Update>) {
    let call = |client: bergamotvale_wire::peer::PeerClient, context| async move {
        client.push(context, Update::clone(&update)).await
    };
    match host.peers.call(peer, CALL_TIMEOUT, call).await {
        Ok((incarnation, epoch)) => host.fleet.record_confirmation(peer, incarnation, epoch),
        Err(fault) => log::debug!("push to host {peer} failed: {fault}"),
    }
}

/// Fetches and adopts the update to the epoch of a peer that has a higher one.
pub(super) fn fetch_update(host: &Arc<Host>, peer: HostId) {
    let host = host.clone();
    tokio::spawn(async move {
        let known = host.fleet.row();
        let call = |client: bergamotvale_wire::peer::PeerClient, context| async move {
            client.fetch(context, known.epoch, known.version).await
        };
        match host.peers.call(peer, CALL_TIMEOUT, call).await {
            Ok(Some(update)) => drop(host.adopt(update)),
            Ok(None) => {}
            Err(fault) => log::debug!("fetch from host {peer} failed: {fault}"),
        }
    });
}
