//! Rates over a small fake fleet: lossy, slow links, pauses, uneven load, members that change.

use bergamotvale_core::config::Account;
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::invariant::admission;
use bergamotvale_core::rate::meter::{Ask, Decision};
use bergamotvale_core::rate::{self, Meter};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ACCOUNT: u32 = 7;
const SETTLE: Duration = Duration::from_millis(1600);
const AUTHORITY: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(1);
const LOST: Duration = Duration::from_millis(200);

struct Fleet {
    account: Account,
    hosts: BTreeMap<HostId, Host>,
    members: BTreeSet<HostId>,
    calls: Vec<Call>,
    admitted: Vec<Time>,
    wrongly_refused: u32,
    offered: u32,
    ideal: admission::Bucket,
    random: SmallRng,
    loss: f64,
    delay: Duration,
}

struct Host {
    meter: Meter,
    waiting: Vec<Time>,
    paused_until: Time,
    local_only: bool,
}

struct Call {
    ask: Ask,
    borrower: HostId,
    asked: Time,
    arrives: Time,
    answer: Option<u32>,
}

impl Fleet {
    fn new(hosts: u32, rate: u32, burst: u32, seed: u64) -> Fleet {
        let services = BTreeSet::new();
        let account = Account { name: "a".into(), rate, burst, weight: 1, services };
        Fleet {
            account,
            hosts: (1..=hosts).map(|host| (host, fresh_host())).collect(),
            members: (1..=hosts).collect(),
            calls: Vec::new(),
            admitted: Vec::new(),
            wrongly_refused: 0,
            offered: 0,
            ideal: admission::Bucket::new(rate, burst),
            random: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            delay: Duration::from_millis(1),
        }
    }

    fn host(&mut self, id: HostId) -> &mut Host {
        self.hosts.get_mut(&id).expect("known host")
    }

    fn learn_members(&mut self, now: Time) {
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.learn_members_at(id, now);
        }
    }

    fn learn_members_at(&mut self, id: HostId, now: Time) {
        let (rate, burst) = rate::part(ACCOUNT, &self.account, &self.members, id);
        let whole = (rate::meter::micro(self.account.rate), rate::meter::micro(self.account.burst));
        let peers = self.members.iter().copied().filter(|peer| *peer != id).collect();
        let host = self.host(id);
        let (rate, burst) = if host.local_only { whole } else { (rate, burst) };
        host.meter.set_peers(peers);
        host.meter.set_part(ACCOUNT, rate, burst, now);
    }

    fn offer(&mut self, id: HostId, now: Time) {
        self.offered += 1;
        let within_rate = self.ideal.level(now) >= 1.0;
        let host = self.host(id);
        match host.meter.request(ACCOUNT, now) {
            Decision::Admit => self.admit(now),
            Decision::Wait(until) => host.waiting.push(until),
            Decision::Refuse(_) => self.wrongly_refused += u32::from(within_rate),
        }
        self.ask(id, now);
    }

    fn admit(&mut self, now: Time) {
        self.admitted.push(now);
        self.ideal.take(now);
    }

    fn ask(&mut self, id: HostId, now: Time) {
        for ask in self.host(id).meter.asks(ACCOUNT, now) {
            let arrives = now + self.random_delay();
            self.calls.push(Call { ask, borrower: id, asked: now, arrives, answer: None });
        }
    }

    fn random_delay(&mut self) -> Duration {
        if self.random.random_bool(self.loss) {
            return LOST;
        }
        self.delay.mul_f64(self.random.random_range(0.5..2.0))
    }

    fn step(&mut self, now: Time) {
        self.deliver(now);
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            if self.hosts[&id].paused_until <= now {
                self.host(id).meter.tick(now);
                self.retry_waiting(id, now);
            }
        }
    }

    fn deliver(&mut self, now: Time) {
        for call in std::mem::take(&mut self.calls) {
            let at = if call.answer.is_none() { call.ask.peer } else { call.borrower };
            if call.arrives > now || self.hosts[&at].paused_until > now {
                self.calls.push(call);
                continue;
            }
            match call.answer {
                None => self.lend(call, now),
                Some(count) => self.receive(&call, count, now),
            }
        }
    }

    fn lend(&mut self, mut call: Call, now: Time) {
        let lent = self.host(call.ask.peer).meter.lend(ACCOUNT, call.ask.count, now);
        call.answer = Some(lent);
        call.arrives = now + self.random_delay();
        self.calls.push(call);
    }

    fn receive(&mut self, call: &Call, count: u32, now: Time) {
        self.host(call.borrower).meter.receive(call.ask, count, call.asked, now);
        self.retry_waiting(call.borrower, now);
        self.host(call.borrower).meter.settle(ACCOUNT);
    }

    fn retry_waiting(&mut self, id: HostId, now: Time) {
        for until in std::mem::take(&mut self.host(id).waiting) {
            let host = self.host(id);
            match host.meter.retry(ACCOUNT, until, now) {
                Decision::Admit => self.admit(now),
                Decision::Wait(until) => host.waiting.push(until),
                Decision::Refuse(_) => {
                    self.wrongly_refused += u32::from(self.ideal.level(now) >= 1.0);
                }
            }
        }
        if !self.hosts[&id].waiting.is_empty() {
            self.ask(id, now);
        }
    }

    /// Offers `per_second` requests to hosts that `pick` names.
    fn drive(
        &mut self,
        from: Time,
        to: Time,
        per_second: f64,
        pick: impl Fn(&mut SmallRng) -> HostId,
    ) {
        let mut now = from;
        while now < to {
            self.step(now);
            let mean = per_second * STEP.as_secs_f64();
            let count = mean.floor() as u32 + u32::from(self.random.random_bool(mean.fract()));
            for _ in 0..count {
                let id = pick(&mut self.random);
                if self.hosts[&id].paused_until <= now {
                    self.offer(id, now);
                }
            }
            now += STEP;
        }
    }

    fn verify(&self) -> Result<(), admission::Excess> {
        admission::verify(&self.admitted, self.account.rate, self.account.burst)
    }
}

fn fresh_host() -> Host {
    Host {
        meter: Meter::new(SETTLE, true),
        waiting: Vec::new(),
        paused_until: Time::ZERO,
        local_only: false,
    }
}

fn any_host(random: &mut SmallRng) -> HostId {
    random.random_range(1..=4)
}

#[test]
fn admits_at_any_balance_without_wrongful_refusals() {
    for (name, favourite) in [("even", 0.25), ("uneven", 0.8), ("one host", 1.0)] {
        let mut fleet = Fleet::new(4, 200, 100, 1);
        fleet.learn_members(Time::ZERO);
        fleet.drive(Time::ZERO, SETTLE * 3, 0.0, any_host);
        let pick = move |random: &mut SmallRng| {
            if random.random_bool(favourite) { 1 } else { random.random_range(2..=4) }
        };

        fleet.drive(SETTLE * 3, Duration::from_secs(40), 180.0, pick);

        fleet.verify().expect(name);
        assert_eq!(fleet.wrongly_refused, 0, "{name}: of {}", fleet.offered);
    }
}

#[test]
fn never_exceeds_rate_and_burst_under_overload_losses_and_pauses() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(4, 100, 40, seed);
        fleet.loss = 0.05;
        fleet.learn_members(Time::ZERO);
        let round = Duration::from_millis(800);

        for number in 0..12 {
            let now = round * number;
            let id = any_host(&mut fleet.random);
            let pause = Duration::from_millis(fleet.random.random_range(0..1000));
            fleet.host(id).paused_until = now + pause;
            fleet.drive(now, now + round, 500.0, any_host);
        }

        fleet.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(fleet.admitted.len() > 300, "seed {seed}: {}", fleet.admitted.len());
    }
}

#[test]
fn members_that_change_never_hold_more_than_the_total() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(4, 100, 40, seed);
        fleet.learn_members(Time::ZERO);
        let change = SETTLE * 2;
        fleet.drive(Time::ZERO, change, 400.0, any_host);
        fleet.members.remove(&4);
        let mut learned: Vec<(Time, HostId)> = (1..=4)
            .map(|id| (change + AUTHORITY.mul_f64(fleet.random.random_range(0.0..1.0)), id))
            .collect();
        learned.sort();

        let mut now = change;
        for (at, id) in learned {
            fleet.drive(now, at, 400.0, any_host);
            fleet.learn_members_at(id, at);
            now = at;
        }
        fleet.drive(now, now + SETTLE * 2, 400.0, any_host);
        fleet.members.insert(4);
        fleet.hosts.insert(4, fresh_host());
        fleet.learn_members(now + SETTLE * 2);
        fleet.drive(now + SETTLE * 2, now + SETTLE * 5, 400.0, any_host);

        fleet.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

#[test]
fn the_check_catches_a_limiter_that_counts_alone() {
    let mut fleet = Fleet::new(4, 100, 40, 1);
    for host in fleet.hosts.values_mut() {
        host.local_only = true;
    }
    fleet.learn_members(Time::ZERO);

    fleet.drive(SETTLE, SETTLE * 3, 500.0, any_host);

    assert!(fleet.verify().is_err());
}
