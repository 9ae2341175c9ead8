//! Reads of the platform: the fleet row, the document, the list of hosts.

use crate::error::Result;
use crate::platform::{CONFIG_ROW, HostEntry};
use crate::shared::Host;
use bergamotvale_core::distribute::Row;
use bergamotvale_core::peer::{Body, Update};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Time between two looks at the platform's list of hosts.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two entries in it; it drops a host after 5 s without one.
const ENTRY_PERIOD: Duration = Duration::from_secs(2);

/// Polls the fleet row until the task is dropped.
pub async fn poll_row(host: Arc<Host>) {
    let mut ticks = interval(host.settings.platform.period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !host.fleet.is_poller() && host.has_authority() {
            continue;
        }
        if let Err(error) = read_row(&host).await {
            log::debug!("cannot read the fleet row: {error}");
            host.metric.count("platform.poll_failures");
        }
    }
}

/// Reads the fleet row and moves to it. Answers the row's version in the table, and the row.
pub async fn read_row(host: &Arc<Host>) -> Result<(u64, Row)> {
    let sent = host.clock.now();
    let found = host.platform.row(CONFIG_ROW).await?;
    let version = found.as_ref().map_or(0, |row| row.version);
    let row: Row = match found {
        Some(found) => serde_json::from_value(found.value)?,
        None => Row::default(),
    };
    host.fleet.record_read(sent, row.epoch);
    if row.epoch > host.fleet.epoch() {
        move_to(host, row.clone()).await?;
    }
    Ok((version, row))
}

async fn move_to(host: &Arc<Host>, row: Row) -> Result<()> {
    let known = host.fleet.row().version;
    let body =
        if row.version == known { Body::None } else { Body::Whole(document(host, &row).await?) };
    host.adopt(Update { origin: host.settings.host, row, body });
    Ok(())
}

/// The document that `row` names.
pub(super) async fn document(
    host: &Host,
    row: &Row,
) -> Result<bergamotvale_core::config::Document> {
    let body = host.platform.object(&row.digest).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Keeps this host on the platform's list until the task is dropped.
pub async fn register(host: Arc<Host>) {
    let mut ticks = interval(ENTRY_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let own = host.fleet.own_member();
        if own.leaving {
            continue;
        }
        let listed = HostEntry::new(&own, host.settings.listen.callers);
        if let Err(error) = host.platform.put_host(&listed).await {
            log::debug!("entry in the platform's list of hosts: {error}");
        }
    }
}

/// Follows the platform's list, as far as it is this host's task, until the task is dropped.
pub async fn poll_host_list(host: Arc<Host>) {
    let mut ticks = interval(LIST_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !host.fleet.reads_list(host.clock.now()) {
            continue;
        }
        if let Err(error) = read_list(&host).await {
            log::debug!("platform's list of hosts: {error}");
        }
    }
}

async fn read_list(host: &Host) -> Result<()> {
    let hosts = host.platform.hosts().await?;
    let members: Vec<_> = hosts.iter().filter_map(HostEntry::member).collect();
    host.fleet.listed(host.clock.now(), &members);
    Ok(())
}
