//! A host's copy of the table of records and members, over restores of the store.
//!
//! A restored store has lost its latest changes. The table is then out of use until the hosts that
//! remember them have written them again: it is settled once the row [`ERA_KEY`] names the era of
//! the store. Until then the copy keeps the settled table of the era before, and the restored one
//! beside it. In the first era, 0, nothing was lost yet and the table is always settled.

use super::revision::{Era, Revision};
use std::collections::BTreeMap;

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

/// Rows of a table as of one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table<V> {
    /// Value and revision of each row, by key.
    pub rows: BTreeMap<String, (V, Revision)>,
    /// Revision of the newest change that the rows reflect.
    pub revision: Revision,
}

impl<V> Table<V> {
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
        Table { rows: live.collect(), revision }
    }

    /// Applies changes of the table, except those that it reflects already.
    fn apply(&mut self, changes: Vec<Row<V>>) {
        let known = self.revision;
        for change in changes.into_iter().filter(|change| change.revision > known) {
            self.revision = self.revision.max(change.revision);
            match change.value {
                Some(value) => drop(self.rows.insert(change.key, (value, change.revision))),
                None => drop(self.rows.remove(&change.key)),
            }
        }
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
