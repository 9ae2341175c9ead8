//! Each step of a plan names the command line with the same effect, which the grammar must accept.
//! The two diverge if a command is renamed in only one of them.

use bergamotvale_cli::args;
use bergamotvale_core::config::{Account, Document, Key, KeyState, Service, Target, TargetState};
use bergamotvale_core::distribute::Row;
use bergamotvale_core::peer::Member;
use bergamotvale_core::plan::{self, Intent};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn document() -> Document {
    let target = |number: u16| Target {
        address: address(5000 + number),
        failure_domain: number,
        connections: 20,
        state: TargetState::Active,
    };
    let service = Service {
        name: "orders".to_owned(),
        targets: (0..3).map(|number| (number, target(number))).collect(),
        retention: Duration::from_secs(60),
    };
    let account = Account {
        name: "mill".to_owned(),
        rate: 100,
        burst: 50,
        weight: 1,
        services: BTreeSet::from([1]),
    };
    let digest = "0".repeat(64);
    let key = Key { account: 1, salt: digest.clone(), digest, state: KeyState::Active };
    Document {
        version: 3,
        services: BTreeMap::from([(1, service)]),
        accounts: BTreeMap::from([(1, account)]),
        keys: BTreeMap::from([(17, key)]),
        routes: BTreeMap::new(),
    }
}

fn row() -> Row {
    let member = Member {
        host: 4,
        incarnation: 1,
        peer_address: address(7000),
        failure_domain: 0,
        leaving: false,
    };
    Row { members: BTreeMap::from([(4, member)]), ..Row::default() }
}

fn intents() -> Vec<Intent> {
    let (service, account) = ("orders".to_owned(), "mill".to_owned());
    vec![
        Intent::Promote { service: service.clone(), target: 1 },
        Intent::DrainTarget { service: service.clone(), target: 1 },
        Intent::RestoreTarget { service, target: 1 },
        Intent::DrainHost { host: 4 },
        Intent::Rotate { account: account.clone(), key_id: 17 },
        Intent::Rate { account, rate: 200, burst: 60 },
    ]
}

#[test]
fn every_step_names_a_known_command() {
    let (document, row) = (document(), row());
    for intent in intents() {
        let record = plan::propose(1, &document, &row, intent).expect("a plan");

        for step in record.plan.steps {
            let parsed = args::parse(step.command.split_whitespace());

            assert!(parsed.is_ok(), "{}: {}", step.command, parsed.unwrap_err());
        }
    }
}
