//! The configuration shared by all hosts: one document with one monotonic version.
//!
//! The document is stored in the platform. [`Edit`]s lead from one version to the next; a host at
//! version `n` applies the edits of `n + 1` or fetches the whole document. [`verify`] checks that
//! a document is valid, independent of the changes that led to it.

use crate::id::{AccountId, FailureDomainId, KeyId, ServiceId, TargetId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Length of a key's salt, and of its digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// The configuration document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows by one with each accepted change.
    pub version: Version,
    /// Database groups by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by id.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Keys of client accounts; withdrawn keys stay until pruned.
    pub keys: BTreeMap<KeyId, Key>,
    /// Open routes by name; they need no key.
    pub routes: BTreeMap<String, Route>,
}

/// A database group as callers know it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the paths of callers' requests.
    pub name: String,
    /// Members of the group by id; the ids are the group's own target numbers.
    pub targets: BTreeMap<TargetId, Target>,
    /// Time for which outcomes are kept under their idempotency key, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retention: Duration,
}

/// A member of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: FailureDomainId,
    /// Largest number of connections of all hosts together.
    pub connections: u32,
    /// Whether the target may receive new work.
    pub state: TargetState,
}

/// Whether a target may receive new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TargetState {
    /// Receives work.
    Active,
    /// Being drained: receives no new work.
    Draining,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name used by operators.
    pub name: String,
    /// Requests per second over all hosts.
    pub rate: u32,
    /// Size of a burst above the rate, in requests over all hosts.
    pub burst: u32,
    /// Weight relative to other accounts when connection slots are contended.
    pub weight: u32,
    /// Services that the account may use.
    pub services: BTreeSet<ServiceId>,
}

/// A key of a client account; the secret itself is not stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Salt, hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub digest: String,
    /// Whether the key is accepted.
    pub state: KeyState,
}

/// Whether a key is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum KeyState {
    /// Accepted.
    Active,
    /// Rejected, also for callers that are already connected.
    Withdrawn,
}

/// A fixed read-only statement that callers may run without a key.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that the statement reads.
    pub service: ServiceId,
    /// Statement without parameters.
    pub sql: String,
    /// Largest permitted age of the data, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_age: Duration,
    /// Client account whose rate is charged.
    pub account: AccountId,
}

/// One edit of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds or replaces a service.
    PutService(ServiceId, Service),
    /// Adds or replaces a client account.
    PutAccount(AccountId, Account),
    /// Adds or replaces a key; a key is withdrawn by replacing its state.
    PutKey(KeyId, Key),
    /// Adds or replaces an open route.
    PutRoute(String, Route),
    /// Removes an open route.
    DeleteRoute(String),
    /// Removes a key.
    DeleteKey(KeyId),
}

/// The edits that lead to `version` from the version before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version after the edits.
    pub version: Version,
    /// Edits in order.
    pub edits: Vec<Edit>,
}

/// Reason why a document or change is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// Two services have the same name.
    #[display("services {_0} and {_1} have the same name")]
    ServiceName(#[error(not(source))] ServiceId, ServiceId),
    /// A service has too few targets to keep a majority after the loss of one.
    #[display("service {_0} has fewer than {MIN_TARGETS} targets")]
    Targets(#[error(not(source))] ServiceId),
    /// Two targets share an address.
    #[display("address {_0} is used by two targets")]
    Address(#[error(not(source))] SocketAddr),
    /// A target allows no connections.
    #[display("target {_1} of service {_0} allows no connections")]
    Connections(#[error(not(source))] ServiceId, TargetId),
    /// A client account has a zero rate, burst or weight.
    #[display("client account {_0} needs a rate, a burst and a weight above zero")]
    Account(#[error(not(source))] AccountId),
    /// Two client accounts have the same name.
    #[display("client accounts {_0} and {_1} have the same name")]
    AccountName(#[error(not(source))] AccountId, AccountId),
    /// An account or route refers to a service that does not exist.
    #[display("service {_0} does not exist")]
    NoService(#[error(not(source))] ServiceId),
    /// A key or route refers to a client account that does not exist.
    #[display("client account {_0} does not exist")]
    NoAccount(#[error(not(source))] AccountId),
    /// The salt or digest of a key is not hexadecimal or has the wrong length.
    #[display("key {_0} has a malformed salt or digest")]
    Digest(#[error(not(source))] KeyId),
    /// A change does not lead to the version after the document's.
    #[display("change {_1} does not follow version {_0}")]
    Order(#[error(not(source))] Version, Version),
}

/// Smallest number of targets with which a majority remains after the loss of one.
pub const MIN_TARGETS: usize = 3;

impl Document {
    /// Returns the document after `change`, which must have the next version and lead to a valid
    /// document.
    pub fn with_change(&self, change: &Change) -> Result<Document, Fault> {
        if change.version != self.version + 1 {
            return Err(Fault::Order(self.version, change.version));
        }
        let mut next = self.clone();
        next.version = change.version;
        for edit in &change.edits {
            next.apply(edit.clone());
        }
        verify(&next)?;
        Ok(next)
    }

    /// Id of the service with this name.
    pub fn service_named(&self, name: &str) -> Option<ServiceId> {
        self.services.iter().find(|(_, service)| service.name == name).map(|(id, _)| *id)
    }

    /// Id of the client account with this name.
    pub fn account_named(&self, name: &str) -> Option<AccountId> {
        self.accounts.iter().find(|(_, account)| account.name == name).map(|(id, _)| *id)
    }

    fn apply(&mut self, edit: Edit) {
        match edit {
            Edit::PutService(id, service) => drop(self.services.insert(id, service)),
            Edit::PutAccount(id, account) => drop(self.accounts.insert(id, account)),
            Edit::PutKey(id, key) => drop(self.keys.insert(id, key)),
            Edit::PutRoute(name, route) => drop(self.routes.insert(name, route)),
            Edit::DeleteRoute(name) => drop(self.routes.remove(&name)),
            Edit::DeleteKey(id) => drop(self.keys.remove(&id)),
        }
    }
}

/// Checks that `document` is valid; returns the first fault found.
pub fn verify(document: &Document) -> Result<(), Fault> {
    verify_services(document)?;
    verify_accounts(document)?;
    verify_keys(document)?;
    verify_routes(document)
}

fn verify_services(document: &Document) -> Result<(), Fault> {
    let mut names = BTreeMap::new();
    let mut addresses = BTreeSet::new();
    for (id, service) in &document.services {
        if let Some(other) = names.insert(&service.name, *id) {
            return Err(Fault::ServiceName(other, *id));
        }
        if service.targets.len() < MIN_TARGETS {
            return Err(Fault::Targets(*id));
        }
        for (target_id, target) in &service.targets {
            if !addresses.insert(target.address) {
                return Err(Fault::Address(target.address));
            }
            if target.connections == 0 {
                return Err(Fault::Connections(*id, *target_id));
            }
        }
    }
    Ok(())
}

fn verify_accounts(document: &Document) -> Result<(), Fault> {
    let mut names = BTreeMap::new();
    for (id, account) in &document.accounts {
        if let Some(other) = names.insert(&account.name, *id) {
            return Err(Fault::AccountName(other, *id));
        }
        if account.rate == 0 || account.burst == 0 || account.weight == 0 {
            return Err(Fault::Account(*id));
        }
        if let Some(missing) = account.services.iter().find(|s| !document.services.contains_key(s))
        {
            return Err(Fault::NoService(*missing));
        }
    }
    Ok(())
}

fn verify_keys(document: &Document) -> Result<(), Fault> {
    for (id, key) in &document.keys {
        if !document.accounts.contains_key(&key.account) {
            return Err(Fault::NoAccount(key.account));
        }
        if !is_hex(&key.salt) || !is_hex(&key.digest) {
            return Err(Fault::Digest(*id));
        }
    }
    Ok(())
}

fn verify_routes(document: &Document) -> Result<(), Fault> {
    for route in document.routes.values() {
        if !document.services.contains_key(&route.service) {
            return Err(Fault::NoService(route.service));
        }
        if !document.accounts.contains_key(&route.account) {
            return Err(Fault::NoAccount(route.account));
        }
    }
    Ok(())
}

fn is_hex(text: &str) -> bool {
    text.len() == 2 * DIGEST_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit())
}
