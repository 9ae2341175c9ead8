//! The configuration that all hosts share: one document with one monotone version.
//!
//! The document lives in the platform. [`Edit`]s lead from a version to the next; a host that has
//! version `n` applies the edits of `n + 1` or fetches the document whole. [`verify`] says whether
//! a document can hold, apart from how it came about.

use crate::id::{AccountId, FailureDomainId, KeyId, ServiceId, TargetId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a key's salt and digest.
pub const DIGEST_BYTES: usize = 32;

/// Everything that hosts share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows by one with each accepted change.
    pub version: Version,
    /// Database groups by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by id.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Keys of client accounts; withdrawn ones stay until pruned.
    pub keys: BTreeMap<KeyId, Key>,
    /// Routes open to all, by name.
    pub routes: BTreeMap<String, Route>,
}

/// A database group as callers know it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in callers' paths.
    pub name: String,
    /// Members of the group by id; the ids are the group's own target numbers.
    pub targets: BTreeMap<TargetId, Target>,
    /// Time that an outcome stays known under its idempotency key, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retention: Duration,
}

/// A member of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Connections that all hosts together may hold to it.
    pub connections: u32,
    /// Whether it may receive new work.
    pub state: TargetState,
}

/// Whether a target may receive new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TargetState {
    /// Receives work.
    Active,
    /// Leaving: no new work.
    Draining,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name that operators use.
    pub name: String,
    /// Requests a second over all hosts.
    pub rate: u32,
    /// Requests above the rate at once, over all hosts.
    pub burst: u32,
    /// Share of contended connection slots, relative to other accounts.
    pub weight: u32,
    /// Services that it may use.
    pub services: BTreeSet<ServiceId>,
}

/// A key of a client account; the secret itself is stored nowhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Whose it is.
    pub account: AccountId,
    /// Salt, hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub digest: String,
    /// Whether it still works.
    pub state: KeyState,
}

/// Whether a key works.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum KeyState {
    /// Works.
    Active,
    /// Works no more, also for callers already connected.
    Withdrawn,
}

/// A fixed read-only statement that anyone may run.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that it reads.
    pub service: ServiceId,
    /// The statement; takes no parameters.
    pub sql: String,
    /// Age that its data may have, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_age: Duration,
    /// Client account whose rate pays for it.
    pub account: AccountId,
}

/// One step from a version to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds or replaces a service.
    PutService(ServiceId, Service),
    /// Adds or replaces a client account.
    PutAccount(AccountId, Account),
    /// Adds a key, or withdraws it by its state.
    PutKey(KeyId, Key),
    /// Adds or replaces an open route.
    PutRoute(String, Route),
    /// Removes an open route.
    DeleteRoute(String),
    /// Forgets a key.
    DeleteKey(KeyId),
}

/// The edits that lead to `version` from the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version after the edits.
    pub version: Version,
    /// What changed.
    pub edits: Vec<Edit>,
}

/// What is wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// Two services have the same name.
    #[display("services {_0} and {_1} have the same name")]
    ServiceName(#[error(not(source))] ServiceId, ServiceId),
    /// A service has too few targets for a majority that survives a loss.
    #[display("service {_0} has fewer than {MIN_TARGETS} targets")]
    Targets(#[error(not(source))] ServiceId),
    /// Two targets share an address.
    #[display("address {_0} is used by two targets")]
    Address(#[error(not(source))] SocketAddr),
    /// A target allows no connections.
    #[display("target {_1} of service {_0} allows no connections")]
    Connections(#[error(not(source))] ServiceId, TargetId),
    /// A client account without rate, burst or weight.
    #[display("client account {_0} needs a rate, a burst and a weight above zero")]
    Account(#[error(not(source))] AccountId),
    /// Two client accounts have the same name.
    #[display("client accounts {_0} and {_1} have the same name")]
    AccountName(#[error(not(source))] AccountId, AccountId),
    /// Something names a service that is not there.
    #[display("service {_0} does not exist")]
    NoService(#[error(not(source))] ServiceId),
    /// Something names a client account that is not there.
    #[display("client account {_0} does not exist")]
    NoAccount(#[error(not(source))] AccountId),
    /// A key whose salt or digest is not hexadecimal of the right length.
    #[display("key {_0} has a malformed salt or digest")]
    Digest(#[error(not(source))] KeyId),
    /// A change that does not follow the document's version.
    #[display("change {_1} does not follow version {_0}")]
    Order(#[error(not(source))] Version, Version),
}

/// Targets of a group below which no majority survives a loss.
pub const MIN_TARGETS: usize = 3;

impl Document {
    /// The document after `change`, which must be the next version and lead to one that holds.
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

    /// Id of the service that callers call `name`.
    pub fn service_named(&self, name: &str) -> Option<ServiceId> {
        self.services.iter().find(|(_, service)| service.name == name).map(|(id, _)| *id)
    }

    /// Id of the client account that operators call `name`.
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

/// Says whether `document` can hold.
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
