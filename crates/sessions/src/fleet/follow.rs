//! Copies of the platform's tables, each kept up to date by one feed.
//!
//! Each answer to the feed of the table of records and members renews the lease. One host polls it
//! with a short wait and so renews the lease for the others, which receive the renewals in
//! heartbeats: the host with the lowest id of those alive. A copy is never replaced by an older
//! one.

use crate::boot_clock;
use crate::evacuation;
use crate::event::Event;
use crate::fleet::feed::{Feed, Update};
use crate::fleet::member::{record_earlier_incarnation, rejoin};
use crate::fleet::peer::{self, Source};
use crate::state::{Host, StoredRecord};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::catalog::Catalog;
use bergamotvale_core::proxy::directory::Directory;
use bergamotvale_core::proxy::lease::Member;
use bergamotvale_core::proxy::record::Record;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::Table;
use bergamotvale_platform::{Error, catalog, directory};
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Table of the groups' records and the members.
pub const TABLE: &str = "bergamotvale";
/// Prefix of the key of a member's row; the host's id follows.
pub const MEMBER_PREFIX: &str = "host.";
/// Prefix of the key of a group's row; the service follows.
const GROUP_PREFIX: &str = "group.";
/// Longest time that a poll of the table of records and members waits for changes on a host that
/// renews the lease.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(250);
/// Age of the lease's renewal above which a host no longer relies on the host that renews for
/// others. A peer silent for as long no longer counts as alive when that host is determined.
pub(super) const MAX_RELAYED_RENEWAL_AGE: Duration = Duration::from_millis(900);
/// Time between checks of the renewal's age.
const RENEWAL_AGE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that other polls wait for changes. A feed that missed a change which a peer has
/// seen polls again sooner.
const MAX_POLL_WAIT: Duration = Duration::from_secs(12);
/// The same in a fleet that is not small, where calls of all hosts add up. The store permits 30 s.
const MAX_LARGE_FLEET_POLL_WAIT: Duration = Duration::from_secs(25);
/// Delay before the poll that follows a change of the targets' entries, in a fleet that is not small:
/// targets that start together write their entries within some seconds.
const DIRECTORY_BATCH_DELAY: Duration = Duration::from_millis(800);
/// Time after the end of an outage of the store for which entries that expired during it are kept,
/// so that their targets can write them again.
const EXPIRED_ENTRY_RETENTION: Duration = Duration::from_millis(2500);
/// Shortest outage of the store in which entries may expire.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);

/// Returns the key of a group's row.
pub fn group_key(service: &str) -> String {
    format!("{GROUP_PREFIX}{service}")
}

/// Keeps the configuration up to date until the process ends.
pub async fn catalog(host: Rc<Host>) {
    let mut feed = Feed::new(&host, catalog::TABLE, Some(Source::Catalog), MAX_POLL_WAIT);
    loop {
        feed.max_wait = max_poll_wait(&host);
        let update = feed.next(&host).await;
        for row in update.rows.iter().filter(|row| row.key == catalog::KEY) {
            if let Some(value) = &row.value {
                adopt_catalog(&host, value);
            }
        }
        evacuation::adopt_rows(&host, &update);
    }
}

fn adopt_catalog(host: &Host, value: &Bytes) {
    let (catalog, invalid) = match catalog::decode(value) {
        Ok(decoded) => decoded,
        Err(error) => return log_unreadable(host, catalog::TABLE, catalog::KEY, &error),
    };
    for route in invalid {
        let error = Error::Unreadable("kind of route".into());
        log_unreadable(host, catalog::TABLE, &route, &error);
    }
    if catalog.version <= host.catalog.borrow().version {
        return;
    }
    let (version, routes, accounts) =
        (catalog.version, catalog.routes.len(), catalog.accounts.len());
    host.journal.write(&Event::Configured { version, routes, accounts });
    log_unknown_regions(host, &catalog);
    *host.catalog.borrow_mut() = Rc::new(catalog);
    divide_rates(host);
    host.changed.notify_waiters();
}

/// Logs home regions that are those of no failure domain in the settings: no target is in them.
fn log_unknown_regions(host: &Host, catalog: &Catalog) {
    let known: BTreeSet<&String> = host.settings.regions.values().collect();
    let routes = catalog.routes.iter().map(|(database, route)| (database, &route.home_regions));
    let accounts = catalog.accounts.iter().map(|(name, account)| (name, &account.home_regions));
    for (name, homes) in routes.chain(accounts) {
        for region in homes.iter().filter(|region| !known.contains(region)) {
            let error = Error::Unreadable(format!("home region {region} has no failure domain"));
            log_unreadable(host, catalog::TABLE, name, &error);
        }
    }
}

/// Computes this host's shares of the accounts' rates anew. Does nothing while the host is not a
/// member.
fn divide_rates(host: &Host) {
    let members: BTreeSet<HostId> = host.lease.borrow().members().keys().copied().collect();
    if !members.contains(&host.id) {
        return;
    }
    let catalog = host.catalog.borrow().clone();
    let (now, has_shares) = (boot_clock::now(), host.was_member.get());
    if host.shares_since.get().is_none() {
        host.shares_since.set(Some(now));
    }
    host.quota.update_shares(now, host.id, &members, &catalog, has_shares, &host.settings.rates);
}

/// Counts and logs a row that cannot be decoded.
pub fn log_unreadable(host: &Host, table: &str, key: &str, error: &Error) {
    host.metrics.count("rows_unreadable");
    host.journal.write(&Event::RowUnreadable { table, key, error: &error.to_string() });
}

/// Keeps the targets' entries up to date until the process ends.
pub async fn directory(host: Rc<Host>) {
    let mut feed = Feed::new(&host, directory::TABLE, Some(Source::Directory), MAX_POLL_WAIT);
    feed.batch_delay = DIRECTORY_BATCH_DELAY;
    let expired: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    let mut retain_deadline = Time::ZERO;
    loop {
        feed.max_wait = max_poll_wait(&host);
        let last_answer = feed.last_answer;
        let update = feed.next(&host).await;
        let now = boot_clock::now();
        if now.saturating_sub(last_answer) > MIN_OUTAGE + feed.max_wait {
            retain_deadline = now + EXPIRED_ENTRY_RETENTION;
        }
        let retains_expired =
            now < retain_deadline.max(host.last_store_outage.get() + EXPIRED_ENTRY_RETENTION);
        adopt_entries(&host, &update, retains_expired, &expired);
        if retains_expired && !expired.borrow().is_empty() {
            tokio::task::spawn_local(drop_expired(host.clone(), expired.clone()));
        }
        host.changed.notify_waiters();
    }
}

fn adopt_entries(
    host: &Host,
    update: &Update,
    retains_expired: bool,
    expired: &RefCell<BTreeSet<String>>,
) {
    let mut entries: Directory = host.directory.borrow().clone();
    let mut removed: BTreeSet<String> = BTreeSet::new();
    if update.is_full_table {
        removed = entries.keys().cloned().collect();
    }
    for row in &update.rows {
        removed.remove(&row.key);
        let Some(value) = &row.value else {
            removed.insert(row.key.clone());
            continue;
        };
        expired.borrow_mut().remove(&row.key);
        match directory::decode(&row.key, value) {
            Ok(entry) => {
                let known = entries.get(&row.key);
                if known.is_none_or(|k| {
                    k.is_leaving != entry.is_leaving || k.start_time != entry.start_time
                }) {
                    host.journal.write(&Event::Target {
                        target: &entry.name,
                        service: &entry.service,
                        view: "listed",
                        leaving: entry.is_leaving,
                    });
                }
                entries.insert(row.key.clone(), entry);
            }
            // The previous valid entry stays in use. A target without one remains unknown.
            Err(error) => log_unreadable(host, directory::TABLE, &row.key, &error),
        }
    }
    for name in removed {
        if retains_expired {
            expired.borrow_mut().insert(name);
        } else if let Some(entry) = entries.remove(&name) {
            log_removed(host, &entry.name, &entry.service);
        }
    }
    record_leaving(host, &entries);
    *host.directory.borrow_mut() = entries;
}

/// Records since when targets have been leaving.
fn record_leaving(host: &Host, entries: &Directory) {
    let mut since = host.leaving_since.borrow_mut();
    since.retain(|name, _| entries.get(name).is_some_and(|entry| entry.is_leaving));
    for entry in entries.values().filter(|entry| entry.is_leaving) {
        since.entry(entry.name.clone()).or_insert_with(boot_clock::now);
    }
}

fn log_removed(host: &Host, target: &str, service: &str) {
    host.journal.write(&Event::Target { target, service, view: "gone", leaving: false });
}

/// Removes entries that were not written again after an outage of the store.
async fn drop_expired(host: Rc<Host>, expired: Rc<RefCell<BTreeSet<String>>>) {
    tokio::time::sleep(EXPIRED_ENTRY_RETENTION).await;
    for name in std::mem::take(&mut *expired.borrow_mut()) {
        if let Some(entry) = host.directory.borrow_mut().remove(&name) {
            log_removed(&host, &entry.name, &entry.service);
        }
    }
    host.changed.notify_waiters();
}

/// Keeps the table of records and members up to date until the process ends; each answer renews the
/// lease.
pub async fn table(host: Rc<Host>) {
    let mut feed = Feed::new(&host, TABLE, None, MAX_RENEWAL_WAIT);
    let mut has_read = false;
    loop {
        if has_read && relies_on_peers(&host) {
            wait_until_renewal_is_old(&host).await;
        }
        let renews = is_renewer(&host);
        feed.max_wait = if renews { MAX_RENEWAL_WAIT } else { max_poll_wait(&host) };
        let update = tokio::select! {
            update = feed.next(&host) => update,
            () = wait_until_renewal_is_old(&host), if !renews => continue,
        };
        has_read = true;
        let has_changes = !update.rows.is_empty();
        let read = update.revision;
        {
            let mut replica = host.peers.replica.borrow_mut();
            if update.is_full_table {
                replica.record_read(read, update.rows);
            } else {
                replica.record_changes(read.era, update.rows);
            }
        }
        adopt_table(&host);
        {
            let mut lease = host.lease.borrow_mut();
            lease.set_platform_clock(boot_clock::now(), update.platform_now);
            let revision = lease.revision();
            // A restored table says nothing about the era before, under which others still act.
            if revision.era == read.era {
                lease.renew(update.sent, revision);
            }
        }
        rejoin(&host);
        host.holds_lease();
        host.changed.notify_waiters();
        // The others get changes from this host, and their renewals with them.
        if has_changes && has_lowest_live_id(&host) {
            host.peers.heartbeat_now.notify_one();
        }
    }
}

/// Longest time that this host's polls wait for changes.
fn max_poll_wait(host: &Host) -> Duration {
    if peer::is_small_fleet(host) { MAX_POLL_WAIT } else { MAX_LARGE_FLEET_POLL_WAIT }
}

/// Whether this host gets the changes of the table of records and members from its peers, and not
/// from the store: it is in a fleet that is not small, its lease is renewed by a peer, and the store
/// was not restored since. Otherwise every host would call the store for every change.
fn relies_on_peers(host: &Host) -> bool {
    !peer::is_small_fleet(host) && !is_renewer(host) && !host.is_restoring()
}

/// Whether this host renews the lease itself: for all hosts, or because it has received no recent
/// renewal from a peer.
pub fn is_renewer(host: &Host) -> bool {
    let age = host.lease.borrow().renewal_age(boot_clock::now());
    age.is_none_or(|age| age > MAX_RELAYED_RENEWAL_AGE) || has_lowest_live_id(host)
}

/// Whether this host has the lowest id of the hosts that are alive.
pub fn has_lowest_live_id(host: &Host) -> bool {
    let alive = host.lease.borrow().live_peers(boot_clock::now(), MAX_RELAYED_RENEWAL_AGE);
    alive.iter().all(|peer| *peer > host.id)
}

/// Records an outage of the store if neither this host nor a peer has read it for `MIN_OUTAGE`.
///
/// `last_read` is the time of the last known read; the renewal of the lease advances it.
pub fn record_outage(host: &Host, last_read: &mut Time) {
    let now = boot_clock::now();
    let renewal_age = host.lease.borrow().renewal_age(now);
    *last_read = renewal_age.map_or(*last_read, |age| now.saturating_sub(age).max(*last_read));
    if now.saturating_sub(*last_read) > MIN_OUTAGE {
        host.last_store_outage.set(now);
    }
}

/// Waits until the renewal that peers pass on is too old to rely on, or the store was restored.
async fn wait_until_renewal_is_old(host: &Host) {
    loop {
        tokio::time::sleep(RENEWAL_AGE_POLL_INTERVAL).await;
        let age = host.lease.borrow().renewal_age(boot_clock::now());
        if age.is_none_or(|age| age > MAX_RELAYED_RENEWAL_AGE) || host.is_restoring() {
            return;
        }
    }
}

/// Applies the current copy of the table: the records, then the members.
pub fn adopt_table(host: &Host) {
    let replica = host.peers.replica.borrow();
    adopt_restored_members(host, replica.restored());
    let Some(table) = replica.settled() else { return };
    let known = host.lease.borrow().revision();
    if table.revision == known && known > Revision::default() {
        return;
    }
    let members = decode_members(host, table);
    let changed = *host.lease.borrow().members() != members;
    record_earlier_incarnation(host, members.get(&host.id));
    // Records first: the lease may reach the new revision only when older records are out of use.
    for (service, stored) in decode_records(host, table) {
        host.adopt_record(&service, stored.record, stored.revision);
    }
    host.lease.borrow_mut().adopt(table.revision, members);
    if changed {
        let count = host.lease.borrow().members().len();
        host.journal.write(&Event::Members { count, revision: table.revision });
        divide_rates(host);
    }
    host.peers.copies.record_progress();
    peer::notify_change(host);
}

/// Takes over the members that a restored table names, so that hosts that remember nothing are
/// reached before the table is settled.
fn adopt_restored_members(host: &Host, restored: Option<&Table<Bytes>>) {
    if restored.is_some() {
        host.restore_noticed.notify_one();
    }
    let members = restored.map(|table| decode_members(host, table)).unwrap_or_default();
    if *host.restored_members.borrow() != members {
        *host.restored_members.borrow_mut() = members;
        host.peers.heartbeat_now.notify_one();
    }
}

/// Decodes the rows of members. Logs those that cannot be decoded.
fn decode_members(host: &Host, table: &Table<Bytes>) -> BTreeMap<HostId, Member> {
    let mut members = BTreeMap::new();
    for (key, (value, _)) in &table.rows {
        let Some(id) = key.strip_prefix(MEMBER_PREFIX) else { continue };
        match (id.parse(), serde_json::from_slice(value)) {
            (Ok(id), Ok(member)) => drop(members.insert(id, member)),
            _ => log_unreadable(host, TABLE, key, &Error::Unreadable("member".into())),
        }
    }
    members
}

/// Decodes the rows of groups. Logs those that cannot be decoded.
pub fn decode_records(host: &Host, table: &Table<Bytes>) -> BTreeMap<String, StoredRecord> {
    let mut records = BTreeMap::new();
    for (key, (value, revision)) in &table.rows {
        let Some(service) = key.strip_prefix(GROUP_PREFIX) else { continue };
        match serde_json::from_slice::<Record>(value) {
            Ok(record) => {
                records.insert(service.to_owned(), StoredRecord::new(record, *revision));
            }
            Err(error) => log_unreadable(host, TABLE, key, &error.into()),
        }
    }
    records
}
