//! Keeps the rosters of the groups with synchronous replicas up to date in their records.
//!
//! Targets are taken up as soon as they are listed. One that is no longer listed stays until it has
//! ended and the others have what it may have acknowledged; see [`bergamotvale_core::proxy::roster`].
//! One that only does not answer stays.

use crate::event::Event;
use crate::group::promote::{rank, write_record};
use crate::maintenance;
use crate::state::{Host, StoredRecord};
use bergamotvale_core::proxy::directory::{Directory, TargetName, of_service};
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::roster::{Departure, Roster};
use bergamotvale_platform::store::Expected;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time between checks of all rosters.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of checks for which each rank leaves a change of a roster to those before it.
const CHECKS_PER_RANK: u32 = 3;
/// Time in which a target has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// What this host knows of the targets of one group that are not listed.
#[derive(Debug, Default)]
struct Watch {
    /// Targets that were listed as leaving.
    leaving: BTreeSet<TargetName>,
    departures: BTreeMap<TargetName, Departure>,
    /// Number of checks that found the roster out of date, in a row.
    outdated_checks: u32,
}

impl Watch {
    fn record_leaving(&mut self, directory: &Directory, service: &str, roster: &Roster) {
        self.leaving.retain(|name| directory.contains_key(name) || roster.contains(name));
        for entry in of_service(directory, service) {
            if entry.is_leaving {
                self.leaving.insert(entry.name.clone());
            } else {
                self.leaving.remove(&entry.name);
            }
        }
    }
}

/// Checks all rosters until the process ends.
pub async fn run(host: Rc<Host>) {
    let mut watches: BTreeMap<String, Watch> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if host.stop.is_under_way() || !host.holds_lease() || host.is_restoring() {
            continue;
        }
        let catalog = host.catalog.borrow().clone();
        for (service, group) in catalog.groups.iter().filter(|(_, group)| group.sync_replicas > 0) {
            let stored = host.records.borrow().get(service).cloned();
            let Some(stored) = stored.filter(|stored| stored.record.established) else { continue };
            let watch = watches.entry(service.clone()).or_default();
            let sync_replicas = usize::try_from(group.sync_replicas).unwrap_or(usize::MAX);
            check(&host, service, &stored, sync_replicas, watch).await;
        }
    }
}

/// Writes the group's record again if its roster is out of date and it is this host's turn.
async fn check(
    host: &Host,
    service: &str,
    stored: &StoredRecord,
    sync_replicas: usize,
    watch: &mut Watch,
) {
    let directory = host.directory.borrow().clone();
    watch.record_leaving(&directory, service, &stored.record.roster);
    let mut roster = stored.record.roster.updated(&directory, service);
    let absent: Vec<TargetName> = roster.absent(&directory).cloned().collect();
    watch.departures.retain(|name, _| absent.contains(name));
    for name in absent {
        if has_ended(host, &directory, &roster, service, &name, watch).await
            && is_covered(host, &directory, service, &name, sync_replicas, watch).await
        {
            // A new incarnation that is listed is taken up in place of the one that has ended.
            roster = roster.without(&name).updated(&directory, service);
        }
    }
    if roster == stored.record.roster {
        watch.outdated_checks = 0;
        return;
    }
    watch.outdated_checks += 1;
    let rank = u32::try_from(rank(host, service)).unwrap_or(u32::MAX);
    if watch.outdated_checks > rank.saturating_mul(CHECKS_PER_RANK) {
        write(host, service, stored, roster).await;
    }
}

/// Whether a target's process has ended: it had said that it would, it was started again without
/// its log, or its machine refuses connections.
async fn has_ended(
    host: &Host,
    directory: &Directory,
    roster: &Roster,
    service: &str,
    name: &TargetName,
    watch: &mut Watch,
) -> bool {
    let Some(entry) = roster.entry(service, name) else { return false };
    let has_ended = directory.contains_key(name)
        || watch.leaving.contains(name)
        || refuses_connections(entry.address).await;
    if has_ended {
        watch.departures.entry(name.clone()).or_insert_with(|| Departure::new(host.now()));
    } else {
        watch.departures.remove(name);
    }
    has_ended
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match tokio::time::timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Whether the listed replicas have what a target that has ended may have acknowledged.
async fn is_covered(
    host: &Host,
    directory: &Directory,
    service: &str,
    name: &TargetName,
    sync_replicas: usize,
    watch: &mut Watch,
) -> bool {
    let Some(departure) = watch.departures.get_mut(name) else { return false };
    let newest = host.histories.borrow().get(service).and_then(|history| history.newest());
    let received = received_positions(host, directory, service).await;
    departure.is_covered(newest, sync_replicas, received.into_iter())
}

/// Positions up to which the listed replicas of a group that answer have received the log.
async fn received_positions(host: &Host, directory: &Directory, service: &str) -> Vec<Position> {
    let primary = host.records.borrow().get(service).map(|stored| stored.record.primary.clone());
    let mut positions = Vec::new();
    for entry in of_service(directory, service).filter(|e| primary.as_ref() != Some(&e.name)) {
        match maintenance::status(host, entry, Instant::now() + ANSWER_TIMEOUT).await {
            Ok(status) => positions.push(status.received),
            Err(failure) => log::debug!("{} does not tell its position: {failure:?}", entry.name),
        }
    }
    positions
}

async fn write(host: &Host, service: &str, stored: &StoredRecord, roster: Roster) {
    let record = stored.record.with_roster(roster);
    match write_record(host, service, &record, Expected::At(stored.revision)).await {
        Ok(revision) => {
            host.journal.write(&Event::RosterChanged { service, roster: &record.roster });
            host.adopt_record(service, record, revision);
        }
        Err(error) => log::info!("cannot write the roster of {service}: {error}"),
    }
}
