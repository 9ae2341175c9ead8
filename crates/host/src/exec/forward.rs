//! Forwards steps of transactions to the host that owns them, over one hop, and serves the steps
//! that peers forward to this host.

use super::{Caller, transaction};
use crate::peer::Fault;
use crate::shared::Host;
use bergamotvale_core::id::{Time, TransactionId};
use bergamotvale_core::peer::{Forward, Outcome, Step};
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_wire::peer::PeerClient;
use std::sync::Arc;
use std::time::Duration;

/// Part of the caller's remaining time that is reserved for the response to travel back.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

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
    let owner_timeout = timeout.saturating_sub(RETURN_MARGIN);
    let forward = Forward { transaction: id, account, step, timeout: owner_timeout };
    host.metric.count("transaction.forwarded");
    let call = |peer: PeerClient, context| async move { peer.forward(context, forward).await };
    host.peers.call(owner, timeout, call).await.map_err(|fault| {
        let refusal = Refusal::new(Reason::PeerUnreachable, fault.to_string());
        // Only COMMIT has a lasting effect; a transaction without one is rolled back by its owner.
        let may_have_run = is_commit && matches!(fault, Fault::Call(_));
        refusal.with_ran(if may_have_run { Ran::Unknown } else { Ran::No })
    })
}

/// Executes a step that a peer forwarded; called by the listener for peers.
pub async fn serve(host: &Arc<Host>, forward: Forward) -> Outcome {
    let deadline = host.clock.now() + forward.timeout;
    let caller = Caller::Peer(forward.account);
    let id = forward.transaction;
    if transaction::owner(id) != host.settings.host {
        return Outcome::new(Err(Refusal::new(Reason::NotFound, "not this host's transaction")));
    }
    transaction::step(host, id, &caller, forward.step, deadline).await
}
