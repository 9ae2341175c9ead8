//! Draws every operation of a run ahead, from a seed.
//!
//! Arrivals of each account are a Poisson process of its own generator, so that a change to one
//! account leaves the others' arrivals alone. When an operation is due does not depend on how the
//! ones before it went.

use crate::bench::history::{AccountIndex, Kind, OpId, ServiceIndex, SessionId};
use crate::bench::scenario::{Account, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// An operation that is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Its number: its place in the order of arrivals.
    pub id: OpId,
    /// When it is due.
    pub at: Duration,
    /// Whose it is.
    pub account: AccountIndex,
    /// Its session; unique over accounts.
    pub session: SessionId,
    /// Place of its session among its account's.
    pub place: SessionId,
    /// What it does.
    pub kind: Kind,
    /// The service that it uses.
    pub service: ServiceIndex,
    /// Host that it goes to first.
    pub host: usize,
    /// Host that a second request of the operation goes to.
    pub other_host: usize,
    /// Whether the caller sends an acknowledged keyed write again.
    pub repeats: bool,
}

/// Every arrival of `scenario` under `seed`, in order of time.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut first_session = 0;
    for (place, account) in scenario.accounts.iter().enumerate() {
        let mut source = Source::new(scenario, account, place, first_session, seed);
        while let Some(arrival) = source.next() {
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

/// Draws the arrivals of one account.
struct Source<'a> {
    scenario: &'a Scenario,
    account: &'a Account,
    place: AccountIndex,
    first_session: SessionId,
    services: Vec<ServiceIndex>,
    hosts: BTreeMap<SessionId, usize>,
    rng: StdRng,
    now: f64,
}

impl<'a> Source<'a> {
    fn new(
        scenario: &'a Scenario,
        account: &'a Account,
        place: AccountIndex,
        first_session: SessionId,
        seed: u64,
    ) -> Source<'a> {
        let mut rng = StdRng::seed_from_u64(seed);
        // Distinct streams for distinct accounts.
        let stream = rng.next_u64().wrapping_add(place as u64);
        Source {
            scenario,
            account,
            place,
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
        let place = self.rng.random_range(0..self.account.sessions);
        let session = self.first_session + place;
        let host = self.roam(session);
        Some(Arrival {
            id: 0,
            at: Duration::from_secs_f64(self.now),
            account: self.place,
            session,
            place,
            kind: self.kind(),
            service: self.services[self.rng.random_range(0..self.services.len())],
            host,
            other_host: self.other(host),
            repeats: self.rng.random_bool(self.scenario.repeats),
        })
    }

    /// The session's host, after it has perhaps moved.
    fn roam(&mut self, session: SessionId) -> usize {
        let moves = self.rng.random_bool(self.account.roaming);
        let known = self.hosts.get(&session).copied();
        let host = match known {
            Some(host) if !moves => host,
            _ => self.any_host(),
        };
        self.hosts.insert(session, host);
        host
    }

    fn any_host(&mut self) -> usize {
        if self.rng.random_bool(self.account.skew) {
            return 0;
        }
        self.rng.random_range(0..self.scenario.places.hosts)
    }

    fn other(&mut self, host: usize) -> usize {
        let hosts = self.scenario.places.hosts;
        if hosts == 1 {
            return host;
        }
        (host + self.rng.random_range(1..hosts)) % hosts
    }

    fn kind(&mut self) -> Kind {
        let total = self.scenario.mix.values().sum();
        let mut drawn = self.rng.random_range(0..total);
        for (kind, share) in &self.scenario.mix {
            if drawn < *share {
                return *kind;
            }
            drawn -= share;
        }
        unreachable!("the shares add up to the total")
    }
}
