//! Order of the changes of the platform's store, also over a restore from an older copy.
//!
//! The store numbers its changes with one counter. A restore sets the counter back, so that numbers
//! are given out again for other changes; it also starts a new era. A revision is therefore the
//! pair of both, and all orders of changes compare the era first.

use derive_more::{Constructor, Display};
use serde::{Deserialize, Serialize};

/// Number of restores of the store, as the store reports it with each answer.
pub type Era = u64;

/// Number of a change of the store; increases with each change and each restore.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Constructor,
    Display,
)]
#[display("{era}.{version}")]
pub struct Revision {
    /// Era in which the change was made.
    pub era: Era,
    /// Number of the change within its era; 0 before the first.
    pub version: u64,
}
