//! Changes by operators: concurrent changes, lost responses, invalid input, plans and permissions.

mod common;
mod fleet;

use bergamotvale_core::config::KeyState;
use bergamotvale_host::shared::Host;
use common::{KEY, OTHER_KEY};
use fleet::{ALICE, BRUNO, Fleet, start_four};
use reqwest::Method;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::Arc;

fn lose_responses(fleet: &Fleet, answers: u64) {
    fleet.set_fault(|fault| fault.lost_responses = answers);
}

async fn propose(fleet: &Fleet, intent: Value) -> Value {
    let (status, plan) = fleet.post_as_alice(0, "plans", intent).await;
    assert_eq!(status, 201, "{plan}");
    assert_eq!(plan["state"], "proposed");
    plan
}

fn confirm_path(plan: &Value) -> String {
    format!("plans/{}/confirm", plan["id"])
}

fn rate_intent(rate: u32) -> Value {
    json!({"rate": {"account": "mill", "rate": rate, "burst": 900}})
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_issued_and_withdrawn_though_every_answer_is_lost_once() {
    let fleet = start_four().await;

    lose_responses(&fleet, 2);
    let (status, issued) = fleet.post_as_alice(1, "keys", json!({"account": "mill"})).await;
    assert_eq!(status, 201, "{issued}");
    let key = issued["key"].as_str().expect("the response contains the key").to_owned();
    fleet.wait_for_answer(2, &key, 200, "").await;
    lose_responses(&fleet, 1);
    let path = format!("keys/{}/withdraw", issued["key_id"]);
    let (status, body) = fleet.post_as_alice(3, &path, json!({})).await;

    assert_eq!(status, 200, "{body}");
    let version = body["accepted"].clone();
    assert_eq!(version, json!(3), "each change is accepted exactly once");
    for host in 0..4 {
        fleet.wait_for_answer(host, &key, 401, "key_withdrawn").await;
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_runs_to_its_end_though_answers_are_lost() {
    let fleet = start_four().await;

    lose_responses(&fleet, 1);
    let plan = propose(&fleet, rate_intent(700)).await;
    lose_responses(&fleet, 3);
    let (status, body) = fleet.post_as_alice(2, &confirm_path(&plan), json!({})).await;
    assert_eq!(status, 200, "{body}");
    let ended = fleet.wait_for_plan(1, &plan["id"]).await;

    assert_eq!(ended["state"], "done", "{ended}");
    assert_eq!(ended["confirmed_by"], "alice");
    let rates = || fleet.all_hosts().all(|host| host.document().accounts[&1].rate == 700);
    fleet.wait_for("the rate on every host", rates).await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_and_many_tries_one_confirms() {
    let fleet = start_four().await;
    let plan = propose(&fleet, rate_intent(800)).await;
    let path = confirm_path(&plan);

    let attempts = (0..8).map(|n| {
        let key = if n % 2 == 0 { ALICE } else { BRUNO };
        fleet.operate(n % 4, key, Method::POST, &path, None)
    });
    let answers = futures::future::join_all(attempts).await;

    let accepted = answers.iter().filter(|(status, _)| *status == 200).count();
    let rejected = answers.iter().filter(|(status, body)| {
        *status == 409 && (body["reason"] == "confirmed" || body["reason"] == "stale")
    });
    assert_eq!((accepted, rejected.count()), (1, 7), "{answers:?}");
    fleet.wait_for_plan(0, &plan["id"]).await;
    let (status, body) = fleet.post_as_alice(0, &path, json!({})).await;
    assert_eq!((status, &body["reason"]), (409, &json!("confirmed")));
    let audit = fleet.get_as_alice(3, "audit").await;
    let entries = audit["entries"].as_array().expect("the audit log has entries");
    let confirmed = entries.iter().filter(|entry| entry["action"] == "confirm");
    assert_eq!(confirmed.count(), 1, "{audit}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_conflicting_plans_one_wins_and_the_other_shows_what_changed() {
    let fleet = start_four().await;
    let first = propose(&fleet, rate_intent(500)).await;
    let second = propose(&fleet, rate_intent(600)).await;

    let (status, _) = fleet.post_as_alice(0, &confirm_path(&first), json!({})).await;
    assert_eq!(status, 200);
    fleet.wait_for_plan(0, &first["id"]).await;
    let (status, body) = fleet.post_as_alice(1, &confirm_path(&second), json!({})).await;

    assert_eq!((status, &body["reason"]), (409, &json!("stale")), "{body}");
    assert_eq!(body["changed"], json!(["version 1 is now 2", "client account 1"]));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rotation_overlaps_and_withdraws_the_old_key() {
    let fleet = start_four().await;
    let plan = propose(&fleet, json!({"rotate": {"account": "mill", "key_id": 1}})).await;

    let (status, body) = fleet.post_as_alice(0, &confirm_path(&plan), json!({})).await;
    assert_eq!(status, 200, "{body}");
    let new = body["issued"]["key"].as_str().expect("the response contains the key").to_owned();
    fleet.wait_for_answer(1, &new, 200, "").await;
    let ended = fleet.wait_for_plan(2, &plan["id"]).await;

    assert_eq!(ended["state"], "done", "{ended}");
    fleet.wait_for_answer(3, KEY, 401, "key_withdrawn").await;
    fleet.wait_for_answer(3, &new, 200, "").await;
    fleet.wait_for_answer(3, OTHER_KEY, 200, "").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_goes_on_after_its_runner_is_gone() {
    let fleet = start_four().await;
    let plan = propose(&fleet, json!({"rotate": {"account": "mill", "key_id": 1}})).await;
    // Partition the runner between two steps: it can neither write its progress nor reach a peer.
    let (status, body) = fleet.post_as_alice(3, &confirm_path(&plan), json!({})).await;
    assert_eq!(status, 200, "{body}");
    fleet.block_store(3, true);
    fleet.block_peers(3, true);

    let ended = fleet.wait_for_plan(0, &plan["id"]).await;

    assert_eq!(ended["state"], "done", "{ended}");
    let withdrawn = |host: &Arc<Host>| host.document().keys[&1].state == KeyState::Withdrawn;
    fleet.wait_for("the old key withdrawn", || fleet.all_hosts().take(3).all(withdrawn)).await;
    let keys: BTreeSet<u64> = fleet.host(0).document().keys.keys().copied().collect();
    assert_eq!(keys.len(), 3, "one new key in total, not one per runner");
    fleet.block_store(3, false);
    fleet.block_peers(3, false);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_stays_drained_until_restored() {
    let fleet = start_four().await;
    let primary = || fleet.host(0).pools.primary(1);
    fleet.wait_for("a primary", || primary().is_some()).await;
    let target = (primary().expect("a primary was found above") + 1) % 3;

    for (intent, state) in [("drain_target", "draining"), ("restore_target", "active")] {
        let intent = json!({ intent: {"service": "mill", "target": target} });
        let plan = propose(&fleet, intent).await;
        let (status, body) = fleet.post_as_alice(1, &confirm_path(&plan), json!({})).await;
        assert_eq!(status, 200, "{body}");
        let ended = fleet.wait_for_plan(0, &plan["id"]).await;

        assert_eq!(ended["state"], "done", "{ended}");
        let has_state = |host: &Arc<Host>| {
            host.document().services[&1].targets[&target].state.to_string() == state
        };
        fleet.wait_for(state, || fleet.all_hosts().all(has_state)).await;
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_host_is_told_to_leave() {
    let mut fleet = start_four().await;
    let plan = propose(&fleet, json!({"drain_host": {"host": 4}})).await;
    let (status, body) = fleet.post_as_alice(0, &confirm_path(&plan), json!({})).await;
    assert_eq!(status, 200, "{body}");

    let leaving = fleet.hosts.remove(3).daemon;
    leaving.leave_requested().await;
    leaving.stop().await;

    let ended = fleet.wait_for_plan(0, &plan["id"]).await;
    assert_eq!(ended["state"], "done", "{ended}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nonsense_is_refused_and_changes_nothing() {
    let fleet = start_four().await;
    let version = fleet.host(0).fleet.row().version;
    let intents = [
        json!({"rate": {"account": "mill", "rate": 0, "burst": 1}}),
        json!({"rate": {"account": "nobody", "rate": 1, "burst": 1}}),
        json!({"rate": {"account": "mill", "rate": -1, "burst": 1}}),
        json!({"promote": {"service": "mill", "target": 9}}),
        json!({"promote": {"service": "none", "target": 0}}),
        json!({"rotate": {"account": "mill", "key_id": 2}}),
        json!({"drain_host": {"host": 17}}),
        json!({"explode": {}}),
        json!({"rate": {"account": "mill", "rate": 1, "burst": 1, "weight": 1}}),
        json!([]),
    ];

    for intent in intents {
        let (status, body) = fleet.post_as_alice(0, "plans", intent.clone()).await;
        assert!(matches!(status, 400 | 422), "{intent}: {status} {body}");
    }
    let (status, _) = fleet.post_as_alice(0, "keys", json!({"account": "nobody"})).await;
    assert_eq!(status, 404);
    let whole =
        serde_json::to_value(fleet.host(0).document().as_ref()).expect("a document is JSON");
    let (status, body) = fleet.operate(0, ALICE, Method::PUT, "config", Some(whole)).await;
    assert_eq!((status, &body["reason"]), (409, &json!("exists")));

    assert_eq!(fleet.host(0).fleet.row().version, version);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_configuration_that_cannot_hold_is_refused() {
    let fleet = fleet::start_unconfigured().await;
    let good = serde_json::to_value(fleet.fixture.document()).expect("a document is JSON");
    let with_value = |path: &str, value: Value| {
        let mut document = good.clone();
        *document.pointer_mut(path).expect(path) = value;
        document
    };
    let invalid = [
        with_value("/accounts/1/rate", json!(0)),
        with_value("/accounts/2/name", json!("mill")),
        with_value("/accounts/1/services", json!([7])),
        with_value("/keys/1/account", json!(9)),
        with_value("/keys/1/digest", json!("short")),
        with_value("/services/1/targets", json!({})),
        with_value("/services/1/targets/0/connections", json!(0)),
        with_value("/services/1/retention", json!("long")),
        with_value("/routes", json!([])),
        json!({"version": 1}),
        json!("services"),
    ];

    for document in invalid {
        let (status, body) =
            fleet.operate(0, ALICE, Method::PUT, "config", Some(document.clone())).await;
        assert_eq!(status, 400, "{document}: {body}");
    }
    let (status, body) = fleet.operate(0, ALICE, Method::PUT, "config", Some(good)).await;

    assert_eq!((status, &body["accepted"]), (200, &json!(1)), "{body}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nobody_operates_without_a_key_of_an_operator() {
    let fleet = start_four().await;
    let calls = [
        (Method::GET, "status"),
        (Method::GET, "metrics"),
        (Method::PUT, "log-level"),
        (Method::GET, "config"),
        (Method::PUT, "config"),
        (Method::POST, "keys"),
        (Method::POST, "keys/1/withdraw"),
        (Method::GET, "plans"),
        (Method::POST, "plans"),
        (Method::GET, "plans/1"),
        (Method::POST, "plans/1/confirm"),
        (Method::GET, "audit"),
    ];

    for (method, path) in calls {
        for key in ["", KEY, "op_alice_", "op_alice_wrong", "op_carol_secret-of-alice"] {
            let (status, body) = fleet.operate(0, key, method.clone(), path, None).await;
            assert_eq!((status, &body["reason"]), (401, &json!("unauthorized")), "{path} {key}");
        }
    }
    fleet.wait_for_answer(0, KEY, 200, "").await;
    assert_eq!(fleet.read_as(0, ALICE).await.0, 401, "an operator's key is not valid for callers");
    fleet.stop().await;
}
