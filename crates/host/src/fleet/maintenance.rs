//! Changes of the fleet row that this host makes on its own, and its leaving.

use super::change::{self, Proposal};
use super::follow;
use crate::shared::Host;
use bergamotvale_core::peer::Body;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Time between two looks whether a change is due.
const PERIOD: Duration = Duration::from_millis(50);
/// Pause after a change that was not accepted.
const PAUSE: Duration = Duration::from_millis(500);

/// Makes the changes that are due, until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if host.fleet.duty(host.clock.now()).is_none() {
            continue;
        }
        if let Err(fault) = perform(&host).await {
            log::info!("a change of the members was not made: {fault}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Makes the change that is due now, if any.
async fn perform(host: &Arc<Host>) -> Result<(), change::Fault> {
    // A row that no host has written names a document that is not here yet.
    let seeded = match follow::read_row(host).await {
        Ok((_, row)) if row.epoch == 0 && row.version > 0 => {
            let document = follow::document(host, &row).await;
            Some(document.map_err(|_| change::Fault::NotWritten)?)
        }
        Ok(_) => None,
        Err(_) => return Err(change::Fault::NotWritten),
    };
    change::apply(host, |next| {
        let Some(duty) = host.fleet.duty(host.clock.now()) else { return Ok(None) };
        log::info!("{duty:?} due at epoch {}", next.epoch);
        let row = duty.apply(next, &host.fleet.own_member());
        let body = match &seeded {
            Some(document) if row.epoch == 1 => Body::Whole(document.clone()),
            _ => Body::None,
        };
        Ok(Some(Proposal { row, body }))
    })
    .await?;
    Ok(())
}
