//! A fleet of hosts with operators, and faults of its network and platform.

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
const LEAVE_DELAY: Duration = Duration::from_millis(50);
const SALT: &str = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";

/// Adds both operators, and makes hosts stop and rotate keys quickly.
pub(crate) fn configure_host(settings: &mut Settings) {
    for key in [ALICE, BRUNO] {
        let mut parts = key.splitn(3, '_').skip(1);
        let (name, secret) = (
            parts.next().expect("the key has a name"),
            parts.next().expect("the key has a secret"),
        );
        let digest = auth::digest(SALT, secret);
        settings.operators.push(Operator { name: name.into(), salt: SALT.into(), digest });
    }
    settings.timeouts.leave = LEAVE_DELAY;
    settings.timeouts.key_overlap = Duration::from_millis(300);
}

/// Permits for fleets that run concurrently in one test binary; more of them starve each other on a
/// busy machine.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(2);

/// A platform, a database group and hosts in the order of their ids, which start at 1.
pub(crate) struct Fleet {
    _permit: SemaphorePermit<'static>,
    pub(crate) fixture: Fixture,
    pub(crate) hosts: Vec<Host>,
}

/// Starts four hosts and waits until all of them have authority and serve.
pub(crate) async fn start_four() -> Fleet {
    start_four_with_leave(LEAVE_DELAY).await
}

/// Starts one host without a configuration.
pub(crate) async fn start_unconfigured() -> Fleet {
    let permit = FLEET_PERMITS.acquire().await.expect("the semaphore is never closed");
    let fixture = Fixture::new().await;
    let host = fixture.unconfigured_host(1, configure_host).await;
    let fleet = Fleet { _permit: permit, fixture, hosts: vec![host] };
    fleet.wait_until_ready().await;
    fleet
}

/// Starts four hosts that continue to serve for `leave` after they began to leave.
pub(crate) async fn start_four_with_leave(leave: Duration) -> Fleet {
    let permit = FLEET_PERMITS.acquire().await.expect("the semaphore is never closed");
    let fixture = Fixture::new().await;
    let change = |settings: &mut Settings| {
        configure_host(settings);
        settings.timeouts.leave = leave;
    };
    let starts = (1..=4).map(|id| fixture.host_with(id, change));
    let hosts = futures::future::join_all(starts).await;
    let fleet = Fleet { _permit: permit, fixture, hosts };
    fleet.wait_until_ready().await;
    fleet
}

impl Fleet {
    /// Waits until every host has authority and sees every host in the member table.
    pub(crate) async fn wait_until_ready(&self) {
        let count = self.hosts.len();
        let ready =
            |h: &Arc<shared::Host>| h.has_authority() && h.fleet.row().members.len() == count;
        self.wait_for("all hosts with authority", || self.all_hosts().all(ready)).await;
    }

    /// Shared state of host `number`, counted from 0.
    pub(crate) fn host(&self, number: usize) -> &Arc<shared::Host> {
        &self.hosts[number].daemon.host
    }

    /// Shared state of every host.
    pub(crate) fn all_hosts(&self) -> impl Iterator<Item = &Arc<shared::Host>> {
        self.hosts.iter().map(|host| &host.daemon.host)
    }

    /// Changes the faults that the platform injects.
    pub(crate) fn set_fault(&self, change: impl FnOnce(&mut Fault)) {
        self.fixture.platform.faults().set(change).expect("the platform accepts the fault");
    }

    /// Stops all hosts.
    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.daemon.stop().await;
        }
    }

    /// Waits until `done` returns true.
    pub(crate) async fn wait_for(&self, what: &str, mut done: impl FnMut() -> bool) {
        let start = Instant::now();
        while !done() {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Calls the operators' interface of host `number` with `key`.
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

    /// Posts to the operators' interface as Alice.
    pub(crate) async fn post_as_alice(
        &self,
        number: usize,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        self.operate(number, ALICE, Method::POST, path, Some(body)).await
    }

    /// Gets from the operators' interface as Alice; panics unless the status is 200.
    pub(crate) async fn get_as_alice(&self, number: usize, path: &str) -> Value {
        let (status, body) = self.operate(number, ALICE, Method::GET, path, None).await;
        assert_eq!(status, 200, "{path}: {body}");
        body
    }

    /// Blocks or unblocks calls between host `number` and all its peers.
    pub(crate) fn block_peers(&self, number: usize, blocked: bool) {
        let own = number as u32 + 1;
        for (index, host) in self.all_hosts().enumerate() {
            let all = 1..=self.hosts.len() as u32;
            let peers: BTreeSet<u32> = match index == number {
                true => all.filter(|host| *host != own).collect(),
                false => BTreeSet::from([own]),
            };
            host.peers.set_blocked(if blocked { peers } else { BTreeSet::new() });
        }
    }

    /// Blocks or unblocks the platform for host `number`.
    pub(crate) fn block_store(&self, number: usize, blocked: bool) {
        let name = (number + 1).to_string();
        self.set_fault(|fault| match blocked {
            true => drop(fault.blocked_hosts.insert(name)),
            false => drop(fault.blocked_hosts.remove(&name)),
        });
    }

    /// Sends a read with `key` to host `number`; returns status and reason of the answer.
    pub(crate) async fn read_as(&self, number: usize, key: &str) -> (u16, String) {
        let call = self.hosts[number].read("SELECT count(*) FROM bolts").with_key(key);
        let answer = call.send().await;
        (answer.status, answer.body["reason"].as_str().unwrap_or_default().to_owned())
    }

    /// Waits until host `number` answers a read with `key` with this status and reason.
    pub(crate) async fn wait_for_answer(
        &self,
        number: usize,
        key: &str,
        status: u16,
        reason: &str,
    ) {
        let start = Instant::now();
        loop {
            let got = self.read_as(number, key).await;
            if got == (status, reason.to_owned()) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "host {number}: expected {reason}, last answer {got:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until host `number` reports that a plan has ended, and returns the plan.
    pub(crate) async fn wait_for_plan(&self, number: usize, id: &Value) -> Value {
        let start = Instant::now();
        loop {
            let plan = self.get_as_alice(number, &format!("plans/{id}")).await;
            if plan["state"] == "done" || plan["state"] == "failed" {
                return plan;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for the plan to end: {plan}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
