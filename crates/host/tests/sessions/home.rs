//! Home regions: an operation reaches no target in another region than those of its route and
//! account, and a refusal says which of them excludes the targets.

use crate::fixture::{self, BOUNDED_DB, Caller, Fleet, OTHER_KEY, STRICT_DB, eventually};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use serde_json::json;
use std::time::{Duration, Instant};

/// Starts a host; the primary is in region `east`, the replicas are in `west`.
fn start() -> Fleet {
    let fleet = Fleet::start_edited(1, fixture::catalog(), |settings| {
        settings["region"] = json!("east");
        settings["regions"] = json!({"a": "east", "b": "west"});
    });
    let group = fleet.system.groups[0].clone();
    let primary = group.primary().name.clone();
    let replicas = group.targets.iter().filter(|target| target.name != primary);
    replicas.for_each(|target| target.set_domain("b"));
    std::thread::sleep(Duration::from_secs(1));
    fleet
}

fn wait_for_configuration(fleet: &Fleet) {
    let version = fleet.catalog.version;
    eventually("the configuration is in force", || fleet.hosts[0].status().version == version);
}

/// Guards against reads and writes that leave the home regions of their route, and against callers
/// that wait for a primary that they may not use.
#[test]
fn an_operation_stays_in_the_home_regions_of_its_route() {
    let mut fleet = start();
    let mut reader = fleet.open_session(0, BOUNDED_DB);
    let mut writer = fleet.open_session(0, STRICT_DB);
    let primary = fleet.system.groups[0].primary();
    writer.expect_done(&caller::write("bolt", "1"), State::Idle);
    reader.expect_row(&caller::read("bolt"));
    fleet.reconfigure(|catalog| {
        for route in catalog.routes.values_mut() {
            route.home_regions.insert("west".into());
        }
    });
    wait_for_configuration(&fleet);
    let began = Instant::now();
    for _ in 0..20 {
        reader.expect_row(&caller::read("bolt"));
    }
    let asked = Instant::now();
    let refusal = writer.expect_refusal(&caller::write("bolt", "2"));
    assert_eq!(refusal, (Code::Busy, State::Idle));
    assert!(asked.elapsed() < Duration::from_secs(1), "the refusal is not immediate");
    assert!(primary.last_statement().is_some_and(|at| at < began));
    assert_eq!(fleet.hosts[0].events("refused")[0]["reason"], "home_of_route");
}

/// Guards against a misspelt region that goes unnoticed, or that stops other routes.
#[test]
fn a_home_region_without_targets_is_logged_and_refuses_its_route_alone() {
    let mut fleet = start();
    let mut strict = fleet.open_session(0, STRICT_DB);
    let mut bounded = fleet.open_session(0, BOUNDED_DB);
    fleet.reconfigure(|catalog| {
        let route = catalog.routes.get_mut(BOUNDED_DB).expect("the catalog has the route");
        route.home_regions.insert("nowhere".into());
    });
    wait_for_configuration(&fleet);
    assert_eq!(fleet.hosts[0].events("row_unreadable").len(), 1);
    assert_eq!(bounded.expect_refusal(&caller::read("bolt")).0, Code::Busy);
    strict.expect_done(&caller::write("bolt", "1"), State::Idle);
}

/// Guards against homes of an account that are ignored, that bind other accounts, or that a
/// refusal attributes to the route.
#[test]
fn homes_of_an_account_bind_that_account_alone() {
    let mut fleet = start();
    let mut session = fleet.open_session(0, STRICT_DB);
    let address = fleet.hosts[0].callers;
    let mut other = Caller::connect(address, STRICT_DB, OTHER_KEY).expect("the session opens");
    fleet.reconfigure(|catalog| {
        let route = catalog.routes.get_mut(STRICT_DB).expect("the catalog has the route");
        route.home_regions = ["east".into(), "west".into()].into();
        let mill = catalog.accounts.get_mut("mill").expect("the catalog has the account");
        mill.home_regions.insert("west".into());
    });
    wait_for_configuration(&fleet);
    assert_eq!(session.run(&caller::write("bolt", "1")).end, End::Error(Code::Busy));
    other.expect_done(&caller::write("bolt", "2"), State::Idle);
    assert_eq!(fleet.hosts[0].events("refused")[0]["reason"], "home_of_account");
}
