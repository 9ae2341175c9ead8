//! Authority over the shared state while hosts are cut off and the platform fails.

mod common;
mod fleet;

use bergamotvale_core::authority::Source;
use common::{KEY, OTHER_KEY};
use fleet::{ALICE, four};
use serde_json::json;

const WITHDRAW_OTHER: &str = "keys/2/withdraw";

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_store_goes_on_and_hears_of_a_withdrawal() {
    let fleet = four().await;
    fleet.ask_until(3, OTHER_KEY, 200, "").await;

    fleet.cut_store(3, true);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!(status, 200, "{body}");
    fleet.ask_until(3, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.ask_until(3, KEY, 200, "").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_its_peers_goes_on_and_reads_of_a_withdrawal() {
    let fleet = four().await;
    fleet.ask_until(3, OTHER_KEY, 200, "").await;

    fleet.cut_peers(3, true);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!(status, 200, "{body}");
    fleet.ask_until(3, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.ask_until(3, KEY, 200, "").await;
    fleet.cut_peers(3, false);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_both_refuses_everyone_until_it_is_back() {
    let fleet = four().await;
    fleet.ask_until(3, OTHER_KEY, 200, "").await;

    fleet.cut_peers(3, true);
    fleet.cut_store(3, true);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!(status, 200, "{body}");
    fleet.ask_until(3, OTHER_KEY, 503, "authority_lapsed").await;
    fleet.ask_until(3, KEY, 503, "authority_lapsed").await;
    fleet.cut_peers(3, false);
    fleet.cut_store(3, false);
    fleet.ask_until(3, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.ask_until(3, KEY, 200, "").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_serves_while_the_store_is_down_and_changes_nothing() {
    let fleet = four().await;
    fleet.ask_until(1, OTHER_KEY, 200, "").await;

    fleet.fault(|fault| fault.outage = true);
    let by_peers = || {
        let authority = fleet.host(1).fleet.authority(fleet.host(1).clock.now());
        authority.held && authority.source.is_some_and(|source| source != Source::Store)
    };
    fleet.wait("authority without the store", by_peers).await;
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!((status, &body["reason"]), (503, &json!("unavailable")), "{body}");
    for host in 0..4 {
        fleet.ask_until(host, OTHER_KEY, 200, "").await;
    }
    fleet.fault(|fault| fault.outage = false);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;
    assert_eq!(status, 200, "{body}");
    fleet.ask_until(2, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_store_blocks_no_heartbeat() {
    let fleet = four().await;

    fleet.fault(|fault| fault.hang = true);
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;

    assert!(fleet.all().all(|host| host.has_authority()));
    fleet.fault(|fault| fault.hang = false);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;
    assert_eq!(status, 200, "{body}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_host_leaves_and_its_next_run_joins() {
    let mut fleet = four().await;

    fleet.hosts.remove(3).daemon.stop().await;
    let three = || fleet.all().all(|host| host.fleet.row().members.len() == 3);
    fleet.wait("three members", three).await;
    let again = fleet.fixture.host_with(4, fleet::operated).await;
    fleet.hosts.push(again);

    fleet.settle().await;
    fleet.ask_until(3, KEY, 200, "").await;
    let status = fleet.operate(3, ALICE, reqwest::Method::GET, "status", None).await.1;
    assert_eq!(status["members"].as_array().map(Vec::len), Some(4), "{status}");
    fleet.stop().await;
}
