//! Requests run for the account of their key, and only while the key is active.

use super::{OpId, Violation, first};
use crate::id::{AccountId, KeyId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Execution {
    /// The request.
    pub op: OpId,
    /// Account of the key that came with it, if one did.
    pub key_account: Option<AccountId>,
    /// Account that it ran for.
    pub account: AccountId,
    /// Whether its route is open to all.
    pub is_open: bool,
}

/// A use of a key that a host accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyUse {
    /// The key.
    pub key: KeyId,
    /// When a host accepted it.
    pub at: Time,
}

/// Except on open routes, a request runs for the account of its key only.
pub fn verify_account(executions: &[Execution]) -> Result<(), Violation> {
    let is_foreign = |run: &Execution| !run.is_open && run.key_account != Some(run.account);
    first(executions, is_foreign, |run| Violation::WrongAccount { op: run.op })
}

/// No key is accepted later than `bound` after its withdrawal.
pub fn verify_withdrawn(
    uses: &[KeyUse],
    withdrawn: &BTreeMap<KeyId, Time>,
    bound: Duration,
) -> Result<(), Violation> {
    let is_late = |used: &KeyUse| withdrawn.get(&used.key).is_some_and(|at| used.at > *at + bound);
    first(uses, is_late, |used| Violation::WithdrawnKey { key: used.key })
}
