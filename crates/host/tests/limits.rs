//! Limits on what a caller may send, and on how long it may take.

mod common;

use bergamotvale_host::settings::Settings;
use common::{Fixture, Host, KEY, WAIT_TIMEOUT};
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BODY: usize = 4_096;
const HEADERS: usize = 2_048;
const STATEMENT: usize = 1_024;
const RESULT: usize = 1_024;
/// Short, so that a test sees it pass.
const SHORT: Duration = Duration::from_millis(300);

fn small(settings: &mut Settings) {
    settings.limits.body = BODY;
    settings.limits.headers = HEADERS;
    settings.limits.statement = STATEMENT;
    settings.limits.result = RESULT;
}

/// Everything that the host sends until it closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut text)).await;
    // A reset closes as well.
    let _ = read.expect("the host closes the connection");
    String::from_utf8_lossy(&text).into_owned()
}

async fn connect(host: &Host) -> TcpStream {
    TcpStream::connect(host.address).await.expect("a connection")
}

#[tokio::test(flavor = "multi_thread")]
async fn each_size_over_its_limit_is_refused() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, small).await;
    let long = |bytes: usize| "a".repeat(bytes);
    let select = |bytes: usize| format!("SELECT '{}' AS text", long(bytes));
    let insert = "INSERT INTO bolts (id, metres) VALUES (1, 40) RETURNING hex(zeroblob(2000))";
    let cases = [
        ("body", host.read("SELECT $1 AS text").with_param(json!(long(BODY)))),
        ("headers", host.read("SELECT 1").with_header("x-note", &long(HEADERS))),
        ("statement", host.read(&select(STATEMENT))),
        ("result", host.write(insert)),
    ];

    for (number, (limit, call)) in cases.into_iter().enumerate() {
        let answer = call.send().await;

        assert_eq!((answer.status, answer.reason()), (413, "too_large"), "{limit}: {answer:?}");
        assert_eq!(answer.ran(), "no", "{limit}: {answer:?}");
        assert_eq!(host.counter("refusal.too_large"), number as i64 + 1, "{limit}");
    }
    assert_eq!(fixture.bolts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn sizes_at_their_limits_are_served() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, small).await;
    let select = format!("SELECT '{}' AS text", "a".repeat(STATEMENT - 17));

    let statement = host.read(&select).send().await;
    let body = host.read("SELECT length($1) AS size").with_param(json!("a".repeat(3_900)));

    assert_eq!(select.len(), STATEMENT);
    statement.ok();
    assert_eq!(body.send().await.ok().body["rows"], json!([[3_900]]));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.limits.idle = SHORT).await;
    let mut stream = connect(&host).await;

    let request = "GET /v1/open/stock HTTP/1.1\r\nhost: mill\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("a request sent");
    let text = read_to_close(&mut stream).await;

    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_that_take_too_long_are_refused() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.limits.header_time = SHORT).await;
    let mut stream = connect(&host).await;

    let begun = format!("POST /v1/services/mill/write HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n");
    stream.write_all(begun.as_bytes()).await.expect("a part sent");
    let text = read_to_close(&mut stream).await;

    assert!(text.starts_with("HTTP/1.1 408"), "{text:?}");
    host.read("SELECT 1").send().await.ok();
}
