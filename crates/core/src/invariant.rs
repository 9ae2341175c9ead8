//! Checks of what must always hold, over recorded histories.
//!
//! The checks know nothing of how the history came about; tests and the load tool share them.

pub mod admission;
