//! Settings of one host: a YAML file, strictly checked.
//!
//! Unknown fields and wrong units are found while reading, sums and addresses that cannot hold by
//! [`verify`]. Each error names the field and its place. What all hosts share is not here but in
//! the configuration that the platform keeps.

mod place;
mod tls;

use crate::unit::{Size, Span};
use bergamotvale_core::id::{FailureDomainId, HostId};
use bergamotvale_core::plan;
use derive_more::{Display, Error};
use rustls::ServerConfig;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Settings of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its id, unique in the fleet.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it listens.
    pub listen: Listen,
    /// Certificates of the listeners; plain HTTP without.
    #[serde(default)]
    pub tls: Tls,
    /// The platform's service.
    pub platform: Platform,
    /// Login to the targets.
    #[serde(default)]
    pub login: Login,
    /// Who may use the operators' listener.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Limits of callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Times that bound work.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// How decisions are taken.
    #[serde(default)]
    pub policy: Policy,
    /// What is logged and how.
    #[serde(default)]
    pub log: Log,
    /// Where counters go besides the operators' listener.
    #[serde(default)]
    pub metrics: Metrics,
    /// Threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
}

/// Addresses of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators' requests.
    pub operators: SocketAddr,
    /// Other hosts.
    pub peers: SocketAddr,
}

/// Certificates of the listeners.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// The callers' listener.
    pub callers: Option<Identity>,
    /// The operators' listener.
    pub operators: Option<Identity>,
}

/// Files of a TLS identity, PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}

/// The platform's service and how it is called.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time that one call may take.
    #[serde_as(as = "Span")]
    #[serde(default = "default_platform_timeout")]
    pub timeout: Duration,
    /// Time between two reads of the shared state.
    #[serde_as(as = "Span")]
    #[serde(default = "default_platform_period")]
    pub period: Duration,
}

/// Login to the targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Login {
    /// Database user.
    pub user: String,
    /// Database name.
    pub database: String,
    /// Password, when the targets ask for one.
    pub password: Option<String>,
}

/// Who may use the operators' listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, as the audit trail shows it.
    pub name: String,
    /// Salt, hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub digest: String,
}

/// Limits of callers' requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's body.
    #[serde_as(as = "Size")]
    pub body: usize,
    /// Bytes of all of a request's headers.
    #[serde_as(as = "Size")]
    pub headers: usize,
    /// Bytes of a statement's text.
    #[serde_as(as = "Size")]
    pub statement: usize,
    /// Bytes of a result.
    #[serde_as(as = "Size")]
    pub result: usize,
    /// Time that a caller's connection may idle.
    #[serde_as(as = "Span")]
    pub idle: Duration,
    /// Time that a caller may take to send its headers.
    #[serde_as(as = "Span")]
    pub header_time: Duration,
    /// Requests of one client account that may wait for a connection.
    pub queue: usize,
}

/// Times that bound work.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// A request that states no timeout.
    #[serde_as(as = "Span")]
    pub request: Duration,
    /// The longest that a caller may state.
    #[serde_as(as = "Span")]
    pub request_ceiling: Duration,
    /// A new connection to a target.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// A transaction between two of its steps.
    #[serde_as(as = "Span")]
    pub transaction_idle: Duration,
    /// A transaction in all.
    #[serde_as(as = "Span")]
    pub transaction_total: Duration,
    /// A call to another host.
    #[serde_as(as = "Span")]
    pub peer: Duration,
    /// Taking requests all the same after the host began to leave.
    #[serde_as(as = "Span")]
    pub leave: Duration,
    /// Finishing what runs while the host stops.
    #[serde_as(as = "Span")]
    pub stop: Duration,
    /// Time for which the old and the new key both work during a rotation.
    #[serde_as(as = "Span")]
    pub key_overlap: Duration,
}

/// How decisions are taken; the defaults are what the project stands for, the others baselines.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Where reads go.
    pub reads: Reads,
    /// How rates are counted over hosts.
    pub rates: Rates,
    /// How connections are divided between hosts.
    pub connections: Connections,
    /// How slots are handed to client accounts.
    pub slots: Slots,
    /// Whose word deposes a primary.
    pub failover: Failover,
    /// Time for which a primary must be failing before it is deposed.
    #[serde_as(as = "Span")]
    pub failover_after: Duration,
    /// Time between two probes of a target.
    #[serde_as(as = "Span")]
    pub probe: Duration,
    /// Whether targets that fail their work are passed over.
    pub ejection: bool,
    /// Whether safe requests are sent again.
    pub retries: bool,
    /// Time between two heartbeats to a peer.
    #[serde_as(as = "Span")]
    pub heartbeat: Duration,
    /// Time for which knowledge of the shared state may be acted on.
    #[serde_as(as = "Span")]
    pub authority: Duration,
    /// Peers that one host probes and pushes to; all of them in a fleet of no more.
    pub fan_out: usize,
    /// Seed of jitter and tie breaks.
    pub seed: u64,
    /// Deliberate defects, for showing that checks can fail; settings cannot name them.
    #[serde(skip)]
    pub defects: BTreeSet<Defect>,
}

/// Where reads go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// To any target that is fresh enough.
    Replicas,
    /// To the primary only.
    Primary,
}

/// How rates are counted over hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rates {
    /// Shares that hosts lend to each other.
    Escrow,
    /// Fixed equal shares.
    Static,
}

/// How connections are divided between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Connections {
    /// Shares that move to demand.
    Shared,
    /// Fixed equal shares.
    Static,
}

/// How slots are handed to client accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Slots {
    /// Weighted max-min between client accounts.
    Fair,
    /// First come, first served.
    Arrival,
}

/// Whose word deposes a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failover {
    /// A majority of the hosts that watch the group.
    Review,
    /// Any host's own.
    Single,
    /// Nobody's.
    Off,
}

/// A deliberate defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Defect {
    /// Acknowledges a write that only the primary holds.
    AcknowledgeUnconfirmed,
    /// Serves session reads from any target.
    IgnoreToken,
    /// Sends an unkeyed write again after a lost answer.
    RetryUnkeyed,
    /// Gives every host the whole rate.
    LocalRate,
    /// Promotes without asking for a term.
    SkipFence,
    /// Goes on accepting withdrawn keys.
    IgnoreWithdrawal,
    /// Cuts what runs when the host stops.
    AbruptStop,
}

/// What is logged and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// Form of a line.
    pub format: Format,
}

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// A JSON object.
    Json,
    /// Text for people.
    Text,
}

/// Where counters go besides the operators' listener.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// A statsd server, UDP.
    pub statsd: Option<SocketAddr>,
}

fn default_workers() -> usize {
    2
}

fn default_platform_timeout() -> Duration {
    Duration::from_millis(500)
}

fn default_platform_period() -> Duration {
    Duration::from_millis(500)
}

impl Default for Login {
    fn default() -> Login {
        Login { user: "bergamotvale".into(), database: "bergamotvale".into(), password: None }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: 1 << 20,
            headers: 16 << 10,
            statement: 64 << 10,
            result: 16 << 20,
            idle: Duration::from_secs(60),
            header_time: Duration::from_secs(5),
            queue: 256,
        }
    }
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            request: Duration::from_secs(2),
            request_ceiling: Duration::from_secs(30),
            connect: Duration::from_millis(500),
            transaction_idle: Duration::from_secs(5),
            transaction_total: Duration::from_secs(30),
            peer: Duration::from_millis(500),
            leave: Duration::from_secs(2),
            stop: Duration::from_secs(15),
            key_overlap: plan::KEY_OVERLAP,
        }
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            reads: Reads::Replicas,
            rates: Rates::Escrow,
            connections: Connections::Shared,
            slots: Slots::Fair,
            failover: Failover::Review,
            failover_after: Duration::from_millis(1200),
            probe: Duration::from_millis(150),
            ejection: true,
            retries: true,
            heartbeat: Duration::from_millis(250),
            authority: Duration::from_millis(1500),
            fan_out: 8,
            seed: 1,
            defects: BTreeSet::new(),
        }
    }
}

impl Default for Log {
    fn default() -> Log {
        Log { level: log::LevelFilter::Info, format: Format::Text }
    }
}

/// What is wrong with settings.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The file cannot be read.
    #[display("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is not settings; names field and place.
    #[display("settings: {_0}")]
    Syntax(serde_yaml_ng::Error),
    /// A field that cannot hold.
    #[display("settings: {field}: {reason}{}", line.map(|l| format!(" at line {l}")).unwrap_or_default())]
    Field {
        /// Path of the field.
        field: &'static str,
        /// What is wrong.
        reason: String,
        /// Line of the field, when the settings come from a text.
        line: Option<usize>,
    },
}

impl Settings {
    /// Settings with all defaults for a host at these addresses.
    pub fn new(
        host: HostId,
        failure_domain: FailureDomainId,
        listen: Listen,
        platform: SocketAddr,
    ) -> Settings {
        Settings {
            host,
            failure_domain,
            listen,
            tls: Tls::default(),
            platform: Platform {
                address: platform,
                timeout: default_platform_timeout(),
                period: default_platform_period(),
            },
            login: Login::default(),
            operators: Vec::new(),
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            policy: Policy::default(),
            log: Log::default(),
            metrics: Metrics::default(),
            workers: default_workers(),
        }
    }

    /// Reads and verifies the settings in `path`.
    pub fn read(path: &Path) -> Result<Settings, Fault> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Fault::File { path: path.to_owned(), source })?;
        Settings::parse(&text)
    }

    /// Reads and verifies the settings in `text`.
    pub fn parse(text: &str) -> Result<Settings, Fault> {
        let settings: Settings = serde_yaml_ng::from_str(text).map_err(Fault::Syntax)?;
        verify(&settings).map_err(|fault| located(fault, text))?;
        Ok(settings)
    }
}

fn located(fault: Fault, text: &str) -> Fault {
    match fault {
        Fault::Field { field, reason, .. } => {
            Fault::Field { field, reason, line: place::line_of(text, field) }
        }
        other => other,
    }
}

/// Says whether `settings` can hold.
pub fn verify(settings: &Settings) -> Result<(), Fault> {
    verify_addresses(settings)?;
    verify_times(settings)?;
    verify_sizes(settings)?;
    verify_tls(&settings.tls)?;
    verify_operators(&settings.operators)
}

fn verify_addresses(settings: &Settings) -> Result<(), Fault> {
    let listen = &settings.listen;
    if overlaps(listen.operators, listen.callers) {
        return field("listen.operators", "overlaps with listen.callers");
    }
    if overlaps(listen.peers, listen.callers) || overlaps(listen.peers, listen.operators) {
        return field("listen.peers", "overlaps with another listen address");
    }
    let own = [listen.callers, listen.operators, listen.peers];
    if own.iter().any(|address| overlaps(*address, settings.platform.address)) {
        return field("platform.address", "overlaps with a listen address");
    }
    Ok(())
}

fn verify_times(settings: &Settings) -> Result<(), Fault> {
    let (timeouts, policy) = (&settings.timeouts, &settings.policy);
    if timeouts.request > timeouts.request_ceiling {
        return field("timeouts.request", "is above timeouts.request_ceiling");
    }
    if timeouts.transaction_idle > timeouts.transaction_total {
        return field("timeouts.transaction_idle", "is above timeouts.transaction_total");
    }
    if timeouts.connect.is_zero() || timeouts.connect > timeouts.request_ceiling {
        return field("timeouts.connect", "must be above zero and within timeouts.request_ceiling");
    }
    if policy.probe.is_zero() || policy.probe * 2 > policy.failover_after {
        return field(
            "policy.probe",
            "must be above zero and fit twice into policy.failover_after",
        );
    }
    if policy.heartbeat.is_zero() || policy.heartbeat * 2 > policy.authority {
        return field("policy.heartbeat", "must be above zero and fit twice into policy.authority");
    }
    if settings.platform.period + settings.platform.timeout > policy.authority {
        return field("platform.period", "with platform.timeout exceeds policy.authority");
    }
    Ok(())
}

fn verify_sizes(settings: &Settings) -> Result<(), Fault> {
    let limits = &settings.limits;
    if limits.statement > limits.body {
        return field("limits.statement", "is above limits.body");
    }
    if limits.body == 0 || limits.headers == 0 || limits.result == 0 || limits.queue == 0 {
        return field("limits", "no limit may be zero");
    }
    if settings.workers == 0 {
        return field("workers", "must be above zero");
    }
    if settings.policy.fan_out == 0 {
        return field("policy.fan_out", "must be above zero");
    }
    Ok(())
}

fn verify_tls(tls: &Tls) -> Result<(), Fault> {
    tls.for_callers()?;
    tls.for_operators().map(drop)
}

/// What a listener serves TLS with; `fields` are those of certificate and key.
fn load(
    identity: Option<&Identity>,
    fields: [&'static str; 2],
) -> Result<Option<Arc<ServerConfig>>, Fault> {
    let Some(identity) = identity else { return Ok(None) };
    let (field, reason) = match tls::load(identity) {
        Ok(config) => return Ok(Some(config)),
        Err(tls::Fault::Certificate(reason)) => (fields[0], reason),
        Err(tls::Fault::Key(reason)) => (fields[1], reason),
    };
    Err(Fault::Field { field, reason, line: None })
}

impl Tls {
    /// What the callers' listener serves with.
    pub fn for_callers(&self) -> Result<Option<Arc<ServerConfig>>, Fault> {
        load(self.callers.as_ref(), ["tls.callers.certificate", "tls.callers.key"])
    }

    /// What the operators' listener serves with.
    pub fn for_operators(&self) -> Result<Option<Arc<ServerConfig>>, Fault> {
        load(self.operators.as_ref(), ["tls.operators.certificate", "tls.operators.key"])
    }
}

fn verify_operators(operators: &[Operator]) -> Result<(), Fault> {
    let mut names = BTreeSet::new();
    for operator in operators {
        if !names.insert(&operator.name) {
            return field("operators", &format!("{} stands twice", operator.name));
        }
        if operator.name.is_empty() || operator.name.contains('_') {
            return field("operators", "a name must not be empty nor contain an underscore");
        }
    }
    Ok(())
}

fn field(field: &'static str, reason: &str) -> Result<(), Fault> {
    Err(Fault::Field { field, reason: reason.to_owned(), line: None })
}

/// Whether two listeners cannot both be had. Port 0 asks for any free port.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}
