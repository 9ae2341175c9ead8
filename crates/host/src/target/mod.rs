//! Connections to the targets, and what is known of the targets.
//!
//! What the rest of the host needs:
//! - [`Pools::acquire`] leases a connection to one owner at a time. The owner marks its exchanges
//!   with [`Lease::start`] and [`Lease::settle`], and ends with [`Lease::release_clean`] when
//!   nothing is left on the connection; every other end closes it and cancels what runs on it. A
//!   lease that is refused has sent nothing.
//! - [`Pools::views`] and [`Pools::primary`] tell what the targets last said of themselves.
//! - [`Pools::worked`] and [`Pools::timed_out`] take outcomes of work, [`Pools::superseded`] the news that a target is
//!   no longer the primary.
//! - [`Pools::lend`], [`Pools::record_return`], [`Pools::due_transfers`] and [`Pools::record_grant`] are the two
//!   sides of loans between hosts.

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

/// A target of a service.
pub type Key = (ServiceId, TargetId);

/// What is known of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// What it last said.
    pub status: Status,
    /// When it said so.
    pub at: Time,
}

/// Connections of one host to all targets.
pub struct Pools {
    failover: Arc<Failover>,
    pub(crate) inner: pool::Pools,
}

impl Pools {
    /// No connection yet.
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
    /// A broken connection and an internal error are the target's fault; an error for the
    /// statement's sake is not, and counts as well done.
    pub fn worked(&self, now: Time, key: Key, well: bool) {
        self.failover.record_work(now, key, well);
    }

    /// Work on a target timed out, which may be the statement's fault.
    pub fn timed_out(&self, key: Key) {
        self.failover.suspect(key);
    }

    /// A target said that it is no longer the primary: looks at the group at once.
    pub fn superseded(&self, host: &Arc<Host>, service: ServiceId) {
        driver::probe_all(host, service);
    }

    /// Connections that this host may hold to a target.
    pub fn share(&self, key: Key) -> usize {
        self.inner.with(key, |entry| entry.pool.limit()).unwrap_or(0)
    }

    /// A peer asks for slots; answers the total that it holds from this host now.
    pub fn lend(&self, host: &Arc<Host>, request: &SlotRequest) -> u32 {
        share::lend(host, request)
    }

    /// A peer gave slots back.
    pub fn record_return(&self, host: &Arc<Host>, request: &SlotRequest) {
        share::record_return(host, request);
    }

    /// Requests to send to `peers` now; each loan is answered through [`Pools::record_grant`].
    pub fn due_transfers(
        &self,
        host: &Host,
        peers: &[HostId],
    ) -> Vec<(Transfer, Option<PendingLoan>)> {
        share::due_transfers(host, peers)
    }

    /// A peer answered a request for a loan, or did not.
    pub fn record_grant(&self, host: &Arc<Host>, asked: &PendingLoan, total: Option<u32>) {
        share::record_grant(host, asked, total);
    }
}
