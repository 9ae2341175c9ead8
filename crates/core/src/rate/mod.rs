//! Rates of client accounts, counted over all hosts together.
//!
//! Each holder of a client account has a share of its rate and burst, see [`crate::share`], in a
//! token [`bucket`]. Hosts lend tokens to each other: the lender removes them from its bucket
//! before it answers, and the borrower accepts them only if the answer arrives in time. A lost
//! answer loses tokens but never creates any. [`meter`] decides whether a request is admitted,
//! waits for a loan or is refused.

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

/// Largest number of hosts among which the rate of one client account is divided.
///
/// Other hosts borrow. A share of a burst is a whole number of tokens, so there are also no more
/// holders than the burst has tokens.
pub const MAX_HOLDERS: usize = 16;

/// Part of the permitted slack that the holders of an account may keep beyond its burst, as one part
/// in this number. Initial tokens use up to two quarters; a quarter is left for changes of shares.
const FRAGMENT_SLACK_DIVISOR: u64 = 4;

/// Micro-tokens that each of several holders may keep beyond its share of a burst.
///
/// A token that is divided between holders serves nobody, and a small share overflows while another
/// is empty: an account at 0.85 of its rate lost up to a fifth of its requests to that.
pub fn fragment_allowance(slack: u32, holders: usize) -> Amount {
    match holders as u64 {
        0 | 1 => 0,
        holders => u64::from(slack) * MICRO / FRAGMENT_SLACK_DIVISOR / holders,
    }
}

/// Share that `host` has of an account's rate, per second, and burst, in micro-tokens.
pub fn account_share(
    id: AccountId,
    account: &Account,
    members: &BTreeSet<HostId>,
    host: HostId,
) -> (Amount, Amount) {
    rate_share(id, (account.rate, account.burst), members, host, MAX_HOLDERS)
}

/// Hosts that have a share of an account with this burst, at most `limit`.
pub fn holders(
    id: AccountId,
    burst: u32,
    members: &BTreeSet<HostId>,
    limit: usize,
) -> BTreeSet<HostId> {
    let count = limit.min(burst as usize);
    choose(members, Subject::Rate(id.into()), count).into_iter().collect()
}

/// Like [`account_share`], for a given rate, per second, and burst among at most `limit` hosts.
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
