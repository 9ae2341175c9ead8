//! Asks peers for rate tokens and connection slots.

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

/// Time between two looks at the pools.
const PERIOD: Duration = Duration::from_millis(25);

/// Asks for the tokens that the limiter wants, until the task is dropped.
pub async fn request_tokens(host: Arc<Host>) {
    let taken = host.loan_requests.lock().expect("no holder of the lock panics").take();
    let Some(mut asks) = taken else { return };
    let mut calls = JoinSet::new();
    while let Some(ask) = asks.recv().await {
        calls.spawn(borrow_tokens(host.clone(), ask));
        while calls.try_join_next().is_some() {}
    }
}

async fn borrow_tokens(host: Arc<Host>, ask: LoanRequest) {
    let request = TokenRequest {
        host: host.settings.host,
        account: ask.account,
        count: ask.count,
        version: host.document().version,
        sequence: host.incarnation + ask.sequence,
    };
    let asked = host.clock.now();
    let call =
        |client: PeerClient, context| async move { client.lend_tokens(context, request).await };
    let count = host.peers.call(ask.peer, host.settings.timeouts.peer, call).await;
    host.limiter.record_loan(ask, count.ok(), asked);
}

/// Moves connection slots to demand, until the task is dropped.
pub async fn balance_slots(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut calls = JoinSet::new();
    loop {
        ticks.tick().await;
        let peers = lenders(&host);
        for (want, asked) in host.pools.due_transfers(&host, &peers) {
            calls.spawn(carry_out(host.clone(), want, asked));
        }
        while calls.try_join_next().is_some() {}
    }
}

/// Peers that may lend.
fn lenders(host: &Host) -> Vec<HostId> {
    let row = host.fleet.row();
    row.members.into_keys().filter(|peer| *peer != host.settings.host).collect()
}

async fn carry_out(host: Arc<Host>, want: Transfer, asked: Option<PendingLoan>) {
    match want {
        Transfer::Borrow(peer, request) => {
            let total = borrow_slots(&host, peer, request).await;
            if let Some(asked) = asked {
                host.pools.record_grant(&host, &asked, total);
            }
        }
        Transfer::Return(peer, request) => {
            let call = |client: PeerClient, context| async move {
                client.return_slots(context, request).await
            };
            if let Err(fault) = host.peers.call(peer, host.settings.timeouts.peer, call).await {
                log::debug!("slots were not given back to host {peer}: {fault}");
            }
        }
    }
}

async fn borrow_slots(host: &Host, peer: HostId, request: SlotRequest) -> Option<u32> {
    let call =
        |client: PeerClient, context| async move { client.lend_slots(context, request).await };
    host.peers.call(peer, host.settings.timeouts.peer, call).await.ok()
}
