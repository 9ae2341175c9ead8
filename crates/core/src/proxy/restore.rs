//! When the table of a restored store may be used again.
//!
//! A restore loses acknowledged changes, but not what the hosts know. Each host that has read the
//! restored table writes the rows again that it remembers and the table lacks, and then reports
//! the era as reconciled. Until the table is settled hosts go on under their lease of the era
//! before, which nothing in the restored table can renew.
//!
//! A host settles the table once no other host may know a change that the table lacks and act on
//! it:
//!
//! - every other member has reconciled the era, and a host that remembers nothing has waited for
//!   the validity of a lease, in which those that do write their rows;
//! - if members are silent: so many have reconciled it that the rest form no majority, and the
//!   validity of a lease has passed since;
//! - the longest time for which a lease may last has passed since the restore was noticed.

use super::lease::{Expiry, Lease, Member};
use super::revision::Era;
use crate::id::{HostId, Time};
use std::collections::BTreeMap;

/// Progress of one restore, as one host sees it.
#[derive(Debug, Clone, Copy)]
pub struct Settlement {
    era: Era,
    expiry: Expiry,
    /// Whether this host remembers the table of an era before.
    has_memory: bool,
}

impl Settlement {
    /// Creates the settlement of `era`, whose table this host has read at `noticed`. `has_memory`
    /// tells whether it remembers the table of an era before.
    pub fn new(era: Era, noticed: Time, has_memory: bool) -> Settlement {
        Settlement { era, expiry: Expiry::new(noticed), has_memory }
    }

    /// Era of the restored table.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Time for which the settlement has been under way.
    pub fn age(&self, now: Time) -> Time {
        now.saturating_sub(self.expiry.since)
    }

    /// Whether a host that has reconciled the era itself may settle the table now. `members` are
    /// those of the restored table and those that the host remembers. It has to be polled, as a
    /// barrier has.
    pub fn is_due(&mut self, now: Time, lease: &Lease, members: &BTreeMap<HostId, Member>) -> bool {
        let limits = lease.limits();
        let validity = limits.validity + limits.clock_drift_margin;
        let has_waited = self.has_memory || self.age(now) >= validity;
        let era = self.era;
        (has_waited && lease.is_reconciled_everywhere(members, era))
            || self.expiry.has_come(now, limits, || lease.is_majority_reconciled(now, members, era))
    }
}
