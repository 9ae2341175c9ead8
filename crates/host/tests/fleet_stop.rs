//! A graceful stop under <<<<<<<
load:
=======
a load balancer that follows the platform's list still sends callers to
//! the host.
//!
//! Guards against requests that fail because the host stops serving before callers
>>>>>>>
 <<<<<<<
a
=======
have seen that
//! it
>>>>>>>
 <<<<<<<
load
=======
is leaving,
>>>>>>>
 <<<<<<<
balancer
=======
and
>>>>>>>
 <<<<<<<
keeps
=======
against
>>>>>>>
 <<<<<<<
sending
=======
shares of
>>>>>>>
 callers <<<<<<<
to
=======
stopped host
>>>>>>>
 the <<<<<<<
host until
=======
no
>>>>>>>
 other <<<<<<<
platform
=======
host
>>>>>>>
 <<<<<<<
no
//! longer lists it
=======
takes over
>>>>>>>
.

mod common;
mod fleet;

use common::KEY;
use fleet::start_four_with_leave;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const CALLERS: usize = 8;
const LEAVE_DELAY: Duration = Duration::from_secs(2);

/// <<<<<<<
Results of
=======
Answers that
>>>>>>>
 one caller's <<<<<<<
requests
=======
received
>>>>>>>
 until the platform no longer <<<<<<<
listed the host
=======
no longer listed
>>>>>>>
.
#[derive(Debug, Default)]
struct <<<<<<<
Tally
=======
Answers
>>>>>>>
 {
    answered: u32,
    refused: u32,
    failed: Vec<String>,
}

/// Whether the platform lists the host; the list <<<<<<<
lags by
=======
lags by up to
>>>>>>>
 a second.
async fn is_listed(http: &reqwest::Client, platform: SocketAddr) -> bool {
    let url = format!("http://{platform}/hosts");
    let answer = http.get(url).send().await.expect("the platform answers");
    let list: serde_json::Value = answer.json().await.expect("the answer is JSON");
    let mut hosts = list["hosts"].as_array().expect("the list has hosts").iter();
    hosts.any(|host| host["host"] == "4")
}

/// <<<<<<<
Sends
=======
Sends reads
>>>>>>>
 <<<<<<<
requests
=======
one
>>>>>>>
 <<<<<<<
for
=======
after
>>>>>>>
 the other while the <<<<<<<
load balancer
=======
host
>>>>>>>
 is listed, as a <<<<<<<
to the host
=======
load balancer does
>>>>>>>
.
async fn <<<<<<<
request_while_listed
=======
read_while_listed
>>>>>>>
(address: SocketAddr, platform: SocketAddr) -> <<<<<<<
Tally
=======
Answers
>>>>>>>
 {
    let http = reqwest::Client::new();
    let url = format!("http://{address}/v1/services/mill/read");
    let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []});
    let mut <<<<<<<
tally
=======
answers
>>>>>>>
 = <<<<<<<
Tally
=======
Answers
>>>>>>>
::default();
    while is_listed(&http, platform).await {
        match http.post(&url).bearer_auth(KEY).json(&body).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                let answer: serde_json::Value = match response.json().await {
                    Ok(answer) => answer,
                    Err(error) => {
                        <<<<<<<
tally
=======
answers
>>>>>>>
.failed.push(error.to_string());
                        continue;
                    }
                };
                match (status, answer["ran"].as_str()) {
                    (200, _) => <<<<<<<
tally
=======
answers
>>>>>>>
.answered += 1,
                    (503, Some("no")) => <<<<<<<
tally
=======
answers
>>>>>>>
.refused += 1,
                    _ => <<<<<<<
tally
=======
answers
>>>>>>>
.failed.push(answer.to_string()),
                }
            }
            Err(error) => <<<<<<<
tally
=======
answers
>>>>>>>
.failed.push(format!("{error:?}")),
        }
    }
    <<<<<<<
tally
=======
answers
>>>>>>>

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
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(<<<<<<<
request_while_listed
=======
read_while_listed
>>>>>>>
(stopping.address, platform)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;

    stopping.daemon.stop().await;

    for caller in callers {
        let <<<<<<<
tally
=======
answers
>>>>>>>
 = caller.await.expect("the caller does not panic");
        assert!(<<<<<<<
tally
=======
answers
>>>>>>>
.answered > 0, "{<<<<<<<
tally
=======
answers
>>>>>>>
:?}");
        assert_eq!(<<<<<<<
tally
=======
answers
>>>>>>>
.failed, Vec::<String>::new(), "{<<<<<<<
tally
=======
answers
>>>>>>>
:?}");
    }
    let has_left = || fleet.all_hosts().all(|host| host.fleet.row().members.len() == 3);
    fleet.wait_for("three members", has_left).await;
    let <<<<<<<
shares_returned
=======
taken_over
>>>>>>>
 = || (0..3).map(share).sum::<u64>() > before;
    fleet.wait_for("the shares of the host that left", <<<<<<<
shares_returned
=======
taken_over
>>>>>>>
).await;
    fleet.stop().await;
}
