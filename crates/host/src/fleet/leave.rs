//! Steps of a graceful stop, by which this host leaves the fleet.

use super::change::{self, Proposal};
use crate::shared::Host;
use bergamotvale_core::peer::Body;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which open transactions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of each exchange with the platform while leaving.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Reports to the platform and to peers that this host is leaving.
///
/// If the platform cannot be reached, the host leaves all the same, and its entry in the list
/// expires.
pub async fn announce(host: &Arc<Host>) {
    host.fleet.mark_leaving();
    host.leaving.send_replace(true);
    let own = host.fleet.own_member();
    let delete = host.platform.delete_host(own.host, own.incarnation);
    match tokio::time::timeout(PLATFORM_TIMEOUT, delete).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(
            "cannot remove this host from the platform's list; its entry will expire: {error}"
        ),
        Err(_) => log::warn!(
            "cannot remove this host from the platform's list; its entry will expire: timed out"
        ),
    }
}

/// Waits for up to `timeout` until open transactions have ended, then rolls back the others.
pub async fn finish_transactions(host: &Host, timeout: Duration) {
    let deadline = host.clock.now() + timeout;
    while !host.data.transactions.is_empty() && host.clock.now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let open_count = host.data.transactions.len();
    if open_count > 0 {
        log::warn!("stop timeout expired: rolling back {open_count} open transactions");
    }
    host.data.transactions.roll_back_all();
}

/// Removes this host from the member table, so that other hosts take over its shares.
///
/// If that fails, other members remove the host once its heartbeats stop.
pub async fn remove_member(host: &Arc<Host>) {
    let own = host.fleet.own_member();
    let leave = change::apply(host, |row| {
        let recorded = row.members.get(&own.host);
        if recorded.is_none_or(|member| member.incarnation != own.incarnation) {
            return Ok(None);
        }
        Ok(Some(Proposal { row: row.without_member(own.host), body: Body::None }))
    });
    match tokio::time::timeout(PLATFORM_TIMEOUT, leave).await {
        Ok(Ok(_)) => log::info!("left the fleet"),
        Ok(Err(fault)) => log::warn!(
            "cannot leave the member table; other members will remove this host: {fault}"
        ),
        Err(_) => log::warn!(
            "cannot leave the member table; other members will remove this host: timed out"
        ),
    }
}
