//! Rates of client accounts, counted over all hosts together.
//!
//! Each holder of a client account has a part of its rate and burst, see [`crate::share`], in a
//! token [`bucket`]. Hosts lend tokens to each other: the lender takes them out of its bucket
//! before it answers, the borrower counts them only if the answer is quick. A lost answer loses
//! tokens and never mints any. [`meter`] decides whether a request is admitted, waits for a loan
//! or is refused.

pub mod bucket;
pub mod meter;

pub use bucket::Bucket;
pub use meter::Meter;

use crate::config::Account;
use crate::id::{AccountId, HostId};
use crate::rendezvous::{Subject, choose};
use crate::share;
use bucket::{Amount, MICRO};
use std::collections::BTreeSet;

/// Hosts among which the rate of one client account is divided, at most.
///
/// Others borrow. A part of a burst is whole tokens, so there are no more holders than those.
pub const MAX_HOLDERS: usize = 16;

/// Part of an account's rate, per second, and burst that `host` has, in micro-tokens.
pub fn account_share(
    id: AccountId,
    account: &Account,
    members: &BTreeSet<HostId>,
    host: HostId,
) -> (Amount, Amount) {
    rate_share(id, (account.rate, account.burst), members, host, MAX_HOLDERS)
}

/// Hosts that have parts of an account with this burst, `limit` at most.
pub fn holders(
    id: AccountId,
    burst: u32,
    members: &BTreeSet<HostId>,
    limit: usize,
) -> BTreeSet<HostId> {
    let count = limit.min(burst as usize);
    choose(members, Subject::Rate(id.into()), count).into_iter().collect()
}

/// As [`part`], of a rate, per second, and a burst given as such, among `limit` hosts at most.
pub fn rate_share(
    id: AccountId,
    (rate, burst): (u32, u32),
    members: &BTreeSet<HostId>,
    host: HostId,
    limit: usize,
) -> (Amount, Amount) {
    let holders = limit.min(burst as usize);
    let subject = Subject::Rate(id.into());
    let rate = share::share_of(u64::from(rate) * MICRO, members, host, subject, holders);
    let burst = share::share_of(burst.into(), members, host, subject, holders) * MICRO;
    (rate, burst)
}
