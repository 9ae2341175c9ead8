//! Limits on the sizes of requests and results, and on the time that a caller may take to send a
//! request or keep a connection idle.

mod common;

use bergamotvale_host::settings::Settings;
use common::{Fixture, Host, KEY, WAIT_TIMEOUT};
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_BODY: usize = 4_096;
const MAX_HEADERS: usize = 2_048;
const MAX_STATEMENT: usize = 1_024;
const MAX_RESULT: usize = 1_024;
/// Short enough for a test to wait until it has passed.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn with_low_limits(settings: &mut Settings) {
    settings.limits.body = MAX_BODY;
    settings.limits.headers = MAX_HEADERS;
    settings.limits.statement = MAX_STATEMENT;
    settings.limits.result = MAX_RESULT;
}

/// Reads everything that the host sends until it closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut text)).await;
    // A reset counts as closing, so the result of the read is ignored.
    let _ = read.expect("the host closes the connection");
    String::from_utf8_lossy(&text).into_owned()
}

async fn connect(host: &Host) -> TcpStream {
    TcpStream::connect(host.address).await.expect("a connection")
}

#[tokio::test(flavor = "multi_thread")]
async fn each_size_over_its_limit_is_refused() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, with_low_limits).await;
    let long = |bytes: usize| "a".repeat(bytes);
    let select = |bytes: usize| format!("SELECT '{}' AS text", long(bytes));
    let insert = "INSERT INTO bolts (id, metres) VALUES (1, 40) RETURNING hex(zeroblob(2000))";
    let cases = [
        ("body", host.read("SELECT $1 AS text").with_param(json!(long(MAX_BODY)))),
        ("headers", host.read("SELECT 1").with_header("x-note", &long(MAX_HEADERS))),
        ("statement", host.read(&select(MAX_STATEMENT))),
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
    let host = fixture.host_with(1, with_low_limits).await;
    let select = format!("SELECT '{}' AS text", "a".repeat(MAX_STATEMENT - 17));

    let statement = host.read(&select).send().await;
    let body = host.read("SELECT length($1) AS size").with_param(json!("a".repeat(3_900)));

    assert_eq!(select.len(), MAX_STATEMENT);
    statement.ok();
    assert_eq!(body.send().await.ok().body["rows"], json!([[3_900]]));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.limits.idle = SHORT_TIMEOUT).await;
    let mut stream = connect(&host).await;

    let request = "GET /v1/open/stock HTTP/1.1\r\nhost: mill\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("a request sent");
    let text = read_to_close(&mut stream).await;

    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_that_take_too_long_are_refused() {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.limits.header_time = SHORT_TIMEOUT).await;
    let mut stream = connect(&host).await;

    let partial_request =
        format!("POST /v1/services/mill/write HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n");
    stream.write_all(partial_request.as_bytes()).await.expect("a part sent");
    let text = read_to_close(&mut stream).await;

    assert!(text.starts_with("HTTP/1.1 408"), "{text:?}");
    host.read("SELECT 1").send().await.ok();
}
