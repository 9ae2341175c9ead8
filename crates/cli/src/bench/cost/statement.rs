//! What a statement costs on top of a direct connection.

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
/// The statement that is sent on either way.
const SQL: &str = "SELECT metres FROM bolts WHERE number = $1";
/// Rate that no part of the measurement reaches.
const RATE: u32 = 1_000_000;
/// Connections of each target for each host at least, the control connection included: with fewer
/// than two, hosts starve before anything can be measured.
const CONNECTIONS_PER_HOST: u64 = 4;
/// Statements on either way before the first that counts.
const WARM_UP: usize = 200;
/// Age that reads accept: any.
const MAX_AGE: Duration = Duration::from_secs(60);

/// What a statement costs.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// Statements on either way.
    pub statements: usize,
    /// Processor time of the host, µs a statement.
    pub cpu_micros: f64,
    /// Difference of the medians, µs.
    pub added_micros: f64,
    /// Latency through the host.
    pub through: Latency,
    /// Latency on a direct connection.
    pub direct: Latency,
    /// Where the host's processor time was counted.
    pub counted: &'static str,
}

/// A fleet of `hosts` without distances, with `accounts` and `groups`.
pub fn plan(seed: u64, hosts: usize, accounts: usize, groups: usize) -> Spec {
    let options = group::Options { schema: vec![SCHEMA.to_owned()], ..group::Options::default() };
    let limit = options.connection_limit.max(hosts as u64 * CONNECTIONS_PER_HOST);
    let options = group::Options { connection_limit: limit, ..options };
    let name = |place: usize| match place {
        0 => SERVICE.to_owned(),
        place => format!("{SERVICE}_{place}"),
    };
    let account = |place: usize| Account {
        name: format!("account_{place}"),
        rate: RATE,
        burst: RATE,
        weight: 1,
        services: (1..=groups as u32).collect::<BTreeSet<_>>(),
    };
    Spec {
        seed,
        hosts,
        failure_domains: 3,
        groups: (0..groups).map(|place| (name(place), options.clone())).collect(),
        accounts: (0..accounts).map(account).collect(),
        routes: BTreeMap::new(),
        policy: Policy::default(),
        workers: 1,
    }
}

/// The read that is measured.
pub fn request(key: &str) -> Request {
    let statement = Statement { sql: SQL.to_owned(), params: vec![Value::Int(1)] };
    let operation = Operation::Read(SERVICE.to_owned(), statement);
    Request::new(operation).with_key(key).with_max_age(MAX_AGE)
}

/// Measures a host in this process, on threads of its own.
pub async fn measure(scenario: &Scenario) -> Result<Cost> {
    let runtime = Runtime::new()?;
    let plan = plan(scenario.seed, 1, 1, 1);
    let (system, others) = start_apart(plan, &runtime).await?;
    let used = || process::hosts_used(&others);
    let cost = compare(scenario, &system, 0, used, "threads of the host").await;
    system.stop().await;
    cost
}

/// A runtime whose threads are told apart by name; dropping it waits for nobody.
pub struct Runtime(Option<tokio::runtime::Runtime>);

impl Runtime {
    /// A runtime for hosts.
    pub fn new() -> Result<Runtime> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.thread_name(process::HOST_THREAD).worker_threads(2).enable_all();
        Ok(Runtime(Some(builder.build()?)))
    }

    fn handle(&self) -> Option<&Handle> {
        self.0.as_ref().map(tokio::runtime::Runtime::handle)
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts `plan` with its hosts on `runtime`; the threads that are not its hosts' come with it.
pub async fn start_apart(plan: Spec, runtime: &Runtime) -> Result<(System, Threads)> {
    let mut system = System::prepare(plan).await?;
    let mut others = process::threads(std::process::id())?;
    others.retain(|_, thread| thread.name != process::HOST_THREAD);
    system.start_hosts(runtime.handle()).await?;
    Ok((system, others))
}

/// Sends the statement through host `host` and direct, in turns.
pub async fn compare(
    scenario: &Scenario,
    system: &System,
    host: usize,
    used: impl Fn() -> std::io::Result<Duration>,
    counted: &'static str,
) -> Result<Cost> {
    let client = Client::new(client::http().build()?, system.hosts[host].address());
    let request = request(&system.keys[0]);
    let direct = connect(system.groups[0].addresses()[0]).await?;
    through(&client, &request, WARM_UP, &mut measure::histogram()).await?;
    directly(&direct, WARM_UP, &mut measure::histogram()).await?;
    let (mut by_host, mut alone) = (measure::histogram(), measure::histogram());
    let mut host_used = Duration::ZERO;
    let count = scenario.statements.per_round;
    for _ in 0..scenario.statements.rounds {
        let before = used()?;
        through(&client, &request, count, &mut by_host).await?;
        host_used += used()?.saturating_sub(before);
        directly(&direct, count, &mut alone).await?;
    }
    let statements = count * scenario.statements.rounds;
    let (by_host, alone) = (measure::summary(&by_host), measure::summary(&alone));
    Ok(Cost {
        statements,
        cpu_micros: host_used.as_secs_f64() * 1e6 / statements as f64,
        added_micros: (by_host.p50_ms - alone.p50_ms) * 1e3,
        through: by_host,
        direct: alone,
        counted,
    })
}

async fn connect(address: SocketAddr) -> Result<tokio_postgres::Client> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("bench").dbname("bench");
    let (client, connection) = config.connect(NoTls).await.map_err(broken)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::warn!("direct connection: {error}");
        }
    });
    Ok(client)
}

async fn through(
    client: &Client,
    request: &Request,
    count: usize,
    histogram: &mut Histogram<u64>,
) -> Result<()> {
    for _ in 0..count {
        let sent = Instant::now();
        client.send(request).await.map_err(broken)?;
        histogram.saturating_record(sent.elapsed().as_micros() as u64);
    }
    Ok(())
}

async fn directly(
    client: &tokio_postgres::Client,
    count: usize,
    histogram: &mut Histogram<u64>,
) -> Result<()> {
    for _ in 0..count {
        let sent = Instant::now();
        client.query_typed(SQL, &[(&1_i64, Type::INT8)]).await.map_err(broken)?;
        histogram.saturating_record(sent.elapsed().as_micros() as u64);
    }
    Ok(())
}

fn broken(error: impl ToString) -> Error {
    Error::Start(error.to_string())
}

/// The cost for people.
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
        "added at the median {:.0} us; processor time {:.1} us a statement ({})\n",
        cost.added_micros, cost.cpu_micros, cost.counted
    );
    out
}
