//! End-to-end tests of reads, writes and transactions without injected faults: session
//! consistency, idempotency keys, routing by freshness, and refusals of malformed requests.

mod common;

use common::{Fixture, OTHER_KEY};
use serde_json::json;

const INSERT: &str = "INSERT INTO bolts (id, metres) VALUES ($1, $2)";
const COUNT: &str = "SELECT count(*) AS bolts FROM bolts";

#[tokio::test(flavor = "multi_thread")]
async fn session_reads_its_own_writes() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let mut token = String::new();
    for id in 1..=20 {
        let write = host.write(INSERT).with_param(json!(id)).with_param(json!(40)).send().await;
        let session = write.ok().session().to_owned();
        let read = host.read(COUNT).with_header("bergamotvale-session", &session).send().await.ok();
        assert_eq!(read.body["rows"], json!([[id]]), "{read:?}");
        token = read.session().to_owned();
    }
    assert!(token.starts_with("1;1=1."), "{token}");
}

#[tokio::test(flavor = "multi_thread")]
async fn aged_reads_go_to_replicas_and_others_to_the_primary() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    for _ in 0..10 {
        let aged = host.read(COUNT).with_header("bergamotvale-max-age", "1s").send().await.ok();
        assert!(aged.target().ends_with("replica"), "{aged:?}");
        let plain = host.read(COUNT).send().await.ok();
        assert_eq!(plain.target(), "0 primary");
    }
    assert_eq!(host.counter("read.aged.replica"), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_of_a_keyed_write_get_the_first_outcome() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let other = fixture.host(2).await;
    let write = |host: &common::Host, metres: i64| {
        let call = host.write("INSERT INTO bolts (id, metres) VALUES (7, $1) RETURNING id, metres");
        call.with_param(json!(metres)).with_header("idempotency-key", "bolt-7").send()
    };

    let first = write(&host, 40).await.ok();
    let second = write(&other, 40).await.ok();
    let third = write(&host, 41).await;

    assert_eq!(first.body["rows"], json!([[7, 40]]));
    assert_eq!(second.body, first.body);
    assert_eq!(second.headers["bergamotvale-replayed"], "true");
    assert!(!first.headers.contains_key("bergamotvale-replayed"));
    assert_eq!((third.status, third.reason(), third.ran()), (409, "idempotency_mismatch", "no"));
    assert_eq!(fixture.bolts(), 1);
    assert_eq!(other.counter("write.replayed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats_run_once() {
    let fixture = Fixture::new().await;
    let hosts = [fixture.host(1).await, fixture.host(2).await];
    let calls = (0..16).map(|n| {
        let call =
            hosts[n % 2].write("INSERT INTO bolts (id, metres) SELECT count(*), 40 FROM bolts");
        call.with_header("idempotency-key", "bolt").send()
    });

    let answers = futures::future::join_all(calls).await;

    assert_eq!(fixture.bolts(), 1);
    for answer in &answers {
        let refused = answer.reason() == "idempotency_in_progress" && answer.ran() == "no";
        assert!(answer.status == 200 || refused, "{answer:?}");
    }
    assert!(answers.iter().any(|answer| answer.status == 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn other_accounts_keys_are_their_own() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let write = |id: i64| {
        let call = host.write(INSERT).with_param(json!(id)).with_param(json!(40));
        call.with_header("idempotency-key", "same")
    };

    let mine = write(1).send().await;
    let theirs = write(2).with_key(OTHER_KEY).send().await;

    assert_eq!((mine.status, theirs.status), (200, 200), "{theirs:?}");
    assert_eq!(fixture.bolts(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn transactions_commit_and_roll_back() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let kept = host.begin().await;
    host.step(&kept, "run").with_sql("INSERT INTO bolts VALUES (1, 40)").send().await.ok();
    let seen = host.step(&kept, "run").with_sql(COUNT).send().await.ok();
    let committed = host.step(&kept, "commit").send().await.ok();
    let dropped = host.begin().await;
    host.step(&dropped, "run").with_sql("INSERT INTO bolts VALUES (2, 40)").send().await.ok();
    host.step(&dropped, "rollback").send().await.ok();
    let again = host.step(&dropped, "commit").send().await;
    let session = committed.session();
    let read = host.read(COUNT).with_header("bergamotvale-session", session).send().await.ok();

    assert_eq!(seen.body["rows"], json!([[1]]));
    assert_eq!(read.body["rows"], json!([[1]]));
    assert_eq!((again.status, again.reason(), again.ran()), (410, "transaction_lost", "no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_transactions_are_refused() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let id = host.begin().await;
    let foreign = host.step(&id, "run").with_sql(COUNT).with_key(OTHER_KEY).send().await;
    let own = host.step(&id, "run").with_sql(COUNT).send().await;

    assert_eq!((foreign.status, foreign.reason()), (403, "transaction_foreign"));
    assert_eq!(own.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn open_routes_need_no_key() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let get =
        |route: &str| fixture.http.get(format!("http://{}/v1/open/{route}", host.address)).send();

    let stock = get("stock").await.expect("an answer");
    let other = get("other").await.expect("an answer");

    assert_eq!(stock.status(), 200);
    assert_eq!(
        stock.text().await.expect("a body"),
        r#"{"columns":[{"name":"bolts","type":"int8"}],"rows":[[0]],"affected":1}"#
    );
    assert_eq!(other.status(), 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_with_their_reason() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let secret = "s3cret-of-the-mill";

    let cases = [
        (host.read(COUNT).with_key("bv_1_wrong"), 401, "key_unknown"),
        (host.read(COUNT).with_key("nonsense"), 401, "key_unknown"),
        (host.read(COUNT).with_header("bergamotvale-max-age", "soon"), 400, "malformed"),
        (host.read(COUNT).with_header("bergamotvale-session", "9;"), 400, "malformed"),
        (host.write(COUNT).with_header("idempotency-key", "a b"), 400, "malformed"),
        (host.read("COMMIT"), 400, "malformed"),
        (host.read("SELECT * FROM bergamotvale_outcomes"), 400, "malformed"),
        (host.read(&format!("SELECT '{secret}'")), 400, "key_in_statement"),
        (host.read("SELECT $1").with_param(json!(secret)), 400, "key_in_statement"),
        (host.read(&format!("SELECT '{}'", "a".repeat(70_000))), 413, "too_large"),
        (host.read("SELECT * FROM missing"), 422, "statement_failed"),
        (host.read("INSERT INTO bolts VALUES (1, 1)"), 422, "statement_failed"),
        (host.write("INSERT INTO bolts VALUES (1, NULL)"), 422, "statement_failed"),
        (host.call("/v1/services/none/read").with_sql(COUNT), 404, "not_found"),
        (host.step("xyz", "run").with_sql(COUNT), 404, "not_found"),
    ];

    for (call, status, reason) in cases {
        let answer = call.send().await;
        assert_eq!((answer.status, answer.reason(), answer.ran()), (status, reason, "no"));
    }
    assert_eq!(fixture.bolts(), 0);
    assert_eq!(host.counter("refusal.malformed"), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn parameters_and_values_keep_their_types() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let call = host.read("SELECT $1 AS a, $2 AS b, $3 AS c, $4 AS d, $5 AS e");
    let call = call.with_param(json!(null)).with_param(json!(7)).with_param(json!(1.5));
    let call = call.with_param(json!("text")).with_param(json!({"bytes": "AAH/"}));
    let answer = call.send().await.ok();

    assert_eq!(answer.body["rows"], json!([[null, 7, 1.5, "text", {"bytes": "AAH/"}]]));
}
