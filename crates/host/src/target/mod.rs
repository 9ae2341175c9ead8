//! Connections to the targets, and the state of the targets as this host knows it.
//!
//! The interface for the rest of the host:
//! - [`Pools::acquire`] leases a connection to one owner at a time. The owner marks its exchanges
//!   with [`Lease::start_exchange`] and [`Lease::finish_exchange`], and ends the lease with
//!   [`Lease::release_clean`] if no transaction and no response is left on the connection.
//!   Dropping the lease closes the connection and cancels the statement in progress on it. If no
//!   lease is granted, nothing was sent to the target.
//! - [`Pools::views`] and [`Pools::primary`] return what the targets last reported.
//! - [`Pools::record_work`] and [`Pools::record_timeout`] record the outcomes of work;
//!   [`Pools::record_superseded`] records that a target is no longer the primary.
//! - [`Pools::lend`] and [`Pools::record_return`] are the lender's side of slot loans between
//!   hosts, [`Pools::due_transfers`] and [`Pools::record_grant`] the borrower's side.

pub mod connection;
pub mod lease;
pub mod pool;
pub mod probe;
pub mod share;

use crate::failover::{Failover, driver};
use crate::shared::Host;
pub use bergamotvale_core::group::{Role, Status};
use bergamotvale_core::id::{AccountId, HostId, ServiceId, TargetId, Time};
use bergamotvale_core::peer::SlotRequest;
use bergamotvale_core::refusal::Refusal;
pub use lease::Lease;
use share::{PendingLoan, Transfer};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Identifies a target of a service.
pub type Key = (ServiceId, TargetId);

/// State of a target as this host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// The status that the target last reported.
    pub status: Status,
    /// Time of that report.
    pub at: Time,
}

/// Connections of one host to all targets.
pub struct Pools {
    failover: Arc<Failover>,
    pub(crate) inner: pool::Pools,
}

impl Pools {
    /// Pools without connections; the first request to a target or the first tick creates its pool.
    pub fn new(failover: Arc<Failover>) -> Pools {
        Pools { failover, inner: pool::Pools::default() }
    }

    /// Leases a connection to a target for work of `account`; waits at most until `deadline`.
    pub async fn acquire(
        &self,
        host: &Arc<Host>,
        key: Key,
        account: AccountId,
        deadline: Time,
    ) -> Result<Lease, Refusal> {
        pool::acquire(host, key, account, deadline).await
    }

    /// Last report of each target of `service`; targets that have not reported are missing.
    pub fn views(&self, service: ServiceId) -> BTreeMap<TargetId, View> {
        self.failover.views(service)
    }

    /// Primary of the highest term that any target or peer has reported; `None` if there is none.
    pub fn primary(&self, service: ServiceId) -> Option<TargetId> {
        self.failover.primary(service).map(|(target, _)| target)
    }

    /// Records whether work on a target succeeded or failed because of the target.
    ///
    /// A broken connection and an internal error are faults of the target. An error that the
    /// statement caused is not: it counts as success.
    pub fn record_work(&self, now: Time, key: Key, succeeded: bool) {
        self.failover.record_work(now, key, succeeded);
    }

    /// Records that work on a target timed out, which may be caused by the statement.
    pub fn record_timeout(&self, key: Key) {
        self.failover.suspect(key);
    }

    /// Probes the whole group immediately, after a target reported that it is no longer the
    /// primary.
    pub fn record_superseded(&self, host: &Arc<Host>, service: ServiceId) {
        driver::probe_all(host, service);
    }

    /// Number of connections that this host may hold to a target; 0 if there is no pool for it.
    pub fn share(&self, key: Key) -> usize {
        self.inner.with(key, |entry| entry.pool.limit()).unwrap_or(0)
    }

    /// Lends slots to a peer; returns the total that it holds from this host now.
    pub fn lend(&self, host: &Arc<Host>, request: &SlotRequest) -> u32 {
        share::lend(host, request)
    }

    /// Records that a peer returned slots.
    pub fn record_return(&self, host: &Arc<Host>, request: &SlotRequest) {
        share::record_return(host, request);
    }

    /// Loan requests and returns to send to `peers` now. The result of each loan request is to be
    /// passed to [`Pools::record_grant`].
    pub fn due_transfers(
        &self,
        host: &Host,
        peers: &[HostId],
    ) -> Vec<(Transfer, Option<PendingLoan>)> {
        share::due_transfers(host, peers)
    }

    /// Records the response of a peer to a loan request; `None` if there was none.
    pub fn record_grant(&self, host: &Arc<Host>, pending: &PendingLoan, total: Option<u32>) {
        share::record_grant(host, pending, total);
    }
}
