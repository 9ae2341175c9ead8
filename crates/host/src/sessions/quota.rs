//! Rates of client accounts at this host.

use super::boot_clock;
use super::state::Host;
use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::proxy::catalog::{Account, Catalog};
use bergamotvale_core::rate::meter::{Decision, Meter};
use bergamotvale_core::rate::part_of;
use siphasher::sip::SipHasher13;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::Duration;

/// Time between two looks of a request that waits for a loan.
const LOOK: Duration = Duration::from_millis(5);

/// Rates of all client accounts at this host.
pub struct Quota {
    /// The decisions.
    pub meter: RefCell<Meter>,
}

/// Id under which hosts speak of a client account to each other.
pub fn account_id(name: &str) -> AccountId {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as AccountId
}

impl Quota {
    /// No client account yet; a part that grows waits for `settle`.
    pub fn new(settle: Duration) -> Quota {
        Quota { meter: RefCell::new(Meter::new(settle, true)) }
    }

    /// Divides the configured rates among the members.
    pub fn divide(&self, now: Time, own: HostId, members: &BTreeSet<HostId>, catalog: &Catalog) {
        let mut meter = self.meter.borrow_mut();
        meter.set_peers(members.iter().copied().filter(|host| *host != own).collect());
        let known: BTreeSet<AccountId> = catalog.accounts.keys().map(|n| account_id(n)).collect();
        meter.retain(|account| known.contains(&account));
        for account in catalog.accounts.values() {
            let id = account_id(&account.name);
            let (rate, burst) = part_of(id, account.rate, account.burst, members, own);
            meter.set_part(id, rate, burst, now);
        }
        meter.tick(now);
    }
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
                host.peers.ask_loans(host, id);
                drop(tokio::time::timeout(LOOK, host.changed.notified()).await);
                let now = boot_clock::now();
                decision = host.quota.meter.borrow_mut().retry(id, until, now);
            }
        }
    }
}
