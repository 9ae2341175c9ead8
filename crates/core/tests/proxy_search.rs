//! A seeded search over promotions, leases, reads and rate limits together.
//!
//! It simulates hosts, a store and one group of targets on a manual clock. Messages are delayed and
//! lost. Hosts are paused, restarted and partitioned from the store, which in a search of its own is
//! restored from older copies. Primaries die; hosts promote other targets, sometimes two hosts at
//! once, and promotion calls arrive late. A client account
//! requests several times its rate throughout, and hosts lend each other tokens.
//!
//! The invariants are checked on what targets and callers observe. For each of them a test shows
//! that the search finds a host that violates the rule behind it.

use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::proxy::floor::{History, Observation, Position};
use bergamotvale_core::proxy::lease::{Attestation, Barrier, Lease, Limits, Member};
use bergamotvale_core::proxy::restore::Settlement;
use bergamotvale_core::proxy::revision::{Era, Revision};
use bergamotvale_core::rate::bucket::{Amount, LOAN_LIFETIME, MICRO};
use bergamotvale_core::rate::meter::{Decision, LoanRequest, Meter, micro};
use bergamotvale_core::rate::rate_share;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const HOSTS: HostId = 4;
const TARGETS: usize = 3;
const LIMITS: Limits = Limits {
    validity: Duration::from_millis(300),
    max_attested_age: Duration::from_millis(900),
    clock_drift_margin: Duration::from_millis(20),
};
/// Maximum delay of a message that is not lost, in milliseconds.
const MAX_DELAY: u64 = 40;
/// Time in milliseconds after which a promotion call that has not arrived is cancelled.
const CALL_TIMEOUT: u64 = 100;
/// Maximum time from the arrival of a call until the target leads, in milliseconds.
const MAX_PROMOTION_TIME: u64 = 150;
const STALENESS_BOUND: Duration = Duration::from_millis(200);
const STEPS: u64 = 3000;
/// Time in milliseconds between copies of the store, and number of copies that are kept.
const COPY_INTERVAL: u64 = 50;
const MAX_COPIES: usize = 8;
/// Number of fences of one era, as in the record.
const FENCES_PER_ERA: u64 = 1_000_000;
const ACCOUNT: AccountId = 7;
const RATE: u32 = 40;
const BURST: u32 = 40;
/// Rate of requests as a multiple of the account's rate.
const DEMAND: u64 = 5;
/// Window in which admissions are counted, in milliseconds.
const WINDOW: u64 = 1000;
/// Maximum admissions in a window: rate plus burst, plus a tenth of both, plus twenty.
const MAX_ADMISSIONS: usize = (RATE as usize + BURST as usize) * 11 / 10 + 20;
/// Initial tokens of a restarted host: over all hosts, a quarter of the admissions that are
/// permitted beyond rate and burst.
const INITIAL_TOKENS: Amount = 28 * MICRO / 4 / 4;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// The rule that every host of a run violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Uses primaries without holding the lease.
    IgnoresLease,
    /// Promotes without waiting until its record is in force.
    DoesNotWait,
    /// Trusts the role that a target reports, in whichever term.
    TrustsRoles,
    /// Confirms newer revisions while a promotion call of its own may still take effect.
    ForgetsCalls,
    /// Dates observations from the arrival of the response instead of the sending of the request.
    DatesObservationsLate,
    /// Uses a client account's whole rate instead of its own share.
    CountsAlone,
    /// Acts on a restored table at once.
    TrustsRestores,
    /// Reports an era as reconciled without writing again what it remembers.
    ForgetsRecords,
    /// Numbers promotions by the restored record alone.
    ReusesFences,
}

impl Host {
    /// Takes over a table that is not settled, unless a newer one is known.
    fn record_restored(&mut self, now: Time, table: Table) {
        let (revision, era) = (table.row.revision, table.row.revision.era);
        if self.lease.revision().era >= era {
            return;
        }
        let known = self.restored.take();
        let is_older = |known: &Table| known.row.revision > revision;
        self.restored = match known {
            Some((known, settlement)) if is_older(&known) => Some((known, settlement)),
            Some((_, settlement)) if settlement.era() == era => Some((table, settlement)),
            _ => Some((table, Settlement::new(era, now, self.row.is_some()))),
        };
    }

    /// Revision that this host has adopted, with no work in flight under an older one.
    fn quiesced(&self, now: Time, defect: Defect) -> Revision {
        let fence = self.row.map_or(0, |row| row.fence);
        let call_in_flight =
            self.call_in_flight.filter(|(row, until)| now < *until && row.fence < fence);
        match call_in_flight {
            Some((row, _)) if defect != Defect::ForgetsCalls => row.revision,
            _ => self.lease.revision(),
        }
    }
}

/// The group's record, with the revision of the table that it was read in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Row {
    revision: Revision,
    fence: u64,
    primary: usize,
    established: bool,
    /// Term of the primary; while not established, the one that the candidate has to exceed.
    term: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat {
        from: HostId,
        attestation: Attestation,
        echo: Option<(u64, Time)>,
        number: u64,
        row: Option<Row>,
    },
    Read {
        to: HostId,
        sent: Time,
        table: Table,
    },
    Promote {
        host: HostId,
        fence: u64,
        target: usize,
        sent: Time,
    },
    Borrow {
        from: HostId,
        request: LoanRequest,
        sent_at: Time,
    },
    Loan {
        request: LoanRequest,
        sent_at: Time,
        count: u32,
    },
}

/// The store's table.
#[derive(Debug, Clone)]
struct Table {
    row: Row,
    members: BTreeMap<HostId, Member>,
    /// Era in which the table was last settled.
    settled: Era,
}

impl Table {
    fn is_settled(&self) -> bool {
        self.settled == self.row.revision.era
    }
}

struct Host {
    /// Table of an era that is not settled, and when this host first saw it.
    restored: Option<(Table, Settlement)>,
    reconciled: Option<Era>,
    lease: Lease,
    incarnation: u64,
    row: Option<Row>,
    paused_until: Time,
    partitioned_until: Time,
    sent: BTreeMap<u64, Time>,
    number: u64,
    last_heartbeats: BTreeMap<HostId, (u64, u64, Time)>,
    promotion: Option<(Row, Barrier)>,
    /// Record of a call that may still take effect, and the time until which it may.
    call_in_flight: Option<(Row, Time)>,
    /// Fence of the last call that the platform accepted, and when.
    accepted_call: Option<(u64, Time)>,
    history: History,
    next_read: Time,
    meter: Meter,
    /// Loan requests in flight, and when they were sent.
    loan_requests: Vec<(LoanRequest, Time)>,
    /// Deadlines of requests that wait for a loan.
    waiting: Vec<Time>,
}

/// Creates the meter of a host that had its share before.
fn meter(id: HostId, now: Time, defect: Defect) -> Meter {
    let members: BTreeSet<HostId> = (0..HOSTS).collect();
    let (rate, burst) = match defect {
        Defect::CountsAlone => (micro(RATE), micro(BURST)),
        _ => rate_share(ACCOUNT, (RATE, BURST), &members, id, HOSTS as usize),
    };
    let mut meter = Meter::new(LIMITS.validity + LIMITS.clock_drift_margin, true);
    meter.set_peers(members.into_iter().filter(|peer| *peer != id).collect());
    meter.open_share(ACCOUNT, rate, burst, INITIAL_TOKENS, now);
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
    /// Separate generator for requests and loans, so that seeds that have found a fault still
    /// produce the same events.
    rate_rng: StdRng,
    defect: Defect,
    /// Mean time in milliseconds before a host takes over another host's promotion.
    takeover_delay: u64,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    table: Table,
    /// Whether the store is restored from time to time, and copies of it, the oldest first.
    has_restores: bool,
    copies: VecDeque<Table>,
    restore_rng: StdRng,
    restores: u64,
    /// Host that used each fence.
    fences: BTreeMap<u64, HostId>,
    messages: Vec<(u64, HostId, Message)>,
    /// Promotions that the platform has accepted: when they take effect, and the target.
    accepted_promotions: Vec<(u64, usize)>,
    /// Times in milliseconds at which requests of the account were admitted.
    admitted: Vec<u64>,
    /// Times at which commits were acknowledged, and the commits.
    acknowledged: Vec<(u64, Position)>,
    last_promotion: u64,
    violations: Vec<String>,
    served: u64,
    promotions: u64,
}

fn member(incarnation: u64) -> Member {
    let address = "127.0.0.1:1".parse().expect("an address");
    Member { incarnation, address, domain: "a".into(), entered: Duration::ZERO }
}

impl World {
    fn new(seed: u64, defect: Defect, has_restores: bool) -> World {
        let members: BTreeMap<HostId, Member> = (0..HOSTS).map(|id| (id, member(1))).collect();
        let revision = Revision::new(0, 1);
        let row = Row { revision, fence: 1, primary: 0, established: true, term: 1 };
        let host = |id| Host {
            restored: None,
            reconciled: None,
            lease: Lease::new(id, 1, LIMITS),
            incarnation: 1,
            row: None,
            paused_until: Time::ZERO,
            partitioned_until: Time::ZERO,
            sent: BTreeMap::new(),
            number: 0,
            last_heartbeats: BTreeMap::new(),
            promotion: None,
            call_in_flight: None,
            accepted_call: None,
            history: History::default(),
            next_read: Time::ZERO,
            meter: meter(id, Time::ZERO, defect),
            loan_requests: Vec::new(),
            waiting: Vec::new(),
        };
        let target = |index| Target { alive: true, term: 1, leads: index == 0, log: Vec::new() };
        World {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            rate_rng: StdRng::seed_from_u64(seed),
            defect,
            takeover_delay: if seed.is_multiple_of(2) { 400 } else { 50 },
            hosts: (0..HOSTS).map(host).collect(),
            targets: (0..TARGETS).map(target).collect(),
            table: Table { row, members, settled: 0 },
            has_restores,
            copies: VecDeque::new(),
            restore_rng: StdRng::seed_from_u64(seed),
            restores: 0,
            fences: BTreeMap::new(),
            messages: Vec::new(),
            accepted_promotions: Vec::new(),
            admitted: Vec::new(),
            acknowledged: Vec::new(),
            last_promotion: 0,
            violations: Vec::new(),
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
        while self.now < STEPS && self.violations.is_empty() {
            self.now += 1;
            self.inject_faults();
            if self.has_restores {
                self.copy_and_restore();
            }
            self.deliver();
            self.replicate();
            for id in 0..HOSTS {
                if self.is_awake(id) {
                    self.step(id);
                }
            }
        }
    }

    fn inject_faults(&mut self) {
        if self.chance(400) {
            let id = self.rng.random_range(0..HOSTS);
            let until = ms(self.now + self.rng.random_range(50..900));
            self.host(id).paused_until = until;
        }
        if self.chance(300) {
            let id = self.rng.random_range(0..HOSTS);
            let until = ms(self.now + self.rng.random_range(50..1500));
            self.host(id).partitioned_until = until;
        }
        if self.chance(500) {
            let until = ms(self.now + self.rng.random_range(50..1200));
            for host in &mut self.hosts {
                host.partitioned_until = until;
            }
        }
        if self.chance(700) {
            let id = self.rng.random_range(0..HOSTS);
            self.restart(id);
        }
        if self.chance(300) {
            let primary = self.table.row.primary;
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
        host.lease = Lease::new(id, incarnation, LIMITS);
        host.row = None;
        host.restored = None;
        host.reconciled = None;
        host.promotion = None;
        host.call_in_flight = None;
        host.accepted_call = None;
        host.history = History::default();
        host.last_heartbeats.clear();
        host.sent.clear();
        host.meter = meter(id, now, defect);
        host.loan_requests.clear();
        host.waiting.clear();
        // The new incarnation is recorded, as a change of the table, before it reads.
        self.table.members.insert(id, member(incarnation));
        self.table.row.revision.version += 1;
    }

    /// Takes copies of the store, and now and then sets it back to one of them.
    fn copy_and_restore(&mut self) {
        if self.now.is_multiple_of(COPY_INTERVAL) {
            self.copies.push_back(self.table.clone());
            self.copies.truncate(MAX_COPIES);
            if self.copies.len() == MAX_COPIES {
                self.copies.pop_front();
            }
        }
        if self.restore_rng.random_range(0..1200) != 0 {
            return;
        }
        let Some(copy) = self.copies.front().cloned() else { return };
        let era = self.table.row.revision.era + 1;
        self.table = copy;
        self.table.row.revision.era = era;
        self.copies.clear();
        self.restores += 1;
        if self.restore_rng.random_range(0..3) == 0 {
            (0..HOSTS).for_each(|id| self.restart(id));
        }
    }

    /// Writes a change of the table if nothing else has changed since `expected`. Returns whether
    /// it did.
    fn write(&mut self, id: HostId, expected: Revision, change: impl FnOnce(&mut Table)) -> bool {
        let is_partitioned = self.hosts[id as usize].partitioned_until > ms(self.now);
        if is_partitioned || self.table.row.revision != expected {
            return false;
        }
        change(&mut self.table);
        self.table.row.revision.version += 1;
        true
    }

    /// Completes a restored table with what this host remembers, and settles it.
    fn reconcile(&mut self, id: HostId) {
        let (now, defect) = (ms(self.now), self.defect);
        let host = &mut self.hosts[id as usize];
        let Some((restored, settlement)) = &mut host.restored else { return };
        let (expected, era) = (restored.row.revision, restored.row.revision.era);
        let mut members = host.lease.members().clone();
        if members.get(&id).is_none_or(|own| own.incarnation != host.incarnation) {
            members.insert(id, member(host.incarnation));
        }
        let is_lost = |(other, row): &(&HostId, &Member)| match restored.members.get(*other) {
            None => true,
            Some(known) => **other == id && known.incarnation != row.incarnation,
        };
        let lost: Vec<(HostId, Member)> =
            members.iter().filter(is_lost).map(|(other, row)| (*other, row.clone())).collect();
        let is_newer = |own: &Row| {
            (own.fence, own.established) > (restored.row.fence, restored.row.established)
        };
        let own_row = host.row.filter(is_newer).filter(|_| defect != Defect::ForgetsRecords);
        if !lost.is_empty() || own_row.is_some() {
            self.write(id, expected, |table| {
                table.members.extend(lost);
                if let Some(own) = own_row {
                    table.row = Row { revision: table.row.revision, ..own };
                }
            });
            return;
        }
        host.reconciled = Some(era);
        members.extend(restored.members.clone());
        if settlement.is_due(now, &host.lease, &members) {
            self.write(id, expected, |table| table.settled = era);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<(u64, HostId, Message)> =
            self.messages.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.messages.retain(|(at, ..)| *at > now);
        for (_, to, message) in due {
            match message {
                Message::Promote { host, fence, target, sent } => {
                    self.call(host, fence, target, sent)
                }
                message if !self.is_awake(to) => self.messages.push((now + 1, to, message)),
                Message::Borrow { from, request, sent_at } => {
                    self.with_rate_rng(|world| world.lend(to, from, request, sent_at));
                }
                Message::Loan { request, sent_at, count } => {
                    self.borrow(to, request, sent_at, count)
                }
                message => self.receive(to, message),
            }
        }
        let due: Vec<usize> = self
            .accepted_promotions
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, target)| *target)
            .collect();
        self.accepted_promotions.retain(|(at, _)| *at > now);
        for target in due {
            self.lead(target);
        }
    }

    /// The platform accepts a promotion call, unless it was cancelled before it arrived.
    fn call(&mut self, host: HostId, fence: u64, target: usize, sent: Time) {
        let was_cancelled = ms(self.now) > sent + ms(CALL_TIMEOUT);
        let first = *self.fences.entry(fence).or_insert(host);
        if first != host {
            let violation = format!("{}: hosts {first} and {host} use fence {fence}", self.now);
            self.violations.push(violation);
        }
        if was_cancelled || !self.targets[target].alive {
            return;
        }
        let now = ms(self.now);
        self.host(host).accepted_call = Some((fence, now));
        let time = self.rng.random_range(20..=MAX_PROMOTION_TIME);
        self.accepted_promotions.push((self.now + time, target));
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
            // A primary that was replaced learns of it only after some time.
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

    fn step(&mut self, id: HostId) {
        let now = ms(self.now);
        if now >= self.hosts[id as usize].next_read {
            self.host(id).next_read = now + ms(60);
            self.read_store(id);
        }
        if self.now % 50 == u64::from(id) {
            self.send_heartbeat(id);
        }
        self.reconcile(id);
        self.promote(id);
        if self.chance(3) {
            self.use_primary(id);
        }
        if self.chance(6) {
            self.read_replica(id);
        }
        self.with_rate_rng(|world| world.request_admission(id));
    }

    fn with_rate_rng(&mut self, act: impl FnOnce(&mut World)) {
        std::mem::swap(&mut self.rng, &mut self.rate_rng);
        act(self);
        std::mem::swap(&mut self.rng, &mut self.rate_rng);
    }

    /// Sends requests of the account, at a rate that applies over all hosts together.
    fn request_admission(&mut self, id: HostId) {
        if self.chance(u64::from(HOSTS) * 1000 / (DEMAND * u64::from(RATE))) {
            let now = ms(self.now);
            let decision = self.host(id).meter.request(ACCOUNT, now);
            self.apply_decision(id, decision);
        }
        self.process_waiting(id);
    }

    fn apply_decision(&mut self, id: HostId, decision: Decision) {
        match decision {
            Decision::Admit => self.admit(id),
            Decision::Wait(deadline) => self.host(id).waiting.push(deadline),
            Decision::Refuse(_) => {}
        }
    }

    fn admit(&mut self, id: HostId) {
        let now = self.now;
        self.admitted.push(now);
        let recent = self.admitted.iter().rev().take_while(|at| **at + WINDOW > now).count();
        if recent > MAX_ADMISSIONS {
            self.violations
                .push(format!("{now}: host {id} admits request {recent} within one window"));
        }
    }

    /// Requests loans, cancels those that are late, and retries requests that wait.
    fn process_waiting(&mut self, id: HostId) {
        let now = ms(self.now);
        let host = self.host(id);
        host.meter.tick(now);
        let late = |(_, sent_at): &mut (LoanRequest, Time)| *sent_at + LOAN_LIFETIME < now;
        for (request, sent_at) in host.loan_requests.extract_if(.., late).collect::<Vec<_>>() {
            host.meter.receive(request, 0, sent_at, now);
        }
        for deadline in std::mem::take(&mut self.host(id).waiting) {
            let decision = self.host(id).meter.retry(ACCOUNT, deadline, now);
            self.apply_decision(id, decision);
        }
        for request in self.host(id).meter.loan_requests(ACCOUNT, now) {
            self.host(id).loan_requests.push((request, now));
            self.send(request.peer, Message::Borrow { from: id, request, sent_at: now });
        }
    }

    fn lend(&mut self, id: HostId, borrower: HostId, request: LoanRequest, sent_at: Time) {
        let LoanRequest { account, count, sequence, .. } = request;
        let token_request = TokenRequest { host: borrower, account, count, version: 1, sequence };
        let now = ms(self.now);
        let count = self.host(id).meter.lend(&token_request, now);
        self.send(borrower, Message::Loan { request, sent_at, count });
    }

    fn borrow(&mut self, id: HostId, request: LoanRequest, sent_at: Time, count: u32) {
        let now = ms(self.now);
        let host = self.host(id);
        let known = host.loan_requests.len();
        host.loan_requests.retain(|(other, _)| *other != request);
        if host.loan_requests.len() < known {
            host.meter.receive(request, count, sent_at, now);
        }
    }

    fn read_store(&mut self, id: HostId) {
        let now = ms(self.now);
        if self.hosts[id as usize].partitioned_until > now {
            return;
        }
        let table = self.table.clone();
        self.send(id, Message::Read { to: id, sent: now, table });
    }

    fn send_heartbeat(&mut self, id: HostId) {
        let (now, defect) = (ms(self.now), self.defect);
        let host = self.host(id);
        let row = host.row;
        if row.is_none() && host.restored.is_none() {
            return;
        }
        host.number += 1;
        let number = host.number;
        host.sent.insert(number, now);
        let attestation = Attestation {
            host: id,
            incarnation: host.incarnation,
            revision: host.lease.revision(),
            quiesced: host.quiesced(now, defect),
            renewal_age: host.lease.renewal_age(now),
            reconciled: host.reconciled,
            majority_age: host.lease.majority_age(now),
        };
        let last_heartbeats = host.last_heartbeats.clone();
        for peer in (0..HOSTS).filter(|peer| *peer != id) {
            let echo = last_heartbeats.get(&peer).map(|(_, number, at)| (*number, now - *at));
            self.send(peer, Message::Heartbeat { from: id, attestation, echo, number, row });
        }
    }

    fn receive(&mut self, id: HostId, message: Message) {
        let now = ms(self.now);
        let platform = now;
        let defect = self.defect;
        let host = &mut self.hosts[id as usize];
        match message {
            Message::Read { to, sent, table } => {
                assert_eq!(to, id);
                host.lease.set_platform_clock(now, platform + Duration::from_secs(60));
                if !table.is_settled() && defect != Defect::TrustsRestores {
                    return host.record_restored(now, table);
                }
                let Table { row, members, .. } = table;
                host.restored = host
                    .restored
                    .take()
                    .filter(|(restored, _)| restored.row.revision.era > row.revision.era);
                if members.get(&id).is_none_or(|m| m.incarnation != host.incarnation) {
                    return;
                }
                if host.row.is_none_or(|known| known.revision < row.revision) {
                    host.row = Some(row);
                    host.lease.adopt(row.revision, members);
                }
                host.lease.renew(sent, row.revision);
            }
            Message::Heartbeat { from, attestation, echo, number, row } => {
                let is_later = host.last_heartbeats.get(&from).is_none_or(|(run, known, _)| {
                    *run != attestation.incarnation || *known < number
                });
                if is_later {
                    host.last_heartbeats.insert(from, (attestation.incarnation, number, now));
                }
                if let Some((echoed, delay)) = echo
                    && let Some(sent) = host.sent.get(&echoed)
                {
                    host.lease.record_attestation(*sent + delay, attestation);
                }
                // The peer reports that the candidate leads, under the same fence.
                if let (Some(known), Some(row)) = (&mut host.row, row)
                    && known.fence == row.fence
                    && row.established
                {
                    (known.established, known.term) = (true, row.term);
                }
            }
            Message::Promote { .. } | Message::Borrow { .. } | Message::Loan { .. } => {}
        }
    }

    /// Advances this host's promotion: writes the record, waits until it is in force, calls the
    /// platform, and records the result.
    fn promote(&mut self, id: HostId) {
        let now = ms(self.now);
        let defect = self.defect;
        let is_partitioned = self.hosts[id as usize].partitioned_until > now;
        let host = &mut self.hosts[id as usize];
        let Some(row) = host.row else { return };
        let holds_lease = host.lease.is_held(now);
        if let Some((mut promoted, mut barrier)) = host.promotion.take() {
            if row.fence == promoted.fence && row.revision.era > promoted.revision.era {
                promoted = Row { revision: row.revision, ..promoted };
                barrier = Barrier::new(row.revision, now);
            }
            let is_current = host.row.is_some_and(|r| r.fence == promoted.fence);
            if !is_current {
                return;
            }
            let has_quiesced = host.quiesced(now, defect) >= promoted.revision;
            let has_passed = barrier.has_passed(&host.lease, now);
            let in_force = defect == Defect::DoesNotWait || (has_quiesced && has_passed);
            if !in_force || !holds_lease {
                host.promotion = Some((promoted, barrier));
                return;
            }
            let target = promoted.primary;
            let term = self.targets[target].term;
            let accepted_call =
                self.hosts[id as usize].accepted_call.filter(|(fence, _)| *fence == promoted.fence);
            let has_taken_effect =
                accepted_call.is_some_and(|(_, at)| now >= at + ms(3 * MAX_PROMOTION_TIME));
            let is_promoted =
                defect == Defect::TrustsRoles || term > promoted.term || has_taken_effect;
            if self.targets[target].leads && is_promoted {
                if let Some(row) = &mut self.hosts[id as usize].row {
                    (row.established, row.term) = (true, term);
                }
                let stored = &mut self.table.row;
                let is_same_era = stored.revision.era == promoted.revision.era;
                if !is_partitioned && is_same_era && stored.fence == promoted.fence {
                    (stored.established, stored.term) = (true, term);
                    stored.revision.version += 1;
                }
                return;
            }
            self.hosts[id as usize].promotion = Some((promoted, barrier));
            if self.now.is_multiple_of(40) {
                let until = now + ms(CALL_TIMEOUT + MAX_PROMOTION_TIME);
                self.host(id).call_in_flight = Some((promoted, until));
                self.send(
                    id,
                    Message::Promote { host: id, fence: promoted.fence, target, sent: now },
                );
            }
            return;
        }
        let is_dead = !self.targets[row.primary].alive || !self.targets[row.primary].leads;
        // A promotion in progress is not taken over at once; the delay differs between seeds.
        let takeover_delay = if row.established { 10 } else { self.takeover_delay };
        let is_same_era = row.revision.era == self.table.row.revision.era;
        let is_newest = is_same_era && row.fence == self.table.row.fence;
        let may_write = holds_lease && !is_partitioned && is_newest && self.table.is_settled();
        if !may_write || !is_dead || !self.chance(takeover_delay) {
            return;
        }
        let candidate = (row.primary + 1 + self.rng.random_range(0..TARGETS - 1)) % TARGETS;
        let mut revision = self.table.row.revision;
        revision.version += 1;
        let seen = self.targets.iter().map(|target| target.term).max();
        let first_fence = match self.defect {
            Defect::ReusesFences => 0,
            _ => revision.era * FENCES_PER_ERA,
        };
        let fence = row.fence.max(first_fence) + 1;
        let term = row.term.max(seen.unwrap_or_default());
        self.table.row = Row { revision, fence, primary: candidate, established: false, term };
        let written = self.table.row;
        let members = self.table.members.clone();
        let host = self.host(id);
        host.row = Some(written);
        host.lease.adopt(written.revision, members);
        host.promotion = Some((written, Barrier::new(written.revision, now)));
    }

    /// The primary that a host would use now, if any.
    fn usable_primary(&self, id: HostId) -> Option<usize> {
        let host = &self.hosts[id as usize];
        let row = host.row.filter(|row| row.established)?;
        let may = self.defect == Defect::IgnoresLease || host.lease.is_held(ms(self.now));
        let target = &self.targets[row.primary];
        (may && target.alive && target.leads).then_some(row.primary)
    }

    /// Runs a write, or a read that has to see every commit, at the primary that the host would
    /// use.
    fn use_primary(&mut self, id: HostId) {
        let Some(primary) = self.usable_primary(id) else { return };
        self.served += 1;
        let newest = self.acknowledged.last().map(|(_, position)| *position);
        let target = &self.targets[primary];
        if newest.is_some_and(|newest| target.log.binary_search(&newest).is_err()) {
            let violation = format!(
                "{}: host {id} reads at target {primary}, which lacks an acknowledged commit",
                self.now
            );
            self.violations.push(violation);
            return;
        }
        let is_newest = self.targets.iter().all(|t| !t.leads || t.term <= target.term);
        if !is_newest {
            let violation =
                format!("{}: host {id} commits at superseded primary {primary}", self.now);
            self.violations.push(violation);
            return;
        }
        let position = Position { term: target.term, number: self.now };
        self.targets[primary].log.push(position);
        self.acknowledged.push((self.now, position));
        let late = self.defect == Defect::DatesObservationsLate;
        // With the defect, the request was sent some time ago and its response shows the log then.
        let (at, seen) = if late {
            let before = self.targets[primary].log.iter().rev().nth(12).copied();
            (ms(self.now), before.unwrap_or(position))
        } else {
            (ms(self.now), position)
        };
        let now = ms(self.now);
        self.host(id).history.observe(now, Observation { at, position: seen });
    }

    /// Runs a read with a staleness bound at any target whose log covers the floor.
    fn read_replica(&mut self, id: HostId) {
        let now = ms(self.now);
        let Some(floor) = self.hosts[id as usize].history.bounded_floor(now, STALENESS_BOUND)
        else {
            return;
        };
        let index = self.rng.random_range(0..TARGETS);
        let target = &self.targets[index];
        let last = target.log.last().copied().unwrap_or_default();
        if !target.alive || last < floor {
            return;
        }
        self.served += 1;
        let cutoff = self.now.saturating_sub(200);
        let newest = self.acknowledged.iter().rev().find(|(at, _)| *at < cutoff);
        let missed = newest.filter(|(_, position)| target.log.binary_search(position).is_err());
        if let Some((at, position)) = missed {
            let violation = format!(
                "{}: host {id} reads at target {index}, which lacks {position}, acknowledged at {at}",
                self.now
            );
            self.violations.push(violation);
        }
    }
}

/// Result of a search: the first violation, and how much work was done.
#[derive(Debug, Default)]
struct SearchResult {
    violation: Option<String>,
    served: u64,
    promotions: u64,
    admitted: usize,
    restores: u64,
}

/// Runs the seeds up to the first violation.
fn search(seeds: std::ops::Range<u64>, defect: Defect) -> SearchResult {
    search_with(seeds, defect, false)
}

/// As [`search`], with restores of the store.
fn search_restores(seeds: std::ops::Range<u64>, defect: Defect) -> SearchResult {
    search_with(seeds, defect, true)
}

fn search_with(seeds: std::ops::Range<u64>, defect: Defect, has_restores: bool) -> SearchResult {
    let mut found = SearchResult::default();
    for seed in seeds {
        let mut world = World::new(seed, defect, has_restores);
        world.run();
        found.served += world.served;
        found.promotions += world.promotions;
        found.admitted += world.admitted.len();
        found.restores += world.restores;
        if let Some(violation) = world.violations.first() {
            found.violation = Some(format!("seed {seed}: {violation}"));
            return found;
        }
    }
    found
}

#[test]
fn no_host_uses_a_superseded_primary_or_an_old_log_or_exceeds_a_rate() {
    let SearchResult { violation, served, promotions, admitted, .. } = search(0..150, Defect::None);
    assert_eq!(violation, None);
    assert!(served > 10_000, "only {served} statements were served");
    assert!(promotions > 60, "only {promotions} promotions");
    assert!(admitted > 10_000, "only {admitted} requests were admitted");
}

#[test]
fn a_host_that_ignores_its_lease_is_found() {
    assert!(search(0..600, Defect::IgnoresLease).violation.is_some());
}

#[test]
fn a_host_that_does_not_wait_is_found() {
    assert!(search(0..600, Defect::DoesNotWait).violation.is_some());
}

#[test]
fn a_host_that_trusts_roles_is_found() {
    assert!(search(0..600, Defect::TrustsRoles).violation.is_some());
}

#[test]
fn a_host_that_forgets_its_calls_is_found() {
    assert!(search(0..600, Defect::ForgetsCalls).violation.is_some());
}

#[test]
fn a_host_that_dates_observations_late_is_found() {
    assert!(search(0..600, Defect::DatesObservationsLate).violation.is_some());
}

#[test]
fn a_host_that_counts_alone_is_found() {
    assert!(search(0..600, Defect::CountsAlone).violation.is_some());
}

/// Guards against a store that comes back from an older copy: records that it has lost must neither
/// be forgotten by those that use them nor stop the next promotion.
#[test]
fn no_host_breaks_a_rule_while_the_store_is_restored() {
    let SearchResult { violation, served, promotions, restores, .. } =
        search_restores(0..300, Defect::None);
    assert_eq!(violation, None);
    assert!(served > 10_000, "only {served} statements were served");
    assert!(promotions > 60, "only {promotions} promotions");
    assert!(restores > 200, "only {restores} restores");
}

#[test]
fn a_host_that_trusts_restored_tables_is_found() {
    assert!(search_restores(0..600, Defect::TrustsRestores).violation.is_some());
}

#[test]
fn a_host_that_forgets_its_records_is_found() {
    assert!(search_restores(0..600, Defect::ForgetsRecords).violation.is_some());
}

#[test]
fn a_host_that_reuses_fences_is_found() {
    assert!(search_restores(0..600, Defect::ReusesFences).violation.is_some());
}
