//! Member rows in the table of records and members: writes this host's row, and removes it when the
//! host stops, or the row of a host that has fallen silent.

use crate::fleet::feed::{CALL_TIMEOUT, RETRY_DELAY};
use crate::fleet::follow::{MEMBER_PREFIX, TABLE};
use crate::state::Host;
use bergamotvale_core::id::HostId;
use bergamotvale_core::proxy::lease::Member;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::rendezvous::{Subject, weight};
use bergamotvale_platform::Result;
use bergamotvale_platform::store::{Change, Expected, Store};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// Number of times that timeouts and delays of the write of the own row are doubled.
const MAX_DOUBLINGS: u32 = 3;
/// Number of different retry delays that hosts have for the same attempt.
const JITTER_STEPS: u64 = 64;

/// Returns the key of a member's row.
pub fn member_key(host: HostId) -> String {
    format!("{MEMBER_PREFIX}{host}")
}

/// Records that the table holds a row of an earlier incarnation of this host. The shares of the
/// rates that it had are this incarnation's at once.
pub fn record_earlier_incarnation(host: &Host, row: Option<&Member>) {
    if row.is_some_and(|row| row.incarnation != host.incarnation) {
        host.was_member.set(true);
    }
}

/// Writes this host's row again if the table no longer records this incarnation: peers have removed
/// the row because they received no heartbeat for long, or a late write of an earlier incarnation
/// has replaced it.
pub fn rejoin(host: &Rc<Host>) {
    let is_recorded = {
        let lease = host.lease.borrow();
        lease.members().get(&host.id).is_some_and(|row| row.incarnation == host.incarnation)
    };
    if is_recorded || host.stop.is_under_way() || !host.has_joined.replace(false) {
        return;
    }
    host.metrics.count("joined_again");
    let host = host.clone();
    tokio::task::spawn_local(async move { join(&host).await });
}

/// Writes this host's row, retrying until the store has it and the copy of the table shows it.
pub async fn join(host: &Host) {
    let mut store = Store::new(host.settings.store);
    let mut attempt = 0;
    loop {
        match write_member(host, &mut store, call_timeout(attempt)).await {
            Ok(revision) => {
                // Without this wait `rejoin` could take the older copy for a removal.
                wait_for_revision(host, revision).await;
                host.has_joined.set(true);
                return;
            }
            Err(error) => {
                log::warn!("cannot write this host's member row; retrying: {error}");
                tokio::time::sleep(retry_delay(host.id, attempt)).await;
                attempt += 1;
            }
        }
    }
}

/// Time in which the store has to answer a call of this attempt. It doubles, because on a full link
/// a call that is given up early has loaded the link for nothing.
fn call_timeout(attempt: u32) -> Duration {
    CALL_TIMEOUT * 2_u32.pow(attempt.min(MAX_DOUBLINGS))
}

/// Delay after a failed attempt. It doubles, and differs between hosts that start together.
fn retry_delay(host: HostId, attempt: u32) -> Duration {
    let delay = RETRY_DELAY * 2_u32.pow(attempt.min(MAX_DOUBLINGS));
    let position = weight(host, Subject::Store(attempt.into())) % JITTER_STEPS;
    delay + delay * position as u32 / JITTER_STEPS as u32
}

async fn wait_for_revision(host: &Host, revision: Revision) {
    while host.lease.borrow().revision() < revision {
        host.changed.notified().await;
    }
}

/// Writes this host's row, unless it is there already. Returns the revision of the row.
///
/// The write is conditional on the row that was read: the store may execute a write whose answer was
/// lost seconds later, when a later incarnation has written the row.
async fn write_member(host: &Host, store: &mut Store, timeout: Duration) -> Result<Revision> {
    let key = member_key(host.id);
    let table = store.read(TABLE, timeout).await?;
    let row = table.rows.iter().find(|row| row.key == key && row.value.is_some());
    let earlier: Option<Member> =
        row.and_then(|row| row.value.as_ref()).and_then(|v| serde_json::from_slice(v).ok());
    if let Some((row, earlier)) = row.zip(earlier.as_ref())
        && earlier.incarnation == host.incarnation
    {
        return Ok(row.revision);
    }
    record_earlier_incarnation(host, earlier.as_ref());
    let member = Member {
        incarnation: host.incarnation,
        address: host.settings.listen.peers,
        domain: host.settings.domain.clone(),
        entered: earlier.map_or(table.now, |member| member.entered),
    };
    let expected = row.map_or(Expected::Absent(table.revision.era), |r| Expected::At(r.revision));
    let value = Some(Bytes::from(serde_json::to_vec(&member)?));
    let change = Change { table: TABLE, key: &key, expected: Some(expected), value };
    store.change(change, timeout).await
}

/// Removes a member's row unless it has changed since this host's copy of the table. Does nothing
/// if the copy has no such row.
pub async fn remove_member(host: &Host, member: HostId, timeout: Duration) -> Result<()> {
    let key = member_key(member);
    let known = host.peers.replica.borrow().settled().and_then(|table| table.revision_of(&key));
    let Some(revision) = known else { return Ok(()) };
    let mut store = Store::new(host.settings.store);
    let expected = Some(Expected::At(revision));
    let change = Change { table: TABLE, key: &key, expected, value: None };
    store.change(change, timeout).await.map(drop)
}
