//! Measures the cost that a host adds to a statement, compared with a direct connection.

use super::Scenario;
use super::process::{self, Threads};
use crate::bench::measure::{self, Latency};
use crate::client;
use crate::client::caller::{Client, Operation, Request};
use crate::error::{Error, Result};
use crate::output::table;
use crate::system::{Spec, System};
use bergamotvale_core::config::Account;
use bergamotvale_core::statement::{Statement, Value};
use bergamotvale_host::settings::Policy;
use bergamotvale_standin::group;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio_postgres::NoTls;
use tokio_postgres::types::Type;

const SERVICE: &str = "orders";
const SCHEMA: &str = "CREATE TABLE bolts (number BIGINT PRIMARY KEY, metres BIGINT NOT NULL)";
/// The statement that is sent on both paths.
const SQL: &str = "SELECT metres FROM bolts WHERE number = $1";
/// Rate and burst of the accounts, which no measurement reaches.
const UNLIMITED_RATE: u32 = 1_000_000;
/// Minimum connection limit of a target per host, the control connection included. With fewer than
/// two connections each, hosts starve before anything can be measured.
const MIN_CONNECTIONS_PER_HOST: u64 = 4;
/// Statements on each path before the measurement starts.
const WARM_UP_STATEMENTS: usize = 200;
/// Maximum age that reads accept; long enough to accept every replica.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The cost of a statement.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// Number of measured statements on each path.
    pub statements: usize,
    /// CPU time of the host, in µs per statement.
    pub cpu_micros: f64,
    /// Median latency through the host minus that on the direct connection, in µs.
    pub added_micros: f64,
    /// Latency through the host.
    pub through: Latency,
    /// Latency on a direct connection.
    pub direct: Latency,
    /// Threads or process whose CPU time was counted, for reports.
    pub counted: &'static str,
}

/// Describes a system without network delays, with these numbers of hosts, accounts and groups.
pub fn spec(seed: u64, hosts: usize, accounts: usize, groups: usize) -> Spec {
    let options = group::Options { schema: vec![SCHEMA.to_owned()], ..group::Options::default() };
    let limit = options.connection_limit.max(hosts as u64 * MIN_CONNECTIONS_PER_HOST);
    let options = group::Options { connection_limit: limit, ..options };
    let name = |index: usize| match index {
        0 => SERVICE.to_owned(),
        index => format!("{SERVICE}_{index}"),
    };
    let account = |index: usize| Account {
        name: format!("account_{index}"),
        rate: UNLIMITED_RATE,
        burst: UNLIMITED_RATE,
        weight: 1,
        services: (1..=groups as u32).collect::<BTreeSet<_>>(),
    };
    Spec {
        seed,
        hosts,
        failure_domains: 3,
        groups: (0..groups).map(|index| (name(index), options.clone())).collect(),
        accounts: (0..accounts).map(account).collect(),
        routes: BTreeMap::new(),
        policy: Policy::default(),
        workers: 1,
    }
}

/// The measured read, under `key`.
pub fn request(key: &str) -> Request {
    let statement = Statement { sql: SQL.to_owned(), params: vec![Value::Int(1)] };
    let operation = Operation::Read(SERVICE.to_owned(), statement);
    Request::new(operation).with_key(key).with_max_age(MAX_AGE)
}

/// Measures a host that runs in this process, on threads of its own.
pub async fn measure(scenario: &Scenario) -> Result<Cost> {
    let runtime = HostRuntime::new()?;
    let spec = spec(scenario.seed, 1, 1, 1);
    let (system, others) = start_on_runtime(spec, &runtime).await?;
    let cpu_time = || process::hosts_cpu_time(&others);
    let cost = compare(scenario, &system, 0, cpu_time, "threads of the host").await;
    system.stop().await;
    cost
}

/// A runtime for hosts, whose threads are recognized by name. Dropping it does not wait for tasks.
pub struct HostRuntime(Option<tokio::runtime::Runtime>);

impl HostRuntime {
    /// Starts a runtime with two worker threads.
    pub fn new() -> Result<HostRuntime> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.thread_name(process::HOST_THREAD).worker_threads(2).enable_all();
        Ok(HostRuntime(Some(builder.build()?)))
    }

    fn handle(&self) -> Option<&Handle> {
        self.0.as_ref().map(tokio::runtime::Runtime::handle)
    }
}

impl Drop for HostRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts the system of `spec` with its hosts on `runtime`. Also returns the threads that existed
/// before its hosts were started, other than runtime threads, so that their CPU time can be left
/// out.
pub async fn start_on_runtime(spec: Spec, runtime: &HostRuntime) -> Result<(System, Threads)> {
    let mut system = System::prepare(spec).await?;
    let mut others = process::threads(std::process::id())?;
    others.retain(|_, thread| thread.name != process::HOST_THREAD);
    system.start_hosts(runtime.handle()).await?;
    Ok((system, others))
}

/// Measures the statement through the host at index `host` and directly, in alternation.
///
/// `cpu_time` returns the host's CPU time so far; `counted` names what it covers.
pub async fn compare(
    scenario: &Scenario,
    system: &System,
    host: usize,
    cpu_time: impl Fn() -> std::io::Result<Duration>,
    counted: &'static str,
) -> Result<Cost> {
    let client = Client::new(client::http().build()?, system.hosts[host].address());
    let request = request(&system.keys[0]);
    let direct = connect(system.groups[0].addresses()[0]).await?;
    send_through_host(&client, &request, WARM_UP_STATEMENTS, &mut measure::histogram()).await?;
    send_directly(&direct, WARM_UP_STATEMENTS, &mut measure::histogram()).await?;
    let (mut host_latency, mut direct_latency) = (measure::histogram(), measure::histogram());
    let mut host_cpu_time = Duration::ZERO;
    let count = scenario.statements.per_round;
    for _ in 0..scenario.statements.rounds {
        let before = cpu_time()?;
        send_through_host(&client, &request, count, &mut host_latency).await?;
        host_cpu_time += cpu_time()?.saturating_sub(before);
        send_directly(&direct, count, &mut direct_latency).await?;
    }
    let statements = count * scenario.statements.rounds;
    let (host_latency, direct_latency) =
        (measure::summary(&host_latency), measure::summary(&direct_latency));
    Ok(Cost {
        statements,
        cpu_micros: host_cpu_time.as_secs_f64() * 1e6 / statements as f64,
        added_micros: (host_latency.p50_ms - direct_latency.p50_ms) * 1e3,
        through: host_latency,
        direct: direct_latency,
        counted,
    })
}

async fn connect(address: SocketAddr) -> Result<tokio_postgres::Client> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("bench").dbname("bench");
    let (client, connection) = config.connect(NoTls).await.map_err(measurement_error)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::warn!("direct connection to the target failed: {error}");
        }
    });
    Ok(client)
}

async fn send_through_host(
    client: &Client,
    request: &Request,
    count: usize,
    histogram: &mut Histogram<u64>,
) -> Result<()> {
    for _ in 0..count {
        let sent = Instant::now();
        client.send(request).await.map_err(measurement_error)?;
        histogram.saturating_record(sent.elapsed().as_micros() as u64);
    }
    Ok(())
}

async fn send_directly(
    client: &tokio_postgres::Client,
    count: usize,
    histogram: &mut Histogram<u64>,
) -> Result<()> {
    for _ in 0..count {
        let sent = Instant::now();
        client.query_typed(SQL, &[(&1_i64, Type::INT8)]).await.map_err(measurement_error)?;
        histogram.saturating_record(sent.elapsed().as_micros() as u64);
    }
    Ok(())
}

fn measurement_error(error: impl ToString) -> Error {
    Error::Start(error.to_string())
}

/// Renders the cost as plain text.
pub fn human(cost: &Cost) -> String {
    let row = |name: &str, latency: &Latency| {
        vec![
            name.to_owned(),
            latency.count.to_string(),
            format!("{:.0}", latency.p50_ms * 1e3),
            format!("{:.0}", latency.p90_ms * 1e3),
            format!("{:.0}", latency.p99_ms * 1e3),
        ]
    };
    let rows = [row("through a host", &cost.through), row("direct", &cost.direct)];
    let mut out = table(&["STATEMENT, US", "COUNT", "P50", "P90", "P99"], &rows);
    let _ = writeln!(
        out,
        "added median latency {:.0} us; CPU time {:.1} us per statement ({})\n",
        cost.added_micros, cost.cpu_micros, cost.counted
    );
    out
}
