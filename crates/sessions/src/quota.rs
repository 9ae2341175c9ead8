//! Rates of client accounts at this host.

use crate::boot_clock;
use crate::settings::Rates;
use crate::state::Host;
use crate::target::name_hash;
use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::proxy::catalog::{Account, Catalog};
use bergamotvale_core::rate::bucket::{Amount, MICRO};
use bergamotvale_core::rate::meter::{Decision, Meter};
use bergamotvale_core::rate::{holders, rate_share};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

/// Share of what a rate may be exceeded by that is given out on purpose; the rest covers what
/// hosts count differently while shares move.
const MARGIN_USED: f64 = 0.5;
/// Share of it that all hosts together begin with.
const OPENING_SHARE: f64 = 0.25;
/// Hosts among which the rate of one client account is divided. Few, so that a loan is found at
/// once; more than one, so that the loss of a host leaves most of the rate.
const HOLDERS: usize = 4;
/// Time between two looks of a request that waits for a loan.
const LOOK: Duration = Duration::from_millis(5);

/// Rates of all client accounts at this host.
pub struct Quota {
    /// The decisions.
    pub meter: RefCell<Meter>,
}

/// Id under which hosts speak of a client account to each other.
pub fn account_id(name: &str) -> AccountId {
    name_hash(name) as AccountId
}

impl Quota {
    /// No client account yet; a part that grows waits for `settle`.
    pub fn new(settle: Duration) -> Quota {
        Quota { meter: RefCell::new(Meter::new(settle, true)) }
    }

    /// Divides the configured rates among the members.
    ///
    /// `has_part` says that this host, perhaps in an earlier run, had its part already, so that
    /// accounts that are new here have theirs at once.
    pub fn update_shares(
        &self,
        now: Time,
        own: HostId,
        members: &BTreeSet<HostId>,
        catalog: &Catalog,
        has_part: bool,
        rates: &Rates,
    ) {
        let mut meter = self.meter.borrow_mut();
        meter.set_peers(members.iter().copied().filter(|host| *host != own).collect());
        let known: BTreeSet<AccountId> = catalog.accounts.keys().map(|n| account_id(n)).collect();
        meter.retain(|account| known.contains(&account));
        for account in catalog.accounts.values() {
            let id = account_id(&account.name);
            let total = (account.rate, account.burst);
            let (rate, burst) = rate_share(id, total, members, own, HOLDERS);
            let (rate, burst) = (widen(rate, rates), widen(burst, rates));
            let holders = holders(id, account.burst, members, HOLDERS);
            if has_part {
                let opening = opening(account, holders.len(), rates);
                meter.open_share(id, rate, burst, opening, now);
            } else {
                meter.set_share(id, rate, burst, now);
            }
            meter.set_holders(id, holders);
        }
        meter.tick(now);
    }
}

/// A part of a rate or burst with the share of the permitted overage that is given out.
fn widen(amount: Amount, rates: &Rates) -> Amount {
    amount + (amount as f64 * rates.overage * MARGIN_USED) as Amount
}

/// Tokens with which a host begins, so that callers who come back to hosts that have just started
/// are served. Two starts of all hosts within one window stay within what is permitted.
fn opening(account: &Account, holders: usize, rates: &Rates) -> Amount {
    let in_window = f64::from(account.rate) * rates.window.as_secs_f64() + f64::from(account.burst);
    let margin = in_window * rates.overage + f64::from(rates.slack);
    (margin * OPENING_SHARE / holders.max(1) as f64 * MICRO as f64) as Amount
}

/// Takes a token of the account's rate, waiting for a loan for a moment if need be.
///
/// The error is the time after which asking again makes sense.
pub async fn admit(host: &Host, account: &Account) -> Result<(), Duration> {
    let id = account_id(&account.name);
    let mut decision = host.quota.meter.borrow_mut().request(id, boot_clock::now());
    loop {
        match decision {
            Decision::Admit => return Ok(()),
            Decision::Refuse(after) => return Err(after),
            Decision::Wait(until) => {
                host.peers.request_loans(host, id);
                drop(tokio::time::timeout(LOOK, host.changed.notified()).await);
                let now = boot_clock::now();
                decision = host.quota.meter.borrow_mut().retry(id, until, now);
            }
        }
    }
}

/// Puts the token of an operation back that reached no target.
pub fn put_back(host: &Host, account: &str) {
    let now = boot_clock::now();
    host.quota.meter.borrow_mut().refund(account_id(account), now);
}
