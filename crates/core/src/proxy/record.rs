//! The record of a group's primary, on which all hosts agree through the platform's table.
//!
//! Each service has one record, changed only by conditional writes. A promotion starts with a
//! record that names the candidate under a higher fence and is not `established`; it ends with the
//! same record, established. A host stops using the previous primary when it learns of the higher
//! fence or its lease expires.

use super::directory::{Directory, Role, TargetName, of_service};
use super::revision::Era;
use super::roster::Roster;
use crate::id::HostId;
use serde::{Deserialize, Serialize};

/// Number of a promotion; increases with each, also over a restore of the store.
pub type Fence = u64;
/// Term of a group's log; increases each time a target becomes the primary.
pub type Term = u64;

/// Number of fences of one era of the store. Promotions that a restore made the table forget have
/// fences of an earlier era, so that none is given out twice.
const FENCES_PER_ERA: Fence = 1_000_000;

/// Primary of one group, or the promotion that is in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the promotion that this record describes.
    pub fence: Fence,
    /// The primary, or the candidate while not established.
    pub primary: TargetName,
    /// The primary before this promotion; none in the first record.
    pub previous: Option<TargetName>,
    /// Host that executes the promotion.
    pub holder: HostId,
    /// Whether the promotion has finished: the target was seen to lead.
    pub established: bool,
    /// Term in which the primary leads; 0 while unknown. While not established, the previous term,
    /// which the candidate's term has to exceed: a target that led in it and has not learned of its
    /// successor still reports itself as the primary.
    pub term: Term,
    /// Whether the previous primary still works, so that the promotion waits for its open work.
    pub planned: bool,
    /// Targets that may hold acknowledged commits; kept for groups with synchronous replicas only.
    #[serde(default, skip_serializing_if = "Roster::is_empty")]
    pub roster: Roster,
}

impl Record {
    /// Creates the first record of a group, which names the only target that reports itself as the
    /// primary; none unless there is exactly one. `era` is that of the table.
    pub fn first(directory: &Directory, service: &str, holder: HostId, era: Era) -> Option<Record> {
        let mut primaries = of_service(directory, service).filter(|e| e.role == Role::Primary);
        let primary = primaries.next()?;
        if primaries.next().is_some() {
            return None;
        }
        Some(Record {
            fence: era * FENCES_PER_ERA + 1,
            primary: primary.name.clone(),
            previous: None,
            holder,
            established: true,
            term: 0,
            planned: false,
            roster: Roster::default(),
        })
    }

    /// Returns the record that starts the promotion of `candidate` and follows this one. `seen` is
    /// the highest term observed at any target of the group, 0 if none was, and `era` that of the
    /// table.
    pub fn promote(
        &self,
        candidate: &TargetName,
        holder: HostId,
        planned: bool,
        seen: Term,
        era: Era,
    ) -> Record {
        let previous =
            if self.established { Some(self.primary.clone()) } else { self.previous.clone() };
        Record {
            fence: self.fence.max(era * FENCES_PER_ERA) + 1,
            primary: candidate.clone(),
            previous,
            holder,
            established: false,
            term: self.term.max(seen),
            planned: planned && self.established,
            roster: self.roster.clone(),
        }
    }

    /// Returns a term above all in which a target led before this promotion.
    pub fn next_term(&self) -> Term {
        // If no term was observed yet, there were fewer terms than promotions started in this era.
        (self.fence % FENCES_PER_ERA).max(self.term + 1)
    }

    /// Whether this record describes a later state of its group than `other`.
    pub fn supersedes(&self, other: &Record) -> bool {
        (self.fence, self.established) > (other.fence, other.established)
    }

    /// Whether a target that reports itself as the primary in `term` leads because of this
    /// promotion.
    pub fn accepts_term(&self, term: Term) -> bool {
        term > self.term
    }

    /// Returns this record with another roster. It describes the same state of the group.
    pub fn with_roster(&self, roster: Roster) -> Record {
        Record { roster, ..self.clone() }
    }

    /// Returns this record as established, after the candidate was seen to lead in `term`.
    pub fn establish(&self, term: Term) -> Record {
        Record { established: true, term, ..self.clone() }
    }
}
