//! The shared configuration as sessions need it: routes, groups, client accounts and their keys.
//!
//! A catalog is immutable; a newer version replaces it as a whole and an older one never does.

use crate::id::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a route promises about the data that its reads see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Primary,
    /// Every commit acknowledged longer ago than the bound.
    Bounded(Duration),
    /// As bounded, and every commit of the same session.
    ReadYourWrites(Duration),
}

/// What callers of one database may do and expect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service that serves the database.
    pub service: String,
    /// Freshness of reads.
    pub consistency: Consistency,
    /// Time limit of one statement.
    pub statement_timeout: Duration,
    /// Time within which callers hope for the answer to a whole operation.
    pub latency_target: Duration,
    /// 0 goes first.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// One database group as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Connections that one target takes, from all hosts together.
    pub connection_limit: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name that targets are told.
    pub name: String,
    /// Operations a second, over all hosts.
    pub rate: u32,
    /// Operations at once, over all hosts.
    pub burst: u32,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Its version.
    pub version: Version,
    /// Routes by database name.
    pub routes: BTreeMap<String, Route>,
    /// Groups by service name.
    pub groups: BTreeMap<String, Group>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Name of the client account that holds a key.
    pub keys: BTreeMap<String, String>,
    /// Time for which a transaction may rest between statements.
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

/// What a caller may use.
#[derive(Debug, Clone, Copy)]
pub struct Grant<'a> {
    /// The route of the database.
    pub route: &'a Route,
    /// The client account; none on public routes without a known key.
    pub account: Option<&'a Account>,
}

impl Catalog {
    /// Finds the route and the client account of a caller.
    pub fn authorize(&self, database: &str, key: &str) -> Result<Grant<'_>, Denial> {
        let route = self.routes.get(database).ok_or(Denial::UnknownDatabase)?;
        let account = self.keys.get(key).and_then(|name| self.accounts.get(name));
        if account.is_none() && !route.is_public {
            return Err(Denial::UnknownKey);
        }
        Ok(Grant { route, account })
    }
}
