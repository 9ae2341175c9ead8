//! What session hosts show to on-call engineers: log events, status and latency metrics.

use crate::fixture::{Caller, Fleet, KEY, STRICT_DB, catalog, eventually};
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{End, State};
use bergamotvale_standin::lines::Outage;

/// Whether a host has logged a refusal with this reason.
fn has_refused(fleet: &Fleet, reason: &str) -> bool {
    let refusals = fleet.hosts.iter().flat_map(|host| host.events("refused"));
    refusals.into_iter().any(|event| event["reason"] == reason)
}

#[test]
fn refusals_by_rate_and_sessions_without_a_key_leave_their_lines() {
    let mut catalog = catalog();
    for account in catalog.accounts.values_mut() {
        (account.rate, account.burst) = (1, 1);
    }
    let fleet = Fleet::start_with(1, catalog);
    assert_eq!(Caller::connect(fleet.hosts[0].callers, "none", KEY).err(), {
        Some(Code::UnknownDatabase)
    });
    assert_eq!(Caller::connect(fleet.hosts[0].callers, STRICT_DB, "none").err(), {
        Some(Code::UnknownKey)
    });
    let mut session = fleet.open_session(0, STRICT_DB);
    eventually("the rate limit is exceeded", || {
        session.run(&caller::read("bolt")).end == End::Error(Code::Busy)
    });
    eventually("the refusal is logged", || has_refused(&fleet, "rate"));
    let closed = fleet.hosts[0].events("session_closed");
    let reasons: Vec<_> = closed.iter().filter_map(|event| event["reason"].as_str()).collect();
    assert_eq!(reasons, ["no such database", "no client account holds this key"]);
}

#[test]
fn a_lost_commit_answer_leaves_its_line_with_id_and_target() {
    let fleet = Fleet::start(1);
    let primary = fleet.system.groups[0].primary();
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    primary.drop_commit_responses(true);
    assert_eq!(session.expect_refusal(&caller::write("bolt", "2")).0, Code::Unknown);
    eventually("the refusal is logged", || has_refused(&fleet, "connection_lost"));
    let refusals = fleet.hosts[0].events("refused");
    let event = refusals.last().unwrap();
    assert_eq!(event["target"], primary.name.as_str());
    assert_eq!(event["code"], "unknown");
    assert!(event["request"].as_str().is_some_and(|id| !id.is_empty()));
}

#[test]
fn a_group_without_targets_refuses_with_the_reason_and_each_change_has_its_line() {
    let fleet = Fleet::start(2);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    for target in &fleet.system.groups[0].targets {
        target.crash();
    }
    eventually("the refusal is logged", || {
        session.expect_refusal(&caller::write("bolt", "2"));
        has_refused(&fleet, "primary_lost") || has_refused(&fleet, "no_primary")
    });
    let target_events = fleet.hosts[0].events("target");
    assert!(target_events.iter().any(|event| event["view"] == "lost"));
}

#[test]
fn a_store_that_falls_silent_is_lost_and_regained_and_the_lease_with_it() {
    let mut fleet = Fleet::start(2);
    fleet.hosts.pop();
    fleet.system.store.set_outage(Outage::Silent);
    let mut session = fleet.open_session(0, STRICT_DB);
    eventually("the lease expires", || {
        session.run(&caller::read("bolt")).end == End::Error(Code::Busy)
    });
    eventually("the refusal is logged", || has_refused(&fleet, "lease_lapsed"));
    fleet.system.store.set_outage(Outage::None);
    eventually("the lease is held again", || session.run(&caller::read("bolt")).end == End::Done);
    let leases = fleet.hosts[0].events("lease");
    let held: Vec<_> = leases.iter().filter_map(|event| event["held"].as_bool()).collect();
    assert_eq!(held, [true, false, true]);
    eventually("loss and recovery of the store are logged", || {
        let (lost, regained) = ("dependency_lost", "dependency_regained");
        !fleet.hosts[0].events(lost).is_empty() && !fleet.hosts[0].events(regained).is_empty()
    });
}

#[test]
fn state_and_times_are_served() {
    let fleet = Fleet::start(2);
    let mut session = fleet.open_session(0, STRICT_DB);
    session.expect_done(&caller::write("bolt", "1"), State::Idle);
    session.expect_done(&caller::read("bolt"), State::Idle);
    let status = fleet.hosts[0].status();
    let group = &status.groups["orders"];
    assert!(status.ready && status.lease.held && group.established);
    assert_eq!(group.primary, fleet.system.groups[0].primary().name);
    assert_eq!(status.members.len(), 2);
    assert_eq!(status.accounts["mill"].rate, 10_000);
    assert!(status.targets[&group.primary].connections >= 1);
    let metrics = fleet.hosts[0].metrics();
    assert!(metrics.contains("latency_primary_count 2"), "{metrics}");
    assert!(metrics.contains("connection_open_p99_us"), "{metrics}");
}
