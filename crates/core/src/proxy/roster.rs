//! The replicas that may hold acknowledged commits of a group with synchronous replicas.
//!
//! The directory names the targets that the platform hears, not those that exist: a replica that is
//! cut from the store is not listed, but goes on receiving, and the primary acknowledges commits on
//! its word. A group's record therefore keeps a roster of the targets that were ever listed. A
//! target leaves it only when it is certain that no acknowledged commit depends on it:
//!
//! - another target is listed at its address, so that its process has ended and its log was handed
//!   to its successor or is gone;
//! - it has ended, and enough of the others have received what was acknowledged before its end; see
//!   [`Departure`].
//!
//! A target that restarts without its log has another start time. Until its former incarnation has
//! left the roster like a target that has ended, its position says nothing of what that one had
//! received.

use super::directory::{Directory, Entry, Role, StartTime, TargetName, of_service};
use super::floor::{Observation, Position};
use crate::id::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A target as it was when the roster last took it up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Voter {
    address: SocketAddr,
    start_time: StartTime,
}

/// Targets of one group whose acknowledgements may count, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Roster(BTreeMap<TargetName, Voter>);

impl Roster {
    /// Whether no target was ever taken up, as in a group without synchronous replicas.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an incarnation of the target is in the roster.
    pub fn contains(&self, name: &TargetName) -> bool {
        self.0.contains_key(name)
    }

    /// Returns the roster with all listed targets of the service taken up, and without those whose
    /// address another listed target has. An incarnation that is taken up stays until
    /// [`Roster::without`].
    pub fn updated(&self, directory: &Directory, service: &str) -> Roster {
        let has_successor = |name: &TargetName, voter: &Voter| {
            let is_successor = |e: &Entry| e.name != *name && e.address == voter.address;
            !directory.contains_key(name) && directory.values().any(is_successor)
        };
        let mut voters = self.0.clone();
        voters.retain(|name, voter| !has_successor(name, voter));
        for entry in of_service(directory, service) {
            let start_time = entry.start_time;
            let voter = voters
                .entry(entry.name.clone())
                .or_insert(Voter { address: entry.address, start_time });
            voter.address = entry.address;
        }
        Roster(voters)
    }

    /// Returns the roster without the incarnation of a target that has ended.
    pub fn without(&self, name: &TargetName) -> Roster {
        let mut voters = self.0.clone();
        voters.remove(name);
        Roster(voters)
    }

    /// Names of the targets that the directory does not list, or lists as another incarnation.
    pub fn absent<'a>(&'a self, directory: &'a Directory) -> impl Iterator<Item = &'a TargetName> {
        self.0.keys().filter(|name| !self.is_present(directory, name))
    }

    /// Whether the directory lists the incarnation of the target that the roster has, or the roster
    /// has none.
    pub fn is_present(&self, directory: &Directory, name: &TargetName) -> bool {
        let Some(voter) = self.0.get(name) else { return true };
        directory.get(name).is_some_and(|entry| entry.start_time == voter.start_time)
    }

    /// Returns an entry of a target that the directory does not list, from which it can be reached;
    /// `None` if the roster does not have it.
    pub fn entry(&self, service: &str, name: &TargetName) -> Option<Entry> {
        let voter = self.0.get(name)?;
        Some(Entry {
            name: name.clone(),
            service: service.to_owned(),
            address: voter.address,
            domain: String::new(),
            slots: 1,
            is_leaving: false,
            role: Role::Replica,
            start_time: voter.start_time,
        })
    }

    /// Entries of all targets of the group that may hold acknowledged commits, listed or not, in the
    /// order of their names.
    pub fn entries(&self, directory: &Directory, service: &str) -> Vec<Entry> {
        let mut entries: BTreeMap<TargetName, Entry> = of_service(directory, service)
            .map(|entry| (entry.name.clone(), entry.clone()))
            .collect();
        for name in self.0.keys().filter(|name| !directory.contains_key(*name)) {
            entries.extend(self.entry(service, name).map(|entry| (name.clone(), entry)));
        }
        entries.into_values().collect()
    }
}

/// The end of a target of the roster, as one host follows it.
///
/// No commit is acknowledged on the word of a target that has ended. Those acknowledged before lie
/// at or below the position of the primary in an answer to a request that was sent afterwards. Once
/// as many other replicas have received that position as the primary waits for, each later survey
/// finds these commits without the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// When the target was first seen to have ended.
    since: Time,
    /// Position that covers all commits acknowledged before; `None` until it is known.
    reached: Option<Position>,
}

impl Departure {
    /// Creates the departure of a target that was seen at `since` to have ended.
    pub fn new(since: Time) -> Departure {
        Departure { since, reached: None }
    }

    /// Whether the target is no longer needed. `newest` is the newest observation of the leased
    /// primary, and `received` are the positions of the other listed replicas.
    pub fn is_covered(
        &mut self,
        newest: Option<Observation>,
        sync_replicas: usize,
        received: impl Iterator<Item = Position>,
    ) -> bool {
        if self.reached.is_none() {
            self.reached = newest.filter(|seen| seen.at > self.since).map(|seen| seen.position);
        }
        let Some(reached) = self.reached else { return false };
        received.filter(|position| *position >= reached).count() >= sync_replicas
    }
}
