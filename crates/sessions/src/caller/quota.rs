//! Admission of requests against the rates of client accounts at this host.
//!
//! Each host has shares of the configured rates and bursts, and hosts lend tokens to each other.
//! [`Meter`] makes the decisions; this module computes the shares and waits for loans.

use crate::boot_clock;
use crate::pool::target::name_hash;
use crate::settings::Rates;
use crate::state::Host;
use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::proxy::catalog::{Account, Catalog};
use bergamotvale_core::rate::bucket::{Amount, MICRO};
use bergamotvale_core::rate::meter::{Decision, Meter};
use bergamotvale_core::rate::{fragment_allowance, holders, rate_share};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

/// Fraction of the permitted overage that is added to the hosts' shares. The rest covers
/// differences between the hosts' counts while shares change.
const DISTRIBUTED_OVERAGE_FRACTION: f64 = 0.5;
/// Fraction of the permitted overage that all hosts together start with as tokens.
const INITIAL_TOKENS_FRACTION: f64 = 0.25;
/// Number of hosts among which the rate of one client account is divided. It is small, so that a
/// borrower finds a lender at once, and above 1, so that losing a host leaves most of the rate.
const HOLDERS_PER_ACCOUNT: usize = 4;
/// Interval at which a request that waits for a loan is decided again.
const LOAN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Rates of all client accounts at this host.
pub struct Quota {
    /// Buckets and loans by account; peers' loan messages reach it too.
    pub meter: RefCell<Meter>,
}

/// Id of a client account in messages between hosts: a hash of its name, the same on every host.
pub fn account_id(name: &str) -> AccountId {
    name_hash(name) as AccountId
}

impl Quota {
    /// Creates a quota without accounts. A share that grows comes into force after `settle`.
    pub fn new(settle: Duration) -> Quota {
        Quota { meter: RefCell::new(Meter::new(settle, true)) }
    }

    /// Recomputes this host's shares of the configured rates for the present members.
    ///
    /// `has_share` tells that this host, possibly in an earlier incarnation, had its shares before,
    /// so that its share of an account that is new here comes into force at once.
    pub fn update_shares(
        &self,
        now: Time,
        own: HostId,
        members: &BTreeSet<HostId>,
        catalog: &Catalog,
        has_share: bool,
        rates: &Rates,
    ) {
        let mut meter = self.meter.borrow_mut();
        meter.set_peers(members.iter().copied().filter(|host| *host != own).collect());
        let known: BTreeSet<AccountId> = catalog.accounts.keys().map(|n| account_id(n)).collect();
        meter.retain(|account| known.contains(&account));
        for account in catalog.accounts.values() {
            let id = account_id(&account.name);
            let total = (account.rate, account.burst);
            let (rate, burst) = rate_share(id, total, members, own, HOLDERS_PER_ACCOUNT);
            let holders = holders(id, account.burst, members, HOLDERS_PER_ACCOUNT);
            let allowance =
                if burst > 0 { fragment_allowance(rates.slack, holders.len()) } else { 0 };
            let (rate, burst) = (widen(rate, rates), widen(burst, rates) + allowance);
            let holder_rate = u64::from(account.rate) * MICRO / holders.len().max(1) as u64;
            if has_share {
                let initial_tokens = initial_tokens(account, holders.len(), rates);
                meter.open_share(id, rate, burst, initial_tokens, now);
            } else {
                meter.set_share(id, rate, burst, now);
            }
            meter.set_holders(id, holders);
            meter.set_holder_rate(id, holder_rate);
        }
        meter.tick(now);
    }
}

/// Adds the distributed part of the permitted overage to a share of a rate or burst.
fn widen(amount: Amount, rates: &Rates) -> Amount {
    amount + (amount as f64 * rates.overage * DISTRIBUTED_OVERAGE_FRACTION) as Amount
}

/// Tokens that a host starts with, so that callers that reconnect to hosts that have just started
/// are served. Two starts of all hosts within one window stay within the permitted overage.
fn initial_tokens(account: &Account, holders: usize, rates: &Rates) -> Amount {
    let in_window = f64::from(account.rate) * rates.window.as_secs_f64() + f64::from(account.burst);
    let margin = in_window * rates.overage + f64::from(rates.slack);
    (margin * INITIAL_TOKENS_FRACTION / holders.max(1) as f64 * MICRO as f64) as Amount
}

/// Takes a token of the account's rate, and waits for a loan if this host has none.
///
/// The error is the time after which a retry may succeed.
pub async fn admit(host: &Host, account: &Account) -> Result<(), Duration> {
    let id = account_id(&account.name);
    let mut decision = host.quota.meter.borrow_mut().request(id, boot_clock::now());
    let mut has_waited = false;
    loop {
        match decision {
            Decision::Admit => {
                if has_waited {
                    host.metrics.count("rate_admitted_after_wait");
                }
                return Ok(());
            }
            Decision::Refuse(after) => {
                let counter =
                    if has_waited { "rate_refused_after_wait" } else { "rate_refused_at_once" };
                host.metrics.count(counter);
                return Err(after);
            }
            Decision::Wait(deadline) => {
                has_waited = true;
                host.peers.request_loans(host, id);
                drop(tokio::time::timeout(LOAN_POLL_INTERVAL, host.changed.notified()).await);
                let now = boot_clock::now();
                decision = host.quota.meter.borrow_mut().retry(id, deadline, now);
            }
        }
    }
}

/// Returns the token of an operation that was sent to no target.
pub fn refund(host: &Host, account: &str) {
    let now = boot_clock::now();
    host.quota.meter.borrow_mut().refund(account_id(account), now);
}
