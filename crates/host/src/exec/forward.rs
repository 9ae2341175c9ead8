//! Steps of transactions that another host owns: forwarded to it, one hop.

use super::{Caller, transaction};
use crate::peer::Fault;
use crate::shared::Host;
use bergamotvale_core::id::{Time, TransactionId};
use bergamotvale_core::peer::{Forward, Outcome, Step};
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_wire::peer::PeerClient;
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
    let timeout = deadline.saturating_sub(host.clock.now());
    let is_commit = step == Step::Commit;
    let account = caller.account();
    let timeout_there = timeout.saturating_sub(WAY_BACK);
    let forward = Forward { transaction: id, account, step, timeout: timeout_there };
    host.metric.count("transaction.forwarded");
    let call = |peer: PeerClient, context| async move { peer.forward(context, forward).await };
    host.peers.call(owner, timeout, call).await.map_err(|fault| {
        let refusal = Refusal::new(Reason::PeerUnreachable, fault.to_string());
        // Only COMMIT takes effect by itself; without it the owner rolls back in the end.
        let may_have_run = is_commit && matches!(fault, Fault::Call(_));
        refusal.with_ran(if may_have_run { Ran::Unknown } else { Ran::No })
    })
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
