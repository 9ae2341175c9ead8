//! The platform stand-in, called over HTTP: transactions, objects, the host list and each fault.

use std::time::{Duration, Instant};

use bergamotvale_standin::platform::{Fault, Options, Server};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Time limit for calls that must be answered.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time for which a hanging call is observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(200);

fn start(fault: Fault) -> Server {
    Server::start(Options { fault, ..Options::default() }).expect("the platform starts")
}

async fn transact(client: &Client, server: &Server, body: Value) -> (StatusCode, Value) {
    let url = format!("{}/table/transactions", server.url());
    let response = client.post(url).json(&body).send().await.expect("the platform answers");
    (response.status(), response.json().await.expect("the platform answers"))
}

async fn row(client: &Client, server: &Server, key: &str) -> Option<Value> {
    let url = format!("{}/table/rows/{key}", server.url());
    let response = client.get(url).send().await.expect("the platform answers");
    match response.status() {
        StatusCode::OK => Some(response.json().await.expect("the platform answers")),
        status => {
            assert_eq!(status, StatusCode::NOT_FOUND);
            None
        }
    }
}

#[tokio::test]
async fn transaction_checks_versions() {
    let server = start(Fault::default());
    let client = Client::new();
    let body =
        json!({ "checks": [{ "key": "a", "version": 0 }], "puts": [{ "key": "a", "value": 1 }] });

    let (first, answer) = transact(&client, &server, body.clone()).await;
    let (second, conflict) = transact(&client, &server, body).await;

    assert_eq!(first, StatusCode::OK);
    assert_eq!(second, StatusCode::CONFLICT);
    let version = &answer["rows"][0]["version"];
    assert_eq!(conflict["rows"], json!([{ "key": "a", "version": version, "value": 1 }]));
}

#[tokio::test]
async fn lost_answer_has_taken_effect() {
    let server = start(Fault { lost_responses: 1, ..Fault::default() });
    let client = Client::new();
    let url = format!("{}/table/transactions", server.url());
    let body = json!({ "puts": [{ "key": "a", "value": "kept" }] });

    let lost = client.post(url).json(&body).send().await;

    assert!(lost.is_err(), "an answer came: {lost:?}");
    assert_eq!(row(&client, &server, "a").await.expect("the row is there")["value"], "kept");
}

#[tokio::test]
async fn one_of_many_conditional_writers_wins() {
    const WRITERS: usize = 32;
    let server = start(Fault::default());
    let client = Client::new();
    let (first, answer) =
        transact(&client, &server, json!({ "puts": [{ "key": "a", "value": "start" }] })).await;
    let version = answer["rows"][0]["version"].clone();

    let writers = (0..WRITERS).map(|writer| {
        let check = json!([{ "key": "a", "version": version }]);
        let body = json!({ "checks": check, "puts": [{ "key": "a", "value": writer }] });
        transact(&client, &server, body)
    });
    let answers = futures::future::join_all(writers).await;

    assert_eq!(first, StatusCode::OK);
    let winners: Vec<usize> =
        (0..WRITERS).filter(|writer| answers[*writer].0 == StatusCode::OK).collect();
    assert_eq!(winners.len(), 1);
    assert_eq!(row(&client, &server, "a").await.unwrap()["value"], winners[0]);
    assert!(answers.iter().all(|answer| [200, 409].contains(&answer.0.as_u16())));
}

#[tokio::test]
async fn transaction_is_all_or_nothing() {
    let server = start(Fault::default());
    let client = Client::new();
    transact(&client, &server, json!({ "puts": [{ "key": "b.1", "value": 1 }] })).await;

    let body = json!({
        "checks": [{ "key": "b.1", "version": 999 }, { "key": "c", "version": 0 }],
        "puts": [{ "key": "c", "value": 2 }],
        "deletes": ["b.1"],
    });
    let (failed, conflict) = transact(&client, &server, body).await;
    let body = json!({ "puts": [{ "key": "b.2", "value": 2 }], "deletes": ["b.1"] });
    let (done, _) = transact(&client, &server, body).await;

    assert_eq!(failed, StatusCode::CONFLICT);
    assert_eq!(conflict["rows"].as_array().unwrap().len(), 1);
    assert_eq!(done, StatusCode::OK);
    assert_eq!(row(&client, &server, "b.1").await, None);
    assert_eq!(row(&client, &server, "c").await, None);
    let url = format!("{}/table/rows?prefix=b.", server.url());
    let rows: Value = client.get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!(rows["rows"][0]["key"], "b.2");
    assert_eq!(server.rows("b.")[0].value, 2);
    assert_eq!(rows["rows"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn bad_calls_are_refused() {
    let server = start(Fault::default());
    let client = Client::new();
    let large = "x".repeat(257 << 10);
    let cases = [
        (json!({ "puts": [{ "key": "Upper", "value": 1 }] }), StatusCode::BAD_REQUEST),
        (json!({ "putts": [] }), StatusCode::BAD_REQUEST),
        (json!({ "puts": [{ "key": "a", "value": large }] }), StatusCode::PAYLOAD_TOO_LARGE),
    ];

    for (body, expected) in cases {
        assert_eq!(transact(&client, &server, body).await.0, expected);
    }
}

#[tokio::test]
async fn outage_and_its_end() {
    let server = start(Fault { outage: true, ..Fault::default() });
    let client = Client::new();
    let body = json!({ "puts": [{ "key": "a", "value": 1 }] });

    let (during, _) = transact(&client, &server, body.clone()).await;
    server.faults().set(|fault| fault.outage = false).unwrap();
    let nothing = row(&client, &server, "a").await;
    let (after, _) = transact(&client, &server, body).await;

    assert_eq!(during, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(nothing, None);
    assert_eq!(after, StatusCode::OK);
}

#[tokio::test]
async fn refused_connections_come_back() {
    let server = start(Fault { refuse: true, ..Fault::default() });
    let client = Client::new();
    let url = format!("{}/hosts", server.url());

    let during = client.get(&url).send().await;
    server.faults().set(|fault| fault.refuse = false).unwrap();
    let after = client.get(&url).send().await;

    assert!(during.is_err_and(|error| error.is_connect()));
    assert_eq!(after.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn cut_host_hangs_while_others_are_served() {
    let server = start(Fault::default());
    let faults = server.faults();
    faults.set(|fault| _ = fault.blocked_hosts.insert("h1".to_owned())).unwrap();
    let client = Client::new();
    let call = |host: &str, wait: Duration| {
        let url = format!("{}/hosts", server.url());
        client.get(url).header("bergamotvale-host", host).timeout(wait).send()
    };

    let (blocked, other) = (call("h1", OBSERVATION_TIME).await, call("h2", MAX_WAIT).await);
    faults.set(|fault| fault.blocked_hosts.clear()).unwrap();
    let healed = call("h1", MAX_WAIT).await;

    assert!(blocked.is_err_and(|error| error.is_timeout()));
    assert_eq!(other.unwrap().status(), StatusCode::OK);
    assert_eq!(healed.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn hanging_calls_are_not_carried_out() {
    let server = start(Fault { hang: true, ..Fault::default() });
    let client = Client::new();
    let url = format!("{}/table/transactions", server.url());
    let body = json!({ "puts": [{ "key": "a", "value": 1 }] });

    let hung = client.post(url).json(&body).timeout(OBSERVATION_TIME).send().await;
    server.faults().set(|fault| fault.hang = false).unwrap();
    tokio::time::sleep(OBSERVATION_TIME).await;

    assert!(hung.is_err_and(|error| error.is_timeout()));
    assert_eq!(row(&client, &server, "a").await, None);
}

#[tokio::test]
async fn slow_answers_are_late() {
    const DELAY: Duration = Duration::from_millis(120);
    let server = start(Fault { delay: DELAY, ..Fault::default() });
    let start = Instant::now();

    row(&Client::new(), &server, "a").await;

    assert!(start.elapsed() >= DELAY);
}

#[tokio::test]
async fn calls_over_the_ceiling_are_limited() {
    const CALLS: usize = 20;
    let server = start(Fault { write_rate: 1, ..Fault::default() });
    let client = Client::new();
    let call = |_| transact(&client, &server, json!({ "puts": [{ "key": "a", "value": 1 }] }));

    let answers = futures::future::join_all((0..CALLS).map(call)).await;

    let limited = answers.iter().filter(|(status, _)| *status == StatusCode::TOO_MANY_REQUESTS);
    let limited = limited.count() as u64;
    let (served, count) = (CALLS as u64 - limited, server.faults().count());
    assert!(limited > 0 && served > 0);
    assert_eq!((count.writes, count.limited), (served, limited));
    assert_eq!(row(&client, &server, "a").await.unwrap()["version"], served);
}

#[tokio::test]
async fn objects_are_kept_by_digest() {
    const DIGEST: &str = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";
    let server = start(Fault::default());
    let client = Client::new();
    let url = |digest: &str| format!("{}/objects/{digest}", server.url());

    let absent = client.get(url(DIGEST)).send().await.unwrap().status();
    let put = client.put(url(DIGEST)).body("hello").send().await.unwrap().status();
    let wrong = client.put(url(DIGEST)).body("hell").send().await.unwrap().status();
    let kept = client.get(url(DIGEST)).send().await.unwrap().bytes().await.unwrap();

    assert_eq!(absent, StatusCode::NOT_FOUND);
    assert_eq!(put, StatusCode::OK);
    assert_eq!(wrong, StatusCode::BAD_REQUEST);
    assert_eq!(&kept[..], b"hello");
}

#[tokio::test]
async fn large_objects_pass() {
    let server = start(Fault::default());
    let client = Client::new();
    let body: Vec<u8> = (0..8 << 20).map(|at: u32| at.wrapping_mul(2_654_435_761) as u8).collect();
    let digest: String = Sha256::digest(&body).iter().map(|byte| format!("{byte:02x}")).collect();
    let url = format!("{}/objects/{digest}", server.url());

    let put = client.put(&url).body(body.clone()).send().await.unwrap().status();
    let kept = client.get(&url).send().await.unwrap().bytes().await.unwrap();

    assert_eq!(put, StatusCode::OK);
    assert!(kept == body);
}

/// Registers a host.
async fn register(client: &Client, server: &Server, host: &str, incarnation: u64) -> StatusCode {
    let body = json!({
        "host": host,
        "incarnation": incarnation,
        "address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "failure_domain": "a",
        "state": "live",
    });
    let url = format!("{}/hosts/{host}", server.url());
    client.put(url).json(&body).send().await.expect("the platform answers").status()
}

async fn list_hosts(client: &Client, server: &Server) -> Vec<String> {
    let url = format!("{}/hosts", server.url());
    let response = client.get(url).send().await.expect("the platform answers");
    let list: Value = response.json().await.expect("the answer is JSON");
    let hosts = list["hosts"].as_array().expect("hosts are a list").iter();
    hosts.map(|host| host["host"].as_str().expect("a name is text").to_owned()).collect()
}

/// Waits until a host is on the list (`on`) or off it; false after [`MAX_WAIT`].
async fn wait_for_listing(client: &Client, server: &Server, host: &str, on: bool) -> bool {
    let deadline = Instant::now() + MAX_WAIT;
    while list_hosts(client, server).await.iter().any(|listed| listed == host) != on {
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

#[tokio::test]
async fn host_list_lags() {
    const LAG: Duration = Duration::from_millis(500);
    let server = start(Fault { hosts_lag: LAG, ..Fault::default() });
    let client = Client::new();
    let start = Instant::now();

    register(&client, &server, "h1", 1).await;
    let at_once = list_hosts(&client, &server).await;
    let listed_after = start.elapsed();
    let seen = wait_for_listing(&client, &server, "h1", true).await;

    assert!(at_once.is_empty() || listed_after >= LAG);
    assert!(seen);
    assert!(start.elapsed() >= LAG);
}

#[tokio::test]
async fn host_leaves_by_word_and_by_silence() {
    let server = start(Fault { hosts_lag: Duration::ZERO, ..Fault::default() });
    let client = Client::new();
    register(&client, &server, "h1", 2).await;
    register(&client, &server, "h2", 1).await;
    let both = list_hosts(&client, &server).await;

    let earlier = register(&client, &server, "h1", 1).await;
    let url = |incarnation| format!("{}/hosts/h1?incarnation={incarnation}", server.url());
    let wrong = client.delete(url(1)).send().await.unwrap().status();
    let right = client.delete(url(2)).send().await.unwrap().status();

    assert_eq!(both, ["h1", "h2"]);
    assert_eq!(earlier, StatusCode::CONFLICT);
    assert_eq!((wrong, right), (StatusCode::NOT_FOUND, StatusCode::OK));
    assert!(wait_for_listing(&client, &server, "h1", false).await, "h1 has left");
    assert!(wait_for_listing(&client, &server, "h2", false).await, "h2 is silent");
}

#[tokio::test]
async fn stop_closes_the_port_with_a_call_hanging() {
    let server = start(Fault { hang: true, ..Fault::default() });
    let url = format!("{}/hosts", server.url());
    let hanging = tokio::spawn(Client::new().get(&url).timeout(MAX_WAIT).send());
    tokio::time::sleep(OBSERVATION_TIME).await;

    tokio::task::spawn_blocking(move || server.stop()).await.unwrap();

    assert!(hanging.await.unwrap().is_err());
    assert!(Client::new().get(&url).send().await.is_err_and(|error| error.is_connect()));
}
