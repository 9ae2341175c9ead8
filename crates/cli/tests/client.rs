//! Clients against canned responses: what counts as a result, a refusal or an unknown outcome, and
//! how statements, intents and new keys are encoded and printed.

use bergamotvale_cli::client;
use bergamotvale_cli::client::caller::{Client, Failure, Operation, Request};
use bergamotvale_cli::client::operator;
use bergamotvale_cli::client::problem::Problem;
use bergamotvale_cli::client::value;
use bergamotvale_cli::output;
use bergamotvale_core::plan::Intent;
use bergamotvale_core::refusal::{Ran, Reason};
use bergamotvale_core::statement::{Statement, Value};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ROWS: &str = r#"{"columns":[{"name":"n","type":"int8"}],"rows":[[7]],"affected":0}"#;

/// Starts a listener that sends `response` on its first connection and closes it.
async fn serve_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    address
}

fn response(status: &str, headers: &str, length: usize, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn client(address: SocketAddr) -> Client {
    Client::new(client::http().build().expect("client"), address)
}

fn read() -> Request {
    let statement = Statement { sql: "SELECT 7".to_owned(), params: Vec::new() };
    Request::new(Operation::Read("orders".to_owned(), statement)).with_key("bv_1_secret")
}

#[tokio::test]
async fn whole_answer_carries_session_and_target() {
    let headers = "bergamotvale-session: 1;1=3.9\r\nbergamotvale-target: 2 replica\r\n";
    let address = serve_once(response("200 OK", headers, ROWS.len(), ROWS)).await;

    let response = client(address).send(&read()).await.expect("response");

    assert_eq!(response.rows.rows, vec![vec![Value::Int(7)]]);
    assert_eq!(response.session.map(|token| token.to_string()).as_deref(), Some("1;1=3.9"));
    assert!(response.target.expect("target").is_replica);
    assert!(!response.replayed);
}

#[tokio::test]
async fn cut_answer_leaves_the_outcome_open() {
    let address = serve_once(response("200 OK", "", ROWS.len() + 10, ROWS)).await;

    let failure = client(address).send(&read()).await.expect_err("incomplete response");

    assert!(matches!(failure, Failure::Incomplete(_)), "{failure}");
    assert_eq!(failure.ran(), Ran::Unknown);
}

#[tokio::test]
async fn refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);

    let failure = client(address).send(&read()).await.expect_err("refused connection");

    assert!(matches!(failure, Failure::Unsent(_)), "{failure}");
    assert_eq!(failure.ran(), Ran::No);
}

#[tokio::test]
async fn refusal_is_typed() {
    let body = r#"{"type":"urn:bergamotvale:refusal:rate_exceeded","title":"t","status":429,"detail":"d","reason":"rate_exceeded","ran":"no"}"#;
    let address = serve_once(response("429 X", "retry-after: 2\r\n", body.len(), body)).await;

    let failure = client(address).send(&read()).await.expect_err("refusal");

    let Failure::Refused(problem) = failure else { panic!("{failure}") };
    assert_eq!(problem.known_reason(), Some(Reason::RateExceeded));
    assert_eq!(problem.ran, Some(Ran::No));
    assert_eq!(problem.retry_after, Some(Duration::from_secs(2)));
}

#[test]
fn refusal_without_a_promise_is_unknown() {
    let problem = Problem::new(502, None, b"<html>bad gateway</html>");

    assert_eq!(Failure::from(problem).ran(), Ran::Unknown);
}

#[test]
fn every_reason_is_known_by_its_text() {
    for reason in Reason::ALL {
        let body = format!(r#"{{"reason":"{reason}","ran":"no"}}"#);

        let problem = Problem::new(503, None, body.as_bytes());

        assert_eq!(problem.known_reason(), Some(reason));
    }
}

#[test]
fn parameters_travel_as_documented() {
    let params = vec![
        Value::Null,
        Value::Bool(true),
        Value::Int(-3),
        Value::Float(0.5),
        Value::Text("a".to_owned()),
        Value::Bytes(vec![0, 255]),
    ];

    let body = value::statement_body(&Statement { sql: "S".to_owned(), params });

    let expected = r#"{"params":[null,true,-3,0.5,"a",{"bytes":"AP8="}],"sql":"S"}"#;
    assert_eq!(body.to_string(), expected);
}

#[test]
fn row_of_another_width_is_no_result() {
    let body = br#"{"columns":[{"name":"n","type":"int8"}],"rows":[[7,8]],"affected":0}"#;

    assert_eq!(value::parse_rows(body), None);
}

#[test]
fn intents_travel_as_documented() {
    let intent = Intent::Rotate { account: "mill".to_owned(), key_id: 17 };

    let body = serde_json::to_string(&intent).expect("json");

    assert_eq!(body, r#"{"rotate":{"account":"mill","key_id":17}}"#);
}

const ROTATION: &str = r#"{"id":5,"version":3,"intent":{"rotate":{"account":"mill","key_id":17}},
    "state":"confirmed","steps":[{"number":1,"command":"c","touches":"t","check":"k",
    "state":"pending","detail":""}],"confirmed_by":"alice",
    "issued":{"key_id":18,"key":"bv_18_new"}}"#;

#[tokio::test]
async fn a_rotation_shows_its_new_key() {
    let address = serve_once(response("200 OK", "", ROTATION.len(), ROTATION)).await;
    let http = client::http().build().expect("client");

    let confirmed = operator::Client::new(http, address, "op_alice_s").confirm(5).await;

    let confirmed = confirmed.expect("a confirmed plan");
    let rendered = output::render_confirmed(&confirmed);
    assert!(rendered.starts_with("plan 5 (confirmed)"), "{rendered}");
    assert!(rendered.ends_with("key 18\nbv_18_new\nIt is not shown again.\n"), "{rendered}");
    let json = output::json(&confirmed).expect("json");
    let json: serde_json::Value = serde_json::from_str(&json).expect("one document");
    assert_eq!(json, serde_json::from_str::<serde_json::Value>(ROTATION).expect("json"));
}

#[tokio::test]
async fn a_plan_without_a_new_key_shows_none() {
    let mut body: serde_json::Value = serde_json::from_str(ROTATION).expect("json");
    body.as_object_mut().expect("an object").remove("issued");
    let body = body.to_string();
    let address = serve_once(response("200 OK", "", body.len(), &body)).await;
    let http = client::http().build().expect("client");

    let confirmed = operator::Client::new(http, address, "op_alice_s").confirm(5).await;

    let confirmed = confirmed.expect("a confirmed plan");
    assert!(!output::render_confirmed(&confirmed).contains("shown again"));
    assert!(!output::json(&confirmed).expect("json").contains("issued"));
}

proptest! {
    #[test]
    fn foreign_bodies_are_no_panic(body in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = value::parse_rows(&body);
        let _ = Problem::new(500, None, &body).to_string();
    }
}
