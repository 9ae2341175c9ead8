//! The platform over an HTTP client.

mod common;

use bergamotvale_standin::platform::{Fault, Options, Server};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

fn start(fault: Fault) -> Server {
    Server::start(Options { fault, ..Options::default() }).expect("the platform starts")
}

async fn transact(client: &Client, server: &Server, body: Value) -> (StatusCode, Value) {
    let url = format!("{}/table/transactions", server.url());
    let response = client.post(url).json(&body).send().await.unwrap();
    (response.status(), response.json().await.unwrap())
}

async fn row(client: &Client, server: &Server, key: &str) -> Option<Value> {
    let url = format!("{}/table/rows/{key}", server.url());
    let response = client.get(url).send().await.unwrap();
    match response.status() {
        StatusCode::OK => Some(response.json().await.unwrap()),
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
    let server = start(Fault { lose: 1, ..Fault::default() });
    let client = Client::new();
    let url = format!("{}/table/transactions", server.url());
    let body = json!({ "puts": [{ "key": "a", "value": "kept" }] });

    let lost = client.post(url).json(&body).send().await;

    assert!(lost.is_err(), "an answer came: {lost:?}");
    assert_eq!(row(&client, &server, "a").await.expect("the row is there")["value"], "kept");
}
