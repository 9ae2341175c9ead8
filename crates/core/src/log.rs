//! Positions in a database group's log.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A term of a database group; each has at most one primary.
pub type Term = u64;
/// Number of an entry in a group's log; grows over all terms.
pub type Index = u64;

/// An entry of a group's log.
///
/// The order is lexicographic. A log whose last entry is at or past an acknowledged position holds
/// that position: within a term there is one primary and so one log, and the primary of a higher
/// term starts from a log that holds every acknowledged entry of the lower ones.
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
    /// Number of the entry.
    pub index: Index,
}

impl Position {
    /// The entry `index` of `term`.
    pub fn new(term: Term, index: Index) -> Position {
        Position { term, index }
    }

    /// Whether a log that ends here holds `other`, an acknowledged entry.
    pub fn covers(self, other: Position) -> bool {
        self >= other
    }
}
