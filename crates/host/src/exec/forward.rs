//! Steps of transactions that another host owns: forwarded to it, one hop.

use super::{Caller, transaction};
use crate::shared::Host;
use bergamotvale_core::id::{HostId, Time, TransactionId};
use bergamotvale_core::peer::{Forward, Outcome, Step};
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_wire::peer::{self, PeerClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Part of the caller's time that is kept for the way back.
const WAY_BACK: Duration = Duration::from_millis(20);

/// Forwards a step to the owner of `id`.
pub async fn step(
    host: &Arc<Host>,
    id: TransactionId,
    caller: &Caller,
    step: Step,
    deadline: Time,
) -> Result<Outcome, Refusal> {
    let owner = transaction::owner(id);
    let client = client(host, owner).await?;
    let timeout = deadline.saturating_sub(host.clock.now());
    let is_commit = step == Step::Commit;
    let account = caller.account();
    let timeout_there = timeout.saturating_sub(WAY_BACK);
    let forward = Forward { transaction: id, account, step, timeout: timeout_there };
    host.metric.count("transaction.forwarded");
    match client.forward(peer::context(timeout), forward).await {
        Ok(outcome) => Ok(outcome),
        Err(error) => {
            host.data.forget_peer(owner);
            let refusal = Refusal::new(Reason::PeerUnreachable, error.to_string());
            // Only COMMIT takes effect by itself; without it the owner rolls back in the end.
            Err(refusal.with_ran(if is_commit { Ran::Unknown } else { Ran::No }))
        }
    }
}

/// Runs a step that a peer has forwarded; what the peers' listener calls.
pub async fn serve(host: &Arc<Host>, forward: Forward) -> Outcome {
    let deadline = host.clock.now() + forward.timeout;
    let caller = Caller::Peer(forward.account);
    let id = forward.transaction;
    if transaction::owner(id) != host.settings.host {
        return Outcome::new(Err(Refusal::new(Reason::NotFound, "not this host's transaction")));
    }
    transaction::step(host, id, &caller, forward.step, deadline).await
}

async fn client(host: &Arc<Host>, owner: HostId) -> Result<PeerClient, Refusal> {
    if let Some(client) = host.data.peer(owner) {
        return Ok(client);
    }
    let unreachable = |detail: String| Refusal::new(Reason::PeerUnreachable, detail);
    let address = address(host, owner).await;
    let address = address.ok_or_else(|| unreachable(format!("host {owner} is not known")))?;
    let client = peer::connect(address, host.settings.timeouts.peer)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    host.data.remember_peer(owner, client.clone());
    Ok(client)
}

async fn address(host: &Host, owner: HostId) -> Option<SocketAddr> {
    match host.platform.peer_address(owner).await {
        Ok(address) => address,
        Err(error) => {
            log::warn!("cannot read the list of hosts: {error}");
            None
        }
    }
}
