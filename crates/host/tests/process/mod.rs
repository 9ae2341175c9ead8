//! Hosts as processes of their own, over stand-ins in the test's process.

use crate::support::{self, KEY, OTHER_KEY, SERVICE, WAIT_TIMEOUT};
use bergamotvale_host::auth;
use bergamotvale_standin::group::{self, Group};
use bergamotvale_standin::platform;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const OPERATOR: &str = "op_alice_secret-of-alice";
const SALT: &str = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";
/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(20);

static SERIAL: AtomicU32 = AtomicU32::new(0);

/// A process of `bergamotvaled`; killed when dropped.
pub(crate) struct Process {
    child: Child,
    folder: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

/// Platform, group and processes.
pub(crate) struct System {
    pub(crate) processes: Vec<Process>,
    pub(crate) group: Group,
    pub(crate) platform: platform::Server,
    pub(crate) http: reqwest::Client,
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) replayed: bool,
    pub(crate) body: Value,
}

/// Addresses of loopback for the process with this serial number alone: a port that is free when it
/// is looked for may be taken, by an outgoing connection for one, before the daemon binds it.
fn addresses(serial: u32) -> [SocketAddr; 3] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(serial % 250 + 1).expect("at most 250");
    [7101, 7102, 7103].map(|port| SocketAddr::from(([127, high, low, last], port)))
}

impl Process {
    fn start(host: u32, platform: SocketAddr) -> Process {
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("bergamotvale-test-{}-{serial}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let [callers, operators, peers] = addresses(serial);
        let secret = OPERATOR.rsplit('_').next().expect("a key has three parts");
        let settings = json!({
            "host": host,
            "failure_domain": host % 3,
            "listen": {"callers": callers, "operators": operators, "peers": peers},
            "platform": {"address": platform},
            "operators": [{"name": "alice", "salt": SALT, "digest": auth::digest(SALT, secret)}],
        });
        let path = folder.join("settings.yaml");
        let text = serde_yaml_ng::to_string(&settings).expect("settings are YAML");
        std::fs::write(&path, text).expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_bergamotvaled"))
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Process { child, folder, callers, operators }
    }

    /// Sends a signal to this process alone.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = Pid::from_raw(id).expect("a process id is above 0");
        kill_process(id, signal).expect("the process is there");
    }

    /// Ends it by SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process is there");
        self.child.wait().expect("the process ends");
    }

    /// Waits until it has ended by itself.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not end");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already, which is as good.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

impl System {
    /// Starts `hosts` processes and waits until each serves.
    pub(crate) async fn start(hosts: u32) -> System {
        let schema = vec!["CREATE TABLE bolts (id TEXT PRIMARY KEY, lot BIGINT NOT NULL)".into()];
        let options = group::Options { schema, ..group::Options::default() };
        let group = Group::start(options).expect("group starts");
        let platform = platform::Server::start(platform::Options::default()).expect("platform");
        let start = |host| Process::start(host, platform.address());
        let processes = (1..=hosts).map(start).collect();
        // A connection each: a request is never sent on one that its host has just closed.
        let builder = reqwest::Client::builder().pool_max_idle_per_host(0);
        let http = builder.build().expect("a client");
        let system = System { processes, group, platform, http };
        system.found().await;
        for number in 0..hosts as usize {
            system.answers(number, KEY, 200, "").await;
        }
        system
    }

    /// Publishes the first configuration.
    async fn found(&self) {
        let document = json!(support::document(&self.group.addresses()));
        let start = Instant::now();
        loop {
            let put = self.operate(0, reqwest::Method::PUT, "config", &document).await;
            if matches!(put, Some(200..=299)) {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no first configuration: {put:?}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn operate(
        &self,
        number: usize,
        method: reqwest::Method,
        path: &str,
        body: &Value,
    ) -> Option<u16> {
        let url = format!("http://{}/v1/{path}", self.processes[number].operators);
        let request = self.http.request(method, url).bearer_auth(OPERATOR).json(body);
        Some(request.send().await.ok()?.status().as_u16())
    }

    /// Withdraws the other client account's key through host `number`.
    pub(crate) async fn withdraw_other(&self, number: usize) {
        let path = "keys/2/withdraw";
        let start = Instant::now();
        while self.operate(number, reqwest::Method::POST, path, &json!({})).await != Some(200) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "the key is not withdrawn");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Posts a statement as the first client account; an error when no whole answer came.
    pub(crate) async fn post(
        &self,
        number: usize,
        path: &str,
        body: Value,
        idempotency_key: Option<&str>,
    ) -> reqwest::Result<Reply> {
        self.post_as(KEY, number, path, body, idempotency_key).await
    }

    async fn post_as(
        &self,
        key: &str,
        number: usize,
        path: &str,
        body: Value,
        idempotency_key: Option<&str>,
    ) -> reqwest::Result<Reply> {
        let url = format!("http://{}/v1/{path}", self.processes[number].callers);
        let mut request = self.http.post(url).bearer_auth(key).json(&body);
        request = request.header("bergamotvale-timeout", "5s");
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let replayed = response.headers().contains_key("bergamotvale-replayed");
        Ok(Reply { status, replayed, body: response.json().await? })
    }

    /// Logs a bolt with an idempotency key.
    pub(crate) async fn log_bolt(&self, number: usize, id: &str) -> reqwest::Result<Reply> {
        self.post(number, &format!("services/{SERVICE}/write"), insert(id), Some(id)).await
    }

    /// The same, asked again until it is taken.
    pub(crate) async fn log_bolt_until_taken(&self, number: usize, id: &str) -> Reply {
        let start = Instant::now();
        loop {
            let reply = self.log_bolt(number, id).await;
            if let Ok(reply) = reply {
                if reply.status == 200 {
                    return reply;
                }
                assert!(start.elapsed() < WAIT_TIMEOUT, "{id}: {reply:?}");
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Status and reason of a read with `key`; none when no whole answer came.
    pub(crate) async fn ask(&self, number: usize, key: &str) -> Option<(u16, String)> {
        let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []});
        let path = format!("services/{SERVICE}/read");
        let reply = self.post_as(key, number, &path, body, None).await.ok()?;
        Some((reply.status, reply.body["reason"].as_str().unwrap_or_default().to_owned()))
    }

    /// Waits until a read with `key` is answered so.
    pub(crate) async fn answers(&self, number: usize, key: &str, status: u16, reason: &str) {
        let wanted = Some((status, reason.to_owned()));
        let start = Instant::now();
        loop {
            let got = self.ask(number, key).await;
            if got == wanted {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "host {number}: {got:?}, not {wanted:?}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// The raw bytes of a read with the other client account's key.
    pub(crate) fn other_request() -> String {
        let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []}).to_string();
        let head = format!("POST /v1/services/{SERVICE}/read HTTP/1.1\r\nhost: test\r\n");
        let length = body.len();
        format!("{head}authorization: Bearer {OTHER_KEY}\r\ncontent-length: {length}\r\n\r\n{body}")
    }

    /// Bolts on the present primary, by how often each is there.
    pub(crate) fn bolts(&self, id: &str) -> usize {
        let leads = |target: &&group::Target| target.is_primary();
        let primaries = self.group.targets().iter().filter(leads);
        let primary = primaries.max_by_key(|target| target.accepted_term()).expect("a primary");
        let query = format!("SELECT id FROM bolts WHERE id = '{id}'");
        primary.query(&query).expect("rows").len()
    }

    /// Whether the platform lists the host as live.
    pub(crate) async fn is_listed(&self, host: u32) -> bool {
        let url = format!("http://{}/hosts", self.platform.address());
        let response = self.http.get(url).send().await.expect("the platform answers");
        let list: Value = response.json().await.expect("a list");
        let hosts = list["hosts"].as_array().expect("hosts");
        hosts.iter().any(|h| h["host"] == json!(host.to_string()) && h["state"] == "live")
    }
}

/// The statement that logs a bolt.
pub(crate) fn insert(id: &str) -> Value {
    json!({"sql": "INSERT INTO bolts (id, lot) VALUES ($1, $2)", "params": [id, 7]})
}
