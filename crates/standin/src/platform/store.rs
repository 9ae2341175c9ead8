//! Data of the platform stand-in: rows, objects and the list of hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Key of a row, unique in the table.
pub type Key = String;
/// Version of a row; 0 stands for an absent row.
pub type Version = u64;
/// Name of a host.
pub type HostId = String;

/// Time without a registration after which a host is removed from the list.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of earlier host lists kept, for reads that lag.
const MAX_LISTS: usize = 4_096;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version of the transaction that wrote the row; each transaction on any row has a higher one
    /// than those before it.
    pub version: Version,
    /// Arbitrary JSON.
    pub value: Value,
}

/// Condition of a transaction: a row must have a given version.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Check {
    /// Key of the row.
    pub key: Key,
    /// Version that the row must have; 0 if it must not exist.
    pub version: Version,
}

/// A row to write.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Put {
    /// Key of the row.
    pub key: Key,
    /// New value.
    pub value: Value,
}

/// Changes that are applied atomically if all checks succeed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Transaction {
    /// Conditions that must all hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to delete.
    pub deletes: Vec<Key>,
}

/// New version of a written row.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Written {
    /// Key of the row.
    pub key: Key,
    /// Its new version.
    pub version: Version,
}

/// Lifecycle state that a host registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// The host serves.
    Live,
    /// The host is about to leave.
    Leaving,
}

/// Registration of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: HostId,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// Address for callers.
    pub address: String,
    /// Address for other hosts.
    pub peer_address: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Lifecycle state.
    pub state: Liveness,
}

/// All data of the platform.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<Key, Row>,
    version: Version,
    objects: BTreeMap<String, Bytes>,
    hosts: BTreeMap<HostId, Entry>,
    lists: VecDeque<(Instant, Vec<Host>)>,
}

#[derive(Debug)]
struct Entry {
    host: Host,
    registered_at: Instant,
}

impl Store {
    /// Applies a transaction and returns the rows written. If checks fail, nothing is changed and
    /// the error holds the present state of the rows that failed their check.
    pub(crate) fn apply(&mut self, transaction: Transaction) -> Result<Vec<Written>, Vec<Row>> {
        let checks = transaction.checks.iter();
        let failed: Vec<Row> = checks.filter_map(|check| self.failed_row(check)).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.version += 1;
        let version = self.version;
        for key in transaction.deletes {
            self.rows.remove(&key);
        }
        let mut written = Vec::new();
        for Put { key, value } in transaction.puts {
            self.rows.insert(key.clone(), Row { key: key.clone(), version, value });
            written.push(Written { key, version });
        }
        Ok(written)
    }

    fn failed_row(&self, check: &Check) -> Option<Row> {
        let row = self.rows.get(&check.key);
        if row.map_or(0, |row| row.version) == check.version {
            return None;
        }
        let absent = || Row { key: check.key.clone(), version: 0, value: Value::Null };
        Some(row.cloned().unwrap_or_else(absent))
    }

    /// The row of a key; `None` if there is none.
    pub(crate) fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Rows whose key starts with a prefix, in order of key.
    pub(crate) fn rows(&self, prefix: &str) -> Vec<&Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row).collect()
    }

    /// Stores an object under its digest.
    pub(crate) fn put_object(&mut self, digest: String, bytes: Bytes) {
        self.objects.insert(digest, bytes);
    }

    /// The object of a digest; `None` if there is none.
    pub(crate) fn object(&self, digest: &str) -> Option<Bytes> {
        self.objects.get(digest).cloned()
    }

    /// Registers a host or renews its registration; false if a later incarnation is registered.
    pub(crate) fn put_host(&mut self, host: Host, now: Instant) -> bool {
        self.expire(now);
        let known = self.hosts.get(&host.host).map(|entry| &entry.host);
        if known.is_some_and(|known| known.incarnation > host.incarnation) {
            return false;
        }
        let changed = known != Some(&host);
        self.hosts.insert(host.host.clone(), Entry { host, registered_at: now });
        if changed {
            self.record_list(now);
        }
        true
    }

    /// Removes a host from the list; false if this incarnation is not on it.
    pub(crate) fn delete_host(&mut self, host: &str, incarnation: u64, now: Instant) -> bool {
        self.expire(now);
        let known = self.hosts.get(host);
        if known.is_none_or(|entry| entry.host.incarnation != incarnation) {
            return false;
        }
        self.hosts.remove(host);
        self.record_list(now);
        true
    }

    /// The list of hosts as of `lag` before `now`; empty if no list that old is kept.
    pub(crate) fn hosts(&mut self, now: Instant, lag: Duration) -> Vec<Host> {
        self.expire(now);
        let seen = self.lists.iter().rev().find(|(since, _)| *since + lag <= now);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Removes hosts that have not renewed their registration. Each removal is recorded with the
    /// time of its expiry, so that lagging reads see it when it happened.
    fn expire(&mut self, now: Instant) {
        loop {
            let oldest = self.hosts.iter().min_by_key(|(_, entry)| entry.registered_at);
            let Some((host, entry)) = oldest else { return };
            let expires_at = entry.registered_at + REGISTRATION_TIMEOUT;
            if expires_at > now {
                return;
            }
            let host = host.clone();
            self.hosts.remove(&host);
            self.record_list(expires_at);
        }
    }

    fn record_list(&mut self, at: Instant) {
        let list = self.hosts.values().map(|entry| entry.host.clone()).collect();
        self.lists.push_back((at, list));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }
}
