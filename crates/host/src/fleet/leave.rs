//! Leaving the fleet: a graceful stop, step by step.

use super::change::{self, Proposal};
use crate::shared::Host;
use bergamotvale_core::peer::Body;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks whether work has finished.
const PERIOD: Duration = Duration::from_millis(20);
/// Time for each exchange with the platform on the way out.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Says to platform and peers that this host is leaving.
pub async fn announce(host: &Arc<Host>) {
    host.fleet.leave();
    host.leaving.send_replace(true);
    let own = host.fleet.own_member();
    let delete = host.platform.delete_host(own.host, own.incarnation);
    match tokio::time::timeout(TIMEOUT, delete).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("still on the platform's list: {error}"),
        Err(_) => log::warn!("still on the platform's list: no answer"),
    }
}

/// Waits until open transactions have ended, at most for `timeout`.
pub async fn finish_transactions(host: &Host, timeout: Duration) {
    let until = host.clock.now() + timeout;
    while !host.data.transactions.is_empty() && host.clock.now() < until {
        tokio::time::sleep(PERIOD).await;
    }
    let left = host.data.transactions.len();
    if left > 0 {
        log::warn!("{left} transactions are open past the stop timeout: rolled back");
    }
    host.data.transactions.roll_back_all();
}

/// Leaves the member table, so that others take this host's shares over.
pub async fn remove_member(host: &Arc<Host>) {
    let own = host.fleet.own_member();
    let leave = change::apply(host, |row| {
        let recorded = row.members.get(&own.host);
        if recorded.is_none_or(|member| member.incarnation != own.incarnation) {
            return Ok(None);
        }
        Ok(Some(Proposal { row: row.without_member(own.host), body: Body::None }))
    });
    match tokio::time::timeout(TIMEOUT, leave).await {
        Ok(Ok(_)) => log::info!("left the fleet"),
        Ok(Err(fault)) => log::warn!("still in the member table: {fault}"),
        Err(_) => log::warn!("still in the member table: no answer"),
    }
}
