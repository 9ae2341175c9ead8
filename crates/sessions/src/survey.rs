//! Finds the target of a group with synchronous replicas that holds every acknowledged commit.
//!
//! No host in_flight_work the primary before any more. Commits that were sent to it and are held up on the way
//! could still be acknowledged, so replicas stop receiving before their positions count.

use crate::maintenance;
use crate::state::Host;
use bergamotvale_core::proxy::directory::{Entry, TargetName, of_service};
use bergamotvale_core::proxy::record::Record;
use bergamotvale_core::proxy::survey::Survey;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which enough targets have to answer.
const LIMIT: Duration = Duration::from_secs(3);
/// Time in which one target has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before targets that did not answer are asked again.
const PAUSE: Duration = Duration::from_millis(50);

/// Asks until it is known which target has most of the log; none if too few answer in time.
pub async fn run(
    host: &Host,
    service: &str,
    record: &Record,
    sync_replicas: u32,
) -> Option<TargetName> {
    let replicas = replicas(host, service, record);
    let newest = host.histories.borrow().get(service).and_then(|history| history.newest());
    let reached = newest.map(|observation| observation.position).unwrap_or_default();
    let sync_replicas = usize::try_from(sync_replicas).unwrap_or(usize::MAX);
    let mut survey = Survey::new(sync_replicas, replicas.len(), reached);
    let limit = Instant::now() + LIMIT;
    loop {
        stop_replicas(host, &replicas, record, &mut survey).await;
        if !survey.is_complete() {
            depose(host, record, &mut survey).await;
        }
        if let Some(best) = survey.most_advanced(&record.primary) {
            return Some(best.clone());
        }
        if Instant::now() >= limit {
            return None;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Targets of the group besides the primary before; those that leave receive commits to the end.
fn replicas(host: &Host, service: &str, record: &Record) -> Vec<Entry> {
    let directory = host.directory.borrow();
    let is_replica = |entry: &&Entry| record.previous.as_ref() != Some(&entry.name);
    of_service(&directory, service).filter(is_replica).cloned().collect()
}

async fn stop_replicas(host: &Host, replicas: &[Entry], record: &Record, survey: &mut Survey) {
    let until = Instant::now() + ANSWER_TIMEOUT;
    let missing = replicas.iter().filter(|entry| !survey.has_stopped(&entry.name));
    let asked = missing.map(|entry| async move {
        (entry, maintenance::pause(host, entry, record.next_term(), until).await)
    });
    for (entry, answer) in join_all(asked).await {
        match answer {
            Ok(status) => survey.record_stopped(&entry.name, status.received),
            Err(failure) => log::info!("{} does not stop receiving: {failure:?}", entry.name),
        }
    }
}

async fn depose(host: &Host, record: &Record, survey: &mut Survey) {
    let Some(previous) = &record.previous else { return };
    let Some(entry) = host.directory.borrow().get(previous).cloned() else { return };
    let until = Instant::now() + ANSWER_TIMEOUT;
    match maintenance::demote(host, &entry, record.next_term(), until).await {
        Ok(status) => survey.record_deposed(previous, status.received),
        Err(failure) => log::info!("{previous} does not step down: {failure:?}"),
    }
}
