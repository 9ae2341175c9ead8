//! Completes the table of records and members after the store was restored from an older copy.
//!
//! Each host writes again what it remembers and the restored table lacks: the rows of members and
//! the records of groups. One host then settles the table; see
//! [`bergamotvale_core::proxy::restore`].

use crate::boot_clock;
use crate::event::{Event, millis};
use crate::fleet::feed::CALL_TIMEOUT;
use crate::fleet::follow::{TABLE, decode_records, group_key};
use crate::fleet::member::member_key;
use crate::group::promote::rank;
use crate::state::Host;
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::lease::Member;
use bergamotvale_core::proxy::restore::Settlement;
use bergamotvale_core::proxy::revision::Era;
use bergamotvale_core::proxy::table::{ERA_KEY, Table, encode_era};
use bergamotvale_platform::store::{Change, Expected, Store};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// Time between checks of a restored table.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Additional delay of each rank before a host writes what others may write as well.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// A row that the restored table lacks.
struct LostRow {
    key: String,
    value: Bytes,
    expected: Expected,
    /// Whether other hosts remember it too.
    is_shared: bool,
}

/// Completes restored tables until the process ends.
pub async fn run(host: Rc<Host>) {
    loop {
        host.restore_noticed.notified().await;
        let Some(era) = restored_era(&host) else { continue };
        let has_memory = host.peers.replica.borrow().settled().is_some();
        let mut settlement = Settlement::new(era, boot_clock::now(), has_memory);
        while restored_era(&host) == Some(era) {
            step(&host, &mut settlement).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn restored_era(host: &Host) -> Option<Era> {
    host.peers.replica.borrow().restored().map(|table| table.revision.era)
}

/// Writes the lost rows; settles the table once there are none, here and at the other hosts.
async fn step(host: &Host, settlement: &mut Settlement) {
    let Some(restored) = host.peers.replica.borrow().restored().cloned() else { return };
    let now = boot_clock::now();
    let has_turn = settlement.age(now) >= turn_delay(host);
    let lost = lost_rows(host, &restored);
    if !lost.is_empty() {
        write_rows(host, lost, has_turn).await;
        return;
    }
    record_reconciled(host, settlement);
    let members = host.known_members();
    let is_due = settlement.is_due(now, &host.lease.borrow(), &members);
    if is_due && has_turn {
        settle(host, &restored, settlement).await;
    }
}

fn turn_delay(host: &Host) -> Time {
    RANK_DELAY * u32::try_from(rank(host, ERA_KEY)).unwrap_or(u32::MAX)
}

/// Returns the rows that this host remembers and that the restored table lacks.
fn lost_rows(host: &Host, restored: &Table<Bytes>) -> Vec<LostRow> {
    let mut lost = lost_members(host, restored);
    lost.extend(lost_records(host, restored));
    lost
}

/// Returns members without a row. A row of another incarnation is replaced for this host only:
/// another host may have restarted.
fn lost_members(host: &Host, restored: &Table<Bytes>) -> Vec<LostRow> {
    let lease = host.lease.borrow();
    let known = host.restored_members.borrow();
    let is_own_row = |id: &HostId, member: &Member| {
        *id == host.id && member.incarnation == host.incarnation && !host.stop.is_under_way()
    };
    let is_lost = |id: &HostId, member: &Member| match known.get(id) {
        None => *id != host.id || is_own_row(id, member),
        Some(row) => is_own_row(id, member) && row.incarnation != host.incarnation,
    };
    let lost = lease.members().iter().filter(|(id, member)| is_lost(id, member));
    let to_row = |(id, member): (&HostId, &Member)| {
        let key = member_key(*id);
        let expected = expected(restored, &key);
        let value = encode(&key, member)?;
        Some(LostRow { key, value, expected, is_shared: *id != host.id })
    };
    lost.filter_map(to_row).collect()
}

/// Returns records that describe a later state of their group than the restored rows.
fn lost_records(host: &Host, restored: &Table<Bytes>) -> Vec<LostRow> {
    let known = decode_records(host, restored);
    let records = host.records.borrow();
    let is_lost = |service: &String| {
        known.get(service).is_none_or(|row| records[service].record.supersedes(&row.record))
    };
    let to_row = |service: &String| {
        let key = group_key(service);
        let expected = expected(restored, &key);
        let value = encode(&key, &records[service].record)?;
        Some(LostRow { key, value, expected, is_shared: true })
    };
    records.keys().filter(|service| is_lost(service)).filter_map(to_row).collect()
}

/// Condition that the row is still as in the restored table.
fn expected(restored: &Table<Bytes>, key: &str) -> Expected {
    let absent = Expected::Absent(restored.revision.era);
    restored.revision_of(key).map_or(absent, Expected::At)
}

fn encode(key: &str, value: &impl serde::Serialize) -> Option<Bytes> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Some(Bytes::from(bytes)),
        Err(error) => {
            log::error!("cannot encode row {key}; it is not written again: {error}");
            None
        }
    }
}

/// Writes the rows that are this host's alone and, if it has its turn, those that others remember
/// too. The feed returns what was written, here or by others.
async fn write_rows(host: &Host, rows: Vec<LostRow>, has_turn: bool) {
    let mut store = Store::new(host.settings.store);
    for row in rows.into_iter().filter(|row| has_turn || !row.is_shared) {
        let LostRow { key, value, expected, .. } = row;
        let change =
            Change { table: TABLE, key: &key, expected: Some(expected), value: Some(value) };
        match store.change(change, CALL_TIMEOUT).await {
            Ok(_) => host.metrics.count("rows_written_again"),
            Err(error) => log::info!("cannot write row {key} again: {error}"),
        }
    }
}

fn record_reconciled(host: &Host, settlement: &Settlement) {
    let era = settlement.era();
    if host.reconciled.replace(Some(era)) != Some(era) {
        let elapsed_ms = millis(settlement.age(boot_clock::now()));
        host.journal.write(&Event::Reconciled { era, elapsed_ms });
        host.peers.heartbeat_now.notify_one();
    }
}

/// Marks the restored table as complete.
async fn settle(host: &Host, restored: &Table<Bytes>, settlement: &Settlement) {
    let era = settlement.era();
    let expected = Some(expected(restored, ERA_KEY));
    let value = Some(Bytes::from(encode_era(era)));
    let change = Change { table: TABLE, key: ERA_KEY, expected, value };
    match Store::new(host.settings.store).change(change, CALL_TIMEOUT).await {
        Ok(_) => {
            let elapsed_ms = millis(settlement.age(boot_clock::now()));
            host.journal.write(&Event::Settled { era, elapsed_ms });
        }
        Err(error) => log::info!("cannot settle the table in era {era}: {error}"),
    }
}
