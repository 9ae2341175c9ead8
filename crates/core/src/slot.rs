//! Shares of a target's connections between hosts.
//!
//! The store keeps a [`Record`] of shares that never sum above the target's limit. Between its
//! changes hosts lend slots to each other for [`LEASE`]. Two rules make the sum of what all hosts
//! may use hold at any instant, whatever messages and pauses do:
//!
//! - **Loans.** The lender deducts before it answers, and counts the lease from then; the borrower
//!   counts it from before it asked, and a little shorter. So the borrower's lease has always ended
//!   before the lender's. A request names the total that the borrower wants to hold, and a sequence
//!   number, so that late and repeated messages never leave the borrower with more than the lender
//!   has deducted.
//! - **Record.** A share is lowered only by its owner, which stops using the difference before it
//!   writes; or, once the owner's authority and every loan that it may have given have lapsed, by
//!   anyone. All writes are conditional on the version that they were computed from. A host
//!   without authority uses nothing, and after a lapse reads the record again before it uses its
//!   share.
//!
//! A target with fewer connections than there are hosts has owners without a share; they live on
//! loans.

use crate::id::{HostId, Incarnation, Time};
use crate::peer::SlotRequest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a loan holds, as the lender counts it.
pub const LEASE: Duration = Duration::from_millis(2_000);
/// By how much the borrower's lease is shorter: covers clocks that run at different speeds.
pub const LEASE_GUARD: Duration = Duration::from_millis(100);
/// Age of a loan at which the borrower asks for it again.
pub const RENEW_AFTER: Duration = Duration::from_millis(700);

/// One run of a host; a restarted host is another owner.
pub type Owner = (HostId, Incarnation);
/// Shares by owner.
pub type Shares = BTreeMap<Owner, u32>;

/// What the store keeps for one target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the store's row; zero while there is none.
    pub version: u64,
    /// Shares by owner.
    pub shares: Shares,
}

/// A conditional write of shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Version that the row must have; zero means that it must not exist.
    pub expected: u64,
    /// What it shall say.
    pub shares: Shares,
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It took effect and made this version.
    Done(u64),
    /// The row had another version; nothing was written.
    Conflict,
    /// No answer; it may have taken effect, or may yet.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loan {
    count: u32,
    until: Time,
}

/// A request for a loan that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// Whom.
    pub lender: HostId,
    /// When it was sent.
    pub at: Time,
    /// Its sequence number.
    pub sequence: u64,
}

/// One host's part of one target's connections.
#[derive(Debug)]
pub struct Ledger {
    owner: Owner,
    limit: u32,
    record: Record,
    vouched_until: Time,
    regained: Option<Time>,
    giving: u32,
    writing: Option<Write>,
    lent: BTreeMap<HostId, Vec<Loan>>,
    heard: BTreeMap<HostId, u64>,
    borrowed: BTreeMap<HostId, Vec<Loan>>,
    returned: BTreeMap<HostId, u64>,
    sequence: u64,
}

impl Ledger {
    /// A ledger of a target that allows `limit` connections.
    pub fn new(owner: Owner, limit: u32) -> Ledger {
        Ledger {
            owner,
            limit,
            record: Record::default(),
            vouched_until: Time::ZERO,
            regained: None,
            giving: 0,
            writing: None,
            lent: BTreeMap::new(),
            heard: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            returned: BTreeMap::new(),
            // Grows over restarts, since an incarnation is later than all that one run can count.
            sequence: owner.1,
        }
    }

    /// What the store keeps, as last known.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Sets the target's limit.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// This host has authority until `until`.
    pub fn vouch(&mut self, now: Time, until: Time) {
        if now >= self.vouched_until {
            self.regained = Some(now);
        }
        self.vouched_until = self.vouched_until.max(until);
    }

    /// Connections that this host may hold now.
    pub fn usable(&self, now: Time) -> u32 {
        if now >= self.vouched_until {
            return 0;
        }
        self.unlent(now) + held(&self.borrowed, now)
    }

    /// Slots that this host holds from others now.
    pub fn borrowed(&self, now: Time) -> BTreeMap<HostId, u32> {
        let loans = self.borrowed.iter().map(|(host, loans)| (*host, most(loans, now)));
        loans.filter(|(_, count)| *count > 0).collect()
    }

    /// Slots that others hold from this host now.
    pub fn lent(&self, now: Time) -> BTreeMap<HostId, u32> {
        let loans = self.lent.iter().map(|(host, loans)| (*host, most(loans, now)));
        loans.filter(|(_, count)| *count > 0).collect()
    }

    /// Asks `lender` for loans of `total` in all.
    pub fn ask(&mut self, now: Time, lender: HostId, total: u32) -> (Asked, u32) {
        self.sequence += 1;
        (Asked { lender, at: now, sequence: self.sequence }, total)
    }

    /// The lender answered: this host holds `total` from it for the rest of the lease.
    pub fn granted(&mut self, asked: Asked, total: u32) {
        let returned = self.returned.get(&asked.lender).copied().unwrap_or(0);
        if asked.sequence < returned {
            return;
        }
        let until = asked.at + (LEASE - LEASE_GUARD);
        self.borrowed.entry(asked.lender).or_default().push(Loan { count: total, until });
    }

    /// Gives loans back down to `total`; the difference must be closed already.
    pub fn give_back(&mut self, lender: HostId, total: u32) -> u64 {
        self.sequence += 1;
        self.returned.insert(lender, self.sequence);
        clip(self.borrowed.entry(lender).or_default(), total);
        self.sequence
    }

    /// A peer asks for loans; `spare` is how many more slots this host can do without.
    pub fn lend(&mut self, now: Time, request: &SlotRequest, spare: u32) -> u32 {
        self.prune(now);
        let free = match now < self.vouched_until {
            true => spare.min(self.unlent(now)),
            false => 0,
        };
        let heard = self.heard.entry(request.host).or_insert(0);
        *heard = request.sequence.max(*heard);
        let loans = self.lent.entry(request.host).or_default();
        let total = request.count.min(most(loans, now) + free);
        loans.push(Loan { count: total, until: now + LEASE });
        total
    }

    /// A peer has given loans back.
    pub fn take_back(&mut self, request: &SlotRequest) {
        let heard = self.heard.get(&request.host).copied().unwrap_or(0);
        if request.sequence < heard {
            return;
        }
        self.heard.insert(request.host, request.sequence);
        if let Some(loans) = self.lent.get_mut(&request.host) {
            clip(loans, request.count);
        }
    }

    /// The store's row was read, in a call that began at `asked`; an older row changes nothing.
    pub fn read(&mut self, asked: Time, record: Record) {
        if record.version < self.record.version {
            return;
        }
        if self.regained.is_some_and(|regained| asked >= regained) {
            self.regained = None;
        }
        let moved = self.writing.as_ref().is_some_and(|write| record.version > write.expected);
        if moved {
            self.writing = None;
            self.giving = 0;
        }
        self.record = record;
    }

    /// Writes the first record: even shares for `owners`, when there is none yet.
    pub fn found(&mut self, owners: &[Owner]) -> Option<Write> {
        if self.record.version != 0 {
            return None;
        }
        self.write(split(self.limit, owners))
    }

    /// Moves `count` slots of the own share to `heir`; they must be closed already.
    pub fn give(&mut self, now: Time, heir: Owner, count: u32) -> Option<Write> {
        let count = count.min(self.unlent(now));
        if count == 0 || self.writing.is_some() || heir == self.owner {
            return None;
        }
        let mut shares = self.record.shares.clone();
        lower(&mut shares, self.owner, count);
        *shares.entry(heir).or_insert(0) += count;
        self.giving = count;
        self.write(shares)
    }

    /// Divides the share of an owner whose authority lapsed at `lapsed` among `heirs`.
    pub fn reclaim(
        &mut self,
        now: Time,
        dead: Owner,
        lapsed: Time,
        heirs: &[Owner],
    ) -> Option<Write> {
        let over = lapsed + LEASE + LEASE_GUARD;
        if now < over || self.writing.is_some() || heirs.is_empty() || dead == self.owner {
            return None;
        }
        let mut shares = self.record.shares.clone();
        let share = shares.remove(&dead)?;
        for (heir, count) in split(share, heirs) {
            *shares.entry(heir).or_insert(0) += count;
        }
        self.write(shares)
    }

    /// A write of this ledger has ended; answers the write to repeat, if its end is unknown.
    pub fn written(&mut self, written: Written) -> Option<Write> {
        match written {
            Written::Done(version) => {
                let write = self.writing.take()?;
                self.giving = 0;
                if version > self.record.version {
                    self.record = Record { version, shares: write.shares };
                }
                None
            }
            Written::Conflict => {
                // Either another write came first, or an earlier try of this one took effect;
                // the row tells. What is being given stays unused until it has been read.
                None
            }
            Written::Unknown => self.writing.clone(),
        }
    }

    fn write(&mut self, shares: Shares) -> Option<Write> {
        let write = Write { expected: self.record.version, shares };
        self.writing = Some(write.clone());
        Some(write)
    }

    /// Own share by the record, less what is being given away.
    fn own(&self) -> u32 {
        if self.regained.is_some() {
            return 0;
        }
        let sum: u64 = self.record.shares.values().map(|share| u64::from(*share)).sum();
        let share = self.record.shares.get(&self.owner).copied().unwrap_or(0);
        // A limit that was lowered under the record scales every share down.
        let scaled = match sum > u64::from(self.limit) {
            true => (u64::from(share) * u64::from(self.limit) / sum) as u32,
            false => share,
        };
        scaled.saturating_sub(self.giving)
    }

    fn unlent(&self, now: Time) -> u32 {
        self.own().saturating_sub(held(&self.lent, now))
    }

    fn prune(&mut self, now: Time) {
        for loans in self.lent.values_mut().chain(self.borrowed.values_mut()) {
            loans.retain(|loan| loan.until > now);
        }
    }
}

/// Shares of `limit` for `owners`, as even as can be.
pub fn split(limit: u32, owners: &[Owner]) -> Shares {
    let count = u32::try_from(owners.len()).unwrap_or(u32::MAX).max(1);
    let (each, rest) = (limit / count, limit % count);
    let shares = owners.iter().zip(0..count);
    shares.map(|(owner, at)| (*owner, each + u32::from(at < rest))).collect()
}

/// Whether `record` can hold for a target that allows `limit` connections.
pub fn verify(record: &Record, limit: u32) -> bool {
    record.shares.values().map(|share| u64::from(*share)).sum::<u64>() <= u64::from(limit)
}

fn lower(shares: &mut Shares, owner: Owner, count: u32) {
    let share = shares.entry(owner).or_insert(0);
    *share = share.saturating_sub(count);
    if *share == 0 {
        shares.remove(&owner);
    }
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
