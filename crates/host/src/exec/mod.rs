//! Runs callers' statements on targets.
//!
//! The decisions are the core's ([`bergamotvale_core::read`], [`bergamotvale_core::write`],
//! [`bergamotvale_core::transaction`]); the modules here carry out their actions on leased
//! connections and tell them what came back.

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

/// A statement with all that decides how it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// On whose behalf.
    pub caller: Caller,
    /// Service that it is for.
    pub service: ServiceId,
    /// The statement.
    pub statement: Statement,
    /// What the caller's session has seen.
    pub token: Token,
    /// How fresh a read has to be.
    pub freshness: Freshness,
    /// Idempotency key of a write.
    pub idempotency_key: Option<String>,
    /// When the caller stops waiting.
    pub deadline: Time,
}

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
