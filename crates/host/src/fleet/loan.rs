//! Borrows rate tokens and connection slots from peers, and returns idle slots.

use crate::shared::Host;
use crate::target::share::{PendingLoan, Transfer};
use bergamotvale_core::id::HostId;
use bergamotvale_core::peer::{SlotRequest, TokenRequest};
use bergamotvale_core::rate::meter::LoanRequest;
use bergamotvale_wire::peer::PeerClient;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which the pools are polled for slots to borrow or return.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Sends the limiter's requests for rate tokens until the task is dropped.
///
/// Takes the receiving end of the limiter's channel, so only the first call does anything.
pub async fn request_tokens(host: Arc<Host>) {
    let receiver = host.loan_requests.lock().expect("no holder of the lock panics").take();
    let Some(mut requests) = receiver else { return };
    let mut calls = JoinSet::new();
    while let Some(loan) = requests.recv().await {
        calls.spawn(borrow_tokens(host.clone(), loan));
        while calls.try_join_next().is_some() {}
    }
}

async fn borrow_tokens(host: Arc<Host>, loan: LoanRequest) {
    let request = TokenRequest {
        host: host.settings.host,
        account: loan.account,
        count: loan.count,
        version: host.document().version,
        sequence: host.incarnation + loan.sequence,
    };
    let sent_at = host.clock.now();
    let call =
        |client: PeerClient, context| async move { client.lend_tokens(context, request).await };
    let count = host.peers.call(loan.peer, host.settings.timeouts.peer, call).await;
    host.limiter.record_loan(loan, count.ok(), sent_at);
}

/// Borrows the connection slots that pools need and returns those that they no longer need, until
/// the task is dropped.
pub async fn balance_slots(host: Arc<Host>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut calls = JoinSet::new();
    loop {
        ticks.tick().await;
        let peers = lenders(&host);
        for (transfer, loan) in host.pools.due_transfers(&host, &peers) {
            calls.spawn(send_request(host.clone(), transfer, loan));
        }
        while calls.try_join_next().is_some() {}
    }
}

/// Peers that may lend slots: all other members.
fn lenders(host: &Host) -> Vec<HostId> {
    let row = host.fleet.row();
    row.members.into_keys().filter(|peer| *peer != host.settings.host).collect()
}

async fn send_request(host: Arc<Host>, transfer: Transfer, loan: Option<PendingLoan>) {
    match transfer {
        Transfer::Borrow(peer, request) => {
            let total = borrow_slots(&host, peer, request).await;
            if let Some(loan) = loan {
                host.pools.record_grant(&host, &loan, total);
            }
        }
        Transfer::Return(peer, request) => {
            let call = |client: PeerClient, context| async move {
                client.return_slots(context, request).await
            };
            if let Err(fault) = host.peers.call(peer, host.settings.timeouts.peer, call).await {
                log::debug!("cannot return slots to host {peer}: {fault}");
            }
        }
    }
}

async fn borrow_slots(host: &Host, peer: HostId, request: SlotRequest) -> Option<u32> {
    let call =
        |client: PeerClient, context| async move { client.lend_slots(context, request).await };
    host.peers.call(peer, host.settings.timeouts.peer, call).await.ok()
}
