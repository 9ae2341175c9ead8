//! Keeps each pool to this host's share of its target, and moves shares to demand.
//!
//! The part of the limit follows from the members; what is missing is borrowed from peers, and
//! given back once it lies idle. The control connection of each target counts against the limit
//! too: [`control_slots`] are set aside before the rest is divided.

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

/// Time between two looks at all pools.
const TICK: Duration = Duration::from_millis(25);
/// Hosts that have a part of one target's limit.
const HOLDERS: usize = 64;
/// Slots that a lender keeps for itself beyond those in use.
const RESERVE: usize = 1;
/// Time for which borrowed slots must lie idle before they are given back.
const IDLE_BEFORE_RETURN: Duration = Duration::from_millis(300);
/// Connections that are kept open without demand.
const WARM: usize = 1;

/// Keeps the pools to their shares until the host stops.
pub async fn run(host: Arc<Host>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let document = host.document();
        follow(&host, &document);
        for key in host.pools.inner.keys() {
            tick(&host, key);
        }
    }
}

fn follow(host: &Host, document: &Document) {
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
            let part = part(host, key, target, &division.members);
            host.pools.inner.with(key, |entry| {
                entry.ledger.extend_authority(division.deadline);
                entry.ledger.set_share(now, division.generation, part);
            });
        }
    }
}

fn part(host: &Host, key: Key, target: &Target, members: &BTreeSet<HostId>) -> u32 {
    let subject = Subject::Connection(u64::from(key.0) << u16::BITS | u64::from(key.1));
    let total = target.connections - control_slots(target.connections, members.len());
    let part = share::share_of(u64::from(total), members, host.settings.host, subject, HOLDERS);
    u32::try_from(part).unwrap_or(u32::MAX)
}

/// Slots set aside for the control connections of `hosts` hosts.
///
/// Where the limit leaves no room for one each, they are opened as room is found.
pub fn control_slots(limit: u32, hosts: usize) -> u32 {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    if hosts <= limit / 2 { hosts } else { 0 }
}

fn tick(host: &Arc<Host>, key: Key) {
    let now = host.clock.now();
    let actions = host.pools.inner.with(key, |entry| {
        entry.pool.set_warm(WARM);
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

/// A peer asks for slots; answers the total that it holds from this host now.
pub(super) fn lend(host: &Arc<Host>, request: &SlotRequest) -> u32 {
    if host.settings.policy.connections == Connections::Static || host.is_stopping() {
        return 0;
    }
    let key = (request.service, request.target);
    let now = host.clock.now();
    let lent = host.pools.inner.with(key, |entry| {
        let spare = entry.pool.spare().saturating_sub(RESERVE);
        let spare = u32::try_from(spare).unwrap_or(u32::MAX);
        let total = entry.ledger.lend(now, request, spare);
        (total, entry.apply_share(now))
    });
    let (total, actions) = lent.unwrap_or_default();
    // Idle connections above the new share are closed here, before the borrower hears.
    pool::perform(host, key, actions);
    total
}

/// A peer gave slots back.
pub(super) fn record_return(host: &Arc<Host>, request: &SlotRequest) {
    let key = (request.service, request.target);
    let now = host.clock.now();
    let actions = host.pools.inner.with(key, |entry| {
        entry.ledger.record_return(request);
        entry.apply_share(now)
    });
    pool::perform(host, key, actions.unwrap_or_default());
}

/// What a host wants of its peers for one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transfer {
    /// To hold this total from the lender.
    Borrow(HostId, SlotRequest),
    /// To have given back down to this total.
    Return(HostId, SlotRequest),
}

/// Requests to send to peers now; each [`Transfer::Borrow`] is answered through [`record_grant`].
pub(super) fn due_transfers(host: &Host, peers: &[HostId]) -> Vec<(Transfer, Option<PendingLoan>)> {
    if host.settings.policy.connections == Connections::Static {
        return Vec::new();
    }
    let now = host.clock.now();
    let mut wants = Vec::new();
    for key in host.pools.inner.keys() {
        let found = host.pools.inner.with(key, |entry| want(host, key, entry, now, peers));
        wants.extend(found.unwrap_or_default());
    }
    wants
}

/// A loan that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoan {
    key: Key,
    asked: bergamotvale_core::slot::LoanRequest,
}

fn want(
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
    let short = entry.pool.waiting().saturating_sub(entry.pool.limit() - busy(entry));
    if short > 0 && !entry.asking && !peers.is_empty() {
        let lender = peers[entry.lenders % peers.len()];
        entry.lenders += 1;
        entry.asking = true;
        let held = entry.ledger.borrowed(now).get(&lender).copied().unwrap_or(0);
        totals.retain(|(due, _)| *due != lender);
        totals.push((lender, held + u32::try_from(short).unwrap_or(u32::MAX)));
    }
    totals
        .into_iter()
        .map(|(lender, total)| {
            let asked = entry.ledger.request_loan(now, lender, total);
            let want = Transfer::Borrow(lender, request(total, asked.sequence));
            (want, Some(PendingLoan { key, asked }))
        })
        .collect()
}

fn busy(entry: &pool::Entry) -> usize {
    entry.pool.busy().min(entry.pool.limit())
}

/// A loan that has lain idle for long enough, and what is to be left of it.
fn idle_loan(entry: &mut pool::Entry, now: Time) -> Option<(HostId, u32)> {
    let spare = u32::try_from(entry.pool.spare().saturating_sub(RESERVE)).unwrap_or(u32::MAX);
    let (lender, held) = entry.ledger.borrowed(now).into_iter().next()?;
    if spare == 0 {
        entry.idle_since = None;
        return None;
    }
    let since = *entry.idle_since.get_or_insert(now);
    if now.saturating_sub(since) < IDLE_BEFORE_RETURN {
        return None;
    }
    entry.idle_since = None;
    Some((lender, held.saturating_sub(spare)))
}

/// The lender answered, or did not.
pub(super) fn record_grant(host: &Arc<Host>, asked: &PendingLoan, total: Option<u32>) {
    let now = host.clock.now();
    let actions = host.pools.inner.with(asked.key, |entry| {
        entry.asking = false;
        if let Some(total) = total {
            entry.ledger.record_grant(now, asked.asked, total);
        }
        entry.apply_share(now)
    });
    pool::perform(host, asked.key, actions.unwrap_or_default());
}
