//! Generates all operations of a run in advance, from a seed.
//!
//! The arrivals of each account are a Poisson process with a random generator of its own, so a
//! change to one account does not change the arrivals of the others. The load is open-loop: due
//! times do not depend on the outcomes of earlier operations.

use crate::bench::history::{AccountIndex, Kind, OpId, ServiceIndex, SessionId};
use crate::bench::scenario::{Account, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// A scheduled operation.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number of the operation: its rank in the order of arrivals over all accounts.
    pub id: OpId,
    /// Time at which it is due, from the start of the run.
    pub at: Duration,
    /// Account that sends it.
    pub account: AccountIndex,
    /// Session that sends it, numbered over all accounts.
    pub session: SessionId,
    /// The same session, numbered within its account.
    pub account_session: SessionId,
    /// Kind of the operation.
    pub kind: Kind,
    /// Service that it addresses.
    pub service: ServiceIndex,
    /// Index of the host that its first request goes to.
    pub host: usize,
    /// Index of the host that a later request of the operation goes to; differs from `host` if
    /// there is more than one.
    pub other_host: usize,
    /// Whether the caller sends the operation again after it was acknowledged; only used for keyed
    /// writes.
    pub is_repeated: bool,
}

/// All arrivals of `scenario` under `seed`, in order of time.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut first_session = 0;
    for (index, account) in scenario.accounts.iter().enumerate() {
        let mut generator = Generator::new(scenario, account, index, first_session, seed);
        while let Some(arrival) = generator.next() {
            arrivals.push(arrival);
        }
        first_session += account.sessions;
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.account));
    for (id, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = id as OpId;
    }
    arrivals
}

/// Generates the arrivals of one account.
struct Generator<'a> {
    scenario: &'a Scenario,
    account: &'a Account,
    account_index: AccountIndex,
    first_session: SessionId,
    services: Vec<ServiceIndex>,
    hosts: BTreeMap<SessionId, usize>,
    rng: StdRng,
    now: f64,
}

impl<'a> Generator<'a> {
    fn new(
        scenario: &'a Scenario,
        account: &'a Account,
        account_index: AccountIndex,
        first_session: SessionId,
        seed: u64,
    ) -> Generator<'a> {
        let mut rng = StdRng::seed_from_u64(seed);
        // Gives each account a random stream of its own.
        let stream = rng.next_u64().wrapping_add(account_index as u64);
        Generator {
            scenario,
            account,
            account_index,
            first_session,
            services: scenario.services_of(account),
            hosts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(stream),
            now: 0.0,
        }
    }

    fn next(&mut self) -> Option<Arrival> {
        if self.account.load <= 0.0 {
            return None;
        }
        let uniform: f64 = self.rng.random();
        self.now += -(1.0 - uniform).ln() / self.account.load;
        if self.now >= self.scenario.duration.as_secs_f64() {
            return None;
        }
        let account_session = self.rng.random_range(0..self.account.sessions);
        let session = self.first_session + account_session;
        let host = self.choose_host(session);
        Some(Arrival {
            id: 0,
            at: Duration::from_secs_f64(self.now),
            account: self.account_index,
            session,
            account_session,
            kind: self.random_kind(),
            service: self.services[self.rng.random_range(0..self.services.len())],
            host,
            other_host: self.random_other_host(host),
            is_repeated: self.rng.random_bool(self.scenario.repeats),
        })
    }

    /// The session's current host; moves the session with the probability that the account's
    /// `roaming` states.
    fn choose_host(&mut self, session: SessionId) -> usize {
        let moves = self.rng.random_bool(self.account.roaming);
        let current = self.hosts.get(&session).copied();
        let host = match current {
            Some(host) if !moves => host,
            _ => self.random_host(),
        };
        self.hosts.insert(session, host);
        host
    }

    fn random_host(&mut self) -> usize {
        if self.rng.random_bool(self.account.skew) {
            return 0;
        }
        self.rng.random_range(0..self.scenario.places.hosts)
    }

    fn random_other_host(&mut self, host: usize) -> usize {
        let hosts = self.scenario.places.hosts;
        if hosts == 1 {
            return host;
        }
        (host + self.rng.random_range(1..hosts)) % hosts
    }

    fn random_kind(&mut self) -> Kind {
        let total = self.scenario.mix.values().sum();
        let mut drawn = self.rng.random_range(0..total);
        for (kind, share) in &self.scenario.mix {
            if drawn < *share {
                return *kind;
            }
            drawn -= share;
        }
        unreachable!("shares must add up to the total")
    }
}
