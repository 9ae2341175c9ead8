//! Faults during reads, writes and transactions: lost COMMIT responses, partitioned and failing
//! targets, lagging replicas, stopped hosts, and callers that disconnect.

mod common;

use bergamotvale_host::settings::{Defect, Failover, Settings};
use common::{Answer, Call, Fixture, Host, KEY, SERVICE, wait_until};
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const INSERT: &str = "INSERT INTO bolts (id, metres) VALUES ($1, 40)";
const COUNT: &str = "SELECT count(*) AS bolts FROM bolts";
const SLOW_INSERT: &str = "INSERT INTO bolts (id, metres) SELECT 1, length(pg_sleep(60))";
const LONG_SELECT: &str = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 40000) \
    SELECT i, 'a bolt of blue and white wool for the hotels of the coast' AS text FROM n";

fn with_single_failover(settings: &mut Settings) {
    settings.policy.failover = Failover::Single;
}

fn with_defect(defect: Defect) -> impl FnOnce(&mut Settings) {
    move |settings| settings.policy.defects.extend([defect])
}

const NEXT_BOLT: &str = "INSERT INTO bolts (id, metres) SELECT count(*), 40 FROM bolts";

/// A write that inserts the next row, with or without an idempotency key.
fn next_bolt(host: &Host, key: Option<&str>) -> Call {
    let call = host.write(NEXT_BOLT).with_header("bergamotvale-timeout", "8s");
    match key {
        Some(key) => call.with_header("idempotency-key", key),
        None => call,
    }
}

/// Inserts one row with an idempotency key. This creates the table of outcomes in a separate
/// transaction, so that the next COMMIT on the target belongs to the next write.
async fn with_one_bolt(host: &Host) {
    next_bolt(host, Some("bolt-0")).send().await.ok();
}

/// Sends a write whose COMMIT takes effect but whose response to COMMIT is lost.
async fn lose_commit_response(fixture: &Fixture, host: &Host, key: Option<&str>) -> Answer {
    with_one_bolt(host).await;
    fixture.group.target(0).drop_commit_responses(1);
    next_bolt(host, key).send().await
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_answer_without_a_key_is_unknown_and_not_sent_again() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let answer = lose_commit_response(&fixture, &host, None).await;

    assert_eq!((answer.status, answer.ran()), (504, "unknown"), "{answer:?}");
    assert_eq!(fixture.bolts(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_answer_without_a_key_runs_twice_where_it_is_sent_again() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, with_defect(Defect::RetryUnkeyed)).await;

    lose_commit_response(&fixture, &host, None).await;

    assert_eq!(fixture.bolts(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_answer_with_a_key_is_resolved() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let answer = lose_commit_response(&fixture, &host, Some("bolt-1")).await;

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.headers["bergamotvale-replayed"], "true");
    assert_eq!(fixture.bolts(), 2);
    assert!(host.counter("retry.try_timeout") + host.counter("retry.connection_lost") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_survives_the_host_that_ran_the_write() {
    let fixture = Fixture::new().await;
    let second = fixture.host(2).await;
    let first = fixture.host_with(1, |settings| settings.policy.retries = false).await;
    with_one_bolt(&first).await;
    fixture.group.target(0).drop_commit_responses(1);
    let sending = tokio::spawn(next_bolt(&first, Some("bolt-1")).try_send());
    wait_until("the write is committed", || fixture.bolts() == 2).await;
    drop(first);
    let lost = sending.await.expect("a result");

    let again = next_bolt(&second, Some("bolt-1")).send().await.ok();

    assert!(lost.is_err() || lost.is_ok_and(|answer| answer.ran() == "unknown"));
    assert_eq!(again.headers["bergamotvale-replayed"], "true");
    assert_eq!(fixture.bolts(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_before_commit_runs_nothing() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let call = host.write(SLOW_INSERT).with_header("bergamotvale-timeout", "3s");
    let sending = tokio::spawn(call.send());
    wait_until("the statement runs", || host.daemon.host.data.in_flight((1, 0)) > 0).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.group.target(0).silence_connections();
    let answer = sending.await.expect("an answer");

    assert_eq!((answer.status, answer.ran()), (504, "no"), "{answer:?}");
    assert_eq!(fixture.bolts(), 0);
}

/// A request that waits for a connection to a partitioned primary must move on to the new primary:
/// the connections to the old one stay in use for longer than the request may wait.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_cut_off_primary_go_on_with_the_next_one() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, with_single_failover).await;
    let primary = fixture.group.target(0);
    let limit = host.daemon.host.pools.share((SERVICE, 0));
    let used_connections = || host.daemon.host.data.in_flight((SERVICE, 0)) as usize;
    let slow = || host.write(SLOW_INSERT).with_header("bergamotvale-timeout", "30s").try_send();
    let fillers: Vec<_> = (0..limit).map(|_| tokio::spawn(slow())).collect();
    wait_until("all connections are in use", || used_connections() >= limit).await;

    primary.partition(&[1, 2]);
    primary.set_callers_blocked(true);
    let insert = |id| host.write(INSERT).with_param(json!(id));
    let insert = |id| insert(id).with_header("bergamotvale-timeout", "12s").send();
    let waiting: Vec<_> = (100..110).map(|id| tokio::spawn(insert(id))).collect();

    for request in waiting {
        request.await.expect("an answer").ok();
    }
    assert_ne!(fixture.primary(), 0);
    assert_eq!(fixture.bolts(), 10);
    assert_eq!(host.counter("refusal.queue_timeout"), 0);
    for filler in fillers {
        filler.abort();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_primary_gets_no_write_acknowledged() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.policy.failover = Failover::Off).await;
    host.write(INSERT).with_param(json!(0)).send().await.ok();

    fixture.group.target(0).partition(&[1, 2]);
    let mut reasons = Vec::new();
    for id in 1..=4 {
        let call = host.write(INSERT).with_param(json!(id));
        let answer = call.with_header("bergamotvale-timeout", "500ms").send().await;
        assert_ne!(answer.status, 200, "{answer:?}");
        reasons.push((answer.reason().to_owned(), answer.ran().to_owned()));
    }
    let fresh = host.read(COUNT).with_header("bergamotvale-timeout", "500ms");
    wait_until("the primary was last acknowledged over a second ago", || {
        let views = host.daemon.host.pools.views(1);
        views[&0].status.age > Duration::from_secs(1)
    })
    .await;
    let stale = fresh.send().await;

    assert_eq!(reasons[0], ("deadline_exceeded".into(), "unknown".into()));
    assert!(reasons.contains(&("replication_lag".into(), "no".into())), "{reasons:?}");
    assert_eq!((stale.status, stale.reason()), (503, "not_fresh"));

    fixture.group.target(0).heal();
    wait_until("writes are confirmed again", || {
        fixture.group.target(0).confirmed_position().index > 2
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    host.write(INSERT).with_param(json!(9)).send().await.ok();
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_primary_is_seen_to_acknowledge_where_nothing_is_confirmed() {
    let fixture = Fixture::new().await;
    let host = fixture
        .host_with(1, |settings| {
            settings.policy.failover = Failover::Off;
            settings.policy.defects.insert(Defect::AcknowledgeUnconfirmed);
        })
        .await;

    fixture.group.target(0).partition(&[1, 2]);
    let answer = host.write(INSERT).with_param(json!(1)).send().await;

    assert_eq!(answer.status, 200);
    assert_eq!(fixture.group.target(1).query("SELECT id FROM bolts").expect("rows").len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_writes_survive_the_primary() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, with_single_failover).await;

    let mut acknowledged = Vec::new();
    for id in 0..60 {
        if id == 20 {
            fixture.group.target(0).kill();
        }
        let call = host.write(INSERT).with_param(json!(id));
        let call = call.with_header("idempotency-key", &format!("bolt-{id}"));
        let answer = call.with_header("bergamotvale-timeout", "8s").send().await;
        assert!(answer.status == 200 || answer.status >= 500, "{answer:?}");
        if answer.status == 200 {
            acknowledged.push(id);
        }
    }
    fixture.group.target(0).restart().expect("a target");

    let rows = fixture.rows("SELECT id FROM bolts ORDER BY id");
    let ids: Vec<i64> = rows
        .iter()
        .map(|row| match row[0] {
            rusqlite::types::Value::Integer(id) => id,
            ref other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(acknowledged.len(), 60);
    assert_eq!(ids, acknowledged);
    assert_ne!(fixture.primary(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reach_nobody_else() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    for round in 0..5 {
        let late = host.read("SELECT 'late', pg_sleep(0.3)");
        let late = late.with_header("bergamotvale-timeout", "50ms").send().await;
        assert!(late.status >= 500, "{late:?}");
        let calls = (0..20).map(|n| {
            let value = round * 100 + n;
            let call = host.read("SELECT $1").with_param(json!(value));
            async move { (value, call.send().await) }
        });
        for (value, answer) in futures::future::join_all(calls).await {
            assert_eq!(answer.ok().body["rows"], json!([[value]]));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_replica_serves_no_session_that_is_ahead_of_it() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    fixture.group.target(1).set_lag(Duration::from_millis(400));

    for id in 1..=30 {
        let write = host.write(INSERT).with_param(json!(id)).send().await.ok();
        let read = host.read(COUNT).with_header("bergamotvale-session", write.session());
        assert_eq!(read.send().await.ok().body["rows"], json!([[id]]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_replica_is_seen_where_the_token_is_ignored() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, with_defect(Defect::IgnoreToken)).await;
    fixture.group.target(1).set_lag(Duration::from_millis(400));

    let mut stale = 0;
    for id in 1..=30 {
        let write = host.write(INSERT).with_param(json!(id)).send().await.ok();
        let read = host.read(COUNT).with_header("bergamotvale-session", write.session());
        stale += u32::from(read.send().await.ok().body["rows"] != json!([[id]]));
    }
    assert!(stale > 0);
}

/// Sends a request over a separate socket and returns the socket without reading the response.
async fn open_request(host: &Host, path: &str, sql: &str) -> tokio::net::TcpStream {
    let body = json!({ "sql": sql }).to_string();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: mill\r\nauthorization: Bearer {KEY}\r\n\
         bergamotvale-timeout: 30s\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut socket = tokio::net::TcpStream::connect(host.address).await.expect("a connection");
    socket.write_all(head.as_bytes()).await.expect("a request sent");
    socket.write_all(body.as_bytes()).await.expect("a body sent");
    socket
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_ends_with_its_caller() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let socket = open_request(&host, "/v1/services/mill/write", SLOW_INSERT).await;
    wait_until("the statement runs", || host.daemon.host.data.in_flight((1, 0)) > 0).await;
    drop(socket);
    wait_until("the host notices the disconnect", || host.counter("caller.gone") == 1).await;
    // The stand-in executes one write at a time: if the slow statement were not cancelled, this
    // write would wait for a minute.
    host.write(INSERT).with_param(json!(2)).send().await.ok();

    assert_eq!(fixture.bolts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_results_arrive_whole() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let answer =
        host.read(LONG_SELECT).with_header("bergamotvale-timeout", "20s").send().await.ok();

    assert_eq!(answer.headers["transfer-encoding"], "chunked");
    let rows = answer.body["rows"].as_array().expect("rows");
    assert_eq!(rows.len(), 40_000);
    assert_eq!(rows[39_999][0], json!(40_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_result_is_seen_to_be_cut() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.limits.result = 1 << 20).await;

    let mut socket = open_request(&host, "/v1/services/mill/read", LONG_SELECT).await;
    let mut text = Vec::new();
    // Reading ends with an error if the connection is reset, after a part of the response.
    let ended = socket.read_to_end(&mut text).await;

    let text = String::from_utf8_lossy(&text);
    assert!(text.starts_with("HTTP/1.1 200"), "{ended:?}");
    assert!(!text.ends_with("0\r\n\r\n"));
    assert!(!text.contains("affected"));
    assert_eq!(host.counter("read.cut"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_ends_its_transactions() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let id = host.begin().await;
    host.step(&id, "run").with_sql("INSERT INTO bolts VALUES (1, 40)").send().await.ok();

    fixture.withdraw(&host, 1).await;
    wait_until("the transaction is ended", || host.daemon.host.data.transactions.is_empty()).await;
    let step = host.step(&id, "commit").send().await;
    let read = host.read(COUNT).send().await;
    let other = host.write(INSERT).with_param(json!(2)).with_key(common::OTHER_KEY).send().await;

    assert_eq!((step.status, step.reason(), step.ran()), (401, "key_withdrawn", "no"));
    assert_eq!((read.status, read.reason()), (401, "key_withdrawn"));
    assert_eq!(other.status, 200, "{other:?}");
    assert_eq!(fixture.bolts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_transaction_is_rolled_back() {
    let fixture = Fixture::new().await;
    let idle = Duration::from_millis(200);
    let host = fixture.host_with(1, |settings| settings.timeouts.transaction_idle = idle).await;
    let id = host.begin().await;
    host.step(&id, "run").with_sql("INSERT INTO bolts VALUES (1, 40)").send().await.ok();

    wait_until("the transaction is ended", || host.daemon.host.data.transactions.is_empty()).await;
    let commit = host.step(&id, "commit").send().await;
    host.write(INSERT).with_param(json!(2)).send().await.ok();

    assert_eq!((commit.status, commit.reason(), commit.ran()), (410, "transaction_lost", "no"));
    assert_eq!(fixture.bolts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_goes_on_through_another_host() {
    let fixture = Fixture::new().await;
    let first = fixture.host(1).await;
    let second = fixture.host(2).await;
    let id = first.begin().await;

    let insert = second.step(&id, "run").with_sql("INSERT INTO bolts VALUES (1, 40)");
    insert.send().await.ok();
    let foreign = second.step(&id, "commit").with_key(common::OTHER_KEY).send().await;
    let committed = second.step(&id, "commit").send().await.ok();
    let read = second.read(COUNT).with_header("bergamotvale-session", committed.session());

    assert_eq!(read.send().await.ok().body["rows"], json!([[1]]));
    assert_eq!((foreign.status, foreign.reason()), (403, "transaction_foreign"));
    assert_eq!(second.counter("transaction.forwarded"), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_dies_with_its_host() {
    let fixture = Fixture::new().await;
    let first = fixture.host(1).await;
    let second = fixture.host(2).await;
    let id = first.begin().await;
    first.step(&id, "run").with_sql("INSERT INTO bolts VALUES (1, 40)").send().await.ok();

    drop(first);
    let run = second.step(&id, "run").with_sql(COUNT).send().await;
    let commit = second.step(&id, "commit").send().await;
    second.write(INSERT).with_param(json!(2)).send().await.ok();

    assert_eq!((run.status, run.reason(), run.ran()), (503, "peer_unreachable", "no"));
    assert_eq!((commit.status, commit.reason(), commit.ran()), (503, "peer_unreachable", "no"));
    assert_eq!(fixture.bolts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_statement_rolls_its_transaction_back() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let id = host.begin().await;
    host.step(&id, "run").with_sql("INSERT INTO bolts VALUES (1, 40)").send().await.ok();

    let failed = host.step(&id, "run").with_sql("INSERT INTO bolts VALUES (1, 40)").send().await;
    let commit = host.step(&id, "commit").send().await;

    assert_eq!((failed.status, failed.reason(), failed.ran()), (422, "statement_failed", "no"));
    assert_eq!((commit.status, commit.reason()), (410, "transaction_lost"));
    assert_eq!(fixture.bolts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisoned_replica_is_passed_over() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    fixture.group.target(1).set_poisoned(true);
    for _ in 0..40 {
        let read = host.read(COUNT).with_header("bergamotvale-max-age", "5s").send().await.ok();
        assert_ne!(read.target(), "1 replica");
    }

    assert!(host.counter("retry.target_failed") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing() {
    let fixture = Fixture::new().await;
    let first = fixture.host(1).await;
    let second = fixture.host(2).await;
    let id = first.begin().await;
    let slow = "INSERT INTO bolts (id, metres) SELECT 1, length(pg_sleep(1))";
    let running = tokio::spawn(second.write(slow).send());
    wait_until("the statement runs", || second.daemon.host.data.in_flight((1, 0)) > 0).await;
    let commit = first.step(&id, "commit").with_header("bergamotvale-timeout", "9s");
    let begun = second.begin().await;

    let stopping = tokio::spawn(second.daemon.stop());
    let answer = running.await.expect("an answer").ok();
    let step = first.step(&begun, "run").with_sql("SELECT 1").send().await;
    let rolled_back = first.step(&begun, "rollback").send().await;
    stopping.await.expect("a stop");

    assert_eq!(answer.headers["connection"], "close");
    assert_eq!((step.status, rolled_back.status), (200, 200), "{step:?}");
    commit.send().await.ok();
    assert_eq!(fixture.bolts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_and_keyed_writes_outlive_connections_that_went_silent() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    for id in 0..5 {
        let warm =
            (0..6).map(|_| host.read(COUNT).with_header("bergamotvale-max-age", "5s").send());
        futures::future::join_all(warm).await;
        for target in fixture.group.targets() {
            target.silence_connections();
        }
        let write =
            host.write(INSERT).with_param(json!(id)).with_header("bergamotvale-timeout", "8s");
        let write = write.with_header("idempotency-key", &format!("bolt-{id}")).send().await.ok();
        let read = host.read(COUNT).with_header("bergamotvale-session", write.session());
        let read = read.with_header("bergamotvale-timeout", "8s").send().await.ok();
        assert_eq!(read.body["rows"], json!([[id + 1]]));
    }
}
