//! Fixture of the session tests: hosts as separate processes over the line-protocol stand-ins, and
//! a blocking client for them.

use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::catalog::{Account, Catalog, Consistency, Group, Route};
use bergamotvale_core::proxy::home::Regions;
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{self, Answer, End, State, TargetCodec};
use bergamotvale_sessions::status::Status;
use bergamotvale_standin::lines::System;
use bytes::BytesMut;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio_util::codec::Decoder;

pub(crate) const SERVICE: &str = "orders";
pub(crate) const KEY: &str = "k-mill";
pub(crate) const OTHER_KEY: &str = "k-shop";
/// Database whose reads see every commit (consistency `Primary`).
pub(crate) const STRICT_DB: &str = "strict";
/// Database whose reads may be up to `MAX_READ_AGE` old (consistency `Bounded`).
pub(crate) const BOUNDED_DB: &str = "old";
/// Database whose reads see the session's own commits (consistency `ReadYourWrites`).
pub(crate) const READ_YOUR_WRITES_DB: &str = "own";
/// Maximum age of reads from replicas.
pub(crate) const MAX_READ_AGE: Duration = Duration::from_millis(1500);
/// Time after which a wait or a read from a host fails the test.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static SERIAL: AtomicU32 = AtomicU32::new(0);

/// A host process; killed when dropped.
pub(crate) struct Process {
    child: Child,
    folder: PathBuf,
    log: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
    #[allow(dead_code, reason = "only the overload tests use it")]
    pub(crate) peers: SocketAddr,
}

/// The stand-ins for platform and group, the published configuration and the host processes.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Process>,
    pub(crate) system: System,
    pub(crate) catalog: Catalog,
}

/// A caller with an open session.
pub(crate) struct Caller {
    stream: TcpStream,
    codec: TargetCodec,
    buffer: BytesMut,
    /// Number of the last statement, sent as its request id.
    last_id: u32,
}

/// File for a process's log events. It is removed with the process, unless
/// `BERGAMOTVALE_TEST_LOGS` names a folder for it.
fn event_log_path(folder: &std::path::Path) -> PathBuf {
    match std::env::var_os("BERGAMOTVALE_TEST_LOGS") {
        Some(dir) => PathBuf::from(dir).join(folder.file_name().expect("the folder has a name")),
        None => folder.join("events.log"),
    }
}

impl Process {
    /// Starts host `number` of a fleet, without waiting until it is ready. A host's id derives from
    /// the address that it listens on.
    pub(crate) fn start(number: u8, platform: SocketAddr) -> Process {
        Process::start_with(number, platform, |_| {})
    }

    /// As `start`, with edited settings.
    pub(crate) fn start_with(
        number: u8,
        platform: SocketAddr,
        edit: impl FnOnce(&mut Value),
    ) -> Process {
        let [high, low] = platform.port().to_be_bytes();
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("bergamotvale-sessions-{}-{serial}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the folder is created");
        // Each process has a loopback address of its own, so that no other socket holds its ports.
        let address = |port| SocketAddr::from(([127, high, low, number], port));
        let (callers, readiness, metrics, peers) =
            (address(7001), address(7002), address(7003), address(7004));
        let mut settings = json!({
            "name": format!("host-{number}"),
            "domain": "a",
            "listen": {
                "callers": callers, "readiness": readiness, "peers": peers, "metrics": metrics,
            },
            "store": platform,
            "promotion": platform,
            "times": {"drain": 7000, "grace": 6},
            "rates": {"window": 5, "overage": 0.1, "slack": 20},
            "descriptors": 1000,
        });
        edit(&mut settings);
        let path = folder.join("settings.yaml");
        let text = serde_yaml_ng::to_string(&settings).expect("the settings serialize to YAML");
        std::fs::write(&path, text).expect("the settings are written");
        let log = event_log_path(&folder);
        let events = std::fs::File::create(&log).expect("the log file is created");
        let child = Command::new(env!("CARGO_BIN_EXE_bergamotvaled"))
            .arg("--sessions")
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::from(events))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Process { child, folder, log, callers, readiness, metrics, peers }
    }

    /// Process id of the host.
    #[allow(dead_code, reason = "only the overload tests use it")]
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the host reports that it accepts new sessions.
    pub(crate) fn is_ready(&self) -> bool {
        http_get(self.readiness, bergamotvale_platform::ready::PATH).is_some()
    }

    pub(crate) fn metrics(&self) -> String {
        http_get(self.metrics, "/metrics").expect("the host serves its metrics")
    }

    pub(crate) fn status(&self) -> Status {
        let text = http_get(self.metrics, "/status").expect("the host serves its status");
        serde_json::from_str(&text).expect("the status matches its type")
    }

    /// Log events so far whose `event` field is `name`.
    pub(crate) fn events(&self, name: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("the log is readable");
        let values = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.filter(|value| value["event"] == name).collect()
    }

    /// Sends a signal to the host process only.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits an i32");
        kill_process(Pid::from_raw(pid).expect("a process id is not 0"), signal)
            .expect("the process is running");
    }

    /// Waits until the process exits; false on a timeout or an exit status other than 0.
    pub(crate) fn wait_for_exit(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Body of a response with status 200; None on any other status or failure.
fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let mut answer = String::new();
    stream.write_all(request.as_bytes()).ok()?;
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    head.starts_with("HTTP/1.1 200").then(|| body.to_owned())
}

/// Waits until `condition` holds; panics after `WAIT_TIMEOUT`.
pub(crate) fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn route(consistency: Consistency) -> Route {
    Route {
        service: SERVICE.into(),
        consistency,
        statement_timeout: Duration::from_secs(3),
        latency_target: Duration::from_secs(2),
        priority: 1,
        is_public: false,
        home_regions: Regions::new(),
    }
}

fn account(name: &str) -> Account {
    Account { name: name.into(), rate: 10_000, burst: 10_000, home_regions: Regions::new() }
}

/// The configuration of most tests: a database for each consistency, and two client accounts.
pub(crate) fn catalog() -> Catalog {
    let routes = [
        (STRICT_DB, Consistency::Primary),
        (BOUNDED_DB, Consistency::Bounded(MAX_READ_AGE)),
        (READ_YOUR_WRITES_DB, Consistency::ReadYourWrites(MAX_READ_AGE)),
    ];
    Catalog {
        version: 1,
        routes: routes.into_iter().map(|(name, c)| (name.to_owned(), route(c))).collect(),
        groups: [(SERVICE.into(), Group { connection_limit: 21, sync_replicas: 0 })].into(),
        accounts: ["mill", "shop"].into_iter().map(|n| (n.to_owned(), account(n))).collect(),
        keys: [(KEY.into(), "mill".into()), (OTHER_KEY.into(), "shop".into())].into(),
        transaction_idle_timeout: Duration::from_secs(3),
    }
}

impl Fleet {
    /// Starts the stand-ins and `count` hosts with the default catalog, and waits until all hosts
    /// are ready.
    pub(crate) fn start(count: u8) -> Fleet {
        Fleet::start_with(count, catalog())
    }

    /// Like `start`, with another configuration.
    pub(crate) fn start_with(count: u8, catalog: Catalog) -> Fleet {
        Fleet::start_edited(count, catalog, |_| {})
    }

    /// Like `start_with`, with further settings that replace or extend those of all hosts.
    #[allow(dead_code, reason = "only the overload tests use it")]
    pub(crate) fn start_limited(count: u8, catalog: Catalog, further: &Value) -> Fleet {
        Fleet::start_edited(count, catalog, |settings| {
            for (name, value) in further.as_object().expect("settings are an object") {
                settings[name] = value.clone();
            }
        })
    }

    /// Like `start_with`, with edited settings of all hosts.
    pub(crate) fn start_edited(
        count: u8,
        catalog: Catalog,
        edit: impl Fn(&mut Value) + Copy,
    ) -> Fleet {
        let system = System::start(&[SERVICE]).expect("the stand-ins start");
        system.configure(&catalog);
        let start = |number| Process::start_with(number, system.address, edit);
        let hosts: Vec<Process> = (1..=count).map(start).collect();
        let fleet = Fleet { hosts, system, catalog };
        eventually("hosts are ready", || fleet.hosts.iter().all(Process::is_ready));
        fleet
    }

    /// Publishes the edited configuration under a newer version.
    pub(crate) fn reconfigure(&mut self, edit: impl FnOnce(&mut Catalog)) {
        edit(&mut self.catalog);
        self.catalog.version += 1;
        self.system.configure(&self.catalog);
    }

    /// Opens a session at the host with this index.
    pub(crate) fn open_session(&self, host: usize, database: &str) -> Caller {
        Caller::connect(self.hosts[host].callers, database, KEY).expect("the session opens")
    }
}

impl Caller {
    /// Opens a session; the error is the code of the host's refusal.
    pub(crate) fn connect(address: SocketAddr, database: &str, key: &str) -> Result<Caller, Code> {
        let stream = TcpStream::connect(address).expect("the host listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        let codec = TargetCodec::default();
        let mut caller = Caller { stream, codec, buffer: BytesMut::new(), last_id: 0 };
        caller.send(&caller::connect(database, key));
        match caller.receive() {
            Some(answer) => {
                assert_eq!(answer.end, End::Ready);
                Ok(caller)
            }
            None => Err(caller.codec.pending_error().expect("a refusal has a code")),
        }
    }

    /// Opens a session whose reads fail after `timeout` without a response. None if the host cannot
    /// be reached, does not respond or refuses.
    pub(crate) fn try_connect(
        address: SocketAddr,
        database: &str,
        key: &str,
        timeout: Duration,
    ) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let codec = TargetCodec::default();
        let mut caller = Caller { stream, codec, buffer: BytesMut::new(), last_id: 0 };
        caller.stream.write_all(&caller::connect(database, key)).ok()?;
        caller.receive().filter(|answer| answer.end == End::Ready).map(|_| caller)
    }

    /// Runs a statement at a host that may fail; None if there is no answer.
    pub(crate) fn try_run(&mut self, text: &str) -> Option<Answer> {
        self.last_id += 1;
        let id = format!("{:016x}", self.last_id);
        self.stream.write_all(&line::query(&id, text)).ok()?;
        self.receive()
    }

    /// Sends raw bytes.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the host accepts the bytes");
    }

    /// Receives the next answer; None if the session has ended or the read timed out.
    pub(crate) fn receive(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) =
                self.codec.decode(&mut self.buffer).expect("the answer is well-formed")
            {
                return Some(answer);
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }

    /// Runs a statement and returns its answer, which may be a refusal.
    pub(crate) fn run(&mut self, text: &str) -> Answer {
        self.last_id += 1;
        let id = format!("{:016x}", self.last_id);
        self.send(&line::query(&id, text));
        self.receive().expect("the host answers the statement")
    }

    /// Runs a statement that has to succeed. Returns the data of its first row and the session's
    /// values on the connection that served it.
    pub(crate) fn expect_row(&mut self, text: &str) -> (String, String) {
        let answer = self.run(text);
        assert_eq!(answer.end, End::Done, "{text}");
        let row = answer.first_row().unwrap_or_default();
        let (data, values) = row.split_once('|').unwrap_or((row, ""));
        (data.to_owned(), values.to_owned())
    }

    /// Runs a statement that has to succeed and to leave the session in `state`.
    pub(crate) fn expect_done(&mut self, text: &str, state: State) {
        let answer = self.run(text);
        assert_eq!((answer.end, answer.state), (End::Done, state), "{text}");
    }

    /// Runs a statement that has to be refused. Returns the code of the refusal and the session's
    /// state after it.
    pub(crate) fn expect_refusal(&mut self, text: &str) -> (Code, State) {
        let answer = self.run(text);
        match answer.end {
            End::Error(code) => (code, answer.state),
            end => panic!("{text}: expected a refusal, got {end:?}"),
        }
    }
}
