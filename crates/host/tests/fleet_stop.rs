//! A graceful stop while callers go on, sent there by a balancer that follows the platform's list.

mod common;
mod fleet;

use common::KEY;
use fleet::four_with_leave;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const CALLERS: usize = 8;
const LEAVE: Duration = Duration::from_secs(2);

/// What one caller met until the host was gone.
#[derive(Debug, Default)]
struct Met {
    answered: u32,
    refused: u32,
    cut: Vec<String>,
}

/// Whether the platform lists the host; the list is a second late.
async fn is_listed(http: &reqwest::Client, platform: SocketAddr) -> bool {
    let url = format!("http://{platform}/hosts");
    let answer = http.get(url).send().await.expect("the platform answers");
    let list: serde_json::Value = answer.json().await.expect("a list");
    let mut hosts = list["hosts"].as_array().expect("hosts").iter();
    hosts.any(|host| host["host"] == "4")
}

/// Asks again and again, as long as the balancer sends callers there.
async fn ask_while_listed(address: SocketAddr, platform: SocketAddr) -> Met {
    let http = reqwest::Client::new();
    let url = format!("http://{address}/v1/services/mill/read");
    let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []});
    let mut met = Met::default();
    while is_listed(&http, platform).await {
        match http.post(&url).bearer_auth(KEY).json(&body).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                let answer: serde_json::Value = match response.json().await {
                    Ok(answer) => answer,
                    Err(error) => {
                        met.cut.push(error.to_string());
                        continue;
                    }
                };
                match (status, answer["ran"].as_str()) {
                    (200, _) => met.answered += 1,
                    (503, Some("no")) => met.refused += 1,
                    _ => met.cut.push(answer.to_string()),
                }
            }
            Err(error) => met.cut.push(format!("{error:?}")),
        }
    }
    met
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
    let part = |host: usize| fleet.host(host).limiter.share(common::ACCOUNT).0;
    let before: u64 = (0..3).map(part).sum();
    let callers: Vec<_> =
        (0..CALLERS).map(|_| tokio::spawn(ask_while_listed(stopping.address, platform))).collect();
    tokio::time::sleep(Duration::from_millis(300)).await;

    stopping.daemon.stop().await;

    for caller in callers {
        let met = caller.await.expect("the caller ends");
        assert!(met.answered > 0, "{met:?}");
        assert_eq!(met.cut, Vec::<String>::new(), "{met:?}");
    }
    let three = || fleet.all().all(|host| host.fleet.row().members.len() == 3);
    fleet.wait("three members", three).await;
    let whole = || (0..3).map(part).sum::<u64>() > before;
    fleet.wait("the shares of the host that left", whole).await;
    fleet.stop().await;
}
