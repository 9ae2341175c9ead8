//! Member rows in the table of records and members: writes this host's row, and removes it when the
//! host stops, or the row of a host that has fallen silent.

use crate::fleet::feed::{CALL_TIMEOUT, RETRY_DELAY};
use crate::fleet::follow::{MEMBER_PREFIX, TABLE};
use crate::state::Host;
use bergamotvale_core::id::HostId;
use bergamotvale_core::proxy::lease::Member;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_platform::Result;
use bergamotvale_platform::store::{Change, Expected, Store};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

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

/// Writes this host's row again if peers have removed it because they received no heartbeat for
/// long.
pub fn rejoin(host: &Rc<Host>) {
    let is_member = host.lease.borrow().members().contains_key(&host.id);
    if is_member || host.stop.is_under_way() || !host.has_joined.replace(false) {
        return;
    }
    host.metrics.count("joined_again");
    let host = host.clone();
    tokio::task::spawn_local(async move { join(&host).await });
}

/// Writes this host's row, retrying until the store has it and the copy of the table shows it.
pub async fn join(host: &Host) {
    let mut store = Store::new(host.settings.store);
    loop {
        match write_member(host, &mut store).await {
            Ok(revision) => {
                // Without this wait `rejoin` could take the older copy for a removal.
                wait_for_revision(host, revision).await;
                host.has_joined.set(true);
                return;
            }
            Err(error) => {
                log::warn!("cannot write this host's member row; retrying: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn wait_for_revision(host: &Host, revision: Revision) {
    while host.lease.borrow().revision() < revision {
        host.changed.notified().await;
    }
}

async fn write_member(host: &Host, store: &mut Store) -> Result<Revision> {
    let key = member_key(host.id);
    let before = store.read(TABLE, CALL_TIMEOUT).await?;
    let earlier = before.rows.iter().find(|row| row.key == key);
    let earlier: Option<Member> =
        earlier.and_then(|row| row.value.as_ref()).and_then(|v| serde_json::from_slice(v).ok());
    record_earlier_incarnation(host, earlier.as_ref());
    let member = Member {
        incarnation: host.incarnation,
        address: host.settings.listen.peers,
        domain: host.settings.domain.clone(),
        entered: earlier.map_or(before.now, |member| member.entered),
    };
    let value = Some(Bytes::from(serde_json::to_vec(&member)?));
    let change = Change { table: TABLE, key: &key, expected: None, value };
    store.change(change, CALL_TIMEOUT).await
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
