//! Four hosts with operators, and faults of their network.

#![allow(dead_code, reason = "each test file uses the part that it needs")]

use crate::common::{Fixture, Host, WAIT_TIMEOUT};
use bergamotvale_host::auth;
use bergamotvale_host::settings::{Operator, Settings};
use bergamotvale_host::shared;
use bergamotvale_standin::platform::Fault;
use reqwest::Method;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Keys of the two operators of every fleet.
pub(crate) const ALICE: &str = "op_alice_secret-of-alice";
pub(crate) const BRUNO: &str = "op_bruno_secret-of-bruno";
const LEAVE: Duration = Duration::from_millis(50);
const SALT: &str = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";

/// Settings with both operators, quick to stop and to rotate.
pub(crate) fn operated(settings: &mut Settings) {
    for key in [ALICE, BRUNO] {
        let mut parts = key.splitn(3, '_').skip(1);
        let (name, secret) = (parts.next().expect("name"), parts.next().expect("secret"));
        let digest = auth::digest(SALT, secret);
        settings.operators.push(Operator { name: name.into(), salt: SALT.into(), digest });
    }
    settings.timeouts.leave = LEAVE;
    settings.timeouts.key_overlap = Duration::from_millis(300);
}

/// Fleets that run at once in one test binary; more starve each other on a busy machine.
static TURNS: Semaphore = Semaphore::const_new(2);

/// Hosts in order of id from 1.
pub(crate) struct Fleet {
    _turn: SemaphorePermit<'static>,
    pub(crate) fixture: Fixture,
    pub(crate) hosts: Vec<Host>,
}

/// A fleet of four whose hosts all have authority and serve.
pub(crate) async fn four() -> Fleet {
    four_with_leave(LEAVE).await
}

/// One host without configuration.
pub(crate) async fn bare() -> Fleet {
    let turn = TURNS.acquire().await.expect("never closed");
    let fixture = Fixture::new().await;
    let host = fixture.unconfigured_host(1, operated).await;
    let fleet = Fleet { _turn: turn, fixture, hosts: vec![host] };
    fleet.settle().await;
    fleet
}

/// The same with hosts that serve on for this long after they began to leave.
pub(crate) async fn four_with_leave(leave: Duration) -> Fleet {
    let turn = TURNS.acquire().await.expect("never closed");
    let fixture = Fixture::new().await;
    let change = |settings: &mut Settings| {
        operated(settings);
        settings.timeouts.leave = leave;
    };
    let starts = (1..=4).map(|id| fixture.host_with(id, change));
    let hosts = futures::future::join_all(starts).await;
    let fleet = Fleet { _turn: turn, fixture, hosts };
    fleet.settle().await;
    fleet
}

impl Fleet {
    /// Waits until every host has authority and sees every host in the member table.
    pub(crate) async fn settle(&self) {
        let count = self.hosts.len();
        let ready = |host: &Arc<shared::Host>| {
            host.has_authority() && host.fleet.row().members.len() == count
        };
        self.wait("all hosts with authority", || self.all().all(ready)).await;
    }

    /// What host `number`, from 0, shares among its tasks.
    pub(crate) fn host(&self, number: usize) -> &Arc<shared::Host> {
        &self.hosts[number].daemon.host
    }

    /// The same of every host.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<shared::Host>> {
        self.hosts.iter().map(|host| &host.daemon.host)
    }

    /// Changes the platform's faults.
    pub(crate) fn fault(&self, change: impl FnOnce(&mut Fault)) {
        self.fixture.platform.faults().set(change).expect("the platform takes a fault");
    }

    /// Stops all hosts.
    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.daemon.stop().await;
        }
    }

    /// Waits until `done`.
    pub(crate) async fn wait(&self, what: &str, mut done: impl FnMut() -> bool) {
        let start = Instant::now();
        while !done() {
            assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain for {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Calls the operators' interface of host `number` as `key`.
    pub(crate) async fn operate(
        &self,
        number: usize,
        key: &str,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        let address = self.host(number).settings.listen.operators;
        let url = format!("http://{address}/v1/{path}");
        let mut request = self.fixture.http.request(method, url).bearer_auth(key);
        if let Some(body) = body {
            request = request.json(&body);
        }
        let response = request.send().await.expect("the host answers");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the answer is JSON"))
    }

    /// Posts as Alice.
    pub(crate) async fn post_as_alice(
        &self,
        number: usize,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        self.operate(number, ALICE, Method::POST, path, Some(body)).await
    }

    /// Gets as Alice.
    pub(crate) async fn get_as_alice(&self, number: usize, path: &str) -> Value {
        let (status, body) = self.operate(number, ALICE, Method::GET, path, None).await;
        assert_eq!(status, 200, "{path}: {body}");
        body
    }

    /// Cuts host `number` off from all peers, or joins it again.
    pub(crate) fn cut_peers(&self, number: usize, cut: bool) {
        let own = number as u32 + 1;
        for (place, host) in self.all().enumerate() {
            let all = 1..=self.hosts.len() as u32;
            let lost: BTreeSet<u32> = match place == number {
                true => all.filter(|host| *host != own).collect(),
                false => BTreeSet::from([own]),
            };
            host.peers.set_blocked(if cut { lost } else { BTreeSet::new() });
        }
    }

    /// Cuts host `number` off from the platform, or joins it again.
    pub(crate) fn cut_store(&self, number: usize, cut: bool) {
        let name = (number + 1).to_string();
        self.fault(|fault| match cut {
            true => drop(fault.blocked_hosts.insert(name)),
            false => drop(fault.blocked_hosts.remove(&name)),
        });
    }

    /// Status and reason that a caller with `key` gets from host `number`.
    pub(crate) async fn ask(&self, number: usize, key: &str) -> (u16, String) {
        let call = self.hosts[number].read("SELECT count(*) FROM bolts").with_key(key);
        let answer = call.send().await;
        (answer.status, answer.body["reason"].as_str().unwrap_or_default().to_owned())
    }

    /// Waits until host `number` answers a caller with `key` so.
    pub(crate) async fn ask_until(&self, number: usize, key: &str, status: u16, reason: &str) {
        let start = Instant::now();
        loop {
            let got = self.ask(number, key).await;
            if got == (status, reason.to_owned()) {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "host {number}: still {got:?}, not {reason}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a plan has ended, as host `number` sees it.
    pub(crate) async fn plan_ended(&self, number: usize, id: &Value) -> Value {
        let start = Instant::now();
        loop {
            let plan = self.get_as_alice(number, &format!("plans/{id}")).await;
            if plan["state"] == "done" || plan["state"] == "failed" {
                return plan;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "plan did not end: {plan}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
