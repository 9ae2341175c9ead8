//! Connections to the targets, and what is known of the targets.
//!
//! [`Pools::acquire`] leases a connection to one owner at a time; [`Pools::views`] tells what the
//! probes last saw.

pub mod connection;
pub mod probe;

use crate::failover::{Failover, driver};
use crate::shared::Host;
pub use bergamotvale_core::group::{Role, Status};
use bergamotvale_core::id::{AccountId, ServiceId, TargetId, Time};
use bergamotvale_core::refusal::{Reason, Refusal};
use connection::Connection;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A target of a service.
pub type Key = (ServiceId, TargetId);

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
    failover: Arc<Failover>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    idle: BTreeMap<Key, Vec<Connection>>,
}

/// A connection with its one owner; closed on drop unless given back clean.
pub struct Lease {
    key: Key,
    connection: Option<Connection>,
    host: Arc<Host>,
}

impl Pools {
    /// No connection yet.
    pub fn new(failover: Arc<Failover>) -> Pools {
        Pools { failover, state: Mutex::default() }
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
        self.failover.views(service)
    }

    /// Target that says, in the highest term, that it is the primary.
    pub fn primary(&self, service: ServiceId) -> Option<TargetId> {
        self.failover.primary(service).map(|(target, _)| target)
    }

    /// Work on a target ended, well or by the target's own fault.
    ///
    /// A timeout, a broken connection and an internal error are the target's fault; an error for
    /// the statement's sake is not, and counts as well done.
    pub fn worked(&self, now: Time, key: Key, well: bool) {
        self.failover.worked(now, key, well);
    }

    /// A target said that it is no longer the primary: looks at the group at once.
    pub fn superseded(&self, host: &Arc<Host>, service: ServiceId) {
        driver::probe_all(host, service);
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
