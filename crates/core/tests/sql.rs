//! Checks of callers' statements, of secrets in them, and of idempotency keys and digests.

use bergamotvale_core::idempotency;
use bergamotvale_core::sql;
use bergamotvale_core::statement::{Statement, Value};

const REFUSED: [&str; 21] = [
    "",
    "-- nothing",
    "COMMIT",
    "  /* a /* nested */ comment */ rollback",
    "-- a comment\nBEGIN",
    "SET default_transaction_read_only = off",
    "SELECT set_config('a', 'b', false)",
    "SELECT * FROM group_promote(9, 1)",
    "SELECT * FROM \"group_fence\"(9, 1)",
    "SELECT * FROM Group_Hold(1000)",
    "SELECT U&\"gr\\006fup_fence\"(9, 1)",
    "SELECT * FROM bergamotvale_outcomes",
    "SELECT 'a''b', outcome FROM public.bergamotvale_outcomes",
    "SELECT E'\\'', outcome FROM bergamotvale_outcomes --'",
    "SELECT $$a$$, outcome FROM bergamotvale_outcomes",
    "SELECT $1, pg_advisory_lock(1)",
    "CREATE TEMP TABLE t (a int)",
    "SELECT 1 INTO TEMPORARY t",
    "SELECT 'unterminated",
    "/* unterminated",
    "DO $$ BEGIN COMMIT; END $$",
];

const ACCEPTED: [&str; 9] = [
    "SELECT 1",
    "SELECT 'COMMIT; group_fence', $1",
    "SELECT group_id, \"set\" FROM bolts -- group_fence()",
    "UPDATE bolts SET temp = $1 WHERE id = $2",
    "INSERT INTO postings (note) VALUES ('it''s bergamotvale_outcomes')",
    "SELECT $tag$ bergamotvale_outcomes $tag$",
    "WITH x AS (SELECT 1) SELECT * FROM x",
    "SELECT E'a\\\\', 1",
    "SELECT \u{e9}t\u{e9} FROM saisons",
];

#[test]
fn statements_beyond_the_caller_are_refused() {
    for sql in REFUSED {
        assert!(sql::verify(sql).is_err(), "{sql}");
    }
}

#[test]
fn ordinary_statements_are_accepted() {
    for sql in ACCEPTED {
        assert!(sql::verify(sql).is_ok(), "{sql}");
    }
}

#[test]
fn a_secret_is_found_in_text_and_parameters() {
    let statement = |sql: &str, param| Statement { sql: sql.into(), params: vec![param] };
    let clean = Value::Text("bolt".into());

    assert!(sql::contains_secret(&statement("SELECT 'bv_1_s3cret'", clean.clone()), "s3cret"));
    assert!(sql::contains_secret(
        &statement("SELECT $1", Value::Text("xs3cretx".into())),
        "s3cret"
    ));
    assert!(sql::contains_secret(
        &statement("SELECT $1", Value::Bytes(b"s3cret".into())),
        "s3cret"
    ));
    assert!(!sql::contains_secret(&statement("SELECT $1", clean), "s3cret"));
}

#[test]
fn digests_differ_with_any_part() {
    let statement = |sql: &str, params: Vec<Value>| Statement { sql: sql.into(), params };
    let text = |text: &str| Value::Text(text.into());
    let digests = [
        idempotency::digest(1, 1, &statement("a", vec![text("bc")])),
        idempotency::digest(1, 1, &statement("ab", vec![text("c")])),
        idempotency::digest(1, 1, &statement("a", vec![text("b"), text("c")])),
        idempotency::digest(1, 1, &statement("a", vec![Value::Bytes(b"bc".into())])),
        idempotency::digest(2, 1, &statement("a", vec![text("bc")])),
        idempotency::digest(1, 2, &statement("a", vec![text("bc")])),
    ];
    let distinct: std::collections::BTreeSet<_> = digests.iter().collect();
    assert_eq!(distinct.len(), digests.len());
}

#[test]
fn idempotency_keys_are_visible_ascii() {
    assert!(idempotency::verify("bolt-2026/1").is_ok());
    assert!(idempotency::verify(&"k".repeat(128)).is_ok());
    for key in ["", "two words", "\u{e9}", &"k".repeat(129)] {
        assert!(idempotency::verify(key).is_err(), "{key}");
    }
}
