//! Checks that requests run for the account of their key, and only while that key is active.

use super::{OpId, Violation, check_each};
use crate::id::{AccountId, KeyId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Execution {
    /// Request that ran.
    pub op: OpId,
    /// Account of the key that the request presented; `None` if it presented none.
    pub key_account: Option<AccountId>,
    /// Account that the request ran for.
    pub account: AccountId,
    /// Whether its route is open, that is, requires no key.
    pub is_open: bool,
}

/// Acceptance of a key by a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyUse {
    /// Key that the host accepted.
    pub key: KeyId,
    /// Time of the acceptance.
    pub at: Time,
}

/// Checks that each request ran for the account of its key; open routes are exempt.
pub fn verify_account(executions: &[Execution]) -> Result<(), Violation> {
    let is_foreign = |e: &Execution| !e.is_open && e.key_account != Some(e.account);
    check_each(executions, is_foreign, |e| Violation::WrongAccount { op: e.op })
}

/// Checks that no host accepted a key later than `bound` after its withdrawal.
pub fn verify_withdrawn(
    uses: &[KeyUse],
    withdrawn: &BTreeMap<KeyId, Time>,
    bound: Duration,
) -> Result<(), Violation> {
    let is_late = |used: &KeyUse| withdrawn.get(&used.key).is_some_and(|at| used.at > *at + bound);
    check_each(uses, is_late, |used| Violation::WithdrawnKey { key: used.key })
}
