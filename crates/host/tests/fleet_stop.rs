//! A graceful stop while a load balancer that follows the platform's list still sends callers to
//! the host.
//!
//! Guards against requests that fail because the host stops serving before callers have seen that
//! it is leaving, and against shares of a stopped host that no other host takes over.

mod common;
mod fleet;

use common::KEY;
use fleet::start_four_with_leave;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const CALLERS: usize = 8;
const LEAVE_DELAY: Duration = Duration::from_secs(2);

/// Answers that one caller received until the host was no longer listed.
#[derive(Debug, Default)]
struct Answers {
    answered: u32,
    refused: u32,
    failed: Vec<String>,
}

/// Whether the platform lists the host; the list lags by up to a second.
async fn is_listed(http: &reqwest::Client, platform: SocketAddr) -> bool {
    let url = format!("http://{platform}/hosts");
    let answer = http.get(url).send().await.expect("the platform answers");
    let list: serde_json::Value = answer.json().await.expect("the answer is JSON");
    let mut hosts = list["hosts"].as_array().expect("the list has hosts").iter();
    hosts.any(|host| host["host"] == "4")
}

/// Sends reads one after the other while the host is listed, as a load balancer does.
async fn read_while_listed(address: SocketAddr, platform: SocketAddr) -> Answers {
    let http = reqwest::Client::new();
    let url = format!("http://{address}/v1/services/mill/read");
    let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []});
    let mut answers = Answers::default();
    while is_listed(&http, platform).await {
        match http.post(&url).bearer_auth(KEY).json(&body).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                let answer: serde_json::Value = match response.json().await {
                    Ok(answer) => answer,
                    Err(error) => {
                        answers.failed.push(error.to_string());
                        continue;
                    }
                };
                match (status, answer["ran"].as_str()) {
                    (200, _) => answers.answered += 1,
                    (503, Some("no")) => answers.refused += 1,
                    _ => answers.failed.push(answer.to_string()),
                }
            }
            Err(error) => answers.failed.push(format!("{error:?}")),
        }
    }
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_no_request_and_hands_the_shares_over() {
    let mut fleet = start_four_with_leave(LEAVE_DELAY).await;
    let stopping = fleet.hosts.remove(3);
    let platform = fleet.fixture.platform.address();
    let http = &fleet.fixture.http;
    while !is_listed(http, platform).await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let share = |host: usize| fleet.host(host).limiter.share(common::ACCOUNT).0;
    let before: u64 = (0..3).map(share).sum();
    let callers: Vec<_> =
        (0..CALLERS).map(|_| tokio::spawn(read_while_listed(stopping.address, platform))).collect();
    tokio::time::sleep(Duration::from_millis(300)).await;

    stopping.daemon.stop().await;

    for caller in callers {
        let answers = caller.await.expect("the caller does not panic");
        assert!(answers.answered > 0, "{answers:?}");
        assert_eq!(answers.failed, Vec::<String>::new(), "{answers:?}");
    }
    let three = || fleet.all_hosts().all(|host| host.fleet.row().members.len() == 3);
    fleet.wait_for("three members", three).await;
    let taken_over = || (0..3).map(share).sum::<u64>() > before;
    fleet.wait_for("the shares of the host that left", taken_over).await;
    fleet.stop().await;
}
