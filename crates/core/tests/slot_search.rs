//! Seeded random search for violations of a target's connection limit.
//!
//! Hosts lend slots to each other while messages are lost, delayed and repeated, hosts pause, and
//! members leave and rejoin. The slots that all hosts may use must never exceed the limit.
//! Variants with a deliberate defect show that the check detects violations.

use bergamotvale_core::id::{Epoch, HostId, Time};
use bergamotvale_core::peer::SlotRequest;
use bergamotvale_core::random::Source;
use bergamotvale_core::rendezvous::Subject;
use bergamotvale_core::share::{self, DivisionCounter};
use bergamotvale_core::slot::{LOAN_LEASE, Ledger, LoanRequest, growth_delay};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 1_500;
const STEPS: u32 = 600;
/// Maximum number of messages in flight; the oldest is dropped.
const MAX_MESSAGES: usize = 12;
const LOW_CHURN: u64 = 200;
const HIGH_CHURN: u64 = 1_000;
const HOSTS: HostId = 4;
const AUTHORITY_VALIDITY: Duration = Duration::from_millis(1_500);

/// A defect that is deliberately added to the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// The borrower measures its lease from the response instead of the request.
    LeaseFromAnswer,
    /// A share grows while the old division is still valid.
    GrowAtOnce,
    /// A host does not notice that it has missed a member table.
    MissedTable,
    /// A delayed return is applied although a newer loan was requested.
    LateReturn,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Request { to: HostId, loan_request: LoanRequest, request: SlotRequest },
    Response { to: HostId, loan_request: LoanRequest, total: u32 },
    Return { to: HostId, request: SlotRequest },
}

struct World {
    random: Source,
    defect: Defect,
    limit: u32,
    /// Probability, in thousandths, that a chosen host leaves or rejoins.
    churn: u64,
    now: Time,
    hosts: BTreeMap<HostId, Ledger>,
    paused: BTreeMap<HostId, Time>,
    epoch: Epoch,
    members: BTreeSet<HostId>,
    seen: BTreeMap<HostId, DivisionCounter>,
    messages: Vec<Message>,
    loans_made: u32,
}

impl World {
    fn new(seed: u64, limit: u32, defect: Defect) -> World {
        let growth_delay = match defect {
            Defect::GrowAtOnce => Duration::ZERO,
            _ => growth_delay(AUTHORITY_VALIDITY),
        };
        let hosts = (1..=HOSTS).map(|host| (host, Ledger::new(1, growth_delay))).collect();
        let mut world = World {
            random: Source::new(seed),
            defect,
            limit,
            churn: if seed.is_multiple_of(2) { LOW_CHURN } else { HIGH_CHURN },
            now: Time::ZERO,
            hosts,
            paused: BTreeMap::new(),
            epoch: 1,
            members: (1..=HOSTS).collect(),
            seen: (1..=HOSTS).map(|host| (host, DivisionCounter::default())).collect(),
            messages: Vec::new(),
            loans_made: 0,
        };
        (1..=HOSTS).for_each(|host| world.refresh(host));
        world
    }

    fn step(&mut self) {
        self.now += self.random.time_below(Duration::from_millis(60));
        let host = 1 + self.random.below(u64::from(HOSTS)) as HostId;
        match self.random.below(100) {
            0..=24 if self.is_running(host) => self.request_loan(host),
            25..=34 if self.is_running(host) => self.return_loans(host),
            35..=79 => self.deliver(),
            80..=93 if self.is_running(host) => self.refresh(host),
            94..=96 => self.pause(host),
            97 if self.random.chance(self.churn) => self.change_membership(host),
            _ => {}
        }
    }

    fn is_running(&self, host: HostId) -> bool {
        self.paused.get(&host).is_none_or(|until| self.now >= *until)
    }

    /// The host reads the members, which renews its authority.
    fn refresh(&mut self, host: HostId) {
        let subject = Subject::Connection(1);
        let share = match self.members.contains(&host) {
            true => share::share_of(u64::from(self.limit), &self.members, host, subject, 64),
            false => 0,
        };
        let seen = self.seen.get_mut(&host).expect("a host of the world");
        let epoch = match self.defect {
            Defect::MissedTable => 1,
            _ => self.epoch,
        };
        seen.adopt(epoch, &self.members);
        let generation = seen.generation();
        let ledger = self.hosts.get_mut(&host).expect("a host of the world");
        ledger.set_share(self.now, generation, share as u32);
        ledger.extend_authority(self.now + AUTHORITY_VALIDITY);
    }

    fn request(host: HostId, count: u32, sequence: u64) -> SlotRequest {
        SlotRequest { host, service: 1, target: 1, count, sequence }
    }

    fn request_loan(&mut self, host: HostId) {
        let lender = 1 + self.random.below(u64::from(HOSTS)) as HostId;
        if lender == host {
            return;
        }
        let total = self.random.below(u64::from(self.limit) + 1) as u32;
        let ledger = self.hosts.get_mut(&host).expect("a host of the world");
        let loan_request = ledger.request_loan(self.now, lender, total);
        let request = World::request(host, total, loan_request.sequence);
        self.messages.push(Message::Request { to: lender, loan_request, request });
    }

    fn return_loans(&mut self, host: HostId) {
        let ledger = self.hosts.get_mut(&host).expect("a host of the world");
        let Some((lender, held)) = ledger.borrowed(self.now).into_iter().next() else { return };
        let total = self.random.below(u64::from(held)) as u32;
        let sequence = ledger.return_loans(lender, total);
        let request = World::request(host, total, sequence);
        self.messages.push(Message::Return { to: lender, request });
    }

    /// Delivers a random message, unless it is lost or its receiver is paused.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        if self.messages.len() > MAX_MESSAGES {
            self.messages.remove(0);
        }
        let at = self.random.below(self.messages.len() as u64) as usize;
        let message = self.messages[at];
        let (Message::Request { to, .. }
        | Message::Response { to, .. }
        | Message::Return { to, .. }) = message;
        if !self.is_running(to) {
            return;
        }
        let repeated = self.random.chance(50);
        if !repeated {
            self.messages.swap_remove(at);
        }
        if self.random.chance(50) {
            return;
        }
        let now = self.now;
        let spare = self.random.below(u64::from(self.limit) + 1) as u32;
        let ledger = self.hosts.get_mut(&to).expect("a host of the world");
        match message {
            Message::Request { loan_request, request, .. } => {
                let total = ledger.lend(now, &request, spare);
                self.loans_made += u32::from(total > 0);
                self.messages.push(Message::Response { to: request.host, loan_request, total });
            }
            Message::Response { loan_request, total, .. } => {
                let sent_at =
                    if self.defect == Defect::LeaseFromAnswer { now } else { loan_request.sent_at };
                ledger.record_grant(now, LoanRequest { sent_at, ..loan_request }, total);
            }
            Message::Return { mut request, .. } => {
                if self.defect == Defect::LateReturn {
                    request.sequence = u64::MAX;
                }
                ledger.record_return(&request);
            }
        }
    }

    fn pause(&mut self, host: HostId) {
        let time = self.random.time_below(LOAN_LEASE * 4);
        self.paused.insert(host, self.now + time);
    }

    fn change_membership(&mut self, host: HostId) {
        self.epoch += 1;
        if !self.members.remove(&host) {
            self.members.insert(host);
        }
    }

    fn used(&mut self) -> u32 {
        let now = self.now;
        self.hosts.values_mut().map(|ledger| ledger.usable(now)).sum()
    }
}

fn search(limit: u32, defect: Defect) -> (Option<String>, u32) {
    let mut lent = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, limit, defect);
        for step in 0..STEPS {
            world.step();
            let used = world.used();
            if used > limit {
                return (Some(format!("seed {seed}, step {step}: {used} of {limit}")), lent);
            }
        }
        lent += world.loans_made;
    }
    (None, lent)
}

#[test]
fn shares_of_a_large_limit_hold() {
    let (violation, lent) = search(20, Defect::None);
    assert_eq!(violation, None);
    assert!(lent > 1_000, "only {lent} loans were made");
}

#[test]
fn shares_of_a_limit_below_the_hosts_hold() {
    let (violation, lent) = search(3, Defect::None);
    assert_eq!(violation, None);
    assert!(lent > 1_000, "only {lent} loans were made");
}

#[test]
fn lease_from_the_answer_is_found() {
    assert!(search(20, Defect::LeaseFromAnswer).0.is_some());
}

#[test]
fn growth_at_once_is_found() {
    assert!(search(20, Defect::GrowAtOnce).0.is_some());
}

#[test]
fn missed_member_table_is_found() {
    assert!(search(20, Defect::MissedTable).0.is_some());
}

#[test]
fn late_return_is_found() {
    assert!(search(20, Defect::LateReturn).0.is_some());
}
