//! Runs callers' statements on targets.

pub mod read;
pub mod value;
pub mod write;

use bergamotvale_core::id::TargetId;
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::Rows;

/// A result with what the caller's session learns from it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The rows.
    pub rows: Rows,
    /// Token for the caller's next request.
    pub token: Token,
    /// Target that served.
    pub target: TargetId,
    /// Whether it was the primary.
    pub primary: bool,
    /// Whether it is the outcome of an earlier request.
    pub replayed: bool,
}
