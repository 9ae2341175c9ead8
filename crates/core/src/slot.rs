//! Connection slots of a target: each host's share of the limit, and loans between hosts.
//!
//! Each host has a share of the target's connection limit, which is derived from the members (see
//! [`crate::share`]), and lends slots of it to other hosts for [`LOAN_LEASE`]. The sum of what all
//! hosts may use never exceeds the limit, regardless of message delays and process pauses:
//!
//! - The lender deducts a loan before it responds, and measures the lease from that time. The
//!   borrower measures it from before it sent the request, and subtracts a margin. So the
//!   borrower's lease always ends before the lender's. A request contains the total that the
//!   borrower wants to hold, and a sequence number, so that delayed and duplicate messages never
//!   leave the borrower with more than the lender has deducted. Borrowed slots are not lent again.
//! - A host lends only if its authority outlives the loan, so no loan from an old division outlives
//!   that division. A share that grows waits until then: [`growth_delay`].
//! - A host without authority uses no slots.
//!
//! If the limit is below the number of hosts, some hosts have no share and use only loans.

use crate::id::{HostId, Incarnation, Time};
use crate::peer::SlotRequest;
use crate::share::Share;
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a loan, as measured by the lender.
pub const LOAN_LEASE: Duration = Duration::from_millis(800);
/// Time by which the borrower's lease is shorter, since clocks may run at different speeds.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(50);
/// Age of a loan at which the borrower requests it again.
pub const RENEW_AFTER: Duration = Duration::from_millis(250);

/// Returns the time that a growing share waits, given the lifetime of a host's authority.
pub fn growth_delay(authority: Duration) -> Duration {
    authority + CLOCK_DRIFT_MARGIN
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loan {
    count: u32,
    expires_at: Time,
}

/// A loan request in flight, as the borrower keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// The host that is asked to lend.
    pub lender: HostId,
    /// When the request was sent; the borrower measures the lease from here.
    pub sent_at: Time,
    /// Total number of slots that this host wants to hold from the lender.
    pub total: u32,
    /// Sequence number of the request, which orders it among requests and returns.
    pub sequence: u64,
}

/// One host's share of one target's connection slots, with its loans to and from other hosts.
#[derive(Debug)]
pub struct Ledger {
    share: Share,
    generation: u64,
    authority_deadline: Time,
    lent: BTreeMap<HostId, Vec<Loan>>,
    last_received: BTreeMap<HostId, u64>,
    borrowed: BTreeMap<HostId, Vec<Loan>>,
    last_returned: BTreeMap<HostId, u64>,
    sequence: u64,
}

impl Ledger {
    /// Creates a ledger without a share. `growth_delay` is the time that a growing share waits.
    pub fn new(incarnation: Incarnation, growth_delay: Duration) -> Ledger {
        Ledger {
            share: Share::new(growth_delay),
            generation: 0,
            authority_deadline: Time::ZERO,
            lent: BTreeMap::new(),
            last_received: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            last_returned: BTreeMap::new(),
            // Increases over restarts: the next incarnation is above any sequence number reached in
            // this one.
            sequence: incarnation,
        }
    }

    /// Sets this host's share under the newest members, whose table has had `generation` changes.
    ///
    /// If this host has missed a generation, it may have had no share under it, and others may have
    /// had its slots: the share then grows from zero.
    pub fn set_share(&mut self, now: Time, generation: u64, share: u32) {
        if generation > self.generation + 1 {
            self.share.update(0, now);
        }
        self.generation = self.generation.max(generation);
        self.share.update(u64::from(share), now);
    }

    /// Extends this host's authority until `deadline`; an earlier deadline has no effect.
    pub fn extend_authority(&mut self, deadline: Time) {
        self.authority_deadline = self.authority_deadline.max(deadline);
    }

    /// Number of connections that this host may hold now; zero without authority.
    pub fn usable(&mut self, now: Time) -> u32 {
        if now >= self.authority_deadline {
            return 0;
        }
        self.unlent(now) + sum_of_totals(&self.borrowed, now)
    }

    /// Slots that this host currently borrows, by lender.
    pub fn borrowed(&self, now: Time) -> BTreeMap<HostId, u32> {
        totals(&self.borrowed, now)
    }

    /// Slots that this host currently lends, by borrower.
    pub fn lent(&self, now: Time) -> BTreeMap<HostId, u32> {
        totals(&self.lent, now)
    }

    /// Lenders whose loans are due for renewal, see [`RENEW_AFTER`].
    pub fn loans_to_renew(&self, now: Time) -> Vec<HostId> {
        let soon = now + (LOAN_LEASE - CLOCK_DRIFT_MARGIN - RENEW_AFTER);
        let held = self.borrowed.iter().filter(|(_, loans)| current_total(loans, now) > 0);
        let due = held.filter(|(_, loans)| current_total(loans, soon) < current_total(loans, now));
        due.map(|(lender, _)| *lender).collect()
    }

    /// Creates a request to `lender` for loans of `total` slots in all.
    pub fn request_loan(&mut self, now: Time, lender: HostId, total: u32) -> LoanRequest {
        self.sequence += 1;
        LoanRequest { lender, sent_at: now, total, sequence: self.sequence }
    }

    /// Records the lender's response: this host holds `total` slots for the rest of the lease.
    ///
    /// Ignored if this host has returned loans to the lender after it sent the request.
    pub fn record_grant(&mut self, now: Time, request: LoanRequest, total: u32) {
        let last_returned = self.last_returned.get(&request.lender).copied().unwrap_or(0);
        if request.sequence < last_returned {
            return;
        }
        let expires_at = request.sent_at + (LOAN_LEASE - CLOCK_DRIFT_MARGIN);
        let loans = self.borrowed.entry(request.lender).or_default();
        loans.retain(|loan| loan.expires_at > now);
        loans.push(Loan { count: total.min(request.total), expires_at });
    }

    /// Reduces the loans from `lender` to `total`; returns the sequence number of the message.
    ///
    /// The connections above `total` must be closed already.
    pub fn return_loans(&mut self, lender: HostId, total: u32) -> u64 {
        self.sequence += 1;
        self.last_returned.insert(lender, self.sequence);
        cap_loans(self.borrowed.entry(lender).or_default(), total);
        self.sequence
    }

    /// Handles a loan request of a peer; returns the total number of slots lent to it.
    ///
    /// `spare` is the number of additional slots that this host does not need itself.
    pub fn lend(&mut self, now: Time, request: &SlotRequest, spare: u32) -> u32 {
        let last_received = self.last_received.entry(request.host).or_insert(0);
        *last_received = request.sequence.max(*last_received);
        // Limit of all loans: a share that has shrunk renews no loan beyond it, and a loan that
        // outlived the authority could outlive the division that it is taken from.
        let share = if now + LOAN_LEASE <= self.authority_deadline { self.share(now) } else { 0 };
        let loans = self.lent.remove(&request.host).unwrap_or_default();
        let (known, others) = (current_total(&loans, now), sum_of_totals(&self.lent, now));
        let free = spare.min(share.saturating_sub(known + others));
        let total = request.count.min(known + free).min(share.saturating_sub(others));
        let mut loans: Vec<Loan> = loans.into_iter().filter(|loan| loan.expires_at > now).collect();
        loans.push(Loan { count: total, expires_at: now + LOAN_LEASE });
        self.lent.insert(request.host, loans);
        total
    }

    /// Handles the return of loans by a peer; ignored if a later message was received.
    pub fn record_return(&mut self, request: &SlotRequest) {
        let last_received = self.last_received.get(&request.host).copied().unwrap_or(0);
        if request.sequence < last_received {
            return;
        }
        self.last_received.insert(request.host, request.sequence);
        if let Some(loans) = self.lent.get_mut(&request.host) {
            cap_loans(loans, request.count);
        }
    }

    fn share(&mut self, now: Time) -> u32 {
        u32::try_from(self.share.usable(now)).unwrap_or(u32::MAX)
    }

    fn unlent(&mut self, now: Time) -> u32 {
        self.share(now).saturating_sub(sum_of_totals(&self.lent, now))
    }
}

fn totals(loans: &BTreeMap<HostId, Vec<Loan>>, now: Time) -> BTreeMap<HostId, u32> {
    let totals = loans.iter().map(|(host, loans)| (*host, current_total(loans, now)));
    totals.filter(|(_, total)| *total > 0).collect()
}

fn sum_of_totals(loans: &BTreeMap<HostId, Vec<Loan>>, now: Time) -> u32 {
    loans.values().map(|loans| current_total(loans, now)).sum()
}

/// Returns the highest count among unexpired loans: each new loan includes the earlier ones.
fn current_total(loans: &[Loan], now: Time) -> u32 {
    loans.iter().filter(|loan| loan.expires_at > now).map(|loan| loan.count).max().unwrap_or(0)
}

fn cap_loans(loans: &mut [Loan], total: u32) {
    loans.iter_mut().for_each(|loan| loan.count = loan.count.min(total));
}
