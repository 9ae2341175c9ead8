//! Positions in the replicated log of a database group.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A term of a database group; each term has at most one primary.
pub type Term = u64;
/// Number of an entry in a group's log; increases across terms.
pub type Index = u64;

/// Position of an entry in a group's log.
///
/// Positions are ordered by term, then index. A log whose last entry is at or past an acknowledged
/// position contains that entry: a term has one primary and so one log, and the primary of a higher
/// term starts from a log that contains every acknowledged entry of the lower terms.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{term}.{index}")]
pub struct Position {
    /// Term in which the entry was written.
    pub term: Term,
    /// Number of the entry, which is unique in its term.
    pub index: Index,
}

impl Position {
    /// Creates the position of entry `index` in `term`.
    pub fn new(term: Term, index: Index) -> Position {
        Position { term, index }
    }

    /// Whether a log that ends here contains the acknowledged entry at `other`.
    pub fn covers(self, other: Position) -> bool {
        self >= other
    }
}
