//! Limits each pool to this host's share of the target's connection limit, and moves slots between
//! hosts by demand.
//!
//! The share follows from the members of the fleet. Missing slots are borrowed from peers and
//! returned once they are idle. Control connections count against the target's limit too:
//! [`control_slots`] are set aside before the rest is divided.

use super::{Key, pool};
use crate::settings::Connections;
use crate::shared::Host;
use bergamotvale_core::config::{Document, Target};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::peer::SlotRequest;
use bergamotvale_core::rendezvous::Subject;
use bergamotvale_core::share;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which all pools are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of hosts among which one target's limit is divided.
const MAX_HOLDERS: usize = 64;
/// Slots beyond those in use that a host neither lends nor returns.
const RESERVED_SLOTS: usize = 1;
/// Time for which borrowed slots must be idle before they are returned.
const IDLE_RETURN_DELAY: Duration = Duration::from_millis(300);
/// Number of connections per pool that are kept open without demand.
const WARM_CONNECTIONS: usize = 1;

/// Updates the pools' limits periodically until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let document = host.document();
        apply_document(&host, &document);
        for key in host.pools.inner.keys() {
            tick(&host, key);
        }
    }
}

fn apply_document(host: &Host, document: &Document) {
    let now = host.clock.now();
    let division = host.fleet.division(now);
    host.pools.inner.retain(|(service, target)| {
        let service = document.services.get(service);
        service.is_some_and(|service| service.targets.contains_key(target))
    });
    for (service_id, service) in &document.services {
        for (target_id, target) in &service.targets {
            let key = (*service_id, *target_id);
            host.pools.inner.ensure(host, key, target);
            let own_share = share_of_limit(host, key, target, &division.members);
            host.pools.inner.with(key, |entry| {
                entry.ledger.extend_authority(division.deadline);
                entry.ledger.set_share(now, division.generation, own_share);
            });
        }
    }
}

fn share_of_limit(host: &Host, key: Key, target: &Target, members: &BTreeSet<HostId>) -> u32 {
    let subject = Subject::Connection(u64::from(key.0) << u16::BITS | u64::from(key.1));
    let total = target.connections - control_slots(target.connections, members.len());
    let own_share =
        share::share_of(u64::from(total), members, host.settings.host, subject, MAX_HOLDERS);
    u32::try_from(own_share).unwrap_or(u32::MAX)
}

/// Slots of a target's limit that are set aside for the control connections of `hosts` hosts.
///
/// 0 if they would take more than half of the limit: control connections then compete with leased
/// ones, and one is opened when the target has a connection free.
pub fn control_slots(limit: u32, hosts: usize) -> u32 {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    if hosts <= limit / 2 { hosts } else { 0 }
}

fn tick(host: &Arc<Host>, key: Key) {
    let now = host.clock.now();
    let actions = host.pools.inner.with(key, |entry| {
        entry.pool.set_warm(WARM_CONNECTIONS);
        let mut actions = entry.drop_closed(now);
        actions.extend(entry.apply_share(now));
        actions.extend(entry.pool.tick(now));
        actions
    });
    pool::perform(host, key, actions.unwrap_or_default());
    if host.failover.held_target(now, key.0) == Some(key.1) {
        let busy = host.pools.inner.with(key, |entry| entry.in_use()).unwrap_or(0);
        host.failover.set_busy(key.0, u32::try_from(busy).unwrap_or(u32::MAX));
    }
}

/// Lends slots to a peer; returns the total that it holds from this host now.
pub(super) fn lend(host: &Arc<Host>, request: &SlotRequest) -> u32 {
    if host.settings.policy.connections == Connections::Static || host.is_stopping() {
        return 0;
    }
    let key = (request.service, request.target);
    let now = host.clock.now();
    let lent = host.pools.inner.with(key, |entry| {
        let spare = entry.pool.spare().saturating_sub(RESERVED_SLOTS);
        let spare = u32::try_from(spare).unwrap_or(u32::MAX);
        let total = entry.ledger.lend(now, request, spare);
        (total, entry.apply_share(now))
    });
    let (total, actions) = lent.unwrap_or_default();
    // Idle connections above the new limit are closed before the borrower receives the response.
    pool::perform(host, key, actions);
    total
}

/// Records that a peer returned slots.
pub(super) fn record_return(host: &Arc<Host>, request: &SlotRequest) {
    let key = (request.service, request.target);
    let now = host.clock.now();
    let actions = host.pools.inner.with(key, |entry| {
        entry.ledger.record_return(request);
        entry.apply_share(now)
    });
    pool::perform(host, key, actions.unwrap_or_default());
}

/// A transfer of slots of one target between this host and a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transfer {
    /// Request to hold the given total from the lender.
    Borrow(HostId, SlotRequest),
    /// Return of slots to the lender, down to the given total.
    Return(HostId, SlotRequest),
}

/// Transfers to send to `peers` now. The response to each [`Transfer::Borrow`] is to be passed to
/// [`record_grant`].
pub(super) fn due_transfers(host: &Host, peers: &[HostId]) -> Vec<(Transfer, Option<PendingLoan>)> {
    if host.settings.policy.connections == Connections::Static {
        return Vec::new();
    }
    let now = host.clock.now();
    let mut transfers = Vec::new();
    for key in host.pools.inner.keys() {
        let due =
            host.pools.inner.with(key, |entry| target_transfers(host, key, entry, now, peers));
        transfers.extend(due.unwrap_or_default());
    }
    transfers
}

/// A loan request that was sent and not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoan {
    key: Key,
    loan: bergamotvale_core::slot::LoanRequest,
}

fn target_transfers(
    host: &Host,
    key: Key,
    entry: &mut pool::Entry,
    now: Time,
    peers: &[HostId],
) -> Vec<(Transfer, Option<PendingLoan>)> {
    let request = |count, sequence| SlotRequest {
        host: host.settings.host,
        service: key.0,
        target: key.1,
        count,
        sequence,
    };
    if let Some((lender, total)) = idle_loan(entry, now) {
        let sequence = entry.ledger.return_loans(lender, total);
        return vec![(Transfer::Return(lender, request(total, sequence)), None)];
    }
    let mut totals: Vec<(HostId, u32)> = Vec::new();
    for lender in entry.ledger.loans_to_renew(now) {
        totals.push((lender, entry.ledger.borrowed(now)[&lender]));
    }
    let shortage = entry.pool.waiting().saturating_sub(entry.pool.limit() - busy(entry));
    if shortage > 0 && !entry.is_loan_pending && !peers.is_empty() {
        let lender = peers[entry.next_lender % peers.len()];
        entry.next_lender += 1;
        entry.is_loan_pending = true;
        let held = entry.ledger.borrowed(now).get(&lender).copied().unwrap_or(0);
        totals.retain(|(due, _)| *due != lender);
        totals.push((lender, held + u32::try_from(shortage).unwrap_or(u32::MAX)));
    }
    totals
        .into_iter()
        .map(|(lender, total)| {
            let loan = entry.ledger.request_loan(now, lender, total);
            let transfer = Transfer::Borrow(lender, request(total, loan.sequence));
            (transfer, Some(PendingLoan { key, loan }))
        })
        .collect()
}

fn busy(entry: &pool::Entry) -> usize {
    entry.pool.busy().min(entry.pool.limit())
}

/// A loan that has been idle for [`IDLE_RETURN_DELAY`], as its lender and the total to keep.
fn idle_loan(entry: &mut pool::Entry, now: Time) -> Option<(HostId, u32)> {
    let spare =
        u32::try_from(entry.pool.spare().saturating_sub(RESERVED_SLOTS)).unwrap_or(u32::MAX);
    let (lender, held) = entry.ledger.borrowed(now).into_iter().next()?;
    if spare == 0 {
        entry.idle_since = None;
        return None;
    }
    let idle_since = *entry.idle_since.get_or_insert(now);
    if now.saturating_sub(idle_since) < IDLE_RETURN_DELAY {
        return None;
    }
    entry.idle_since = None;
    Some((lender, held.saturating_sub(spare)))
}

/// Records the response of the lender to a loan request; `None` if there was none.
pub(super) fn record_grant(host: &Arc<Host>, pending: &PendingLoan, total: Option<u32>) {
    let now = host.clock.now();
    let actions = host.pools.inner.with(pending.key, |entry| {
        entry.is_loan_pending = false;
        if let Some(total) = total {
            entry.ledger.record_grant(now, pending.loan, total);
        }
        entry.apply_share(now)
    });
    pool::perform(host, pending.key, actions.unwrap_or_default());
}
