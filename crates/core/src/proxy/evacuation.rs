//! Which failure domains are evacuated, and from when on their targets may not be used.
//!
//! An operator orders an evacuation by a row of the platform's store, and ends it by removing the
//! row. Reads leave the domain as soon as a host knows of the row. A primary and open transactions
//! may stay until shortly before the platform's time limit, so that a planned promotion can move
//! the primary first. Copies of the rows are ordered by the revision of the store that they reflect;
//! an older copy never replaces a newer one.

use super::revision::Revision;
use crate::id::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time before the platform's limit from which nothing is sent to a primary in the domain. Covers
/// the time until a host learns of the row, and the 0.8 s for which bytes that were sent may stay
/// on the way.
pub const CLOSE_MARGIN: Duration = Duration::from_secs(2);
/// Time for which an evacuation stays in force that a restored store lacks, so that the row can be
/// written again.
pub const RESTORED_ROW_RETENTION: Duration = Duration::from_secs(10);

/// State of the row of one failure domain, as it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Row {
    /// The row orders an evacuation.
    Ordered,
    /// The row exists and cannot be read; what was in force stays.
    Unreadable,
    /// The row was removed.
    Removed,
}

/// What a host reports to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Revision of the store that the report reflects.
    pub revision: Revision,
    /// Evacuated domains and the time since the sender first knew of each.
    pub domains: BTreeMap<String, Duration>,
    /// Domains whose row cannot be read.
    pub unreadable: BTreeSet<String>,
}

/// A change of what is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The evacuation of this domain has begun.
    Begun(String),
    /// Nothing is sent to the domain any more.
    Closed(String),
    /// The evacuation of this domain has ended.
    Ended(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evacuation {
    /// Earliest time at which the row may have been seen.
    seen: Time,
    /// Time from which nothing may be sent to the domain.
    closes: Time,
    /// Whether [`Change::Closed`] was reported.
    is_closed: bool,
    /// Since when a restored store has lacked the row; `None` if it has it.
    missing_since: Option<Time>,
}

/// The evacuations that one host knows of.
#[derive(Debug)]
pub struct Evacuations {
    /// Time after the acknowledgement of a row at which no statement may reach the domain.
    limit: Duration,
    revision: Revision,
    domains: BTreeMap<String, Evacuation>,
    unreadable: BTreeSet<String>,
    /// Whether any evacuation was known, so that its end has to be reported as well.
    has_known_any: bool,
}

impl Evacuations {
    /// Creates the state of a host that knows of no evacuation.
    pub fn new(limit: Duration) -> Evacuations {
        Evacuations {
            limit,
            revision: Revision::default(),
            domains: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            has_known_any: false,
        }
    }

    /// Applies rows that this host has read from the store, which are all rows if `is_full_table`.
    ///
    /// A row that was returned as a change is new. One that is found by a read of the whole table
    /// may be of any age, so its domain closes at once.
    pub fn apply(
        &mut self,
        now: Time,
        revision: Revision,
        rows: &BTreeMap<String, Row>,
        is_full_table: bool,
    ) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let is_restored = revision.era > self.revision.era;
        self.revision = revision;
        let mut changes = Vec::new();
        if is_full_table {
            self.unreadable.clear();
            changes.extend(self.retain(now, is_restored, |domain| rows.contains_key(domain)));
        }
        let age = if is_full_table { self.limit } else { Duration::ZERO };
        for (domain, row) in rows {
            self.unreadable.remove(domain);
            match row {
                Row::Ordered => changes.extend(self.begin(now, domain, age)),
                Row::Unreadable => drop(self.unreadable.insert(domain.clone())),
                Row::Removed => changes.extend(self.end(domain)),
            }
        }
        changes
    }

    /// Applies the report of a peer if it reflects a newer revision. `delay` is an upper bound of
    /// the time since the report was made; `None` if there is none, so that domains close at once.
    pub fn learn(&mut self, now: Time, report: &Report, delay: Option<Duration>) -> Vec<Change> {
        if report.revision <= self.revision {
            return Vec::new();
        }
        let is_restored = report.revision.era > self.revision.era;
        self.revision = report.revision;
        self.unreadable.clone_from(&report.unreadable);
        let is_kept = |domain: &str| {
            report.domains.contains_key(domain) || report.unreadable.contains(domain)
        };
        let mut changes = self.retain(now, is_restored, is_kept);
        for (domain, age) in &report.domains {
            let age = delay.map_or(self.limit, |delay| age.saturating_add(delay));
            changes.extend(self.begin(now, domain, age));
        }
        changes
    }

    /// Ends evacuations that a restored store has lacked for too long, and reports domains that
    /// have closed.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let is_over = |evacuation: &Evacuation| {
            let since = evacuation.missing_since;
            since.is_some_and(|since| now.saturating_sub(since) >= RESTORED_ROW_RETENTION)
        };
        let over = self.domains.iter().filter(|(_, evacuation)| is_over(evacuation));
        let over: Vec<String> = over.map(|(domain, _)| domain.clone()).collect();
        let mut changes: Vec<Change> = over.iter().filter_map(|domain| self.end(domain)).collect();
        for (domain, evacuation) in &mut self.domains {
            if !evacuation.is_closed && now >= evacuation.closes {
                evacuation.is_closed = true;
                changes.push(Change::Closed(domain.clone()));
            }
        }
        changes
    }

    /// Whether the domain is evacuated, so that no read is sent to it.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Whether nothing may be sent to the domain, neither to a primary nor in an open transaction.
    pub fn is_closed(&self, domain: &str, now: Time) -> bool {
        self.closes(domain).is_some_and(|closes| now >= closes)
    }

    /// Time from which nothing may be sent to the domain; `None` if it is not evacuated.
    pub fn closes(&self, domain: &str) -> Option<Time> {
        self.domains.get(domain).map(|evacuation| evacuation.closes)
    }

    /// The evacuated domains.
    pub fn domains(&self) -> BTreeSet<String> {
        self.domains.keys().cloned().collect()
    }

    /// What to report to peers; `None` if no evacuation was ever known.
    pub fn report(&self, now: Time) -> Option<Report> {
        let age = |evacuation: &Evacuation| now.saturating_sub(evacuation.seen);
        self.has_known_any.then(|| Report {
            revision: self.revision,
            domains: self.domains.iter().map(|(d, e)| (d.clone(), age(e))).collect(),
            unreadable: self.unreadable.clone(),
        })
    }

    fn begin(&mut self, now: Time, domain: &str, age: Duration) -> Option<Change> {
        self.has_known_any = true;
        if let Some(known) = self.domains.get_mut(domain) {
            known.missing_since = None;
            return None;
        }
        let remaining = self.limit.saturating_sub(CLOSE_MARGIN).saturating_sub(age);
        let evacuation = Evacuation {
            seen: now.saturating_sub(age),
            closes: now + remaining,
            is_closed: false,
            missing_since: None,
        };
        self.domains.insert(domain.to_owned(), evacuation);
        Some(Change::Begun(domain.to_owned()))
    }

    fn end(&mut self, domain: &str) -> Option<Change> {
        self.domains.remove(domain).map(|_| Change::Ended(domain.to_owned()))
    }

    /// Ends the evacuations of the domains that are not kept, or marks them as missing if the store
    /// was restored, which is no order of the operator.
    fn retain(
        &mut self,
        now: Time,
        is_restored: bool,
        is_kept: impl Fn(&str) -> bool,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for domain in self.domains() {
            if is_kept(&domain) {
                continue;
            }
            let Some(known) = self.domains.get_mut(&domain) else { continue };
            if is_restored || known.missing_since.is_some() {
                known.missing_since.get_or_insert(now);
            } else {
                changes.extend(self.end(&domain));
            }
        }
        changes
    }
}
