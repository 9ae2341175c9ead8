//! The callers' and operators' listeners over TLS: service, limits, disconnects, graceful stop, and
//! settings whose files cannot be used.

mod common;

use bergamotvale_host::settings::{Identity, Settings};
use common::{Fixture, Host, WAIT_TIMEOUT, wait_until};
use rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LONG_QUERY: &str = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n \
    WHERE i < 40000) SELECT i, 'one more line of the long result' AS line FROM n";
const SLOW_INSERT: &str = "INSERT INTO bolts SELECT 7, 1 WHERE pg_sleep(60) IS NOT NULL";

/// A self-signed certificate for 127.0.0.1, with its files.
struct TestIdentity {
    identity: Identity,
    pem: String,
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("a file");
    path
}

/// Creates an identity; `name` keeps its files apart from those of other tests.
fn make_identity(name: &str) -> TestIdentity {
    let names = vec!["127.0.0.1".to_owned()];
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(names).expect("a generated certificate");
    let pem = cert.pem();
    let certificate = write_file(&format!("{name}.crt"), &pem);
    let key = write_file(&format!("{name}.key"), &signing_key.serialize_pem());
    TestIdentity { identity: Identity { certificate, key }, pem }
}

fn client(pem: &str) -> reqwest::Client {
    let authority = reqwest::Certificate::from_pem(pem.as_bytes()).expect("a certificate");
    let builder = reqwest::Client::builder().tls_certs_only([authority]);
    builder.build().expect("a client")
}

async fn start(name: &str, change: impl FnOnce(&mut Settings)) -> (Fixture, Host) {
    let made = make_identity(name);
    let mut fixture = Fixture::new().await;
    fixture.http = client(&made.pem);
    let host = fixture.host_with(1, |settings| {
        settings.tls.callers = Some(made.identity.clone());
        settings.tls.operators = Some(made.identity);
        change(settings);
    });
    let host = host.await;
    (fixture, host)
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_over_tls() {
    let (fixture, host) = start("served", |_| ()).await;

    host.write("INSERT INTO bolts VALUES (1, 40)").send().await.ok();
    let long = host.read(LONG_QUERY).with_header("bergamotvale-timeout", "20s").send().await.ok();

    assert_eq!(fixture.bolts(), 1);
    assert_eq!(long.body["rows"].as_array().map(Vec::len), Some(40_000));
    assert_eq!(long.body["affected"], json!(40_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_are_served_over_tls() {
    let (fixture, host) = start("operators", |_| ()).await;
    let operators = host.daemon.host.settings.listen.operators;

    let answer = fixture.http.get(format!("https://{operators}/v1/status")).send().await;

    assert_eq!(answer.expect("an answer").status(), 401);
}

/// Sends a request without TLS; returns what the host sends until it closes the connection.
async fn send_plain(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = b"GET /v1/open/stock HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut answer = Vec::new();
    // A reset also closes the connection.
    let ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "the host did not close the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_callers_get_no_service() {
    let (_fixture, host) = start("plain", |_| ()).await;
    let operators = host.daemon.host.settings.listen.operators;

    for address in [host.address, operators] {
        let answer = send_plain(address).await;
        assert!(!answer.contains("HTTP"), "{answer}");
    }
    host.read("SELECT 1").send().await.ok();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_handshake_that_does_not_come_ends_its_connection() {
    let short_timeout =
        |settings: &mut Settings| settings.limits.header_time = Duration::from_secs(1);
    let (_fixture, host) = start("silent", short_timeout).await;

    let mut stream = TcpStream::connect(host.address).await.expect("a connection");
    let ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read_u8()).await;

    assert!(matches!(ended, Ok(Err(_))), "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_are_read_or_refused_over_tls() {
    let (_fixture, host) = start("bodies", |settings| settings.limits.body = 64 << 10).await;
    let text = |bytes: usize| "a".repeat(bytes);

    for _ in 0..20 {
        let read = host.read("SELECT $1 AS a").with_param(json!(text(60_000))).send().await.ok();
        let refused = host.read("SELECT $1").with_param(json!(text(200_000))).send().await;

        assert_eq!(read.body["rows"], json!([[text(60_000)]]));
        assert_eq!((refused.status, refused.reason()), (413, "too_large"));
        assert_eq!(refused.headers["connection"], "close");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_trust_the_certificate_are_not_served() {
    let (_fixture, host) = start("distrust", |_| ()).await;
    let distrusting_client = client(&make_identity("stranger").pem);

    let answer =
        distrusting_client.get(format!("https://{}/v1/open/stock", host.address)).send().await;

    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_ends_with_its_caller_over_tls() {
    let (fixture, host) = start("gone", |_| ()).await;
    let slow = host.write(SLOW_INSERT).with_header("bergamotvale-timeout", "20s");

    let running = tokio::spawn(slow.try_send());
    wait_until("the statement runs", || host.daemon.host.data.in_flight((1, 0)) > 0).await;
    running.abort();
    wait_until("the host detects the disconnect", || host.counter("caller.gone") == 1).await;
    // The stand-in runs one write at a time: this write would wait a minute if the slow statement
    // were still running.
    host.write("INSERT INTO bolts VALUES (1, 40)").send().await.ok();

    assert_eq!(fixture.bolts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_result_is_seen_to_be_cut_over_tls() {
    let (_fixture, host) = start("cut", |settings| settings.limits.result = 1 << 20).await;

    let answer = host.read(LONG_QUERY).with_header("bergamotvale-timeout", "20s").try_send().await;

    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(host.counter("read.cut"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_closes_says_so_over_tls() {
    let (fixture, host) = start("close", |_| ()).await;
    let operators = host.daemon.host.settings.listen.operators;

    for address in [host.address, operators] {
        for _ in 0..20 {
            let call = fixture.http.post(format!("https://{address}/nowhere")).body("body");
            let answer = call.send().await.expect("an answer");

            assert_eq!(
                (answer.status().as_u16(), answer.version()),
                (404, reqwest::Version::HTTP_11)
            );
            assert_eq!(answer.headers()["connection"], "close");
            let problem: Value = answer.json().await.expect("a problem document");
            assert_eq!((&problem["reason"], &problem["ran"]), (&json!("not_found"), &json!("no")));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_for_requests_over_tls() {
    let (_fixture, host) = start("stop", |_| ()).await;
    let slow = host.read("SELECT pg_sleep(1)").with_header("bergamotvale-timeout", "20s");
    let running = tokio::spawn(slow.send());
    wait_until("the statement runs", || host.daemon.requests_in_flight() > 0).await;

    host.daemon.stop().await;
    let answer = running.await.expect("no panic");

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.headers["connection"], "close", "{answer:?}");
}

fn settings(identity: &Identity) -> String {
    let (certificate, key) = (identity.certificate.display(), identity.key.display());
    format!(
        "host: 1
failure_domain: 2
listen: {{callers: 127.0.0.1:7100, operators: 127.0.0.1:7101, peers: 127.0.0.1:7102}}
platform: {{address: 127.0.0.1:7000}}
tls:
  operators:
    certificate: {certificate}
    key: {key}
"
    )
}

#[test]
fn files_that_cannot_serve_are_refused_with_field_and_place() {
    let good = make_identity("good").identity;
    let other = make_identity("other").identity;
    let missing = PathBuf::from("missing.pem");
    let empty = write_file("empty.pem", "no certificate");
    let unmatched_key = KeyPair::generate().expect("a key").serialize_pem();
    let unmatched_key = write_file("unmatched.key", &unmatched_key);
    let with = |certificate: &PathBuf, key: &PathBuf| {
        Settings::parse(&settings(&Identity { certificate: certificate.clone(), key: key.clone() }))
    };
    let cases = [
        (with(&missing, &good.key), "tls.operators.certificate", "at line 7", "missing.pem"),
        (with(&good.certificate, &missing), "tls.operators.key", "at line 8", "missing.pem"),
        (with(&empty, &good.key), "tls.operators.certificate", "at line 7", "empty.pem"),
        (with(&good.certificate, &empty), "tls.operators.key", "at line 8", "empty.pem"),
        (with(&good.certificate, &other.key), "tls.operators.key", "at line 8", "does not match"),
        (
            with(&good.certificate, &unmatched_key),
            "tls.operators.key",
            "at line 8",
            "does not match",
        ),
    ];

    for (outcome, field, line, text) in cases {
        let fault = outcome.expect_err("a refusal").to_string();
        assert!(fault.starts_with(&format!("settings: {field}: ")), "{fault}");
        assert!(fault.contains(text) && fault.ends_with(line), "{fault}");
    }
    assert!(with(&good.certificate, &good.key).is_ok());
}
