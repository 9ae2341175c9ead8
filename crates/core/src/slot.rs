//! Shares of a target's connections between hosts.
//!
//! Each host has a part of the target's limit, which follows from the members (see
//! [`crate::share`]), and lends slots of it to others for [`LOAN_LEASE`]. The sum of what all hosts may
//! use stays within the limit at any instant, whatever messages and pauses do:
//!
//! - The lender deducts before it answers, and counts the lease from then; the borrower counts it
//!   from before it asked, and a little shorter. So the borrower's lease has always ended before
//!   the lender's. A request names the total that the borrower wants to hold, and a sequence
//!   number, so that late and repeated messages never leave the borrower with more than the lender
//!   has deducted. Borrowed slots are not lent on.
//! - A lender lends only while its authority outlives the loan, so no loan out of an old division
//!   outlives that division. A part that grows waits for that: [`growth_delay`].
//! - A host without authority uses nothing.
//!
//! Where the limit is below the number of hosts, some have no part and live on loans.

use crate::id::{HostId, Incarnation, Time};
use crate::peer::SlotRequest;
use crate::share::Share;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a loan holds, as the lender counts it.
pub const LOAN_LEASE: Duration = Duration::from_millis(800);
/// By how much the borrower's lease is shorter: covers clocks that run at different speeds.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(50);
/// Age of a loan at which the borrower asks for it again.
pub const RENEW_AFTER: Duration = Duration::from_millis(250);

/// Time that a growing part waits, given the lifetime of authority.
pub fn growth_delay(authority: Duration) -> Duration {
    authority + CLOCK_DRIFT_MARGIN
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loan {
    count: u32,
    until: Time,
}

/// A request for a loan that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// Whom.
    pub lender: HostId,
    /// When it was sent.
    pub sent_at: Time,
    /// Total that this host wants to hold from the lender.
    pub total: u32,
    /// Its sequence number.
    pub sequence: u64,
}

/// One host's part of one target's connections.
#[derive(Debug)]
pub struct Ledger {
    part: Share,
    generation: u64,
    vouched_until: Time,
    lent: BTreeMap<HostId, Vec<Loan>>,
    heard: BTreeMap<HostId, u64>,
    borrowed: BTreeMap<HostId, Vec<Loan>>,
    returned: BTreeMap<HostId, u64>,
    sequence: u64,
}

impl Ledger {
    /// A ledger without a part. `settle` is the time that a growing part waits.
    pub fn new(incarnation: Incarnation, settle: Duration) -> Ledger {
        Ledger {
            part: Share::new(settle),
            generation: 0,
            vouched_until: Time::ZERO,
            lent: BTreeMap::new(),
            heard: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            returned: BTreeMap::new(),
            // Grows over restarts, since an incarnation is later than all that one run can count.
            sequence: incarnation,
        }
    }

    /// This host's part under the newest members, whose table has had `generation` changes.
    ///
    /// Under a table that this host has missed it may have had no part, and others its slots.
    pub fn set_share(&mut self, now: Time, generation: u64, part: u32) {
        if generation > self.generation + 1 {
            self.part.update(0, now);
        }
        self.generation = self.generation.max(generation);
        self.part.update(u64::from(part), now);
    }

    /// This host has authority until `until`.
    pub fn extend_authority(&mut self, until: Time) {
        self.vouched_until = self.vouched_until.max(until);
    }

    /// Connections that this host may hold now.
    pub fn usable(&mut self, now: Time) -> u32 {
        if now >= self.vouched_until {
            return 0;
        }
        self.unlent(now) + held(&self.borrowed, now)
    }

    /// Slots that this host holds from others now.
    pub fn borrowed(&self, now: Time) -> BTreeMap<HostId, u32> {
        totals(&self.borrowed, now)
    }

    /// Slots that others hold from this host now.
    pub fn lent(&self, now: Time) -> BTreeMap<HostId, u32> {
        totals(&self.lent, now)
    }

    /// Lenders whose loan is to be asked for again.
    pub fn loans_to_renew(&self, now: Time) -> Vec<HostId> {
        let soon = now + (LOAN_LEASE - CLOCK_DRIFT_MARGIN - RENEW_AFTER);
        let held = self.borrowed.iter().filter(|(_, loans)| most(loans, now) > 0);
        let due = held.filter(|(_, loans)| most(loans, soon) < most(loans, now));
        due.map(|(lender, _)| *lender).collect()
    }

    /// Asks `lender` for loans of `total` in all.
    pub fn request_loan(&mut self, now: Time, lender: HostId, total: u32) -> LoanRequest {
        self.sequence += 1;
        LoanRequest { lender, sent_at: now, total, sequence: self.sequence }
    }

    /// The lender answered: this host holds `total` from it for the rest of the lease.
    pub fn record_grant(&mut self, now: Time, asked: LoanRequest, total: u32) {
        let returned = self.returned.get(&asked.lender).copied().unwrap_or(0);
        if asked.sequence < returned {
            return;
        }
        let until = asked.sent_at + (LOAN_LEASE - CLOCK_DRIFT_MARGIN);
        let loans = self.borrowed.entry(asked.lender).or_default();
        loans.retain(|loan| loan.until > now);
        loans.push(Loan { count: total.min(asked.total), until });
    }

    /// Gives loans back down to `total`; what is above must be closed already.
    pub fn return_loans(&mut self, lender: HostId, total: u32) -> u64 {
        self.sequence += 1;
        self.returned.insert(lender, self.sequence);
        clip(self.borrowed.entry(lender).or_default(), total);
        self.sequence
    }

    /// A peer asks for loans; `spare` is how many more slots this host can do without.
    pub fn lend(&mut self, now: Time, request: &SlotRequest, spare: u32) -> u32 {
        let heard = self.heard.entry(request.host).or_insert(0);
        *heard = request.sequence.max(*heard);
        // What this host may lend at all: a part that has shrunk renews no loan beyond it, and a
        // loan that outlived the authority could outlive the division that it is taken from.
        let part = if now + LOAN_LEASE <= self.vouched_until { self.part(now) } else { 0 };
        let loans = self.lent.remove(&request.host).unwrap_or_default();
        let (known, others) = (most(&loans, now), held(&self.lent, now));
        let free = spare.min(part.saturating_sub(known + others));
        let total = request.count.min(known + free).min(part.saturating_sub(others));
        let mut loans: Vec<Loan> = loans.into_iter().filter(|loan| loan.until > now).collect();
        loans.push(Loan { count: total, until: now + LOAN_LEASE });
        self.lent.insert(request.host, loans);
        total
    }

    /// A peer has given loans back.
    pub fn record_return(&mut self, request: &SlotRequest) {
        let heard = self.heard.get(&request.host).copied().unwrap_or(0);
        if request.sequence < heard {
            return;
        }
        self.heard.insert(request.host, request.sequence);
        if let Some(loans) = self.lent.get_mut(&request.host) {
            clip(loans, request.count);
        }
    }

    fn part(&mut self, now: Time) -> u32 {
        u32::try_from(self.part.usable(now)).unwrap_or(u32::MAX)
    }

    fn unlent(&mut self, now: Time) -> u32 {
        self.part(now).saturating_sub(held(&self.lent, now))
    }
}

fn totals(loans: &BTreeMap<HostId, Vec<Loan>>, now: Time) -> BTreeMap<HostId, u32> {
    let totals = loans.iter().map(|(host, loans)| (*host, most(loans, now)));
    totals.filter(|(_, total)| *total > 0).collect()
}

fn held(loans: &BTreeMap<HostId, Vec<Loan>>, now: Time) -> u32 {
    loans.values().map(|loans| most(loans, now)).sum()
}

/// The highest total among loans that still hold; each new one repeats what the old ones gave.
fn most(loans: &[Loan], now: Time) -> u32 {
    loans.iter().filter(|loan| loan.until > now).map(|loan| loan.count).max().unwrap_or(0)
}

fn clip(loans: &mut [Loan], total: u32) {
    loans.iter_mut().for_each(|loan| loan.count = loan.count.min(total));
}
