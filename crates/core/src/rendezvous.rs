//! Rendezvous hashing: every host chooses the same hosts for a subject, without communication.
//!
//! Uses SipHash with fixed keys, so that builds of different versions agree.

use crate::id::{FailureDomainId, HostId};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// What hosts are chosen for; equal ids of different kinds give independent choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Holders of shares of a client account's rate, by account id.
    Rate(u64),
    /// Holders of shares of a target's connections.
    Connection(u64),
    /// Hosts that watch a service.
    Watch(u64),
    /// Hosts that read the platform's store on behalf of others.
    Store(u64),
    /// Hosts that own the connections of an account to a target.
    Owner(u64),
}

impl Subject {
    fn parts(self) -> (u8, u64) {
        match self {
            Subject::Rate(id) => (0, id),
            Subject::Connection(id) => (1, id),
            Subject::Watch(id) => (2, id),
            Subject::Store(id) => (3, id),
            Subject::Owner(id) => (4, id),
        }
    }
}

/// Returns the `count` hosts with the highest weight for `subject`, highest first.
pub fn choose(hosts: &BTreeSet<HostId>, subject: Subject, count: usize) -> Vec<HostId> {
    let mut ranked: Vec<HostId> = hosts.iter().copied().collect();
    ranked.sort_by_key(|host| std::cmp::Reverse((weight(*host, subject), *host)));
    ranked.truncate(count);
    ranked
}

/// Reorders ranked hosts so that failure domains alternate.
///
/// The first hosts of all domains come first, then the second ones and so on; within a domain the
/// order stays.
pub fn interleave_domains(
    ranked: impl IntoIterator<Item = (HostId, FailureDomainId)>,
) -> Vec<HostId> {
    let mut next_round: BTreeMap<FailureDomainId, usize> = BTreeMap::new();
    let mut rounds = Vec::new();
    for (host, domain) in ranked {
        let round = next_round.entry(domain).or_insert(0);
        rounds.push((*round, host));
        *round += 1;
    }
    // The sort is stable, so hosts of the same round stay in order of rank.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, host)| host).collect()
}

/// Returns the pseudo-random weight of a host for `subject`; the highest is chosen first.
pub fn weight(host: HostId, subject: Subject) -> u64 {
    let (kind, id) = subject.parts();
    let mut hasher = SipHasher13::new();
    hasher.write_u8(kind);
    hasher.write_u64(id);
    hasher.write_u32(host);
    hasher.finish()
}
