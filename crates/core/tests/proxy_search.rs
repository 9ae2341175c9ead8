//! A seeded search over promotions, leases, reads and rates together.
//!
//! Hosts, a store and one group of targets on a manual clock. Messages are delayed and lost; hosts
//! are paused, restarted and cut off from the store; primaries die; hosts promote, at times two
//! at once, and promotion calls are late. A client account asks for several times its rate all the while,
//! and hosts lend each other tokens. The invariants are checked on what targets and callers
//! see. Each checker is shown to fail on a host that breaks the rule it guards.

use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::proxy::floor::{History, Observation, Position};
use bergamotvale_core::proxy::lease::{Attestation, Barrier, Lease, Limits, Member};
use bergamotvale_core::rate::bucket::{Amount, LOAN_LIFETIME, MICRO};
use bergamotvale_core::rate::meter::{Decision, LoanRequest, Meter, micro};
use bergamotvale_core::rate::rate_share;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const HOSTS: HostId = 4;
const TARGETS: usize = 3;
const TERMS: Limits = Limits {
    validity: Duration::from_millis(300),
    max_attested_age: Duration::from_millis(900),
    clock_drift_margin: Duration::from_millis(20),
};
/// Longest delay of a message that is not lost.
const MAX_DELAY: u64 = 40;
/// Time that a promotion call may take to arrive before it is given up and reset.
const CALL_LIMIT: u64 = 100;
/// Longest time from the arrival of a call until the target leads.
const LEAD_TIME: u64 = 150;
const BOUND: Duration = Duration::from_millis(200);
const STEPS: u64 = 3000;
const ACCOUNT: AccountId = 7;
const RATE: u32 = 40;
const BURST: u32 = 40;
/// Requests in multiples of the rate.
const DEMAND: u64 = 5;
/// Span in which admissions are counted.
const WINDOW: u64 = 1000;
/// Admissions permitted in a window: rate and burst, a tenth more, and twenty.
const PERMITTED: usize = (RATE as usize + BURST as usize) * 11 / 10 + 20;
/// Tokens with which a restarted host begins: a quarter of what is permitted beyond, over all hosts.
const OPENING: Amount = 28 * MICRO / 4 / 4;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// A rule that a host of the test breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// It uses primaries without the lease.
    IgnoresLease,
    /// It promotes without waiting until its record is in force.
    DoesNotWait,
    /// It takes a target's word for its role, whatever its term.
    TrustsRoles,
    /// It confirms newer revisions while a promotion call of its own may still take effect.
    ForgetsCalls,
    /// It counts observations from when the answer came.
    DatesObservationsLate,
    /// It takes the whole of a client account's rate for its own.
    CountsAlone,
}

impl Host {
    /// Revision below which nothing of this host is under way.
    fn settled(&self, now: Time, defect: Defect) -> u64 {
        let fence = self.row.map_or(0, |row| row.fence);
        let calling = self.calling.filter(|(row, until)| now < *until && row.fence < fence);
        match calling {
            Some((row, _)) if defect != Defect::ForgetsCalls => row.revision,
            _ => self.lease.revision(),
        }
    }
}

/// The group's record, with the revision of the table that it was read in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Row {
    revision: u64,
    fence: u64,
    primary: usize,
    established: bool,
    /// Term of the primary, or the one that the candidate has to exceed.
    term: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Beat { from: HostId, vouch: Attestation, echo: Option<(u64, Time)>, number: u64, row: Row },
    Read { to: HostId, sent: Time, row: Row, members: BTreeMap<HostId, Member> },
    Call { host: HostId, fence: u64, target: usize, sent: Time },
    Borrow { from: HostId, ask: LoanRequest, asked: Time },
    Loan { ask: LoanRequest, asked: Time, count: u32 },
}

struct Host {
    lease: Lease,
    incarnation: u64,
    row: Option<Row>,
    paused_until: Time,
    cut_until: Time,
    sent: BTreeMap<u64, Time>,
    number: u64,
    heard: BTreeMap<HostId, (u64, u64, Time)>,
    promotion: Option<(Row, Barrier)>,
    /// Record under which a call was made whose effect may still come, and until when.
    calling: Option<(Row, Time)>,
    /// Fence of the last call that the platform took, and when.
    called: Option<(u64, Time)>,
    history: History,
    next_read: Time,
    meter: Meter,
    /// Loans asked for that were not answered yet.
    asks: Vec<(LoanRequest, Time)>,
    /// Requests that wait for a loan, and until when.
    waiting: Vec<Time>,
}

/// A meter of a host that had its part before.
fn meter(id: HostId, now: Time, defect: Defect) -> Meter {
    let members: BTreeSet<HostId> = (0..HOSTS).collect();
    let (rate, burst) = match defect {
        Defect::CountsAlone => (micro(RATE), micro(BURST)),
        _ => rate_share(ACCOUNT, (RATE, BURST), &members, id, HOSTS as usize),
    };
    let mut meter = Meter::new(TERMS.validity + TERMS.clock_drift_margin, true);
    meter.set_peers(members.into_iter().filter(|peer| *peer != id).collect());
    meter.open_share(ACCOUNT, rate, burst, OPENING, now);
    meter
}

struct Target {
    alive: bool,
    term: u64,
    leads: bool,
    log: Vec<Position>,
}

struct World {
    now: u64,
    rng: StdRng,
    /// Randomness of requests and loans, apart so that seeds that found something keep their days.
    rate_rng: StdRng,
    defect: Defect,
    /// Milliseconds that a host leaves another's promotion alone, in the mean.
    patience: u64,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    row: Row,
    members: BTreeMap<HostId, Member>,
    messages: Vec<(u64, HostId, Message)>,
    /// Promotions that the platform has taken, and when they take effect.
    leads_at: Vec<(u64, usize)>,
    /// Times at which requests of the account were admitted.
    admitted: Vec<u64>,
    /// Acknowledged commits, with the time of their acknowledgement.
    acknowledged: Vec<(u64, Position)>,
    last_promotion: u64,
    faults: Vec<String>,
    served: u64,
    promotions: u64,
}

fn member(incarnation: u64) -> Member {
    let address = "127.0.0.1:1".parse().expect("an address");
    Member { incarnation, address, domain: "a".into(), entered: Duration::ZERO }
}

impl World {
    fn new(seed: u64, defect: Defect) -> World {
        let members: BTreeMap<HostId, Member> = (0..HOSTS).map(|id| (id, member(1))).collect();
        let row = Row { revision: 1, fence: 1, primary: 0, established: true, term: 1 };
        let host = |id| Host {
            lease: Lease::new(id, 1, TERMS),
            incarnation: 1,
            row: None,
            paused_until: Time::ZERO,
            cut_until: Time::ZERO,
            sent: BTreeMap::new(),
            number: 0,
            heard: BTreeMap::new(),
            promotion: None,
            calling: None,
            called: None,
            history: History::default(),
            next_read: Time::ZERO,
            meter: meter(id, Time::ZERO, defect),
            asks: Vec::new(),
            waiting: Vec::new(),
        };
        let target = |index| Target { alive: true, term: 1, leads: index == 0, log: Vec::new() };
        World {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            rate_rng: StdRng::seed_from_u64(seed),
            defect,
            patience: if seed.is_multiple_of(2) { 400 } else { 50 },
            hosts: (0..HOSTS).map(host).collect(),
            targets: (0..TARGETS).map(target).collect(),
            row,
            members,
            messages: Vec::new(),
            leads_at: Vec::new(),
            admitted: Vec::new(),
            acknowledged: Vec::new(),
            last_promotion: 0,
            faults: Vec::new(),
            served: 0,
            promotions: 0,
        }
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    fn host(&mut self, id: HostId) -> &mut Host {
        &mut self.hosts[id as usize]
    }

    fn is_awake(&self, id: HostId) -> bool {
        self.hosts[id as usize].paused_until <= ms(self.now)
    }

    fn send(&mut self, to: HostId, message: Message) {
        if self.chance(8) {
            return;
        }
        let delay = self.rng.random_range(1..=MAX_DELAY);
        self.messages.push((self.now + delay, to, message));
    }

    fn run(&mut self) {
        while self.now < STEPS && self.faults.is_empty() {
            self.now += 1;
            self.trouble();
            self.deliver();
            self.replicate();
            for id in 0..HOSTS {
                if self.is_awake(id) {
                    self.act(id);
                }
            }
        }
    }

    fn trouble(&mut self) {
        if self.chance(400) {
            let id = self.rng.random_range(0..HOSTS);
            let until = ms(self.now + self.rng.random_range(50..900));
            self.host(id).paused_until = until;
        }
        if self.chance(300) {
            let id = self.rng.random_range(0..HOSTS);
            let until = ms(self.now + self.rng.random_range(50..1500));
            self.host(id).cut_until = until;
        }
        if self.chance(500) {
            let until = ms(self.now + self.rng.random_range(50..1200));
            for host in &mut self.hosts {
                host.cut_until = until;
            }
        }
        if self.chance(700) {
            let id = self.rng.random_range(0..HOSTS);
            self.restart(id);
        }
        if self.chance(300) {
            let primary = self.row.primary;
            self.targets[primary].alive = false;
        }
        if self.chance(500) {
            for target in &mut self.targets {
                target.alive = true;
            }
        }
    }

    fn restart(&mut self, id: HostId) {
        let incarnation = self.hosts[id as usize].incarnation + 1;
        let (now, defect) = (ms(self.now), self.defect);
        let host = self.host(id);
        host.incarnation = incarnation;
        host.lease = Lease::new(id, incarnation, TERMS);
        host.row = None;
        host.promotion = None;
        host.calling = None;
        host.called = None;
        host.history = History::default();
        host.heard.clear();
        host.sent.clear();
        host.meter = meter(id, now, defect);
        host.asks.clear();
        host.waiting.clear();
        // The new run is recorded before it reads, as a change of the table.
        self.members.insert(id, member(incarnation));
        self.row.revision += 1;
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<(u64, HostId, Message)> =
            self.messages.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.messages.retain(|(at, ..)| *at > now);
        for (_, to, message) in due {
            match message {
                Message::Call { host, fence, target, sent } => self.call(host, fence, target, sent),
                message if !self.is_awake(to) => self.messages.push((now + 1, to, message)),
                Message::Borrow { from, ask, asked } => {
                    self.with_rate_rng(|world| world.lend(to, from, ask, asked));
                }
                Message::Loan { ask, asked, count } => self.borrow(to, ask, asked, count),
                message => self.take(to, message),
            }
        }
        let due: Vec<usize> =
            self.leads_at.iter().filter(|(at, _)| *at <= now).map(|(_, target)| *target).collect();
        self.leads_at.retain(|(at, _)| *at > now);
        for target in due {
            self.lead(target);
        }
    }

    /// The platform takes a promotion call, unless it was reset before it came.
    fn call(&mut self, host: HostId, fence: u64, target: usize, sent: Time) {
        let was_given_up = ms(self.now) > sent + ms(CALL_LIMIT);
        if was_given_up || !self.targets[target].alive {
            return;
        }
        let now = ms(self.now);
        self.host(host).called = Some((fence, now));
        let time = self.rng.random_range(20..=LEAD_TIME);
        self.leads_at.push((self.now + time, target));
    }

    fn lead(&mut self, target: usize) {
        let newest = self.targets.iter().map(|t| t.term).max().unwrap_or_default();
        if self.targets[target].leads && self.targets[target].term == newest {
            return;
        }
        let term = newest + 1;
        self.targets[target].term = term;
        self.targets[target].leads = true;
        self.last_promotion = self.now;
        self.promotions += 1;
        let log = self.targets[target].log.clone();
        // Commits that the promotion rolls back no longer count.
        self.acknowledged.retain(|(_, position)| log.binary_search(position).is_ok());
    }

    fn replicate(&mut self) {
        if !self.now.is_multiple_of(10) {
            return;
        }
        let Some(leader) =
            (0..TARGETS).filter(|i| self.targets[*i].leads).max_by_key(|i| self.targets[*i].term)
        else {
            return;
        };
        if !self.targets[leader].alive {
            return;
        }
        let (term, log) = (self.targets[leader].term, self.targets[leader].log.clone());
        for index in 0..TARGETS {
            // A primary that was replaced goes on for a while before it hears of it.
            let is_old_primary = self.targets[index].leads && index != leader;
            if is_old_primary && self.now < self.last_promotion + 1000 {
                continue;
            }
            let target = &mut self.targets[index];
            if index != leader && target.alive {
                target.leads = false;
                target.term = term;
                target.log.clone_from(&log);
            }
        }
    }

    fn act(&mut self, id: HostId) {
        let now = ms(self.now);
        if now >= self.hosts[id as usize].next_read {
            self.host(id).next_read = now + ms(60);
            self.read_store(id);
        }
        if self.now % 50 == u64::from(id) {
            self.beat(id);
        }
        self.promote(id);
        if self.chance(3) {
            self.work(id);
        }
        if self.chance(6) {
            self.read_replica(id);
        }
        self.with_rate_rng(|world| world.ask_rate(id));
    }

    fn with_rate_rng(&mut self, act: impl FnOnce(&mut World)) {
        std::mem::swap(&mut self.rng, &mut self.rate_rng);
        act(self);
        std::mem::swap(&mut self.rng, &mut self.rate_rng);
    }

    /// Requests of the account over all hosts.
    fn ask_rate(&mut self, id: HostId) {
        if self.chance(u64::from(HOSTS) * 1000 / (DEMAND * u64::from(RATE))) {
            let now = ms(self.now);
            let decision = self.host(id).meter.request(ACCOUNT, now);
            self.settle(id, decision);
        }
        self.go_on_waiting(id);
    }

    fn settle(&mut self, id: HostId, decision: Decision) {
        match decision {
            Decision::Admit => self.admit(id),
            Decision::Wait(until) => self.host(id).waiting.push(until),
            Decision::Refuse(_) => {}
        }
    }

    fn admit(&mut self, id: HostId) {
        let now = self.now;
        self.admitted.push(now);
        let recent = self.admitted.iter().rev().take_while(|at| **at + WINDOW > now).count();
        if recent > PERMITTED {
            self.faults.push(format!("{now}: host {id} admits request {recent} of a window"));
        }
    }

    /// Asks for loans, gives up those that are late, and decides about requests that wait.
    fn go_on_waiting(&mut self, id: HostId) {
        let now = ms(self.now);
        let host = self.host(id);
        host.meter.tick(now);
        let late = |(_, asked): &mut (LoanRequest, Time)| *asked + LOAN_LIFETIME < now;
        for (ask, asked) in host.asks.extract_if(.., late).collect::<Vec<_>>() {
            host.meter.receive(ask, 0, asked, now);
        }
        for until in std::mem::take(&mut self.host(id).waiting) {
            let decision = self.host(id).meter.retry(ACCOUNT, until, now);
            self.settle(id, decision);
        }
        for ask in self.host(id).meter.loan_requests(ACCOUNT, now) {
            self.host(id).asks.push((ask, now));
            self.send(ask.peer, Message::Borrow { from: id, ask, asked: now });
        }
    }

    fn lend(&mut self, id: HostId, borrower: HostId, ask: LoanRequest, asked: Time) {
        let LoanRequest { account, count, sequence, .. } = ask;
        let request = TokenRequest { host: borrower, account, count, version: 1, sequence };
        let now = ms(self.now);
        let count = self.host(id).meter.lend(&request, now);
        self.send(borrower, Message::Loan { ask, asked, count });
    }

    fn borrow(&mut self, id: HostId, ask: LoanRequest, asked: Time, count: u32) {
        let now = ms(self.now);
        let host = self.host(id);
        let known = host.asks.len();
        host.asks.retain(|(other, _)| *other != ask);
        if host.asks.len() < known {
            host.meter.receive(ask, count, asked, now);
        }
    }

    fn read_store(&mut self, id: HostId) {
        let now = ms(self.now);
        if self.hosts[id as usize].cut_until > now {
            return;
        }
        let (row, members) = (self.row, self.members.clone());
        self.send(id, Message::Read { to: id, sent: now, row, members });
    }

    fn beat(&mut self, id: HostId) {
        let (now, defect) = (ms(self.now), self.defect);
        let host = self.host(id);
        let Some(row) = host.row else { return };
        host.number += 1;
        let number = host.number;
        host.sent.insert(number, now);
        let vouch = Attestation {
            host: id,
            incarnation: host.incarnation,
            revision: host.lease.revision(),
            quiesced: host.settled(now, defect),
            renewal_age: host.lease.renewal_age(now),
        };
        let heard = host.heard.clone();
        for peer in (0..HOSTS).filter(|peer| *peer != id) {
            let echo = heard.get(&peer).map(|(_, number, at)| (*number, now - *at));
            self.send(peer, Message::Beat { from: id, vouch, echo, number, row });
        }
    }

    fn take(&mut self, id: HostId, message: Message) {
        let now = ms(self.now);
        let platform = now;
        let host = &mut self.hosts[id as usize];
        match message {
            Message::Read { to, sent, row, members } => {
                assert_eq!(to, id);
                if members.get(&id).is_none_or(|m| m.incarnation != host.incarnation) {
                    return;
                }
                if host.row.is_none_or(|known| known.revision < row.revision) {
                    host.row = Some(row);
                    host.lease.adopt(row.revision, members);
                }
                host.lease.set_platform_clock(now, platform + Duration::from_secs(60));
                host.lease.renew(sent, row.revision);
            }
            Message::Beat { from, vouch, echo, number, row } => {
                let is_later = host
                    .heard
                    .get(&from)
                    .is_none_or(|(run, known, _)| *run != vouch.incarnation || *known < number);
                if is_later {
                    host.heard.insert(from, (vouch.incarnation, number, now));
                }
                if let Some((echoed, delay)) = echo
                    && let Some(sent) = host.sent.get(&echoed)
                {
                    host.lease.record_attestation(*sent + delay, vouch);
                }
                // Word that the candidate leads, under the same revision.
                if let Some(known) = &mut host.row
                    && known.fence == row.fence
                    && row.established
                {
                    (known.established, known.term) = (true, row.term);
                }
            }
            Message::Call { .. } | Message::Borrow { .. } | Message::Loan { .. } => {}
        }
    }

    /// Writes a promotion, waits until it is in force, calls, records.
    fn promote(&mut self, id: HostId) {
        let now = ms(self.now);
        let defect = self.defect;
        let is_cut = self.hosts[id as usize].cut_until > now;
        let host = &mut self.hosts[id as usize];
        let Some(row) = host.row else { return };
        let holds = host.lease.is_held(now);
        if let Some((mine, mut wait)) = host.promotion.take() {
            let still = host.row.is_some_and(|r| r.fence == mine.fence);
            if !still {
                return;
            }
            let own = host.settled(now, defect) >= mine.revision;
            let over = wait.has_passed(&host.lease, now);
            let in_force = defect == Defect::DoesNotWait || (own && over);
            if !in_force || !holds {
                host.promotion = Some((mine, wait));
                return;
            }
            let target = mine.primary;
            let term = self.targets[target].term;
            let called = self.hosts[id as usize].called.filter(|(fence, _)| *fence == mine.fence);
            let is_settled = called.is_some_and(|(_, at)| now >= at + ms(3 * LEAD_TIME));
            let is_led = defect == Defect::TrustsRoles || term > mine.term || is_settled;
            if self.targets[target].leads && is_led {
                if let Some(row) = &mut self.hosts[id as usize].row {
                    (row.established, row.term) = (true, term);
                }
                if !is_cut && self.row.fence == mine.fence {
                    (self.row.established, self.row.term) = (true, term);
                    self.row.revision += 1;
                }
                return;
            }
            self.hosts[id as usize].promotion = Some((mine, wait));
            if self.now.is_multiple_of(40) {
                let until = now + ms(CALL_LIMIT + LEAD_TIME);
                self.host(id).calling = Some((mine, until));
                self.send(id, Message::Call { host: id, fence: mine.fence, target, sent: now });
            }
            return;
        }
        let is_dead = !self.targets[row.primary].alive || !self.targets[row.primary].leads;
        // A promotion under way is left alone for a while; how long, differs between seeds.
        let patience = if row.established { 10 } else { self.patience };
        let may_write = holds && !is_cut && row.fence == self.row.fence;
        if !may_write || !is_dead || !self.chance(patience) {
            return;
        }
        let candidate = (row.primary + 1 + self.rng.random_range(0..TARGETS - 1)) % TARGETS;
        let revision = self.row.revision + 1;
        let seen = self.targets.iter().map(|target| target.term).max();
        let (fence, term) = (row.fence + 1, row.term.max(seen.unwrap_or_default()));
        self.row = Row { revision, fence, primary: candidate, established: false, term };
        let written = self.row;
        let members = self.members.clone();
        let host = self.host(id);
        host.row = Some(written);
        host.lease.adopt(written.revision, members);
        host.promotion = Some((written, Barrier::new(written.revision, now)));
    }

    /// The primary that a host would use now.
    fn usable(&self, id: HostId) -> Option<usize> {
        let host = &self.hosts[id as usize];
        let row = host.row.filter(|row| row.established)?;
        let may = self.defect == Defect::IgnoresLease || host.lease.is_held(ms(self.now));
        let target = &self.targets[row.primary];
        (may && target.alive && target.leads).then_some(row.primary)
    }

    /// A write, or a read that has to see every commit, at the primary that the host trusts.
    fn work(&mut self, id: HostId) {
        let Some(primary) = self.usable(id) else { return };
        self.served += 1;
        let newest = self.acknowledged.last().map(|(_, position)| *position);
        let target = &self.targets[primary];
        if newest.is_some_and(|newest| target.log.binary_search(&newest).is_err()) {
            let found = format!("{}: host {id} reads an old log at target {primary}", self.now);
            self.faults.push(found);
            return;
        }
        let is_newest = self.targets.iter().all(|t| !t.leads || t.term <= target.term);
        if !is_newest {
            let found = format!("{}: host {id} commits at superseded {primary}", self.now);
            self.faults.push(found);
            return;
        }
        let position = Position { term: target.term, number: self.now };
        self.targets[primary].log.push(position);
        self.acknowledged.push((self.now, position));
        let late = self.defect == Defect::DatesObservationsLate;
        // The question was sent a while ago; its answer holds what the log held then.
        let (at, seen) = if late {
            let before = self.targets[primary].log.iter().rev().nth(12).copied();
            (ms(self.now), before.unwrap_or(position))
        } else {
            (ms(self.now), position)
        };
        let now = ms(self.now);
        self.host(id).history.observe(now, Observation { at, position: seen });
    }

    /// A read that may be old, at any target whose log covers the floor.
    fn read_replica(&mut self, id: HostId) {
        let now = ms(self.now);
        let Some(floor) = self.hosts[id as usize].history.bounded_floor(now, BOUND) else { return };
        let index = self.rng.random_range(0..TARGETS);
        let target = &self.targets[index];
        let last = target.log.last().copied().unwrap_or_default();
        if !target.alive || last < floor {
            return;
        }
        self.served += 1;
        let due = self.now.saturating_sub(200);
        let newest = self.acknowledged.iter().rev().find(|(at, _)| *at < due);
        let missed = newest.filter(|(_, position)| target.log.binary_search(position).is_err());
        if let Some((at, position)) = missed {
            let found =
                format!("{}: host {id} misses {position} of {at} at target {index}", self.now);
            self.faults.push(found);
        }
    }
}

/// What a search came to.
#[derive(Debug, Default)]
struct Found {
    fault: Option<String>,
    served: u64,
    promotions: u64,
    admitted: usize,
}

/// Runs seeds up to the first fault.
fn search(seeds: std::ops::Range<u64>, defect: Defect) -> Found {
    let mut found = Found::default();
    for seed in seeds {
        let mut world = World::new(seed, defect);
        world.run();
        found.served += world.served;
        found.promotions += world.promotions;
        found.admitted += world.admitted.len();
        if let Some(fault) = world.faults.first() {
            found.fault = Some(format!("seed {seed}: {fault}"));
            return found;
        }
    }
    found
}

#[test]
fn no_host_uses_a_superseded_primary_or_an_old_log_or_exceeds_a_rate() {
    let Found { fault, served, promotions, admitted } = search(0..150, Defect::None);
    assert_eq!(fault, None);
    assert!(served > 10_000, "only {served} statements were served");
    assert!(promotions > 60, "only {promotions} promotions");
    assert!(admitted > 10_000, "only {admitted} requests were admitted");
}

#[test]
fn a_host_that_ignores_its_lease_is_found() {
    assert!(search(0..600, Defect::IgnoresLease).fault.is_some());
}

#[test]
fn a_host_that_does_not_wait_is_found() {
    assert!(search(0..600, Defect::DoesNotWait).fault.is_some());
}

#[test]
fn a_host_that_trusts_roles_is_found() {
    assert!(search(0..600, Defect::TrustsRoles).fault.is_some());
}

#[test]
fn a_host_that_forgets_its_calls_is_found() {
    assert!(search(0..600, Defect::ForgetsCalls).fault.is_some());
}

#[test]
fn a_host_that_dates_observations_late_is_found() {
    assert!(search(0..600, Defect::DatesObservationsLate).fault.is_some());
}

#[test]
fn a_host_that_counts_alone_is_found() {
    assert!(search(0..600, Defect::CountsAlone).fault.is_some());
}
