//! Finds the target of a group with synchronous replicas that holds every acknowledged commit, be it
//! listed or not.
//!
//! At this point of a promotion no host uses the previous primary. Commits that were sent to it and
//! are delayed on the way could still be acknowledged, so replicas stop receiving before their
//! positions count.

use crate::maintenance;
use crate::state::Host;
use bergamotvale_core::proxy::directory::{Entry, TargetName};
use bergamotvale_core::proxy::record::Record;
use bergamotvale_core::proxy::survey::Survey;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which enough targets have to answer for the survey to succeed.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which one target has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before targets that did not answer are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Stops the replicas, and demotes the previous primary if too few of them answer, until it is
/// known which target has most of the log. Returns that target; `None` if too few answer in time.
pub async fn run(
    host: &Host,
    service: &str,
    record: &Record,
    sync_replicas: u32,
) -> Option<TargetName> {
    let replicas = replicas(host, service, record);
    let counted: Vec<Entry> = replicas
        .iter()
        .filter(|entry| is_known_incarnation(host, record, entry))
        .cloned()
        .collect();
    let newest = host.histories.borrow().get(service).and_then(|history| history.newest());
    let reached = newest.map(|observation| observation.position).unwrap_or_default();
    let sync_replicas = usize::try_from(sync_replicas).unwrap_or(usize::MAX);
    let mut survey = Survey::new(sync_replicas, replicas.len(), reached);
    let deadline = Instant::now() + SURVEY_TIMEOUT;
    loop {
        stop_replicas(host, &counted, record, &mut survey).await;
        if !survey.is_complete() {
            demote_previous(host, service, record, &mut survey).await;
        }
        if let Some(best) = survey.most_advanced(&record.primary) {
            return Some(best.clone());
        }
        if Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the targets of the group except the previous primary. Leaving targets are included,
/// because they receive commits until they stop, and so are those that the directory has lost.
fn replicas(host: &Host, service: &str, record: &Record) -> Vec<Entry> {
    let mut replicas = record.roster.entries(&host.directory.borrow(), service);
    replicas.retain(|entry| record.previous.as_ref() != Some(&entry.name));
    replicas
}

/// Whether a replica's position shows what it has acknowledged: it has not lost its log meanwhile.
fn is_known_incarnation(host: &Host, record: &Record, entry: &Entry) -> bool {
    let directory = host.directory.borrow();
    !directory.contains_key(&entry.name) || record.roster.is_present(&directory, &entry.name)
}

async fn stop_replicas(host: &Host, replicas: &[Entry], record: &Record, survey: &mut Survey) {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let missing = replicas.iter().filter(|entry| !survey.has_stopped(&entry.name));
    let pauses = missing.map(|entry| async move {
        (entry, maintenance::pause(host, entry, record.next_term(), deadline).await)
    });
    for (entry, result) in join_all(pauses).await {
        match result {
            Ok(status) => survey.record_stopped(&entry.name, status.received),
            Err(failure) => log::info!("cannot stop {} from receiving: {failure:?}", entry.name),
        }
    }
}

async fn demote_previous(host: &Host, service: &str, record: &Record, survey: &mut Survey) {
    let Some(previous) = &record.previous else { return };
    let Some(entry) = host.find_target(service, previous) else { return };
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    match maintenance::demote(host, &entry, record.next_term(), deadline).await {
        Ok(status) => survey.record_deposed(previous, status.received),
        Err(failure) => log::info!("cannot demote {previous}: {failure:?}"),
    }
}
