//! Requests run for the account of their key, and only while the key is active.

use super::{Broken, OpId, first};
use crate::id::{AccountId, KeyId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub op: OpId,
    /// Account of the key that came with it, if one did.
    pub presented: Option<AccountId>,
    /// Account that it ran for.
    pub account: AccountId,
    /// Whether its route is open to all.
    pub is_open: bool,
}

/// A use of a key that a host accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Use {
    /// The key.
    pub key: KeyId,
    /// When a host accepted it.
    pub at: Time,
}

/// Except on open routes, a request runs for the account of its key only.
pub fn verify_owner(runs: &[Run]) -> Result<(), Broken> {
    let is_foreign = |run: &Run| !run.is_open && run.presented != Some(run.account);
    first(runs, is_foreign, |run| Broken::WrongAccount { op: run.op })
}

/// No key is accepted later than `bound` after its withdrawal.
pub fn verify_withdrawn(
    uses: &[Use],
    withdrawn: &BTreeMap<KeyId, Time>,
    bound: Duration,
) -> Result<(), Broken> {
    let is_late = |used: &Use| withdrawn.get(&used.key).is_some_and(|at| used.at > *at + bound);
    first(uses, is_late, |used| Broken::WithdrawnKey { key: used.key })
}
