//! Maintenance of the fleet row without an operator, see [`bergamotvale_core::maintenance`].

use super::change::{self, Proposal};
use super::follow;
use crate::shared::Host;
use bergamotvale_core::peer::Body;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which due changes are checked for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a change that was not accepted.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Makes the changes that are due, until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if host.fleet.due_task(host.clock.now()).is_none() {
            continue;
        }
        if let Err(fault) = perform(&host).await {
            log::info!("maintenance of the fleet row failed; retrying in {RETRY_DELAY:?}: {fault}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Makes the change that is due now, if any.
async fn perform(host: &Arc<Host>) -> Result<(), change::Fault> {
    // A row of epoch 0 was not written by a host, so no host has its document yet.
    let seed = match follow::read_row(host).await {
        Ok((_, row)) if row.epoch == 0 && row.version > 0 => {
            let document = follow::document(host, &row).await;
            Some(document.map_err(|_| change::Fault::NotWritten)?)
        }
        Ok(_) => None,
        Err(_) => return Err(change::Fault::NotWritten),
    };
    change::apply(host, |next| {
        let Some(task) = host.fleet.due_task(host.clock.now()) else { return Ok(None) };
        log::info!("maintenance task {task:?} is due at epoch {}", next.epoch);
        let row = task.apply(next, &host.fleet.own_member());
        let body = match &seed {
            Some(document) if row.epoch == 1 => Body::Whole(document.clone()),
            _ => Body::None,
        };
        Ok(Some(Proposal { row, body }))
    })
    .await?;
    Ok(())
}
