//! The whole path: a caller's write and read through a host to a database group.

mod support;

use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_session_reads_its_write() {
    let fleet = support::fleet(1).await;

    let written = fleet.write_until_taken(0, "bolt-1").await;
    let token = written.token.clone().expect("a write advances the session");
    let read = fleet.read(0, "bolt-1", &token).await;

    assert_eq!(written.status, 200, "{written:?}");
    assert_eq!(read.body["rows"], json!([[7]]), "{read:?}");
    fleet.stop().await;
}
