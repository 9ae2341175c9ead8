//! The operators' side of a fleet, and faults of its hosts' network.

use super::{Fleet, PATIENCE};
use bergamotvale_host::auth;
use bergamotvale_host::daemon::Daemon;
use bergamotvale_host::settings::{Operator, Settings};
use reqwest::Method;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Keys of the two operators of every fleet.
pub const ALICE: &str = "op_alice_secret-of-alice";
pub const BRUNO: &str = "op_bruno_secret-of-bruno";
const SALT: &str = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";

/// Settings with both operators, quick to stop and to rotate.
pub fn operated(settings: &mut Settings) {
    for key in [ALICE, BRUNO] {
        let mut parts = key.splitn(3, '_').skip(1);
        let (name, secret) = (parts.next().expect("name"), parts.next().expect("secret"));
        let digest = auth::digest(SALT, secret);
        settings.operators.push(Operator { name: name.into(), salt: SALT.into(), digest });
    }
    settings.timeouts.linger = Duration::from_millis(50);
    settings.timeouts.key_overlap = Duration::from_millis(300);
}

/// A fleet of four whose hosts all have authority.
pub async fn four() -> Fleet {
    let fleet = super::fleet_with(4, operated).await;
    fleet.settle().await;
    fleet
}

impl Fleet {
    /// Waits until every host has authority and sees every host in the member table.
    pub async fn settle(&self) {
        let count = self.daemons.len();
        let ready = |d: &Daemon| d.host.authority() && d.host.fleet.row().members.len() == count;
        self.wait("all hosts with authority", || self.daemons.iter().all(ready)).await;
    }

    /// Waits until `done`.
    pub async fn wait(&self, what: &str, mut done: impl FnMut() -> bool) {
        let start = Instant::now();
        while !done() {
            assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Calls the operators' interface of host `number` as `key`.
    pub async fn operate(
        &self,
        number: usize,
        key: &str,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        let address = self.daemons[number].host.settings.listen.operators;
        let url = format!("http://{address}/v1/{path}");
        let mut request = self.http.request(method, url).bearer_auth(key);
        if let Some(body) = body {
            request = request.json(&body);
        }
        let response = request.send().await.expect("the host answers");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the answer is JSON"))
    }

    /// Posts as Alice.
    pub async fn post_as_alice(&self, number: usize, path: &str, body: Value) -> (u16, Value) {
        self.operate(number, ALICE, Method::POST, path, Some(body)).await
    }

    /// Gets as Alice.
    pub async fn get_as_alice(&self, number: usize, path: &str) -> Value {
        let (status, body) = self.operate(number, ALICE, Method::GET, path, None).await;
        assert_eq!(status, 200, "{path}: {body}");
        body
    }

    /// Cuts host `number` off from all peers, or joins it again.
    pub fn cut_peers(&self, number: usize, cut: bool) {
        let own = number as u32 + 1;
        for (place, daemon) in self.daemons.iter().enumerate() {
            let all = 1..=self.daemons.len() as u32;
            let lost: BTreeSet<u32> = match place == number {
                true => all.filter(|host| *host != own).collect(),
                false => BTreeSet::from([own]),
            };
            daemon.host.peers.set_cut(if cut { lost } else { BTreeSet::new() });
        }
    }

    /// Cuts host `number` off from the platform, or joins it again.
    pub fn cut_store(&self, number: usize, cut: bool) {
        let name = (number + 1).to_string();
        let change = |fault: &mut bergamotvale_standin::platform::Fault| match cut {
            true => drop(fault.cut.insert(name)),
            false => drop(fault.cut.remove(&name)),
        };
        self.platform.faults().set(change).expect("the platform takes a fault");
    }

    /// Status and reason that a caller with `key` gets from host `number`.
    pub async fn ask(&self, number: usize, key: &str) -> (u16, String) {
        let url = format!("http://{}/v1/services/{}/read", self.callers(number), super::SERVICE);
        let body = serde_json::json!({"sql": "SELECT count(*) FROM bolts", "params": []});
        let request = self.http.post(url).json(&body).bearer_auth(key);
        let response = request.send().await.expect("the host answers");
        let status = response.status().as_u16();
        let body: Value = response.json().await.expect("the answer is JSON");
        (status, body["reason"].as_str().unwrap_or_default().to_owned())
    }

    /// Waits until host `number` answers a caller with `key` so.
    pub async fn ask_until(&self, number: usize, key: &str, status: u16, reason: &str) {
        let start = Instant::now();
        loop {
            let got = self.ask(number, key).await;
            if got == (status, reason.to_owned()) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "host {number}: still {got:?}, not {reason}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a plan has ended, as host `number` sees it.
    pub async fn plan_ended(&self, number: usize, id: &Value) -> Value {
        let start = Instant::now();
        loop {
            let plan = self.get_as_alice(number, &format!("plans/{id}")).await;
            if plan["state"] == "done" || plan["state"] == "failed" {
                return plan;
            }
            assert!(start.elapsed() < PATIENCE, "plan did not end: {plan}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
