//! Whether a caller may still do what it does.
//!
//! Asked when a request arrives and again right before its bytes leave for a target, so that a key
//! withdrawn in between stops the request.

use crate::auth::Identity;
use crate::shared::Host;
use bergamotvale_core::id::{AccountId, KeyId, ServiceId, Time};
use bergamotvale_core::refusal::{Reason, Refusal};
use std::time::Duration;

/// Time after which a host may have its authority back.
const LAPSE_RETRY: Duration = Duration::from_secs(1);

/// On whose behalf a statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The client account of a key.
    Key(Identity),
    /// Anyone, on a route open to all; the client account that pays for it.
    Open(String, AccountId),
    /// A client account whose key another host has checked.
    Peer(AccountId),
}

impl Caller {
    /// Client account that it runs for.
    pub fn account(&self) -> AccountId {
        match self {
            Caller::Key(identity) => identity.account,
            Caller::Open(_, account) | Caller::Peer(account) => *account,
        }
    }

    /// The key, when this host has checked one.
    pub fn key(&self) -> Option<KeyId> {
        match self {
            Caller::Key(identity) => Some(identity.key),
            Caller::Open(..) | Caller::Peer(_) => None,
        }
    }
}

/// Waits until the rate of the caller's client account admits one more request.
pub async fn admit(host: &Host, caller: &Caller, deadline: Time) -> Result<(), Refusal> {
    host.limiter.admit(caller.account(), deadline).await
}

/// Says whether `caller` may use `service` now.
pub fn verify(host: &Host, caller: &Caller, service: ServiceId) -> Result<(), Refusal> {
    verify_authority(host)?;
    let document = host.document();
    match caller {
        Caller::Key(identity) if !host.accepts_key(identity.key) => {
            return Err(Refusal::new(Reason::KeyWithdrawn, "the key was withdrawn"));
        }
        Caller::Open(route, _) if !document.routes.contains_key(route) => {
            return Err(Refusal::new(Reason::NotFound, "no such route"));
        }
        Caller::Open(..) => return Ok(()),
        Caller::Key(_) | Caller::Peer(_) => {}
    }
    let account = document.accounts.get(&caller.account());
    if !account.is_some_and(|account| account.services.contains(&service)) {
        return Err(Refusal::new(Reason::NotAllowed, "the client account may not use it"));
    }
    Ok(())
}

/// Says whether this host may act on its copy of the shared state now.
pub fn verify_authority(host: &Host) -> Result<(), Refusal> {
    if host.has_authority() {
        return Ok(());
    }
    let detail = "this host's copy of keys and rates is too old to act on";
    Err(Refusal::new(Reason::AuthorityLapsed, detail).with_retry_after(LAPSE_RETRY))
}
