//! Connections to the targets, and what is known of the targets.
//!
//! [`Pools::acquire`] leases a connection to one owner at a time; [`Pools::views`] tells what the
//! probes last saw.

pub mod connection;
pub mod probe;

use crate::shared::Host;
use bergamotvale_core::id::{AccountId, ServiceId, TargetId, Time};
use bergamotvale_core::log::{Position, Term};
use bergamotvale_core::refusal::{Reason, Refusal};
use connection::Connection;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A target of a service.
pub type Key = (ServiceId, TargetId);

/// Part that a target plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows.
    Replica,
    /// Catches up from nothing.
    Rebuilding,
}

/// What a target said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its part.
    pub role: Role,
    /// Highest term that it accepted.
    pub accepted_term: Term,
    /// Last entry of its log.
    pub entry: Position,
    /// Last entry that its data show.
    pub applied: Position,
    /// Highest entry that it knows on a majority.
    pub confirmed: Position,
    /// How old its data may be.
    pub age: Duration,
}

/// What is known of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// What it last said.
    pub status: Status,
    /// When it was asked.
    pub at: Time,
}

/// Connections of one host to all targets.
pub struct Pools {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    idle: BTreeMap<Key, Vec<Connection>>,
    views: BTreeMap<Key, View>,
}

/// A connection with its one owner; closed on drop unless given back clean.
pub struct Lease {
    key: Key,
    connection: Option<Connection>,
    host: Arc<Host>,
}

impl Pools {
    /// No connection and no view.
    #[allow(clippy::new_without_default, reason = "construction is by `new` throughout")]
    pub fn new() -> Pools {
        Pools { state: Mutex::default() }
    }

    /// Leases a connection to a target for work of `account`.
    pub async fn acquire(
        &self,
        host: &Arc<Host>,
        key: Key,
        _account: AccountId,
        _deadline: Time,
    ) -> Result<Lease, Refusal> {
        let idle = self.lock().idle.entry(key).or_default().pop();
        let connection = match idle {
            Some(connection) => connection,
            None => open(host, key).await?,
        };
        Ok(Lease { key, connection: Some(connection), host: host.clone() })
    }

    /// What is known of the targets of `service`.
    pub fn views(&self, service: ServiceId) -> BTreeMap<TargetId, View> {
        let state = self.lock();
        let of_service = state.views.iter().filter(|((s, _), _)| *s == service);
        of_service.map(|((_, target), view)| (*target, *view)).collect()
    }

    /// Target that says, in the highest term, that it is the primary.
    pub fn primary(&self, service: ServiceId) -> Option<TargetId> {
        let views = self.views(service);
        let primaries = views.iter().filter(|(_, view)| view.status.role == Role::Primary);
        primaries.max_by_key(|(_, view)| view.status.accepted_term).map(|(target, _)| *target)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Lease {
    /// The connection.
    pub fn client(&self) -> &tokio_postgres::Client {
        self.connection.as_ref().expect("held until the lease ends").client()
    }

    /// Gives the connection back; the owner vouches that nothing is left on it.
    pub fn release_clean(mut self) {
        if let Some(connection) = self.connection.take() {
            self.host.pools.lock().idle.entry(self.key).or_default().push(connection);
        }
    }
}

async fn open(host: &Arc<Host>, key: Key) -> Result<Connection, Refusal> {
    let document = host.document();
    let target = document.services.get(&key.0).and_then(|s| s.targets.get(&key.1));
    let target = target.ok_or_else(|| Refusal::new(Reason::NotFound, "no such target"))?;
    Connection::open(target.address, &host.settings)
        .await
        .map_err(|e| Refusal::new(Reason::ConnectionRefused, e.to_string()))
}
