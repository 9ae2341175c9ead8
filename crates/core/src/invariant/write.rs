//! Checks that the effects of each write in the log agree with the outcome that its caller saw.
//!
//! Effects are counted in the surviving log after all faults have ended. Entries that only a
//! superseded primary held are not part of it and don't count.

use super::{OpId, Violation, check_each};
use crate::id::TargetId;
use crate::log::Term;
use std::collections::BTreeMap;

/// Outcome that the caller of a write received, over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// At least one attempt was acknowledged.
    Acknowledged,
    /// Every attempt was refused as not run.
    NotRun,
    /// No attempt was acknowledged and the write may have run.
    Unknown,
}

/// A write with its outcome and its effects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Request of the write.
    pub op: OpId,
    /// Outcome that its caller received.
    pub verdict: Verdict,
    /// Number of effects in the surviving log, by target.
    pub effects: BTreeMap<TargetId, usize>,
}

/// Checks that no acknowledged write is missing on any target.
pub fn verify_durable(writes: &[Write]) -> Result<(), Violation> {
    let is_lost = |write: &Write| {
        write.verdict == Verdict::Acknowledged && write.effects.values().any(|count| *count == 0)
    };
    check_each(writes, is_lost, |write| Violation::LostWrite { op: write.op })
}

/// Checks that no write that was refused as not run took effect.
pub fn verify_not_run(writes: &[Write]) -> Result<(), Violation> {
    let is_false = |write: &Write| {
        write.verdict == Verdict::NotRun && write.effects.values().any(|count| *count > 0)
    };
    check_each(writes, is_false, |write| Violation::FalseNotRun { op: write.op })
}

/// Checks that no write took effect more than once.
pub fn verify_at_most_once(writes: &[Write]) -> Result<(), Violation> {
    let is_repeated = |write: &Write| write.effects.values().any(|count| *count > 1);
    check_each(writes, is_repeated, |write| Violation::DuplicateWrite { op: write.op })
}

/// Checks that at most one target acknowledged writes in each term.
pub fn verify_single_primary(acknowledgements: &[(Term, TargetId)]) -> Result<(), Violation> {
    let mut primaries = BTreeMap::new();
    for (term, target) in acknowledgements {
        if *primaries.entry(*term).or_insert(*target) != *target {
            return Err(Violation::SplitBrain { term: *term });
        }
    }
    Ok(())
}
