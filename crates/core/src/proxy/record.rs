//! Who leads a group, as all hosts agree on it through the platform's table.
//!
//! There is one record a service, changed by conditional writes only. A promotion starts with a
//! record that names the candidate under a higher fence and is not `established`; it ends with the
//! same record established. The primary named before is out of use for every host from the moment
//! at which that host learns of the higher fence, or loses its lease.

use super::directory::{Directory, Role, TargetName, of_service};
use crate::id::HostId;
use serde::{Deserialize, Serialize};

/// Number of a promotion; grows with each.
pub type Fence = u64;
/// Term of a group's log.
pub type Term = u64;

/// Record of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the promotion that this record describes.
    pub fence: Fence,
    /// The primary, or the candidate while not established.
    pub primary: TargetName,
    /// The primary before this promotion.
    pub previous: Option<TargetName>,
    /// Host that carries the promotion out.
    pub holder: HostId,
    /// Whether the primary was seen to lead.
    pub established: bool,
    /// Term in which it leads; while not established, the term before, which it has to exceed. A
    /// target that led then and has not heard of its successor still holds itself to be the
    /// primary. 0 while unknown.
    pub term: Term,
    /// Whether the primary before still works, so that its open work is waited for.
    pub planned: bool,
}

impl Record {
    /// First record of a group: the only target that holds itself to be the primary.
    pub fn first(directory: &Directory, service: &str, holder: HostId) -> Option<Record> {
        let mut primaries = of_service(directory, service).filter(|e| e.role == Role::Primary);
        let primary = primaries.next()?;
        if primaries.next().is_some() {
            return None;
        }
        Some(Record {
            fence: 1,
            primary: primary.name.clone(),
            previous: None,
            holder,
            established: true,
            term: 0,
            planned: false,
        })
    }

    /// The promotion of `candidate` that follows this record; `seen` is the highest term that any
    /// target of the group was seen in, 0 if none was.
    pub fn promote(
        &self,
        candidate: &TargetName,
        holder: HostId,
        planned: bool,
        seen: Term,
    ) -> Record {
        let previous =
            if self.established { Some(self.primary.clone()) } else { self.previous.clone() };
        Record {
            fence: self.fence + 1,
            primary: candidate.clone(),
            previous,
            holder,
            established: false,
            term: self.term.max(seen),
            planned: planned && self.established,
        }
    }

    /// A term above all in which a target led before this promotion.
    pub fn next_term(&self) -> Term {
        // Where no term was seen yet, there have been fewer than promotions were begun.
        self.fence.max(self.term + 1)
    }

    /// Whether a target that holds itself to be the primary of `term` leads by this promotion.
    pub fn accepts_term(&self, term: Term) -> bool {
        term > self.term
    }

    /// The same record once the candidate was seen to lead in `term`.
    pub fn establish(&self, term: Term) -> Record {
        Record { established: true, term, ..self.clone() }
    }
}
