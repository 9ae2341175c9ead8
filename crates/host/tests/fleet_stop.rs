//! A graceful stop under load: a load balancer keeps sending callers to the host until the platform no
//! longer lists it.

mod common;
mod fleet;

use common::KEY;
use fleet::four_with_leave;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const CALLERS: usize = 8;
const LEAVE: Duration = Duration::from_secs(2);

/// Results of one caller's requests until the platform no longer listed the host.
#[derive(Debug, Default)]
struct Tally {
    answered: u32,
    refused: u32,
    failed: Vec<String>,
}

/// Whether the platform lists the host; the list lags by a second.
async fn is_listed(http: &reqwest::Client, platform: SocketAddr) -> bool {
    let url = format!("http://{platform}/hosts");
    let answer = http.get(url).send().await.expect("the platform answers");
    let list: serde_json::Value = answer.json().await.expect("a list");
    let mut hosts = list["hosts"].as_array().expect("hosts").iter();
    hosts.any(|host| host["host"] == "4")
}

/// Sends requests for as long as the load balancer sends callers to the host.
async fn request_while_listed(address: SocketAddr, platform: SocketAddr) -> Tally {
    let http = reqwest::Client::new();
    let url = format!("http://{address}/v1/services/mill/read");
    let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []});
    let mut tally = Tally::default();
    while is_listed(&http, platform).await {
        match http.post(&url).bearer_auth(KEY).json(&body).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                let answer: serde_json::Value = match response.json().await {
                    Ok(answer) => answer,
                    Err(error) => {
                        tally.failed.push(error.to_string());
                        continue;
                    }
                };
                match (status, answer["ran"].as_str()) {
                    (200, _) => tally.answered += 1,
                    (503, Some("no")) => tally.refused += 1,
                    _ => tally.failed.push(answer.to_string()),
                }
            }
            Err(error) => tally.failed.push(format!("{error:?}")),
        }
    }
    tally
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_no_request_and_hands_the_shares_over() {
    let mut fleet = four_with_leave(LEAVE).await;
    let stopping = fleet.hosts.remove(3);
    let platform = fleet.fixture.platform.address();
    let http = &fleet.fixture.http;
    while !is_listed(http, platform).await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let share = |host: usize| fleet.host(host).limiter.share(common::ACCOUNT).0;
    let before: u64 = (0..3).map(share).sum();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(request_while_listed(stopping.address, platform)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;

    stopping.daemon.stop().await;

    for caller in callers {
        let tally = caller.await.expect("the caller does not panic");
        assert!(tally.answered > 0, "{tally:?}");
        assert_eq!(tally.failed, Vec::<String>::new(), "{tally:?}");
    }
    let has_left = || fleet.all().all(|host| host.fleet.row().members.len() == 3);
    fleet.wait("three members", has_left).await;
    let shares_returned = || (0..3).map(share).sum::<u64>() > before;
    fleet.wait("the shares of the host that left", shares_returned).await;
    fleet.stop().await;
}
