//! Guards against a caller's key, its digest or an operator's key leaking into log lines, status,
//! metrics, configuration or errors.

mod common;
mod fleet;

use fleet::{ALICE, start_four};
use reqwest::Method;
use serde_json::json;
use std::sync::{Mutex, PoisonError};

/// Logger that collects all lines.
struct Lines(Mutex<String>);

static LINES: Lines = Lines(Mutex::new(String::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_str(&format!("{} {}\n", record.target(), record.args()));
    }

    fn flush(&self) {}
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_shown_once_and_stands_nowhere_else() {
    log::set_logger(&LINES).expect("the only logger of this test binary");
    log::set_max_level(log::LevelFilter::Trace);
    let fleet = start_four().await;
    let (_, issued) = fleet.post_as_alice(0, "keys", json!({"account": "mill"})).await;
    let key = issued["key"].as_str().expect("the response contains the key").to_owned();
    let secret = key.splitn(3, '_').nth(2).expect("a key has three parts").to_owned();

    fleet.wait_for_answer(1, &key, 200, "").await;
    let mut returned = format!("{:?}", fleet.read_as(1, &format!("{key}x")).await);
    let path = format!("keys/{}/withdraw", issued["key_id"]);
    fleet.post_as_alice(2, &path, json!({})).await;
    fleet.wait_for_answer(3, &key, 401, "key_withdrawn").await;
    for host in 0..4 {
        for path in ["status", "metrics", "config", "plans", "audit"] {
            let (_, body) = fleet.operate(host, ALICE, Method::GET, path, None).await;
            returned.push_str(&body.to_string());
        }
    }
    let digest = fleet.host(0).document().keys[&1].digest.clone();
    fleet.stop().await;

    let lines = LINES.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
    assert!(lines.contains("operator alice: issue key"), "the logger collects the log");
    assert!(!returned.contains(&secret) && !lines.contains(&secret));
    assert!(!returned.contains(&digest), "a digest was returned");
    assert!(!lines.contains("secret-of-alice"), "an operator's key was logged");
}
