//! Simulation of the fair queue: one account sends five times the rate of each other account.
//!
//! Guards against a queue that lets this account delay the others until their deadlines pass; the
//! control with first come, first served shows that the load is high enough for that.

use bergamotvale_core::fair::{Order, Queue, Waiter};
use bergamotvale_core::id::{AccountId, RequestId, Time};
use bergamotvale_core::pool::{Action, ConnectionId, Pool, Settings};
use bergamotvale_core::random::Source;
use std::collections::BTreeMap;
use std::time::Duration;

const CONNECTIONS: usize = 4;
const ACCOUNTS: AccountId = 8;
/// The account that sends [`EXCESS`] times the rate of the others.
const OVERLOADING: AccountId = 1;
/// Requests per second of each other account.
const RATE: u64 = 40;
const EXCESS: u64 = 5;
const HOLDING_TIME: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_millis(500);
const SIMULATED_TIME: Duration = Duration::from_secs(60);
const TICK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrives(AccountId),
    Opened(ConnectionId),
    Ends(RequestId, ConnectionId),
    Tick,
}

#[derive(Debug, Default)]
struct Score {
    requested: u64,
    served: u64,
}

struct Simulation {
    random: Source,
    pool: Pool,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    accounts: BTreeMap<RequestId, AccountId>,
    scores: BTreeMap<AccountId, Score>,
}

impl Simulation {
    fn new(order: Order) -> Simulation {
        let queue = Queue::new(256).with_order(order);
        let mut simulation = Simulation {
            random: Source::new(11),
            pool: Pool::new(CONNECTIONS, queue, Settings::default()),
            events: BTreeMap::new(),
            sequence: 0,
            accounts: BTreeMap::new(),
            scores: BTreeMap::new(),
        };
        (1..=ACCOUNTS).for_each(|account| simulation.schedule(Time::ZERO, Event::Arrives(account)));
        simulation.schedule(Time::ZERO, Event::Tick);
        simulation
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn run(&mut self) {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= SIMULATED_TIME {
                return;
            }
            let actions = match event {
                Event::Arrives(account) => self.arrive(now, account),
                Event::Opened(connection) => self.pool.opened(now, connection),
                Event::Ends(request, connection) => self.end(now, request, connection),
                Event::Tick => {
                    self.schedule(now + TICK_INTERVAL, Event::Tick);
                    self.pool.tick(now)
                }
            };
            self.perform(now, actions);
        }
    }

    fn arrive(&mut self, now: Time, account: AccountId) -> Vec<Action> {
        let rate = if account == OVERLOADING { RATE * EXCESS } else { RATE };
        let mean = Duration::from_secs(1) / rate as u32;
        let next = now + self.random.time_below(mean * 2);
        self.schedule(next, Event::Arrives(account));
        self.sequence += 1;
        let request = self.sequence;
        self.accounts.insert(request, account);
        self.scores.entry(account).or_default().requested += 1;
        let deadline = now + MAX_WAIT;
        self.pool.acquire(now, Waiter { request, account, weight: 1, deadline })
    }

    fn end(&mut self, now: Time, request: RequestId, connection: ConnectionId) -> Vec<Action> {
        let account = self.accounts[&request];
        self.scores.entry(account).or_default().served += 1;
        self.pool.released(now, connection, true)
    }

    fn perform(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open(id) => self.schedule(now + HOLDING_TIME, Event::Opened(id)),
                Action::Lease(request, id) => {
                    let held = HOLDING_TIME / 2 + self.random.time_below(HOLDING_TIME);
                    self.schedule(now + held, Event::Ends(request, id));
                }
                Action::Check(_) | Action::Close(_) | Action::Refuse(..) => {}
            }
        }
    }

    /// Returns the lowest share of requests served, in thousandths, among the accounts within their
    /// rate.
    fn worst_share(&self) -> u64 {
        let others = self.scores.iter().filter(|(account, _)| **account != OVERLOADING);
        let shares = others.map(|(_, score)| score.served * 1000 / score.requested);
        shares.min().expect("there are other accounts")
    }

    fn served(&self) -> u64 {
        self.scores.values().map(|score| score.served).sum()
    }
}

fn run(order: Order) -> Simulation {
    let mut simulation = Simulation::new(order);
    simulation.run();
    simulation
}

#[test]
fn accounts_within_their_rate_are_served() {
    let simulation = run(Order::Fair);
    assert!(simulation.worst_share() >= 999, "{:?}", simulation.scores);
}

#[test]
fn no_slot_idles_while_someone_waits() {
    let simulation = run(Order::Fair);
    let capacity =
        SIMULATED_TIME.as_millis() as u64 / HOLDING_TIME.as_millis() as u64 * CONNECTIONS as u64;
    assert!(simulation.served() * 100 >= capacity * 95, "{} of {capacity}", simulation.served());
}

#[test]
fn first_come_first_served_starves_them() {
    let simulation = run(Order::Arrival);
    assert!(simulation.worst_share() < 999, "{:?}", simulation.scores);
}
