//! A fleet on loopback for the integration tests: platform, database groups and hosts.

#![allow(dead_code, unreachable_pub, reason = "each test file uses the part that it needs")]

use bergamotvale_core::config::{Account, Document, Key, KeyState, Service, Target, TargetState};
use bergamotvale_host::auth;
use bergamotvale_host::daemon::Daemon;
use bergamotvale_host::fleet::change;
use bergamotvale_host::settings::{Listen, Settings};
use bergamotvale_standin::group::{self, Group};
use bergamotvale_standin::platform;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Name of the service.
pub const SERVICE: &str = "stock";
/// Client account to which [`KEY`] belongs.
pub const ACCOUNT: u32 = 1;
/// Key of [`ACCOUNT`].
pub const KEY: &str = "bv_1_secret-of-the-mill";
/// Key of a second client account.
pub const OTHER_KEY: &str = "bv_2_secret-of-another";
/// Longest time that a test waits for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const SALT: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// A platform, a database group and hosts.
pub struct Fleet {
    /// Platform that the hosts use.
    pub platform: platform::Server,
    /// Group of the one service.
    pub group: Group,
    /// Hosts in the order of their ids, which start at 1.
    pub daemons: Vec<Daemon>,
    /// HTTP client for requests of callers.
    pub http: reqwest::Client,
}

/// Starts a platform, a database group and `hosts` hosts, and publishes the configuration.
pub async fn fleet(hosts: u32) -> Fleet {
    fleet_with(hosts, |_| {}).await
}

/// Like [`fleet`], with changed settings for the hosts.
pub async fn fleet_with(hosts: u32, change: impl Fn(&mut Settings)) -> Fleet {
    let schema = vec!["CREATE TABLE bolts (id TEXT PRIMARY KEY, lot BIGINT NOT NULL)".to_owned()];
    let options = group::Options { schema, ..group::Options::default() };
    let group = Group::start(options).expect("group starts");
    let platform = platform::Server::start(platform::Options::default()).expect("platform starts");
    let mut daemons = Vec::new();
    for host in 1..=hosts {
        let mut settings = settings(host, platform.address());
        change(&mut settings);
        daemons.push(Daemon::start(settings).await.expect("host starts"));
    }
    bootstrap(&daemons[0], document(&group.addresses())).await;
    let http = reqwest::Client::new();
    Fleet { platform, group, daemons, http }
}

/// Settings of a host on free ports.
pub fn settings(host: u32, platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { callers: any, operators: any, peers: any };
    Settings::new(host, host as u16 % 3, listen, platform)
}

/// Configuration with one service and two client accounts with one key each.
pub fn document(addresses: &[SocketAddr]) -> Document {
    let targets = addresses.iter().enumerate().map(|(number, address)| {
        let failure_domain = number as u16;
        let state = TargetState::Active;
        (number as u16, Target { address: *address, failure_domain, connections: 20, state })
    });
    let service = Service {
        name: SERVICE.into(),
        targets: targets.collect(),
        retention: Duration::from_secs(3600),
    };
    let account = |name: &str| Account {
        name: name.into(),
        rate: 1000,
        burst: 1000,
        weight: 1,
        services: BTreeSet::from([1]),
    };
    Document {
        version: 1,
        services: BTreeMap::from([(1, service)]),
        accounts: BTreeMap::from([(1, account("mill")), (2, account("other"))]),
        keys: BTreeMap::from([(1, key(1, KEY)), (2, key(2, OTHER_KEY))]),
        routes: BTreeMap::new(),
    }
}

fn key(account: u32, presented: &str) -> Key {
    let secret = presented.rsplit('_').next().expect("a key has three parts");
    let digest = auth::digest(SALT, secret);
    Key { account, salt: SALT.into(), digest, state: KeyState::Active }
}

/// Publishes the first configuration as soon as the host accepts it.
async fn bootstrap(daemon: &Daemon, document: Document) {
    let start = Instant::now();
    while let Err(fault) = change::bootstrap(&daemon.host, document.clone()).await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out publishing the first configuration: {fault}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

impl Fleet {
    /// Address at which host `number`, counted from 0, serves callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.daemons[number].host.settings.listen.callers
    }

    /// Posts a statement with [`KEY`] to host `number`.
    pub async fn post(
        &self,
        number: usize,
        path: &str,
        body: Value,
        headers: &[(&str, &str)],
    ) -> Reply {
        let url = format!("http://{}/v1/{path}", self.callers(number));
        let mut request = self.http.post(url).json(&body).bearer_auth(KEY);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.send().await.expect("the host answers");
        let status = response.status().as_u16();
        let token = response.headers().get("bergamotvale-session");
        let token = token.map(|t| t.to_str().expect("visible ASCII").to_owned());
        let body = response.json().await.expect("the answer is JSON");
        Reply { status, token, body }
    }

    /// Inserts a bolt through host `number`, with retries under one idempotency key until the write
    /// is accepted or [`WAIT_TIMEOUT`] has passed; returns the last reply.
    pub async fn write_until_accepted(&self, number: usize, id: &str) -> Reply {
        let path = format!("services/{SERVICE}/write");
        let body = json!({"sql": "INSERT INTO bolts (id, lot) VALUES ($1, $2)", "params": [id, 7]});
        let start = Instant::now();
        loop {
            let reply = self.post(number, &path, body.clone(), &[("idempotency-key", id)]).await;
            if reply.status == 200 || start.elapsed() > WAIT_TIMEOUT {
                return reply;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Reads a bolt through host `number` with a session token.
    pub async fn read(&self, number: usize, id: &str, token: &str) -> Reply {
        let path = format!("services/{SERVICE}/read");
        let body = json!({"sql": "SELECT lot FROM bolts WHERE id = $1", "params": [id]});
        self.post(number, &path, body, &[("bergamotvale-session", token)]).await
    }

    /// Stops all hosts.
    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Session token, if the answer has one.
    pub token: Option<String>,
    /// Body of the answer.
    pub body: Value,
}
