//! The log of a target: one entry for each write transaction.

use std::sync::Arc;

use derive_more::Display;
use rusqlite::types::Value;

/// Number of a primary's reign.
pub type Term = i64;
/// Place in the log; the first entry has 1.
pub type Index = i64;

/// Place of an entry: its term, then its index.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("({term}, {index})")]
pub struct Position {
    /// Term that the entry was written in.
    pub term: Term,
    /// Place in the log, going on over terms.
    pub index: Index,
}

/// One statement with its bound parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Text with `$1` parameters.
    pub sql: String,
    /// Values of the parameters, in order of their number.
    pub params: Vec<Value>,
}

/// One write transaction; a promotion writes one without statements.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Place of the entry.
    pub position: Position,
    /// Statements that succeeded, in order.
    pub statements: Vec<Statement>,
}

/// Entries from index 1, without gaps, in ascending terms.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Vec<Arc<Entry>>,
}

impl Log {
    /// Place of the last entry; (0, 0) when empty.
    pub fn last(&self) -> Position {
        self.entries.last().map_or(Position::default(), |entry| entry.position)
    }

    /// Entry at an index.
    pub fn get(&self, index: Index) -> Option<&Arc<Entry>> {
        let offset = usize::try_from(index - 1).ok()?;
        self.entries.get(offset)
    }

    /// Place of the entry at an index; (0, 0) where there is none.
    pub fn position(&self, index: Index) -> Position {
        self.get(index).map_or(Position::default(), |entry| entry.position)
    }

    /// Whether this log holds the entry of a place, and so all before it.
    pub fn contains(&self, position: Position) -> bool {
        self.position(position.index) == position
    }

    /// Places of all entries.
    pub fn positions(&self) -> Vec<Position> {
        self.entries.iter().map(|entry| entry.position).collect()
    }

    /// Index of the first entry of a term that has entries.
    pub fn term_start(&self, term: Term) -> Index {
        self.entries.partition_point(|entry| entry.position.term < term) as Index + 1
    }

    /// Last index that is at or before a place, by its index and by its term.
    pub fn last_before(&self, position: Position) -> Index {
        let in_term = self.entries.partition_point(|entry| entry.position.term <= position.term);
        position.index.min(in_term as Index)
    }

    /// At most `limit` entries from an index on.
    pub fn range(&self, from: Index, limit: usize) -> Vec<Arc<Entry>> {
        let skip = usize::try_from(from - 1).unwrap_or(0);
        self.entries.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Appends at the next index and returns the place.
    pub fn append(&mut self, term: Term, statements: Vec<Statement>) -> Position {
        let position = Position { term, index: self.last().index + 1 };
        self.entries.push(Arc::new(Entry { position, statements }));
        position
    }

    /// Takes an entry of another log, which follows the last one.
    pub fn push(&mut self, entry: Arc<Entry>) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.entries.push(entry);
    }

    /// Drops all entries after an index.
    pub fn truncate(&mut self, last: Index) {
        self.entries.truncate(usize::try_from(last).unwrap_or(0));
    }
}
