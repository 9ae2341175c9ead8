//! What the platform keeps: rows, objects and the list of hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Key of a row.
pub type Key = String;
/// Version of a row; 0 where there is none.
pub type Version = u64;
/// Name of a host.
pub type HostId = String;

/// A host that says nothing for this long drops off the list.
const SILENCE: Duration = Duration::from_secs(5);
/// Earlier lists that are kept for those who see them late.
const LISTS: usize = 4_096;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Grows with each change of any row.
    pub version: Version,
    /// Any JSON.
    pub value: Value,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Check {
    /// Key of the row.
    pub key: Key,
    /// Version that it must have.
    pub version: Version,
}

/// A row to write.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Put {
    /// Key of the row.
    pub key: Key,
    /// Its new value.
    pub value: Value,
}

/// Changes that happen all or not at all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Transaction {
    /// Conditions.
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
    /// Its version.
    pub version: Version,
}

/// Whether a host goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// It does.
    Live,
    /// It is about to leave.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: HostId,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// Address for callers.
    pub address: String,
    /// Address for other hosts.
    pub peer_address: String,
    /// Where it stands.
    pub failure_domain: String,
    /// Whether it goes on.
    pub state: Liveness,
}

/// All that the platform keeps.
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
    heard_at: Instant,
}

impl Store {
    /// Applies a transaction; otherwise the rows that failed their check, as they are.
    pub(crate) fn apply(&mut self, transaction: Transaction) -> Result<Vec<Written>, Vec<Row>> {
        let checks = transaction.checks.iter();
        let failed: Vec<Row> = checks.filter_map(|check| self.failed(check)).collect();
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

    fn failed(&self, check: &Check) -> Option<Row> {
        let row = self.rows.get(&check.key);
        if row.map_or(0, |row| row.version) == check.version {
            return None;
        }
        let absent = || Row { key: check.key.clone(), version: 0, value: Value::Null };
        Some(row.cloned().unwrap_or_else(absent))
    }

    /// A row.
    pub(crate) fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Rows whose key starts with a prefix, in order of key.
    pub(crate) fn rows(&self, prefix: &str) -> Vec<&Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row).collect()
    }

    /// Keeps an object.
    pub(crate) fn put_object(&mut self, digest: String, bytes: Bytes) {
        self.objects.insert(digest, bytes);
    }

    /// An object.
    pub(crate) fn object(&self, digest: &str) -> Option<Bytes> {
        self.objects.get(digest).cloned()
    }

    /// A host says that it is there; false when a later incarnation of it has.
    pub(crate) fn put_host(&mut self, host: Host, now: Instant) -> bool {
        self.expire(now);
        let known = self.hosts.get(&host.host).map(|entry| &entry.host);
        if known.is_some_and(|known| known.incarnation > host.incarnation) {
            return false;
        }
        let changed = known != Some(&host);
        self.hosts.insert(host.host.clone(), Entry { host, heard_at: now });
        if changed {
            self.record(now);
        }
        true
    }

    /// Takes a host off the list; false when this incarnation is not on it.
    pub(crate) fn delete_host(&mut self, host: &str, incarnation: u64, now: Instant) -> bool {
        self.expire(now);
        let known = self.hosts.get(host);
        if known.is_none_or(|entry| entry.host.incarnation != incarnation) {
            return false;
        }
        self.hosts.remove(host);
        self.record(now);
        true
    }

    /// The list as it was some time ago.
    pub(crate) fn hosts(&mut self, now: Instant, lag: Duration) -> Vec<Host> {
        self.expire(now);
        let seen = self.lists.iter().rev().find(|(since, _)| *since + lag <= now);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Drops silent hosts, each at the time at which its silence had lasted long enough.
    fn expire(&mut self, now: Instant) {
        loop {
            let oldest = self.hosts.iter().min_by_key(|(_, entry)| entry.heard_at);
            let Some((host, entry)) = oldest else { return };
            let ends = entry.heard_at + SILENCE;
            if ends > now {
                return;
            }
            let host = host.clone();
            self.hosts.remove(&host);
            self.record(ends);
        }
    }

    fn record(&mut self, at: Instant) {
        let list = self.hosts.values().map(|entry| entry.host.clone()).collect();
        self.lists.push_back((at, list));
        if self.lists.len() > LISTS {
            self.lists.pop_front();
        }
    }
}
