//! What the log keeps of a write agrees with what its caller was told.
//!
//! Effects are counted in the surviving log, once all faults are healed: what only a superseded
//! primary had is gone and counts as nothing.

use super::{OpId, Violation, first};
use crate::id::TargetId;
use crate::log::Term;
use std::collections::BTreeMap;

/// What the caller of a write was told, over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was acknowledged at least once.
    Acknowledged,
    /// Every attempt was refused as not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A write and what is left of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The request.
    pub op: OpId,
    /// What its caller was told.
    pub verdict: Verdict,
    /// Effects in the surviving log, by target.
    pub effects: BTreeMap<TargetId, usize>,
}

/// No acknowledged write is missing on any target.
pub fn verify_durable(writes: &[Write]) -> Result<(), Violation> {
    let is_lost = |write: &Write| {
        write.verdict == Verdict::Acknowledged && write.effects.values().any(|count| *count == 0)
    };
    first(writes, is_lost, |write| Violation::LostWrite { op: write.op })
}

/// No write that was refused as not run took effect.
pub fn verify_not_run(writes: &[Write]) -> Result<(), Violation> {
    let is_false = |write: &Write| {
        write.verdict == Verdict::NotRun && write.effects.values().any(|count| *count > 0)
    };
    first(writes, is_false, |write| Violation::FalseNotRun { op: write.op })
}

/// No write took effect twice.
pub fn verify_at_most_once(writes: &[Write]) -> Result<(), Violation> {
    let is_repeated = |write: &Write| write.effects.values().any(|count| *count > 1);
    first(writes, is_repeated, |write| Violation::DuplicateWrite { op: write.op })
}

/// One target at most acknowledges in each term.
pub fn verify_single_primary(acknowledgements: &[(Term, TargetId)]) -> Result<(), Violation> {
    let mut primaries = BTreeMap::new();
    for (term, target) in acknowledgements {
        if *primaries.entry(*term).or_insert(*target) != *target {
            return Err(Violation::SplitBrain { term: *term });
        }
    }
    Ok(())
}
