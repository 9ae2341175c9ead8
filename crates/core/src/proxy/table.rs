//! A host's copy of the table of records and members, over restores of the store.
//!
//! A restored store has lost its latest changes. The table is then out of use until the hosts that
//! remember them have written them again: it is settled once the row [`ERA_KEY`] names the era of
//! the store. Until then the copy keeps the settled table of the era before, and the restored one
//! beside it. In the first era, 0, nothing was lost yet and the table is always settled.

use super::revision::{Era, Revision};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Key of the row that names the era in which the table was last settled.
pub const ERA_KEY: &str = "era";

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row<V> {
    /// Key of the row, unique within its table.
    pub key: String,
    /// Value of the row; `None` if the row was removed.
    pub value: Option<V>,
    /// Revision of the change that last wrote or removed the row.
    pub revision: Revision,
}

/// Largest number of removed rows that a table remembers for the hosts that are behind it.
const MAX_REMOVED: usize = 512;

/// Digest of the keys and revisions of a table's rows. Two tables with the same digest have the
/// same rows.
pub type Digest = u64;

/// Rows of a table as of one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table<V> {
    /// Value and revision of each row, by key.
    pub rows: BTreeMap<String, (V, Revision)>,
    /// Revision of the newest change that the rows reflect.
    pub revision: Revision,
    /// Revisions at which rows were removed, as far as this copy has seen it.
    removed: BTreeMap<String, Revision>,
}

/// Difference between two revisions of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference<V> {
    /// Revision that it starts from.
    pub base: Revision,
    /// Revision that it leads to.
    pub revision: Revision,
    /// Rows that were written or removed in between. A removal that the sender has not seen is
    /// missing; the digest then does not match.
    pub changes: Vec<Row<V>>,
    /// Digest of the table at `revision`.
    pub digest: Digest,
}

/// What became of a difference that a peer sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The copy is at its revision now.
    Yes,
    /// It leads to no newer revision, or starts from one that this copy has not reached.
    Outdated,
    /// The result has another digest. The copy is as before, and needs the whole table.
    Mismatch,
}

impl<V> Table<V> {
    /// Creates a table from its rows as of `revision`.
    pub fn new(rows: BTreeMap<String, (V, Revision)>, revision: Revision) -> Table<V> {
        Table { rows, revision, removed: BTreeMap::new() }
    }

    /// Digest of the keys and revisions of the rows.
    pub fn digest(&self) -> Digest {
        let mut hasher = SipHasher13::new();
        for (key, (_, revision)) in &self.rows {
            key.hash(&mut hasher);
            (revision.era, revision.version).hash(&mut hasher);
        }
        hasher.finish()
    }

    fn record_removed(&mut self, key: String, revision: Revision) {
        self.removed.insert(key, revision);
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(key, _)| key.clone()) else { return };
            self.removed.remove(&oldest);
        }
    }

    /// Revision of the row with this key; `None` without one.
    pub fn revision_of(&self, key: &str) -> Option<Revision> {
        self.rows.get(key).map(|(_, revision)| *revision)
    }
}

impl<V: AsRef<[u8]>> Table<V> {
    /// Returns the table as read as a whole. The rows reflect every change up to `read`; newer ones
    /// among them were changed while later pages were read.
    fn from_read(read: Revision, rows: Vec<Row<V>>) -> Table<V> {
        let newest = rows.iter().map(|row| row.revision).filter(|at| *at <= read).max();
        let revision = newest.unwrap_or(Revision::new(read.era, 0));
        let live = rows.into_iter().filter_map(|row| Some((row.key, (row.value?, row.revision))));
        Table::new(live.collect(), revision)
    }

    /// Applies changes of the table, except those that it reflects already.
    fn apply(&mut self, changes: Vec<Row<V>>) {
        let known = self.revision;
        for change in changes.into_iter().filter(|change| change.revision > known) {
            self.revision = self.revision.max(change.revision);
            match change.value {
                Some(value) => {
                    self.removed.remove(&change.key);
                    self.rows.insert(change.key, (value, change.revision));
                }
                None => {
                    self.rows.remove(&change.key);
                    self.record_removed(change.key, change.revision);
                }
            }
        }
    }

    /// Returns what has changed since `base`, as far as this copy has seen it. `None` if `base` is of
    /// another era.
    pub fn difference(&self, base: Revision) -> Option<Difference<V>>
    where
        V: Clone,
    {
        if base.era != self.revision.era {
            return None;
        }
        let written = self.rows.iter().filter(|(_, (_, at))| *at > base);
        let written = written.map(|(key, (value, at))| (key, Some(value.clone()), *at));
        let removed = self.removed.iter().filter(|(_, at)| **at > base);
        let removed = removed.map(|(key, at)| (key, None, *at));
        let changes = written.chain(removed);
        let changes =
            changes.map(|(key, value, revision)| Row { key: key.clone(), value, revision });
        let (revision, digest) = (self.revision, self.digest());
        Some(Difference { base, revision, changes: changes.collect(), digest })
    }

    fn is_settled(&self) -> bool {
        if self.revision.era == 0 {
            return true;
        }
        let value = self.rows.get(ERA_KEY).map(|(value, _)| value.as_ref());
        value.is_some_and(|value| value == encode_era(self.revision.era).as_bytes())
    }
}

/// Returns the value of the row [`ERA_KEY`] that settles a table in `era`.
pub fn encode_era(era: Era) -> String {
    era.to_string()
}

/// Copy of the table of records and members.
#[derive(Debug, Clone)]
pub struct Replica<V> {
    settled: Option<Table<V>>,
    /// Table of a later era that is not settled.
    restored: Option<Table<V>>,
}

impl<V> Default for Replica<V> {
    fn default() -> Replica<V> {
        Replica { settled: None, restored: None }
    }
}

impl<V: AsRef<[u8]>> Replica<V> {
    /// The newest settled table; `None` before the first.
    pub fn settled(&self) -> Option<&Table<V>> {
        self.settled.as_ref()
    }

    /// The table of the store's present era while it is not settled.
    pub fn restored(&self) -> Option<&Table<V>> {
        self.restored.as_ref()
    }

    /// Takes over the whole table as read at a revision, unless the copy reflects later changes.
    pub fn record_read(&mut self, read: Revision, rows: Vec<Row<V>>) {
        if self.newest_revision().is_some_and(|known| read < known) {
            return;
        }
        let mut table = Table::from_read(read, rows);
        match self.table_of_era(read.era) {
            Some(known) => {
                table.revision = table.revision.max(known.revision);
                *known = table;
            }
            None => self.restored = Some(table),
        }
        self.settle();
    }

    /// Applies changes that the store returned in `era`.
    pub fn record_changes(&mut self, era: Era, changes: Vec<Row<V>>) {
        if let Some(table) = self.table_of_era(era) {
            table.apply(changes);
            self.settle();
        }
    }

    /// Takes over a peer's settled table if it is newer; returns whether it was.
    pub fn record_peer_copy(&mut self, table: Table<V>) -> bool {
        let is_newer = self.settled.as_ref().is_none_or(|own| own.revision < table.revision);
        if is_newer {
            let era = table.revision.era;
            self.restored = self.restored.take().filter(|own| own.revision.era > era);
            self.settled = Some(table);
        }
        is_newer
    }

    /// Applies a difference that a peer sent to the settled table.
    pub fn record_peer_difference(&mut self, difference: Difference<V>) -> Applied
    where
        V: Clone,
    {
        let Difference { base, revision, changes, digest } = difference;
        let Some(settled) = &mut self.settled else { return Applied::Outdated };
        let known = settled.revision;
        if known.era != base.era || known < base || known >= revision {
            return Applied::Outdated;
        }
        let mut table = settled.clone();
        table.apply(changes);
        table.revision = revision;
        if table.digest() != digest {
            return Applied::Mismatch;
        }
        *settled = table;
        Applied::Yes
    }

    fn newest_revision(&self) -> Option<Revision> {
        let tables = self.settled.iter().chain(&self.restored);
        tables.map(|table| table.revision).max()
    }

    fn table_of_era(&mut self, era: Era) -> Option<&mut Table<V>> {
        let tables = self.settled.iter_mut().chain(&mut self.restored);
        tables.into_iter().find(|table| table.revision.era == era)
    }

    fn settle(&mut self) {
        if self.restored.as_ref().is_some_and(Table::is_settled) {
            self.settled = self.restored.take();
        }
    }
}
