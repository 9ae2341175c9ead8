//! Checks that a caller is authorized and within its rate.
//!
//! [`verify`] runs when a request arrives and again right before its bytes are sent to a target,
//! so that a key withdrawn in between stops the request.

use crate::auth::Identity;
use crate::shared::Host;
use bergamotvale_core::id::{AccountId, KeyId, ServiceId, Time};
use bergamotvale_core::refusal::{Reason, Refusal};
use std::time::Duration;

/// Delay that is suggested to the caller while the host's authority has expired; the host may
/// have renewed it by then.
const AUTHORITY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// A caller that presented a key, which this host checked.
    Key(Identity),
    /// An anonymous caller of an open route: the route, and the client account it is charged to.
    Open(String, AccountId),
    /// A client account whose key was checked by the host that forwarded the request.
    Peer(AccountId),
}

impl Caller {
    /// Client account that the request is charged to.
    pub fn account(&self) -> AccountId {
        match self {
            Caller::Key(identity) => identity.account,
            Caller::Open(_, account) | Caller::Peer(account) => *account,
        }
    }

    /// The key that this host checked; `None` on open routes and for forwarded requests.
    pub fn key(&self) -> Option<KeyId> {
        match self {
            Caller::Key(identity) => Some(identity.key),
            Caller::Open(..) | Caller::Peer(_) => None,
        }
    }
}

/// Waits until the rate of the caller's client account admits one more request, at most until
/// `deadline`; refuses a request over the rate.
pub async fn admit(host: &Host, caller: &Caller, deadline: Time) -> Result<(), Refusal> {
    host.limiter.admit(caller.account(), deadline).await
}

/// Refuses unless `caller` may use `service` now.
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

/// Refuses unless this host may act on its copy of the shared state (keys, rates) now.
pub fn verify_authority(host: &Host) -> Result<(), Refusal> {
    if host.has_authority() {
        return Ok(());
    }
    let detail = "this host's copy of keys and rates is too old to act on";
    Err(Refusal::new(Reason::AuthorityLapsed, detail).with_retry_after(AUTHORITY_RETRY_DELAY))
}
