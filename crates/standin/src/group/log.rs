//! The replicated log of a target, with one entry for each write transaction.

use std::sync::Arc;

use derive_more::Display;
use rusqlite::types::Value;

/// Number of a term; each term has at most one primary.
pub type Term = i64;
/// Index in the log, counted from 1.
pub type Index = i64;

/// Position of an entry, ordered by term, then by index. (0, 0) precedes all entries.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("({term}, {index})")]
pub struct Position {
    /// Term of the primary that wrote the entry.
    pub term: Term,
    /// Index in the log; it continues across terms.
    pub index: Index,
}

/// One statement with its bound parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Text with parameters `$1`, `$2` and so on.
    pub sql: String,
    /// Values of the parameters; the first is `$1`.
    pub params: Vec<Value>,
}

/// One write transaction. A promotion appends an entry without statements.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: Position,
    /// Statements that succeeded, in order of execution.
    pub statements: Vec<Statement>,
}

/// Entries from index 1 on, without gaps; their terms never decrease.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Vec<Arc<Entry>>,
}

impl Log {
    /// Position of the last entry; (0, 0) when the log is empty.
    pub fn last_position(&self) -> Position {
        self.entries.last().map_or(Position::default(), |entry| entry.position)
    }

    /// Entry at an index; none outside the log.
    pub fn get(&self, index: Index) -> Option<&Arc<Entry>> {
        let offset = usize::try_from(index - 1).ok()?;
        self.entries.get(offset)
    }

    /// Position of the entry at an index; (0, 0) outside the log.
    pub fn position_at(&self, index: Index) -> Position {
        self.get(index).map_or(Position::default(), |entry| entry.position)
    }

    /// Whether this log holds the entry at a position, and therefore all entries before it.
    pub fn contains(&self, position: Position) -> bool {
        self.position_at(position.index) == position
    }

    /// Positions of all entries, in order.
    pub fn positions(&self) -> Vec<Position> {
        self.entries.iter().map(|entry| entry.position).collect()
    }

    /// Index of the first entry of a term; if the term has none, the index where it would be.
    pub fn term_start(&self, term: Term) -> Index {
        self.entries.partition_point(|entry| entry.position.term < term) as Index + 1
    }

    /// Last index that is at most the position's index and whose entry's term is at most the
    /// position's term; 0 if there is none.
    pub fn last_index_up_to(&self, position: Position) -> Index {
        let up_to_term = self.entries.partition_point(|entry| entry.position.term <= position.term);
        position.index.min(up_to_term as Index)
    }

    /// At most `limit` entries, starting at index `from`.
    pub fn range(&self, from: Index, limit: usize) -> Vec<Arc<Entry>> {
        let skip = usize::try_from(from - 1).unwrap_or(0);
        self.entries.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Appends an entry at the next index and returns its position.
    pub fn append(&mut self, term: Term, statements: Vec<Statement>) -> Position {
        let position = Position { term, index: self.last_position().index + 1 };
        self.entries.push(Arc::new(Entry { position, statements }));
        position
    }

    /// Appends an entry received from another target; its index must be the next one.
    pub fn push(&mut self, entry: Arc<Entry>) {
        debug_assert_eq!(entry.position.index, self.last_position().index + 1);
        self.entries.push(entry);
    }

    /// Drops all entries after index `last`.
    pub fn truncate(&mut self, last: Index) {
        self.entries.truncate(usize::try_from(last).unwrap_or(0));
    }
}
