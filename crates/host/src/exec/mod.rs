//! Executes callers' statements on targets.
//!
//! The state machines of the core decide ([`bergamotvale_core::read`],
//! [`bergamotvale_core::write`], [`bergamotvale_core::transaction`]). The modules here perform
//! their actions on leased connections and report the results back as events.

pub mod confirm;
pub mod exact;
pub mod exchange;
pub mod forward;
pub mod outcome;
pub mod permit;
pub mod read;
pub mod state;
pub mod transaction;
pub mod value;
pub mod write;

pub use permit::Caller;
pub use state::State;

use bergamotvale_core::id::{ServiceId, TargetId, Time};
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::{Freshness, Rows, Statement};

/// A request to execute one statement, with everything that decides how it is executed.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Who sent the request.
    pub caller: Caller,
    /// Service whose database executes the statement.
    pub service: ServiceId,
    /// SQL text and bound parameters.
    pub statement: Statement,
    /// Session token: per service, the lowest log position that a read may be served at.
    pub token: Token,
    /// Freshness that a read requires; ignored for writes.
    pub freshness: Freshness,
    /// Idempotency key of a write; `None` for reads and for writes that are not to be deduplicated.
    pub idempotency_key: Option<String>,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
}

/// The result of a statement, with the session token that follows from it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Columns, rows and number of affected rows; only the first rows when the result is streamed.
    pub rows: Rows,
    /// Token for the caller's next request.
    pub token: Token,
    /// Target that executed the statement.
    pub target: TargetId,
    /// Whether that target was the primary.
    pub primary: bool,
    /// Whether this is the stored outcome of an earlier request with the same idempotency key.
    pub replayed: bool,
}
