//! End-to-end path through the hosts to a database group: a session that moves between two hosts,
//! and a host that stops while a request is in flight.

mod common;

use common::Fixture;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_session_reads_its_write_on_another_host() {
    let fixture = Fixture::new().await;
    let first = fixture.host(1).await;
    let second = fixture.host(2).await;

    let write = first.write("INSERT INTO bolts (id, metres) VALUES (1, 7)");
    let written = write.with_header("idempotency-key", "bolt-1").send().await.ok();
    let read = second.read("SELECT metres FROM bolts WHERE id = 1");
    let read = read.with_header("bergamotvale-session", written.session()).send().await.ok();

    assert_eq!(read.body["rows"], json!([[7]]), "{read:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_for_requests_and_for_no_idle_connection() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let slow = host.read("SELECT pg_sleep(1)").with_header("bergamotvale-timeout", "20s");
    let running = tokio::spawn(slow.send());
    common::wait_until("the statement runs", || host.daemon.requests_in_flight() > 0).await;

    host.daemon.stop().await;
    let answer = running.await.expect("no panic");

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.headers["connection"], "close", "{answer:?}");
}
