//! Input from outside the process (settings, requests, keys, responses of the platform) is parsed
//! or refused with an error, and never causes a panic.

mod common;

use bergamotvale_core::config::{self, Document};
use bergamotvale_core::distribute;
use bergamotvale_host::auth;
use bergamotvale_host::front::body;
use bergamotvale_host::platform::{HostEntry, Row};
use bergamotvale_host::settings::Settings;
use common::{Fixture, KEY, WAIT_TIMEOUT};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SETTINGS: &str = "host: 1
failure_domain: 2
listen:
  callers: 127.0.0.1:7100
  operators: 127.0.0.1:7101
  peers: 127.0.0.1:7102
platform:
  address: 127.0.0.1:7000
timeouts:
  request: 1s
limits:
  body: 64KiB
";
/// Number of random requests that are sent to the host.
const REQUESTS: usize = 300;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    }
}

/// Generates any JSON value of a few nesting levels.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 5, |inner| {
        let name = prop_oneof![any::<String>(), Just("bytes".to_owned()), Just("1".to_owned())];
        prop_oneof![
            vec(inner.clone(), 0..5).prop_map(Value::from),
            vec((name, inner), 0..5).prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// Valid examples of the rows and entries that the platform stores for hosts.
fn stored_values() -> Vec<Value> {
    let account = json!({"name": "mill", "rate": 10, "burst": 5, "weight": 1, "services": []});
    let member = json!({"host": 1, "incarnation": 3, "peer_address": "127.0.0.1:7102",
        "failure_domain": 2, "leaving": false});
    let author = json!({"host": 1, "incarnation": 3, "attempt": 1});
    vec![
        json!({"version": 1, "services": {}, "accounts": {"1": account}, "keys": {}, "routes": {}}),
        json!({"epoch": 4, "version": 1, "digest": "", "members": {"1": member},
            "authors": {"4": author}}),
        json!({"key": "config.current", "version": 7, "value": {}}),
        json!({"host": "1", "incarnation": 3, "address": "127.0.0.1:7100",
            "peer_address": "127.0.0.1:7102", "failure_domain": "2", "state": "live"}),
    ]
}

/// Replaces the nested value that `at` selects by `new`.
fn replace(value: &mut Value, at: Index, new: Value) {
    let mut nodes = 0;
    count_nodes(value, &mut nodes);
    let mut left = at.index(nodes);
    set_nth(value, &mut left, &mut Some(new));
}

fn count_nodes(value: &Value, nodes: &mut usize) {
    *nodes += 1;
    match value {
        Value::Array(items) => items.iter().for_each(|item| count_nodes(item, nodes)),
        Value::Object(fields) => fields.values().for_each(|field| count_nodes(field, nodes)),
        _ => {}
    }
}

fn set_nth(value: &mut Value, left: &mut usize, new: &mut Option<Value>) {
    if *left == 0
        && let Some(new) = new.take()
    {
        *value = new;
        return;
    }
    *left = left.saturating_sub(1);
    match value {
        Value::Array(items) => items.iter_mut().for_each(|item| set_nth(item, left, new)),
        Value::Object(fields) => fields.values_mut().for_each(|field| set_nth(field, left, new)),
        _ => {}
    }
}

/// Parses `value` as each type that the platform may respond with.
fn parse_as_all(value: &Value) {
    if let Ok(document) = serde_json::from_value::<Document>(value.clone()) {
        drop(config::verify(&document));
    }
    drop(serde_json::from_value::<distribute::Row>(value.clone()));
    drop(serde_json::from_value::<Row>(value.clone()));
    if let Ok(listed) = serde_json::from_value::<HostEntry>(value.clone()) {
        let member = listed.member();
        assert!(member.is_none_or(|member| member.host.to_string().len() <= listed.host.len()));
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_settings_are_read_or_refused(
        text in any::<String>(),
        at in any::<Index>(),
        cut in any::<Index>(),
        new in prop_oneof![any::<String>(), "[0-9a-zA-Z:{}\\[\\]&*!|> -]{0,12}"],
    ) {
        let (at, cut) = (at.index(SETTINGS.len()), cut.index(SETTINGS.len()));
        let changed = format!("{}{new}{}", &SETTINGS[..at], &SETTINGS[at.max(cut)..]);

        for text in [text, changed] {
            if let Err(fault) = Settings::parse(&text) {
                prop_assert!(!fault.to_string().is_empty());
            }
        }
    }

    #[test]
    fn any_body_is_read_or_refused(bytes in vec(any::<u8>(), 0..400), value in value()) {
        drop(body::parse_statement(&bytes));
        drop(body::parse_statement(value.to_string().as_bytes()));
        let statement = json!({"sql": "SELECT $1", "params": [value]});

        if let Err(detail) = body::parse_statement(statement.to_string().as_bytes()) {
            prop_assert!(!detail.is_empty());
        }
    }

    #[test]
    fn any_key_is_judged(text in prop_oneof![any::<String>(), "bv_[0-9]{0,24}_?[ -~]{0,20}"]) {
        prop_assert!(auth::identify(&Document::default(), &text).is_err());
        let secret = auth::secret(&text);
        prop_assert!(secret.is_none_or(|secret| text.ends_with(secret)));
    }

    #[test]
    fn any_answer_of_the_platform_is_read_or_refused(value in value(), at in any::<Index>()) {
        parse_as_all(&value);
        for mut stored in stored_values() {
            replace(&mut stored, at, value.clone());
            parse_as_all(&stored);
        }
    }
}

/// The unchanged examples are valid, so that the mutated ones differ from valid input in one value.
#[test]
fn kept_values_are_valid() {
    let [document, row, table_row, listed] = stored_values().try_into().expect("four of them");

    let document: Document = serde_json::from_value(document).expect("a document");
    let row: distribute::Row = serde_json::from_value(row).expect("a fleet row");
    let table_row: Row = serde_json::from_value(table_row).expect("a row");
    let listed: HostEntry = serde_json::from_value(listed).expect("an entry");

    assert_eq!(config::verify(&document), Ok(()));
    assert_eq!((row.epoch, table_row.version), (4, 7));
    assert!(listed.member().is_some());
    assert!(Settings::parse(SETTINGS).is_ok());
}

fn header() -> impl Strategy<Value = (String, String)> {
    let name = prop::sample::select(vec![
        "bergamotvale-session",
        "bergamotvale-max-age",
        "bergamotvale-timeout",
        "idempotency-key",
        "content-type",
    ]);
    let value = prop_oneof![
        "[ -~]{0,60}",
        "[0-9]{1,25}(ns|us|ms|s|m|h|days|years)",
        "1;[0-9]{1,25}=[0-9.]{0,40}"
    ];
    (name.prop_map(str::to_owned), value)
}

/// Every request gets a response, a refusal states its reason, and the host keeps serving.
#[tokio::test(flavor = "multi_thread")]
async fn any_request_is_answered() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    // The client reuses connections, so the host must announce when it closes one.
    let http = reqwest::Client::new();
    let mut runner = TestRunner::deterministic();
    let call = prop::sample::select(vec![
        "services/mill/read",
        "services/mill/write",
        "services/mill/transactions",
        "transactions/0/run",
        "transactions/ffffffffffffffffff/commit",
        "services/%00/read",
        "open/%ff",
    ]);
    let body = prop_oneof![
        vec(any::<u8>(), 0..300),
        value().prop_map(|value| value.to_string().into_bytes()),
        value().prop_map(|value| json!({"sql": "SELECT $1", "params": [value]}).to_string().into()),
    ];
    let request = (call, vec(header(), 0..4), body);

    for number in 0..REQUESTS {
        let tree = request.new_tree(&mut runner).expect("a request");
        let (path, headers, body) = tree.current();
        let url = format!("http://{}/v1/{path}", host.address);
        let mut call = http.post(url).bearer_auth(KEY);
        for (name, value) in &headers {
            call = call.header(name, value);
        }
        let answer =
            call.body(body).send().await.unwrap_or_else(|e| panic!("{number}: {headers:?}: {e:?}"));
        let status = answer.status().as_u16();
        let text = answer.text().await.unwrap_or_else(|e| panic!("{number}: {e}"));
        assert_ne!(status, 500, "{number}: {path} {headers:?}: {text}");
        if status >= 400 {
            let problem: Value = serde_json::from_str(&text).expect("a problem document");
            assert!(problem["reason"].is_string(), "{number}: {path} {headers:?}: {text}");
            assert!(problem["ran"].is_string(), "{number}: {path} {headers:?}: {text}");
        }
    }

    host.read("SELECT count(*) FROM bolts").send().await.ok();
}

/// Sends a request with a body on a new connection; returns the head of the response, and whether
/// the host then closed the connection.
async fn send_request(address: std::net::SocketAddr, path: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") && answer.len() < 4096 {
        answer.push(stream.read_u8().await.expect("an answer"));
    }
    let read = tokio::time::timeout(Duration::from_secs(2), stream.read_u8()).await;
    let answer = String::from_utf8(answer).expect("a head is ASCII").to_lowercase();
    (answer, matches!(read, Ok(Err(_))))
}

/// A response before the host closes the connection has the header `connection: close`; otherwise
/// the caller would send its next request on a connection that is about to close.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_closes_says_so() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let operators = host.daemon.host.settings.listen.operators;
    let calls = [
        (host.address, "/nowhere"),
        (host.address, "/v1/open/stock"),
        (host.address, "/v1/services/mill/read/x"),
        (host.address, "/v1/services/mill/read"),
        (operators, "/nowhere"),
        (operators, "/v1/status"),
        (operators, "/v1/keys"),
        (operators, "/v1/keys/x/withdraw"),
    ];

    for (address, path) in calls {
        let (answer, closed) = send_request(address, path).await;
        let is_announced = answer.contains("connection: close");
        assert!(
            is_announced || !closed,
            "{path}: closed without `connection: close` after {answer}"
        );
    }
}

/// A path or method without a handler is refused with a problem document, like any other refusal.
#[tokio::test(flavor = "multi_thread")]
async fn what_no_handler_takes_is_a_problem_document() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    let operators = host.daemon.host.settings.listen.operators;
    let cases = [
        (host.address, "nowhere", 404, "not_found"),
        (host.address, "open/stock", 405, "not_found"),
        (operators, "nowhere", 404, "not_found"),
        (operators, "status", 405, "not_found"),
        (operators, "keys/x/withdraw", 400, "malformed"),
    ];

    for (address, path, status, reason) in cases {
        let answer = fixture.http.post(format!("http://{address}/v1/{path}")).body("body").send();
        let answer = answer.await.expect("an answer");
        let headers = answer.headers().clone();
        let seen = answer.status().as_u16();
        let problem: Value = answer.json().await.expect("a problem document");

        assert_eq!((seen, &problem["reason"]), (status, &json!(reason)), "{path}: {problem}");
        assert_eq!(problem["ran"], json!("no"), "{path}: {problem}");
        assert_eq!(problem["status"], json!(status), "{path}: {problem}");
        assert_eq!(headers["content-type"], "application/problem+json", "{path}");
        assert_eq!(headers.contains_key("allow"), status == 405, "{path}");
    }
}

/// The host closes the connection of a caller that stays silent, before a request or within its
/// headers.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_closed() {
    let fixture = Fixture::new().await;
    let quick = |settings: &mut Settings| {
        settings.limits.idle = Duration::from_secs(1);
        settings.limits.header_time = Duration::from_secs(1);
    };
    let host = fixture.host_with(1, quick).await;
    let operators = host.daemon.host.settings.listen.operators;

    for address in [host.address, operators] {
        for beginning in ["", "GET /v1/open/stock HT", "GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n"] {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.write_all(beginning.as_bytes()).await.expect("sent");
            let mut answer = Vec::new();
            let ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;

            assert!(ended.is_ok(), "{address} keeps the connection after {beginning:?}");
        }
    }
}
