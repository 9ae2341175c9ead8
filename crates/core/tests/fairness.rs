//! One account at five times its rate leaves the others theirs.

use bergamotvale_core::fair::{Order, Queue, Waiter};
use bergamotvale_core::id::{AccountId, RequestId, Time};
use bergamotvale_core::pool::{Action, ConnectionId, Pool, Settings};
use bergamotvale_core::random::Source;
use std::collections::BTreeMap;
use std::time::Duration;

const SLOTS: usize = 4;
const ACCOUNTS: AccountId = 8;
/// The account that sends five times its rate.
const GREEDY: AccountId = 1;
/// Requests a second of an account that keeps to its rate.
const RATE: u64 = 40;
const EXCESS: u64 = 5;
const HOLDING: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_millis(500);
const RUN: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrives(AccountId),
    Opened(ConnectionId),
    Ends(RequestId, ConnectionId),
    Tick,
}

#[derive(Debug, Default)]
struct Score {
    asked: u64,
    served: u64,
}

struct World {
    random: Source,
    pool: Pool,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    accounts: BTreeMap<RequestId, AccountId>,
    scores: BTreeMap<AccountId, Score>,
}

impl World {
    fn new(order: Order) -> World {
        let queue = Queue::new(256).with_order(order);
        let mut world = World {
            random: Source::new(11),
            pool: Pool::new(SLOTS, queue, Settings::default()),
            events: BTreeMap::new(),
            sequence: 0,
            accounts: BTreeMap::new(),
            scores: BTreeMap::new(),
        };
        (1..=ACCOUNTS).for_each(|account| world.at(Time::ZERO, Event::Arrives(account)));
        world.at(Time::ZERO, Event::Tick);
        world
    }

    fn at(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn run(&mut self) {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= RUN {
                return;
            }
            let actions = match event {
                Event::Arrives(account) => self.arrive(now, account),
                Event::Opened(connection) => self.pool.opened(now, connection),
                Event::Ends(request, connection) => self.end(now, request, connection),
                Event::Tick => {
                    self.at(now + TICK, Event::Tick);
                    self.pool.tick(now)
                }
            };
            self.carry_out(now, actions);
        }
    }

    fn arrive(&mut self, now: Time, account: AccountId) -> Vec<Action> {
        let rate = if account == GREEDY { RATE * EXCESS } else { RATE };
        let mean = Duration::from_secs(1) / rate as u32;
        let next = now + self.random.time_below(mean * 2);
        self.at(next, Event::Arrives(account));
        self.sequence += 1;
        let request = self.sequence;
        self.accounts.insert(request, account);
        self.scores.entry(account).or_default().asked += 1;
        let deadline = now + PATIENCE;
        self.pool.acquire(now, Waiter { request, account, weight: 1, deadline })
    }

    fn end(&mut self, now: Time, request: RequestId, connection: ConnectionId) -> Vec<Action> {
        let account = self.accounts[&request];
        self.scores.entry(account).or_default().served += 1;
        self.pool.released(now, connection, true)
    }

    fn carry_out(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open(id) => self.at(now + HOLDING, Event::Opened(id)),
                Action::Lease(request, id) => {
                    let held = HOLDING / 2 + self.random.time_below(HOLDING);
                    self.at(now + held, Event::Ends(request, id));
                }
                Action::Check(_) | Action::Close(_) | Action::Refuse(..) => {}
            }
        }
    }

    /// The worst share of requests served among the accounts that keep to their rate, in
    /// thousandths.
    fn worst(&self) -> u64 {
        let others = self.scores.iter().filter(|(account, _)| **account != GREEDY);
        let shares = others.map(|(_, score)| score.served * 1000 / score.asked);
        shares.min().expect("there are other accounts")
    }

    fn served(&self) -> u64 {
        self.scores.values().map(|score| score.served).sum()
    }
}

fn run(order: Order) -> World {
    let mut world = World::new(order);
    world.run();
    world
}

#[test]
fn accounts_within_their_rate_are_served() {
    let world = run(Order::Fair);
    assert!(world.worst() >= 999, "{:?}", world.scores);
}

#[test]
fn no_slot_idles_while_someone_waits() {
    let world = run(Order::Fair);
    let capacity = RUN.as_millis() as u64 / HOLDING.as_millis() as u64 * SLOTS as u64;
    assert!(world.served() * 100 >= capacity * 95, "{} of {capacity}", world.served());
}

#[test]
fn first_come_first_served_starves_them() {
    let world = run(Order::Arrival);
    assert!(world.worst() < 999, "{:?}", world.scores);
}
