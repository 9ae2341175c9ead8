//! Property tests of untrusted texts: any input gives a value or an error, never a panic.

use bergamotvale_core::log::Position;
use bergamotvale_core::session::{MAX_SERVICES, MAX_TEXT_BYTES, Token};
use bergamotvale_core::statement::{Statement, Value};
use bergamotvale_core::{idempotency, sql};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// Random text from the characters of session tokens.
fn token_like_text() -> impl Strategy<Value = String> {
    "1?(;[0-9]{0,12}=?[0-9]{0,22}[.;=]?[0-9]{0,22}){0,6}"
}

/// Random text from fragments of SQL statements.
fn sql_like_text() -> impl Strategy<Value = String> {
    let part = prop::sample::select(vec![
        "SELECT",
        "'",
        "''",
        "\"",
        "$$",
        "$a$",
        "/*",
        "*/",
        "--",
        "\n",
        ";",
        "E'",
        "\\",
        "U&'",
        " ",
        "x",
        "COMMIT",
        "é",
        "$1",
        "bergamotvale_outcomes",
        "(",
        ")",
        "0",
    ]);
    vec(part, 0..30).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tokens_come_back_whole(
        positions in btree_map(any::<u32>(), (any::<u64>(), any::<u64>()), 0..MAX_SERVICES),
    ) {
        let token = positions.iter().fold(Token::new(), |token, (service, (term, index))| {
            token.with_position(*service, Position::new(*term, *index))
        });

        let text = token.to_string();

        match text.len() <= MAX_TEXT_BYTES {
            true => prop_assert_eq!(text.parse::<Token>().ok(), Some(token)),
            false => prop_assert!(text.parse::<Token>().is_err()),
        }
    }

    #[test]
    fn any_token_is_read_or_refused(text in prop_oneof![any::<String>(), token_like_text()]) {
        if let Ok(token) = text.parse::<Token>() {
            prop_assert_eq!(token.to_string().parse::<Token>().ok(), Some(token));
        }
    }

    #[test]
    fn any_statement_is_judged(sql in prop_oneof![any::<String>(), sql_like_text()]) {
        let verdict = sql::verify(&sql);

        let twice = sql::verify(&sql);
        prop_assert_eq!(verdict, twice);
    }

    #[test]
    fn a_secret_is_found_wherever_it_stands(
        before in any::<String>(),
        after in any::<String>(),
        secret in "[a-z0-9-]{8,40}",
        in_text in any::<bool>(),
    ) {
        let text = format!("{before}{secret}{after}");
        let statement = match in_text {
            true => Statement { sql: text, params: Vec::new() },
            false => Statement { sql: "SELECT $1".into(), params: vec![Value::Text(text)] },
        };

        prop_assert!(sql::contains_secret(&statement, &secret));
    }

    #[test]
    fn idempotency_keys_are_short_and_visible(key in prop_oneof![any::<String>(), "[!-~]{0,200}"]) {
        let is_valid = idempotency::verify(&key).is_ok();

        let visible = key.bytes().all(|byte| (b'!'..=b'~').contains(&byte));
        prop_assert_eq!(is_valid, visible && (1..=idempotency::MAX_KEY_CHARS).contains(&key.len()));
    }
}

#[test]
fn a_token_of_too_many_services_is_refused() {
    let services = |count: usize| (0..count).map(|n| format!(";{n}=1.1")).collect::<String>();

    assert!(format!("1{}", services(MAX_SERVICES)).parse::<Token>().is_ok());
    assert!(format!("1{}", services(MAX_SERVICES + 1)).parse::<Token>().is_err());
    assert!("1;".repeat(MAX_TEXT_BYTES).parse::<Token>().is_err());
}
