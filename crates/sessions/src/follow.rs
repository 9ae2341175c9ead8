//! Copies of the platform's tables, each kept up to date by one feed.
//!
//! The records' feed waits for changes for a short time each at the host that proves the lease for
//! others, so that every answer also is a proof. A copy never goes back.

use crate::boot_clock;
use crate::event::Event;
use crate::feed::{Feed, News};
use crate::member::{join_again, note_earlier_run};
use crate::peer::Source;
use crate::state::Host;
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::directory::Directory;
use bergamotvale_core::proxy::lease::{Member, Revision};
use bergamotvale_core::proxy::record::Record;
use bergamotvale_platform::{Error, catalog, directory};
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Table of the groups' records and the members.
pub const TABLE: &str = "bergamotvale";
/// Prefix of the keys of members' rows.
pub const MEMBER: &str = "host.";
/// Prefix of the keys of groups' rows.
const GROUP: &str = "group.";
/// Time that the feed of records waits for changes at the host that proves the lease for others.
const LEASE_WAIT: Duration = Duration::from_millis(250);
/// Age of the lease's proof at which a host stops relying on the one that proves it for others.
const PROOF_LIMIT: Duration = Duration::from_millis(900);
/// Time between looks at the age of the proof.
const PROOF_LOOK: Duration = Duration::from_millis(100);
/// Time that other feeds wait for changes. One that missed a change which a peer has seen asks again
/// sooner.
const WAIT: Duration = Duration::from_secs(12);
/// Time after the store is back in which entries that lapsed meanwhile are kept.
const LAPSE: Duration = Duration::from_millis(2500);
/// Time without the store from which on entries may have lapsed.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Key of a group's row.
pub fn group_key(service: &str) -> String {
    format!("{GROUP}{service}")
}

/// Follows the configuration.
pub async fn catalog(host: Rc<Host>) {
    let mut feed = Feed::new(&host, catalog::TABLE, Some(Source::Catalog), WAIT);
    loop {
        let news = feed.next(&host).await;
        for row in news.rows.iter().filter(|row| row.key == catalog::KEY) {
            if let Some(value) = &row.value {
                adopt_catalog(&host, value);
            }
        }
    }
}

fn adopt_catalog(host: &Host, value: &Bytes) {
    let (catalog, odd) = match catalog::decode(value) {
        Ok(decoded) => decoded,
        Err(error) => return log_unreadable(host, catalog::TABLE, catalog::KEY, &error),
    };
    for route in odd {
        let error = Error::Unreadable("kind of route".into());
        log_unreadable(host, catalog::TABLE, &route, &error);
    }
    if catalog.version <= host.catalog.borrow().version {
        return;
    }
    let (version, routes, accounts) =
        (catalog.version, catalog.routes.len(), catalog.accounts.len());
    host.journal.write(&Event::Configured { version, routes, accounts });
    *host.catalog.borrow_mut() = Rc::new(catalog);
    divide(host);
    host.changed.notify_waiters();
}

/// Divides the accounts' rates anew.
fn divide(host: &Host) {
    let members: BTreeSet<HostId> = host.lease.borrow().members().keys().copied().collect();
    if !members.contains(&host.id) {
        return;
    }
    let catalog = host.catalog.borrow().clone();
    let (now, has_part) = (boot_clock::now(), host.was_member.get());
    if host.member_since.get().is_none() {
        host.member_since.set(Some(now));
    }
    host.quota.update_shares(now, host.id, &members, &catalog, has_part, &host.settings.rates);
}

fn log_unreadable(host: &Host, table: &str, key: &str, error: &Error) {
    host.metrics.count("rows_unreadable");
    host.journal.write(&Event::RowUnreadable { table, key, error: &error.to_string() });
}

/// Follows the targets' entries.
pub async fn directory(host: Rc<Host>) {
    let mut feed = Feed::new(&host, directory::TABLE, Some(Source::Directory), WAIT);
    let lapsed: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    let mut keep_until = Time::ZERO;
    loop {
        let since = feed.answered;
        let news = feed.next(&host).await;
        let now = boot_clock::now();
        if now.saturating_sub(since) > OUTAGE + feed.wait {
            keep_until = now + LAPSE;
        }
        let is_lapse = now < keep_until.max(host.store_away_at.get() + LAPSE);
        adopt_entries(&host, &news, is_lapse, &lapsed);
        if is_lapse && !lapsed.borrow().is_empty() {
            tokio::task::spawn_local(drop_lapsed(host.clone(), lapsed.clone()));
        }
        host.changed.notify_waiters();
    }
}

fn adopt_entries(host: &Host, news: &News, is_lapse: bool, lapsed: &RefCell<BTreeSet<String>>) {
    let mut entries: Directory = host.directory.borrow().clone();
    let mut gone: BTreeSet<String> = BTreeSet::new();
    if news.is_whole {
        gone = entries.keys().cloned().collect();
    }
    for row in &news.rows {
        gone.remove(&row.key);
        let Some(value) = &row.value else {
            gone.insert(row.key.clone());
            continue;
        };
        lapsed.borrow_mut().remove(&row.key);
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
            // Entries that were good before hold; one that never was names no target.
            Err(error) => log_unreadable(host, directory::TABLE, &row.key, &error),
        }
    }
    for name in gone {
        if is_lapse {
            lapsed.borrow_mut().insert(name);
        } else if let Some(entry) = entries.remove(&name) {
            log_gone(host, &entry.name, &entry.service);
        }
    }
    note_leaving(host, &entries);
    *host.directory.borrow_mut() = entries;
}

/// Notes since when targets leave.
fn note_leaving(host: &Host, entries: &Directory) {
    let mut since = host.leaving_since.borrow_mut();
    since.retain(|name, _| entries.get(name).is_some_and(|entry| entry.is_leaving));
    for entry in entries.values().filter(|entry| entry.is_leaving) {
        since.entry(entry.name.clone()).or_insert_with(boot_clock::now);
    }
}

fn log_gone(host: &Host, target: &str, service: &str) {
    host.journal.write(&Event::Target { target, service, view: "gone", leaving: false });
}

/// Drops the entries that have not come back after an outage of the store.
async fn drop_lapsed(host: Rc<Host>, lapsed: Rc<RefCell<BTreeSet<String>>>) {
    tokio::time::sleep(LAPSE).await;
    for name in std::mem::take(&mut *lapsed.borrow_mut()) {
        if let Some(entry) = host.directory.borrow_mut().remove(&name) {
            log_gone(&host, &entry.name, &entry.service);
        }
    }
    host.changed.notify_waiters();
}

/// A copy of the table of records and members.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Rows by key.
    pub rows: BTreeMap<String, (Bytes, Revision)>,
    /// Revision of the newest change.
    pub revision: Revision,
}

/// Follows the table of records and members; its answers prove the lease.
pub async fn table(host: Rc<Host>) {
    let mut feed = Feed::new(&host, TABLE, None, LEASE_WAIT);
    loop {
        feed.wait = if is_prover(&host) { LEASE_WAIT } else { WAIT };
        let news = tokio::select! {
            news = feed.next(&host) => news,
            () = proof_grows_old(&host), if feed.wait == WAIT => continue,
        };
        {
            let mut table = host.peers.table.borrow_mut();
            if news.is_whole {
                table.rows.clear();
            }
            for row in news.rows {
                table.revision = table.revision.max(row.revision);
                match row.value {
                    Some(value) => drop(table.rows.insert(row.key, (value, row.revision))),
                    None => drop(table.rows.remove(&row.key)),
                }
            }
        }
        adopt_table(&host);
        let revision = host.peers.table.borrow().revision;
        {
            let mut lease = host.lease.borrow_mut();
            lease.set_platform_clock(boot_clock::now(), news.platform_now);
            lease.renew(news.sent, revision);
        }
        join_again(&host);
        host.holds_lease();
        host.changed.notify_waiters();
    }
}

/// Whether this host proves the lease for others, or has to do it for itself.
pub fn is_prover(host: &Host) -> bool {
    let age = host.lease.borrow().renewal_age(boot_clock::now());
    age.is_none_or(|age| age > PROOF_LIMIT) || is_lowest(host)
}

/// Whether this host has the lowest id of those that are alive.
pub fn is_lowest(host: &Host) -> bool {
    let alive = host.lease.borrow().live_peers(boot_clock::now(), PROOF_LIMIT);
    alive.iter().all(|peer| *peer > host.id)
}

/// Notes that the store is away if neither this host nor a peer has heard of it for long.
pub fn note_outage(host: &Host, heard: &mut Time) {
    let now = boot_clock::now();
    let proof_age = host.lease.borrow().renewal_age(now);
    *heard = proof_age.map_or(*heard, |age| now.saturating_sub(age).max(*heard));
    if now.saturating_sub(*heard) > OUTAGE {
        host.store_away_at.set(now);
    }
}

/// Waits until the proof that peers pass on is too old to rely on.
async fn proof_grows_old(host: &Host) {
    loop {
        tokio::time::sleep(PROOF_LOOK).await;
        let age = host.lease.borrow().renewal_age(boot_clock::now());
        if age.is_none_or(|age| age > PROOF_LIMIT) {
            return;
        }
    }
}

/// Acts on the present copy of the table.
pub fn adopt_table(host: &Host) {
    let table = host.peers.table.borrow().clone();
    let known = host.lease.borrow().revision();
    if table.revision == known && known > 0 {
        return;
    }
    let mut members: BTreeMap<HostId, Member> = BTreeMap::new();
    let mut records: Vec<(String, Record, Revision)> = Vec::new();
    for (key, (value, revision)) in &table.rows {
        if let Some(id) = key.strip_prefix(MEMBER) {
            match (id.parse(), serde_json::from_slice(value)) {
                (Ok(id), Ok(member)) => drop(members.insert(id, member)),
                _ => log_unreadable(host, TABLE, key, &Error::Unreadable("member".into())),
            }
        } else if let Some(service) = key.strip_prefix(GROUP) {
            match serde_json::from_slice(value) {
                Ok(record) => records.push((service.to_owned(), record, *revision)),
                Err(error) => log_unreadable(host, TABLE, key, &error.into()),
            }
        }
    }
    let changed = *host.lease.borrow().members() != members;
    note_earlier_run(host, members.get(&host.id));
    // Records go first: a revision counts as known only once nothing older is used.
    for (service, record, revision) in records {
        host.adopt_record(&service, record, revision);
    }
    host.lease.borrow_mut().adopt(table.revision, members);
    if changed {
        let count = host.lease.borrow().members().len();
        host.journal.write(&Event::Members { count, revision: table.revision });
        divide(host);
    }
    host.peers.beat_now.notify_one();
}
