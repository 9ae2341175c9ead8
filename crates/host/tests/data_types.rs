//! Results name their columns and types, also without rows, and carry exact values: numerics, dates
//! and timestamps must not lose precision on the way from the target to the caller.

mod common;

use bergamotvale_host::exec::exact::Exact;
use common::{Fixture, Host};
use postgres_types::{FromSql, Type};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

const TABLE: &str = "CREATE TABLE dyes (id bigint PRIMARY KEY, grams numeric, mixed timestamp, \
    sold timestamptz, due date, batch uuid, recipe jsonb, label json, swatch bytea, took interval)";
const INSERT: &str = "INSERT INTO dyes VALUES (1, $1, $2, $3, $4, $5, $6, $7, $8, NULL)";
const SUPPORTED_COLUMNS: &str = "id, grams, mixed, sold, due, batch, recipe, label, swatch";

fn cells() -> Vec<Value> {
    vec![
        json!("-1234567.125"),
        json!("2024-02-29 23:59:59.000001"),
        json!("1999-12-31 00:00:00+00"),
        json!("1900-03-01"),
        json!("0f8fad5b-d9cb-469f-a165-70867728950e"),
        json!(r#"{"madder":[1,2]}"#),
        json!("[]"),
        json!({"bytes": "AAH/"}),
    ]
}

fn columns() -> Value {
    let columns = [
        ("id", "int8"),
        ("grams", "numeric"),
        ("mixed", "timestamp"),
        ("sold", "timestamptz"),
        ("due", "date"),
        ("batch", "uuid"),
        ("recipe", "jsonb"),
        ("label", "json"),
        ("swatch", "bytea"),
    ];
    columns.iter().map(|(name, kind)| json!({"name": name, "type": kind})).collect()
}

async fn with_dyes(fixture: &Fixture) -> Host {
    let host = fixture.host(1).await;
    host.write(TABLE).send().await.ok();
    host
}

async fn insert(host: &Host) {
    let call = cells().into_iter().fold(host.write(INSERT), common::Call::with_param);
    call.send().await.ok();
}

/// Reads on the primary, so that the result includes all writes through `host`.
async fn read(host: &Host, sql: &str) -> Value {
    let begin = host.begin().await;
    let answer = host.step(&begin, "run").with_sql(sql).send().await.ok();
    host.step(&begin, "rollback").send().await.ok();
    answer.body
}

#[tokio::test(flavor = "multi_thread")]
async fn cells_come_back_as_they_were_given() {
    let fixture = Fixture::new().await;
    let host = with_dyes(&fixture).await;

    insert(&host).await;
    let body = read(&host, &format!("SELECT {SUPPORTED_COLUMNS} FROM dyes")).await;

    let mut row = vec![json!(1)];
    row.extend(cells());
    assert_eq!(body["rows"], json!([row]));
    assert_eq!(body["columns"], columns());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_result_without_rows_has_its_columns() {
    let fixture = Fixture::new().await;
    let host = with_dyes(&fixture).await;
    let select = format!("SELECT {SUPPORTED_COLUMNS} FROM dyes WHERE batch = $1");
    let returning =
        format!("UPDATE dyes SET grams = 1 WHERE batch = $1 RETURNING {SUPPORTED_COLUMNS}");
    let written = host.write(&returning).with_param(json!("none")).send().await.ok();
    let written_at = written.session().to_owned();

    let read = host.read(&select).with_header("bergamotvale-session", &written_at);
    let read = read.with_param(json!("none")).send().await.ok();
    let begin = host.begin().await;
    let run = host.step(&begin, "run").with_sql(&select).with_param(json!("none"));
    let run = run.send().await.ok();
    let plain = host.step(&begin, "run").with_sql("DELETE FROM dyes").send().await.ok();

    for answer in [written, read, run] {
        assert_eq!((&answer.body["columns"], &answer.body["rows"]), (&columns(), &json!([])));
    }
    assert_eq!(plain.body["columns"], json!([]));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_open_route_without_rows_has_its_columns() {
    let mut fixture = Fixture::new().await;
    fixture.document_mut().routes.get_mut("stock").expect("a route").sql =
        "SELECT metres FROM bolts".into();
    let host = fixture.host(1).await;

    let answer = fixture.http.get(format!("http://{}/v1/open/stock", host.address)).send().await;
    let body = answer.expect("an answer").text().await.expect("a body");

    assert_eq!(body, r#"{"columns":[{"name":"metres","type":"int8"}],"rows":[],"affected":0}"#);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replay_has_the_columns_of_the_first_answer() {
    let fixture = Fixture::new().await;
    let host = with_dyes(&fixture).await;
    insert(&host).await;

    for filter in ["id=1", "id=2"] {
        let sql =
            format!("UPDATE dyes SET label = '[7]' WHERE {filter} RETURNING {SUPPORTED_COLUMNS}");
        let call = || host.write(&sql).with_header("idempotency-key", filter);
        let first = call().send().await.ok();
        let again = call().send().await.ok();

        assert_eq!(again.headers["bergamotvale-replayed"], "true");
        assert_eq!(first.body, again.body);
        assert_eq!(first.body["columns"], columns());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_type_that_is_not_answered_is_refused_by_its_column() {
    let fixture = Fixture::new().await;
    let host = with_dyes(&fixture).await;
    insert(&host).await;
    let sql = "UPDATE dyes SET took = '1 day' WHERE id = 1 RETURNING id, took";

    let refused = host.write(sql).send().await;

    assert_eq!((refused.status, refused.reason(), refused.ran()), (422, "statement_failed", "no"));
    let detail = refused.body["detail"].as_str().expect("a detail");
    assert!(detail.contains("took") && detail.contains("interval"), "{detail}");
    let kept = read(&host, "SELECT id FROM dyes WHERE took IS NULL").await;
    assert_eq!(kept["rows"], json!([[1]]));
}

fn exact(kind: &Type, raw: &[u8]) -> Option<String> {
    Exact::from_sql(kind, raw).ok().map(|exact| exact.0)
}

fn numeric(weight: i16, sign: u16, scale: u16, digits: &[u16]) -> Option<String> {
    let head = [digits.len() as u16, weight.cast_unsigned(), sign, scale];
    let words = head.iter().chain(digits);
    let raw: Vec<u8> = words.flat_map(|word| word.to_be_bytes()).collect();
    exact(&Type::NUMERIC, &raw)
}

#[test]
fn numbers_are_exact() {
    let cases = [
        (numeric(0, 0, 0, &[]), "0"),
        (numeric(0, 0, 2, &[]), "0.00"),
        (numeric(1, 0, 4, &[1, 2345, 6700]), "12345.6700"),
        (numeric(-1, 0x4000, 5, &[1, 2000]), "-0.00012"),
        (numeric(-2, 0, 9, &[12]), "0.000000120"),
        (numeric(4, 0, 1, &[1000, 0, 0, 0, 1, 5000]), "10000000000000000001.5"),
        (numeric(2, 0, 0, &[1]), "100000000"),
        (numeric(0, 0xC000, 0, &[]), "NaN"),
        (numeric(0, 0xD000, 0, &[]), "Infinity"),
        (numeric(0, 0xF000, 0, &[]), "-Infinity"),
    ];

    for (seen, expected) in cases {
        assert_eq!(seen.as_deref(), Some(expected));
    }
    assert_eq!(numeric(0, 0, 0, &[10_000]), None);
    assert_eq!(exact(&Type::NUMERIC, &[0, 1, 0, 0, 0, 0, 0, 0]), None);
}

#[test]
fn moments_are_exact() {
    let date = |days: i32| exact(&Type::DATE, &days.to_be_bytes());
    let timestamp = |micros: i64| exact(&Type::TIMESTAMP, &micros.to_be_bytes());
    let cases = [
        (date(0), "2000-01-01"),
        (date(-1), "1999-12-31"),
        (date(8825), "2024-02-29"),
        (date(-36_465), "1900-03-01"),
        (date(-730_119), "0001-01-01"),
        (date(-730_120), "0001-12-31 BC"),
        (date(i32::MAX), "infinity"),
        (date(i32::MIN), "-infinity"),
        (timestamp(-1), "1999-12-31 23:59:59.999999"),
        (timestamp(3_723_500_000), "2000-01-01 01:02:03.5"),
        (timestamp(i64::MAX), "infinity"),
        (timestamp(i64::MIN), "-infinity"),
        (exact(&Type::TIMESTAMPTZ, &0_i64.to_be_bytes()), "2000-01-01 00:00:00+00"),
    ];

    for (seen, expected) in cases {
        assert_eq!(seen.as_deref(), Some(expected));
    }
    assert_eq!(exact(&Type::DATE, &[0; 3]), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_a_value_or_an_error(raw in vec(any::<u8>(), 0..24), moment in any::<i64>()) {
        for kind in [Type::NUMERIC, Type::DATE, Type::TIMESTAMP, Type::TIMESTAMPTZ] {
            drop(exact(&kind, &raw));
        }
        prop_assert!(exact(&Type::TIMESTAMP, &moment.to_be_bytes()).is_some());
    }
}
