//! Rendezvous hashing: every host names the same few hosts for a subject, without talking.
//!
//! SipHash with fixed keys, so that builds of different versions agree.

use crate::id::{FailureDomainId, HostId};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// What a choice of hosts is for; keeps equal ids of different kinds apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Holders of shares of a client account's rate.
    Rate(u64),
    /// Holders of connection shares of a target.
    Connection(u64),
    /// Hosts that watch a service.
    Watch(u64),
    /// Hosts that read the platform's store for others.
    Store(u64),
}

impl Subject {
    fn parts(self) -> (u8, u64) {
        match self {
            Subject::Rate(id) => (0, id),
            Subject::Connection(id) => (1, id),
            Subject::Watch(id) => (2, id),
            Subject::Store(id) => (3, id),
        }
    }
}

/// The first `count` of `hosts` for `subject`, best first.
pub fn choose(hosts: &BTreeSet<HostId>, subject: Subject, count: usize) -> Vec<HostId> {
    let mut ranked: Vec<HostId> = hosts.iter().copied().collect();
    ranked.sort_by_key(|host| std::cmp::Reverse((weight(*host, subject), *host)));
    ranked.truncate(count);
    ranked
}

/// The same hosts, so ordered that failure domains take turns; each keeps its own order.
pub fn interleave_domains(
    ranked: impl IntoIterator<Item = (HostId, FailureDomainId)>,
) -> Vec<HostId> {
    let mut taken: BTreeMap<FailureDomainId, usize> = BTreeMap::new();
    let mut turns = Vec::new();
    for (host, domain) in ranked {
        let turn = taken.entry(domain).or_insert(0);
        turns.push((*turn, host));
        *turn += 1;
    }
    // Stable: within a turn the rank decides.
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, host)| host).collect()
}

/// Pseudo-random weight of a host for `subject`; the highest is chosen first.
pub fn weight(host: HostId, subject: Subject) -> u64 {
    let (kind, id) = subject.parts();
    let mut hasher = SipHasher13::new();
    hasher.write_u8(kind);
    hasher.write_u64(id);
    hasher.write_u32(host);
    hasher.finish()
}
