//! Session hosts as processes of their own, over the line-protocol stand-ins.

use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::catalog::{Account, Catalog, Consistency, Group, Route};
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
/// Database whose reads see every commit.
pub(crate) const STRICT: &str = "strict";
/// Database whose reads may be old.
pub(crate) const OLD: &str = "old";
/// Database whose reads see the session's own commits.
pub(crate) const OWN: &str = "own";
/// Bound on the age of reads.
pub(crate) const BOUND: Duration = Duration::from_millis(1500);
/// Time after which a test gives up waiting.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

static SERIAL: AtomicU32 = AtomicU32::new(0);

/// A process of the daemon; killed when dropped.
pub(crate) struct Process {
    child: Child,
    folder: PathBuf,
    log: PathBuf,
    pub(crate) callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
}

/// Platform, group and processes.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Process>,
    pub(crate) system: System,
    pub(crate) catalog: Catalog,
}

/// A caller's session.
pub(crate) struct Caller {
    stream: TcpStream,
    codec: TargetCodec,
    buffer: BytesMut,
    next: u32,
}

/// File of a process's events: one that outlives it if the variable names a folder.
fn log_path(folder: &std::path::Path) -> PathBuf {
    match std::env::var_os("BERGAMOTVALE_TEST_LOGS") {
        Some(kept) => PathBuf::from(kept).join(folder.file_name().expect("the folder has a name")),
        None => folder.join("events.log"),
    }
}

impl Process {
    /// Starts host `number` of a fleet. Hosts go by their addresses.
    pub(crate) fn start(number: u8, platform: SocketAddr) -> Process {
        let [high, low] = platform.port().to_be_bytes();
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("bergamotvale-sessions-{}-{serial}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        // An address of loopback for each process, so that no port is taken by chance.
        let address = |port| SocketAddr::from(([127, high, low, number], port));
        let (callers, readiness, metrics, peers) =
            (address(7001), address(7002), address(7003), address(7004));
        let settings = json!({
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
        let path = folder.join("settings.yaml");
        let text = serde_yaml_ng::to_string(&settings).expect("settings are YAML");
        std::fs::write(&path, text).expect("settings are written");
        let log = log_path(&folder);
        let events = std::fs::File::create(&log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_bergamotvaled"))
            .arg("--sessions")
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::from(events))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Process { child, folder, log, callers, readiness, metrics }
    }

    /// Whether the host says that it takes new sessions.
    pub(crate) fn is_ready(&self) -> bool {
        get(self.readiness, bergamotvale_platform::ready::PATH).is_some()
    }

    /// Its metrics.
    pub(crate) fn metrics(&self) -> String {
        get(self.metrics, "/metrics").expect("the host serves its metrics")
    }

    /// Its state.
    pub(crate) fn status(&self) -> Status {
        let text = get(self.metrics, "/status").expect("the host serves its state");
        serde_json::from_str(&text).expect("the state is as declared")
    }

    /// Its events so far, whose `event` is `name`.
    pub(crate) fn events(&self, name: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("the log is a file");
        let values = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.filter(|value| value["event"] == name).collect()
    }

    /// Sends a signal to this process alone.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("process ids are small");
        kill_process(Pid::from_raw(pid).expect("a process id"), signal).expect("it runs");
    }

    /// Waits until the process has ended by itself.
    pub(crate) fn wait(&mut self) -> bool {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(PAUSE);
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Body of an answer of success.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let mut answer = String::new();
    stream.write_all(request.as_bytes()).ok()?;
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    head.starts_with("HTTP/1.1 200").then(|| body.to_owned())
}

/// Waits until `holds`, or fails the test.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        std::thread::sleep(PAUSE);
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
    }
}

fn account(name: &str) -> Account {
    Account { name: name.into(), rate: 10_000, burst: 10_000 }
}

/// The configuration of most tests: three databases, two client accounts.
pub(crate) fn catalog() -> Catalog {
    let routes = [
        (STRICT, Consistency::Primary),
        (OLD, Consistency::Bounded(BOUND)),
        (OWN, Consistency::ReadYourWrites(BOUND)),
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
    /// A platform, one group and `count` hosts that are ready.
    pub(crate) fn start(count: u8) -> Fleet {
        Fleet::start_with(count, catalog())
    }

    /// The same with a configuration of one's own.
    pub(crate) fn start_with(count: u8, catalog: Catalog) -> Fleet {
        let system = System::start(&[SERVICE]).expect("the stand-ins start");
        system.configure(&catalog);
        let hosts: Vec<Process> =
            (1..=count).map(|number| Process::start(number, system.address)).collect();
        let fleet = Fleet { hosts, system, catalog };
        eventually("hosts are ready", || fleet.hosts.iter().all(Process::is_ready));
        fleet
    }

    /// Writes a newer configuration.
    pub(crate) fn reconfigure(&mut self, edit: impl FnOnce(&mut Catalog)) {
        edit(&mut self.catalog);
        self.catalog.version += 1;
        self.system.configure(&self.catalog);
    }

    /// A session at a host, by its index.
    pub(crate) fn session(&self, host: usize, database: &str) -> Caller {
        Caller::connect(self.hosts[host].callers, database, KEY).expect("the session opens")
    }
}

impl Caller {
    /// Opens a session; the error is the code of the refusal.
    pub(crate) fn connect(address: SocketAddr, database: &str, key: &str) -> Result<Caller, Code> {
        let stream = TcpStream::connect(address).expect("the host listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let codec = TargetCodec::default();
        let mut caller = Caller { stream, codec, buffer: BytesMut::new(), next: 0 };
        caller.send(&caller::connect(database, key));
        match caller.receive() {
            Some(answer) => {
                assert_eq!(answer.end, End::Ready);
                Ok(caller)
            }
            None => Err(caller.codec.pending_error().expect("a refusal names its code")),
        }
    }

    /// Opens a session that is given up after `patience` without an answer; none if it cannot be.
    pub(crate) fn try_connect(
        address: SocketAddr,
        database: &str,
        key: &str,
        patience: Duration,
    ) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&address, patience).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let codec = TargetCodec::default();
        let mut caller = Caller { stream, codec, buffer: BytesMut::new(), next: 0 };
        caller.stream.write_all(&caller::connect(database, key)).ok()?;
        caller.receive().filter(|answer| answer.end == End::Ready).map(|_| caller)
    }

    /// Runs a statement at a host that may vanish; none without an answer.
    pub(crate) fn try_run(&mut self, text: &str) -> Option<Answer> {
        self.next += 1;
        let id = format!("{:016x}", self.next);
        self.stream.write_all(&line::query(&id, text)).ok()?;
        self.receive()
    }

    /// Sends bytes as they are.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the host takes it");
    }

    /// The next answer; none if the session ended.
    pub(crate) fn receive(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) = self.codec.decode(&mut self.buffer).expect("a readable answer") {
                return Some(answer);
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }

    /// Runs a statement.
    pub(crate) fn run(&mut self, text: &str) -> Answer {
        self.next += 1;
        let id = format!("{:016x}", self.next);
        self.send(&line::query(&id, text));
        self.receive().expect("an answer")
    }

    /// Runs a statement that has to succeed; its first row's data and the connection's values.
    pub(crate) fn row(&mut self, text: &str) -> (String, String) {
        let answer = self.run(text);
        assert_eq!(answer.end, End::Done, "{text}");
        let row = answer.first_row().unwrap_or_default();
        let (data, values) = row.split_once('|').unwrap_or((row, ""));
        (data.to_owned(), values.to_owned())
    }

    /// Runs a statement that has to succeed and leave the session in `state`.
    pub(crate) fn done(&mut self, text: &str, state: State) {
        let answer = self.run(text);
        assert_eq!((answer.end, answer.state), (End::Done, state), "{text}");
    }

    /// Runs a statement that has to be refused.
    pub(crate) fn refused(&mut self, text: &str) -> (Code, State) {
        let answer = self.run(text);
        match answer.end {
            End::Error(code) => (code, answer.state),
            end => panic!("{text}: {end:?} where a refusal was due"),
        }
    }
}
