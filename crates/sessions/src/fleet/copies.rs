//! Copies of the table of records and members that hosts send to each other.
//!
//! A host that hears of a newer revision asks for what has changed since its own, see
//! [`bergamotvale_core::proxy::catch_up`]. It gets a difference, or the whole table in parts if the
//! difference cannot be told or did not match.

use super::follow;
use super::member::rejoin;
use super::peer::{MAX_DATAGRAM_BYTES, Message};
use crate::state::Host;
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::catch_up::CatchUp;
use bergamotvale_core::proxy::lease::Attestation;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::{Applied, Difference, Digest, Row, Table};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Size of the rows of one part of a table. One part fits into a datagram with all that surrounds
/// its rows.
const MAX_PART_BYTES: usize = MAX_DATAGRAM_BYTES / 2;
/// Bytes that a row takes beside its key and value.
const ROW_OVERHEAD_BYTES: usize = 24;

/// A row of a table as sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireRow {
    key: String,
    /// `None` if the row was removed.
    value: Option<Vec<u8>>,
    revision: Revision,
}

/// Part of a copy of the whole table.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Part {
    revision: Revision,
    /// Number of the part, from 0.
    index: u32,
    /// Number of parts.
    count: u32,
    rows: Vec<WireRow>,
}

/// A difference as sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireDifference {
    base: Revision,
    revision: Revision,
    rows: Vec<WireRow>,
    digest: Digest,
}

/// Parts of the newest table of which any part has arrived.
#[derive(Debug, Default)]
struct Parts {
    revision: Revision,
    rows: BTreeMap<u32, Vec<WireRow>>,
}

impl Parts {
    /// Adds a part, and returns the rows of the table once all are there.
    fn add(&mut self, part: Part) -> Option<Vec<WireRow>> {
        if part.revision < self.revision {
            return None;
        }
        if part.revision > self.revision {
            self.rows.clear();
            self.revision = part.revision;
        }
        self.rows.insert(part.index, part.rows);
        if !(0..part.count).all(|index| self.rows.contains_key(&index)) {
            return None;
        }
        Some(std::mem::take(&mut self.rows).into_values().flatten().collect())
    }
}

/// State of the copies that this host asks for.
#[derive(Debug)]
pub(super) struct Copies {
    catch_up: RefCell<CatchUp>,
    parts: RefCell<Parts>,
}

impl Copies {
    /// Creates the state of a host that has asked for nothing.
    pub(super) fn new(host: HostId) -> Copies {
        Copies { catch_up: RefCell::new(CatchUp::new(host)), parts: RefCell::default() }
    }

    /// Records that this host's copy has reached a later revision.
    pub(super) fn record_progress(&self) {
        self.catch_up.borrow_mut().record_progress();
    }
}

/// Asks a peer for what this host lacks if the peer has attested a newer revision.
pub(super) fn request_if_behind(host: &Host, peer: &Attestation, address: SocketAddr, now: Time) {
    let own = host.lease.borrow().revision();
    if peer.revision <= own {
        return;
    }
    let is_renewed = peer.renewal_age.is_some();
    let base = host.peers.copies.catch_up.borrow_mut().request(now, own, is_renewed);
    if let Some(base) = base {
        host.metrics.count("table_requests");
        host.peers.send(&Message::TableRequest { base }, address);
    }
}

/// Sends a peer what has changed since `base`, or the whole table if that cannot be told.
pub(super) fn send_changes(host: &Host, base: Revision, peer: SocketAddr) {
    let replica = host.peers.replica.borrow();
    let Some(table) = replica.settled().filter(|table| table.revision > base) else { return };
    let difference = table.difference(base).filter(|_| base > Revision::default());
    if let Some(difference) = difference {
        let Difference { base, revision, changes, digest } = difference;
        let rows: Vec<WireRow> = changes.into_iter().map(encode_row).collect();
        if rows.iter().map(row_bytes).sum::<usize>() <= MAX_PART_BYTES {
            let message = WireDifference { base, revision, rows, digest };
            return host.peers.send(&Message::Difference(message), peer);
        }
    }
    send_table(host, table, peer);
}

fn send_table(host: &Host, table: &Table<Bytes>, peer: SocketAddr) {
    let mut parts: Vec<Vec<WireRow>> = vec![Vec::new()];
    let mut bytes = 0;
    for (key, (value, revision)) in &table.rows {
        let row = WireRow { key: key.clone(), value: Some(value.to_vec()), revision: *revision };
        bytes += row_bytes(&row);
        if bytes > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = row_bytes(&row);
        }
        parts.last_mut().expect("there is always a part").push(row);
    }
    host.metrics.count("tables_sent");
    let count = parts.len() as u32;
    for (index, rows) in parts.into_iter().enumerate() {
        let part = Part { revision: table.revision, index: index as u32, count, rows };
        host.peers.send(&Message::Table(part), peer);
    }
}

fn row_bytes(row: &WireRow) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len) + ROW_OVERHEAD_BYTES
}

fn encode_row(row: Row<Bytes>) -> WireRow {
    let value = row.value.map(|value| value.to_vec());
    WireRow { key: row.key, value, revision: row.revision }
}

/// Takes over the whole table once all of its parts have arrived, if it is newer than the copy.
pub(super) fn handle_part(host: &Rc<Host>, part: Part) {
    let revision = part.revision;
    let Some(rows) = host.peers.copies.parts.borrow_mut().add(part) else { return };
    let live =
        rows.into_iter().filter_map(|row| Some((row.key, (Bytes::from(row.value?), row.revision))));
    let table = Table::new(live.collect(), revision);
    if host.peers.replica.borrow_mut().record_peer_copy(table) {
        host.metrics.count("tables_from_peers");
        adopt(host, revision);
    }
}

/// Applies a difference to this host's copy of the table.
pub(super) fn handle_difference(host: &Rc<Host>, difference: WireDifference) {
    let WireDifference { base, revision, rows, digest } = difference;
    let changes = rows.into_iter().map(|row| Row {
        key: row.key,
        value: row.value.map(Bytes::from),
        revision: row.revision,
    });
    let difference = Difference { base, revision, changes: changes.collect(), digest };
    let applied = host.peers.replica.borrow_mut().record_peer_difference(difference);
    match applied {
        Applied::Yes => {
            host.metrics.count("differences_from_peers");
            adopt(host, revision);
        }
        Applied::Outdated => host.metrics.count("differences_outdated"),
        Applied::Mismatch => {
            host.metrics.count("differences_mismatched");
            host.peers.copies.catch_up.borrow_mut().record_mismatch();
        }
    }
}

fn adopt(host: &Rc<Host>, revision: Revision) {
    host.record_era(revision.era);
    follow::adopt_table(host);
    rejoin(host);
    host.changed.notify_waiters();
}
