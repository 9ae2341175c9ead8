//! Runs hosts as separate processes, with the stand-ins of platform and group in the test's process.

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
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_SERIAL: AtomicU32 = AtomicU32::new(0);

/// A `bergamotvaled` process, killed when dropped.
pub(crate) struct Process {
    child: Child,
    directory: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

/// Stand-ins of platform and group, and host processes that use them.
pub(crate) struct System {
    pub(crate) processes: Vec<Process>,
    pub(crate) group: Group,
    pub(crate) platform: platform::Server,
    pub(crate) http: reqwest::Client,
}

/// A response to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) replayed: bool,
    pub(crate) body: Value,
}

/// Loopback addresses that only the process with this serial number uses.
///
/// Searching for free ports does not work: another socket, such as that of an outgoing connection,
/// may take a port before the daemon binds it.
fn addresses(serial: u32) -> [SocketAddr; 3] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(serial % 250 + 1).expect("at most 250");
    [7101, 7102, 7103].map(|port| SocketAddr::from(([127, high, low, last], port)))
}

impl Process {
    fn start(host: u32, platform: SocketAddr) -> Process {
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("bergamotvale-test-{}-{serial}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        let [callers, operators, peers] = addresses(serial);
        let secret = OPERATOR.rsplit('_').next().expect("a key has three parts");
        let settings = json!({
            "host": host,
            "failure_domain": host % 3,
            "listen": {"callers": callers, "operators": operators, "peers": peers},
            "platform": {"address": platform},
            "operators": [{"name": "alice", "salt": SALT, "digest": auth::digest(SALT, secret)}],
        });
        let path = directory.join("settings.yaml");
        let text = serde_yaml_ng::to_string(&settings).expect("settings are YAML");
        std::fs::write(&path, text).expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_bergamotvaled"))
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Process { child, directory, callers, operators }
    }

    /// Sends a signal to this process.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = Pid::from_raw(id).expect("a process id is above 0");
        kill_process(id, signal).expect("the process is running");
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process is running");
        self.child.wait().expect("the process exits");
    }

    /// Waits until the process exits on its own.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child of the test")
            {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not exit");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // These fail if the process has already exited, which is fine.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_dir_all(&self.directory));
    }
}

impl System {
    /// Starts `hosts` processes and waits until each of them serves reads.
    pub(crate) async fn start(hosts: u32) -> System {
        let schema = vec!["CREATE TABLE bolts (id TEXT PRIMARY KEY, lot BIGINT NOT NULL)".into()];
        let options = group::Options { schema, ..group::Options::default() };
        let group = Group::start(options).expect("group starts");
        let platform = platform::Server::start(platform::Options::default()).expect("platform");
        let start = |host| Process::start(host, platform.address());
        let processes = (1..=hosts).map(start).collect();
        // One connection per request, so that no request is sent on a connection that its host has
        // just closed.
        let builder = reqwest::Client::builder().pool_max_idle_per_host(0);
        let http = builder.build().expect("a client");
        let system = System { processes, group, platform, http };
        system.publish_config().await;
        for number in 0..hosts as usize {
            system.wait_for_read(number, KEY, 200, "").await;
        }
        system
    }

    /// Publishes the first configuration, retrying until it is accepted.
    async fn publish_config(&self) {
        let document = json!(support::document(&self.group.addresses()));
        let start = Instant::now();
        loop {
            let put = self.call_operators(0, reqwest::Method::PUT, "config", &document).await;
            if matches!(put, Some(200..=299)) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the first configuration is not accepted: {put:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Calls the operators' API of host `number`; the status, or `None` without a response.
    async fn call_operators(
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
    pub(crate) async fn withdraw_other_key(&self, number: usize) {
        let path = "keys/2/withdraw";
        let start = Instant::now();
        while self.call_operators(number, reqwest::Method::POST, path, &json!({})).await
            != Some(200)
        {
            assert!(start.elapsed() < WAIT_TIMEOUT, "the key is not withdrawn");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Posts a request as the first client account; an error if no complete response arrives.
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

    /// Inserts a bolt, with its id as the idempotency key.
    pub(crate) async fn log_bolt(&self, number: usize, id: &str) -> reqwest::Result<Reply> {
        self.post(number, &format!("services/{SERVICE}/write"), insert(id), Some(id)).await
    }

    /// Inserts a bolt as [`System::log_bolt`] does, and retries until the write succeeds.
    pub(crate) async fn log_bolt_until_accepted(&self, number: usize, id: &str) -> Reply {
        let start = Instant::now();
        loop {
            let reply = self.log_bolt(number, id).await;
            if let Ok(reply) = reply {
                if reply.status == 200 {
                    return reply;
                }
                assert!(start.elapsed() < WAIT_TIMEOUT, "{id}: {reply:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Status and reason of a read with `key`; `None` if no complete response arrives.
    pub(crate) async fn probe_read(&self, number: usize, key: &str) -> Option<(u16, String)> {
        let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []});
        let path = format!("services/{SERVICE}/read");
        let reply = self.post_as(key, number, &path, body, None).await.ok()?;
        Some((reply.status, reply.body["reason"].as_str().unwrap_or_default().to_owned()))
    }

    /// Waits until a read with `key` returns this status and reason.
    pub(crate) async fn wait_for_read(&self, number: usize, key: &str, status: u16, reason: &str) {
        let expected = Some((status, reason.to_owned()));
        let start = Instant::now();
        loop {
            let got = self.probe_read(number, key).await;
            if got == expected {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "host {number}: {got:?}, not {expected:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The HTTP request of a read with the other client account's key, as it is sent.
    pub(crate) fn other_key_request() -> String {
        let body = json!({"sql": "SELECT count(*) FROM bolts", "params": []}).to_string();
        let head = format!("POST /v1/services/{SERVICE}/read HTTP/1.1\r\nhost: test\r\n");
        let length = body.len();
        format!("{head}authorization: Bearer {OTHER_KEY}\r\ncontent-length: {length}\r\n\r\n{body}")
    }

    /// Number of rows with this id on the current primary.
    pub(crate) fn count_bolts(&self, id: &str) -> usize {
        let is_primary = |target: &&group::Target| target.is_primary();
        let primaries = self.group.targets().iter().filter(is_primary);
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

/// The body of a request that inserts a bolt.
pub(crate) fn insert(id: &str) -> Value {
    json!({"sql": "INSERT INTO bolts (id, lot) VALUES ($1, $2)", "params": [id, 7]})
}
