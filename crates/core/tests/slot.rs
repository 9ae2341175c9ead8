//! Cases of loans between hosts.

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

const SETTLE: Duration = Duration::from_millis(1_550);

type Case = case::Case<Given, Happening>;

/// Parts of the hosts, in force since long ago.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    parts: BTreeMap<HostId, u32>,
}

/// An event; `name` stands for a request or a return that a later event delivers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Happening {
    at: u64,
    on: String,
    #[serde(default)]
    host: HostId,
    #[serde(default)]
    lender: HostId,
    #[serde(default)]
    total: u32,
    #[serde(default = "plenty")]
    spare: u32,
    #[serde(default)]
    name: String,
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    until: u64,
}

fn plenty() -> u32 {
    100
}

/// Events start this long after the parts were set, so that they are in force.
const START: Duration = Duration::from_secs(10);

#[derive(Default)]
struct World {
    hosts: BTreeMap<HostId, Ledger>,
    asked: BTreeMap<String, (LoanRequest, SlotRequest)>,
    returns: BTreeMap<String, (HostId, SlotRequest)>,
    totals: BTreeMap<String, u32>,
}

fn request(host: HostId, count: u32, sequence: u64) -> SlotRequest {
    SlotRequest { host, service: 1, target: 1, count, sequence }
}

impl World {
    fn new(given: &Given) -> World {
        let mut world = World::default();
        for (host, part) in &given.parts {
            let mut ledger = Ledger::new(1, SETTLE);
            ledger.set_share(Time::ZERO, 1, *part);
            ledger.extend_authority(START * 10);
            world.hosts.insert(*host, ledger);
        }
        world
    }

    fn host(&mut self, host: HostId) -> &mut Ledger {
        self.hosts.get_mut(&host).expect("a host of the case")
    }

    fn apply(&mut self, event: &Happening) -> Option<String> {
        let now = START + Duration::from_millis(event.at);
        let name = event.name.clone();
        match event.on.as_str() {
            "ask" => {
                let asked = self.host(event.host).request_loan(now, event.lender, event.total);
                let request = request(event.host, event.total, asked.sequence);
                self.asked.insert(name, (asked, request));
            }
            "lend" => {
                let (asked, request) = self.asked[&name];
                let total = self.host(asked.lender).lend(now, &request, event.spare);
                self.totals.insert(name, total);
            }
            "granted" => {
                let (asked, request) = self.asked[&name];
                let total = self.totals[&name];
                self.host(request.host).record_grant(now, asked, total);
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
