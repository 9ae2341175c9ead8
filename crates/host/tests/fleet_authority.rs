//! Authority over the shared state while hosts are partitioned and the platform fails.
//!
//! Guards against hosts that serve under a withdrawn key because no source of renewals reaches
//! them, and against hosts that stop serving although one source still does.

mod common;
mod fleet;

use bergamotvale_core::authority::Source;
use common::{KEY, OTHER_KEY};
use fleet::{ALICE, start_four};
use serde_json::json;

const WITHDRAW_OTHER: &str = "keys/2/withdraw";

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_store_goes_on_and_hears_of_a_withdrawal() {
    let fleet = start_four().await;
    fleet.wait_for_answer(3, OTHER_KEY, 200, "").await;

    fleet.block_store(3, true);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!(status, 200, "{body}");
    fleet.wait_for_answer(3, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.wait_for_answer(3, KEY, 200, "").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_its_peers_goes_on_and_reads_of_a_withdrawal() {
    let fleet = start_four().await;
    fleet.wait_for_answer(3, OTHER_KEY, 200, "").await;

    fleet.block_peers(3, true);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!(status, 200, "{body}");
    fleet.wait_for_answer(3, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.wait_for_answer(3, KEY, 200, "").await;
    fleet.block_peers(3, false);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_both_refuses_everyone_until_it_is_back() {
    let fleet = start_four().await;
    fleet.wait_for_answer(3, OTHER_KEY, 200, "").await;

    fleet.block_peers(3, true);
    fleet.block_store(3, true);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!(status, 200, "{body}");
    fleet.wait_for_answer(3, OTHER_KEY, 503, "authority_lapsed").await;
    fleet.wait_for_answer(3, KEY, 503, "authority_lapsed").await;
    fleet.block_peers(3, false);
    fleet.block_store(3, false);
    fleet.wait_for_answer(3, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.wait_for_answer(3, KEY, 200, "").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_serves_while_the_store_is_down_and_changes_nothing() {
    let fleet = start_four().await;
    fleet.wait_for_answer(1, OTHER_KEY, 200, "").await;

    fleet.set_fault(|fault| fault.outage = true);
    let renewed_by_peers = || {
        let authority = fleet.host(1).fleet.authority(fleet.host(1).clock.now());
        authority.held && authority.source.is_some_and(|source| source != Source::Store)
    };
    fleet.wait_for("authority without the store", renewed_by_peers).await;
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;

    assert_eq!((status, &body["reason"]), (503, &json!("unavailable")), "{body}");
    for host in 0..4 {
        fleet.wait_for_answer(host, OTHER_KEY, 200, "").await;
    }
    fleet.set_fault(|fault| fault.outage = false);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;
    assert_eq!(status, 200, "{body}");
    fleet.wait_for_answer(2, OTHER_KEY, 401, "key_withdrawn").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_store_blocks_no_heartbeat() {
    let fleet = start_four().await;

    fleet.set_fault(|fault| fault.hang = true);
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;

    assert!(fleet.all_hosts().all(|host| host.has_authority()));
    fleet.set_fault(|fault| fault.hang = false);
    let (status, body) = fleet.post_as_alice(0, WITHDRAW_OTHER, json!({})).await;
    assert_eq!(status, 200, "{body}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_host_leaves_and_its_next_run_joins() {
    let mut fleet = start_four().await;

    fleet.hosts.remove(3).daemon.stop().await;
    let three = || fleet.all_hosts().all(|host| host.fleet.row().members.len() == 3);
    fleet.wait_for("three members", three).await;
    let restarted = fleet.fixture.host_with(4, fleet::configure_host).await;
    fleet.hosts.push(restarted);

    fleet.wait_until_ready().await;
    fleet.wait_for_answer(3, KEY, 200, "").await;
    let status = fleet.operate(3, ALICE, reqwest::Method::GET, "status", None).await.1;
    assert_eq!(status["members"].as_array().map(Vec::len), Some(4), "{status}");
    fleet.stop().await;
}
