//! The shared configuration as sessions use it: routes, groups, client accounts and their keys.
//!
//! A catalog is immutable. A newer version replaces it as a whole; an older version never does.

use super::home::{Homes, Regions};
use crate::id::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Which commits the reads of a route are guaranteed to see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Every acknowledged commit.
    Primary,
    /// Every commit acknowledged longer ago than the bound.
    Bounded(Duration),
    /// As [`Consistency::Bounded`], and every commit of the same session.
    ReadYourWrites(Duration),
}

/// Settings of one database as callers use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the service that serves the database.
    pub service: String,
    /// Which commits reads have to see.
    pub consistency: Consistency,
    /// Maximum duration of one statement.
    pub statement_timeout: Duration,
    /// Time within which callers should get the answer to a whole operation.
    pub latency_target: Duration,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Whether callers may use the database without a known key.
    pub is_public: bool,
    /// Regions whose targets may serve the route; empty if all may.
    pub home_regions: Regions,
}

/// Configuration of one database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Maximum number of connections to one target, over all hosts.
    pub connection_limit: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Name and rate limit of one client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name under which the account is known to targets.
    pub name: String,
    /// Maximum operations per second, over all hosts.
    pub rate: u32,
    /// Maximum operations in one burst, over all hosts.
    pub burst: u32,
    /// Regions whose targets may serve the account; empty if all may.
    pub home_regions: Regions,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Version of the configuration; 0 before one was read.
    pub version: Version,
    /// Routes by database name.
    pub routes: BTreeMap<String, Route>,
    /// Groups by service name.
    pub groups: BTreeMap<String, Group>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Names of client accounts by key.
    pub keys: BTreeMap<String, String>,
    /// Maximum time between two statements of a transaction.
    pub transaction_idle_timeout: Duration,
}

/// Why a caller may not use a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route has this name.
    UnknownDatabase,
    /// No client account holds this key.
    UnknownKey,
}

/// What a caller is authorized to use.
#[derive(Debug, Clone, Copy)]
pub struct Grant<'a> {
    /// Route of the requested database.
    pub route: &'a Route,
    /// Client account of the caller; none on a public route without a known key.
    pub account: Option<&'a Account>,
}

impl Grant<'_> {
    /// Home regions that apply to the caller's operations.
    pub fn homes(&self) -> Homes {
        let account = self.account.map(|account| account.home_regions.clone());
        let route = self.route.home_regions.clone();
        Homes { route, account: account.unwrap_or_default() }
    }
}

impl Catalog {
    /// Authorizes a caller that presents `key` to use `database`.
    ///
    /// Fails if no route has that name, or if the route is not public and the key is unknown.
    pub fn authorize(&self, database: &str, key: &str) -> Result<Grant<'_>, Denial> {
        let route = self.routes.get(database).ok_or(Denial::UnknownDatabase)?;
        let account = self.keys.get(key).and_then(|name| self.accounts.get(name));
        if account.is_none() && !route.is_public {
            return Err(Denial::UnknownKey);
        }
        Ok(Grant { route, account })
    }
}
