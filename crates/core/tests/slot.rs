//! Cases of loans of connection slots between hosts.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::peer::SlotRequest;
use bergamotvale_core::slot::{Ledger, LoanRequest};
use common::case;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

const GROWTH_DELAY: Duration = Duration::from_millis(1_550);

type Case = case::Case<Given, TimedEvent>;

/// Shares of the hosts, all of which are usable when the events start.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    parts: BTreeMap<HostId, u32>,
}

/// An event; `name` identifies a request or a return that a later event delivers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimedEvent {
    at: u64,
    on: String,
    #[serde(default)]
    host: HostId,
    #[serde(default)]
    lender: HostId,
    #[serde(default)]
    total: u32,
    #[serde(default = "ample_spare")]
    spare: u32,
    #[serde(default)]
    name: String,
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    until: u64,
}

fn ample_spare() -> u32 {
    100
}

/// Delay from the setting of the shares to the first event, so that the shares are usable.
const START: Duration = Duration::from_secs(10);

#[derive(Default)]
struct World {
    hosts: BTreeMap<HostId, Ledger>,
    requests: BTreeMap<String, (LoanRequest, SlotRequest)>,
    returns: BTreeMap<String, (HostId, SlotRequest)>,
    totals: BTreeMap<String, u32>,
}

fn request(host: HostId, count: u32, sequence: u64) -> SlotRequest {
    SlotRequest { host, service: 1, target: 1, count, sequence }
}

impl World {
    fn new(given: &Given) -> World {
        let mut world = World::default();
        for (host, share) in &given.parts {
            let mut ledger = Ledger::new(1, GROWTH_DELAY);
            ledger.set_share(Time::ZERO, 1, *share);
            ledger.extend_authority(START * 10);
            world.hosts.insert(*host, ledger);
        }
        world
    }

    fn host(&mut self, host: HostId) -> &mut Ledger {
        self.hosts.get_mut(&host).expect("a host of the case")
    }

    fn apply(&mut self, event: &TimedEvent) -> Option<String> {
        let now = START + Duration::from_millis(event.at);
        let name = event.name.clone();
        match event.on.as_str() {
            "ask" => {
                let loan_request =
                    self.host(event.host).request_loan(now, event.lender, event.total);
                let request = request(event.host, event.total, loan_request.sequence);
                self.requests.insert(name, (loan_request, request));
            }
            "lend" => {
                let (loan_request, request) = self.requests[&name];
                let total = self.host(loan_request.lender).lend(now, &request, event.spare);
                self.totals.insert(name, total);
            }
            "granted" => {
                let (loan_request, request) = self.requests[&name];
                let total = self.totals[&name];
                self.host(request.host).record_grant(now, loan_request, total);
            }
            "give_back" => {
                let sequence = self.host(event.host).return_loans(event.lender, event.total);
                let request = request(event.host, event.total, sequence);
                self.returns.insert(name, (event.lender, request));
            }
            "take_back" => {
                let (lender, request) = self.returns[&name];
                self.host(lender).record_return(&request);
            }
            "part" => self.host(event.host).set_share(now, event.generation, event.total),
            "vouch" => {
                self.host(event.host).extend_authority(START + Duration::from_millis(event.until))
            }
            "look" => {
                let usable = |ledger: &mut Ledger| ledger.usable(now).to_string();
                let all: Vec<String> = self.hosts.values_mut().map(usable).collect();
                return Some(format!("{}: {}", event.at, all.join(" ")));
            }
            other => panic!("unknown event {other}"),
        }
        None
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let mut world = World::new(&case.given);
    Ok(case.events.iter().filter_map(|event| world.apply(event)).collect())
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/slot", pattern = r"\.yaml$" },
}
