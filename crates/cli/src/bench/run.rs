//! Runs a scenario: starts the system, applies the load, injects faults and evaluates the recorded
//! history.

use crate::args::{Bench, Output};
use crate::bench::arrival;
use crate::bench::balancer::Balancer;
use crate::bench::fault::{self, Injector};
use crate::bench::history::{self, History};
use crate::bench::load::{self, Setup};
use crate::bench::measure::{self, Measures};
use crate::bench::progress::Progress;
use crate::bench::report::{self, Report, Run};
use crate::bench::scenario::Scenario;
use crate::bench::variant::{self, Variant};
use crate::bench::{cost, final_rows, html};
use crate::client;
use crate::client::caller::Client;
use crate::error::{Error, Result};
use crate::output;
use crate::system::{Spec, System};
use bergamotvale_core::config::Account;
use bergamotvale_core::id::ServiceId;
use bergamotvale_host::settings::Defect;
use bergamotvale_standin::group;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time between the start of the system and the first arrival.
const START_DELAY: Duration = Duration::from_millis(500);
/// Threads of each host that serve callers.
const CALLER_THREADS: usize = 1;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the `bench` command: runs the scenario, with its baselines if asked for, prints the report
/// and writes its files. Fails when a goal is not met or an invariant is violated.
pub async fn run(bench: &Bench, output: Output) -> Result<()> {
    let text = std::fs::read_to_string(&bench.scenario);
    let text = text.map_err(|error| scenario_error(&bench.scenario, error))?;
    if is_cost_scenario(&text) {
        return cost::run(&text, bench, output).await;
    }
    let scenario =
        Scenario::parse(&text).map_err(|error| scenario_error(&bench.scenario, error))?;
    let seed = bench.seed.unwrap_or(scenario.seed);
    let mut variants = vec![variant::UNCHANGED];
    if bench.baseline {
        variants.extend(scenario.baselines.iter().filter_map(|name| variant::find_baseline(name)));
    }
    let mut runs = Vec::new();
    for variant in variants {
        let measures = run_variant(&scenario, seed, variant, &BTreeSet::new()).await?;
        runs.push(Run::new(variant, measures));
    }
    let report = Report::new(&scenario, seed, runs);
    output::print(output, &report, report::human)?;
    write_file(bench.json.as_deref(), || output::json(&report))?;
    write_file(bench.html.as_deref(), || Ok(html::page(&report)))?;
    match report.broken.is_empty() {
        true => Ok(()),
        false => Err(Error::Verdict(report.broken.join("; "))),
    }
}

fn scenario_error(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::Usage(format!("{}: {error}", path.display()))
}

/// Whether `text` is a cost scenario, which has a field `statements` instead of a mix.
fn is_cost_scenario(text: &str) -> bool {
    let document = serde_yaml_ng::from_str::<serde_yaml_ng::Value>(text);
    document.is_ok_and(|document| document.get("statements").is_some())
}

fn write_file(path: Option<&Path>, text: impl Fn() -> Result<String>) -> Result<()> {
    if let Some(path) = path {
        std::fs::write(path, text()?)?;
    }
    Ok(())
}

/// Runs one variant of `scenario` on hosts with `defects` and computes its measures.
pub async fn run_variant(
    scenario: &Scenario,
    seed: u64,
    variant: Variant,
    defects: &BTreeSet<Defect>,
) -> Result<Measures> {
    let history = record(scenario, seed, variant, defects).await?;
    Ok(measure::measure(&history, scenario.on_time))
}

/// Runs one variant of `scenario` on hosts with `defects` and returns the recorded history.
///
/// Fails if a host can't be started or the targets don't converge after the run.
pub async fn record(
    scenario: &Scenario,
    seed: u64,
    variant: Variant,
    defects: &BTreeSet<Defect>,
) -> Result<History> {
    let mut system = System::start(system_spec(scenario, seed, variant, defects)).await?;
    set_lags(&system, scenario);
    let progress = Arc::new(Progress::default());
    let setup = load_setup(&system, scenario)?;
    let platform = system.platform.address();
    let polling = setup.balancer.clone().follow(client::http().build()?, platform);
    let printing = progress.clone().print(format!("{} {}", scenario.name, variant.name));
    let background_tasks = [tokio::spawn(polling), tokio::spawn(printing)];
    let arrivals = arrival::generate(scenario, seed);
    let start = Instant::now() + START_DELAY;
    let loading = tokio::spawn(load::run(setup, arrivals, start, progress.clone()));
    let faults = Injector::new(&mut system, scenario, start, progress).run().await;
    let ops = loading.await.map_err(|error| Error::Start(error.to_string()))?;
    background_tasks.iter().for_each(JoinHandle::abort);
    fault::heal_all(&system)?;
    let final_rows = final_rows::read(&system).await?;
    stop(system).await;
    let accounts = scenario.accounts.iter().map(|account| history::Account {
        name: account.name.clone(),
        rate: f64::from(account.rate),
        burst: f64::from(account.burst),
    });
    Ok(History {
        accounts: accounts.collect(),
        services: scenario.services.iter().map(|service| service.name.clone()).collect(),
        ops,
        faults: faults?,
        final_rows,
    })
}

async fn stop(system: System) {
    if tokio::time::timeout(STOP_TIMEOUT, system.stop()).await.is_err() {
        log::warn!("hosts did not stop within {STOP_TIMEOUT:?}; continuing");
    }
}

fn system_spec(
    scenario: &Scenario,
    seed: u64,
    variant: Variant,
    defects: &BTreeSet<Defect>,
) -> Spec {
    let mut policy = scenario.policy.clone();
    (variant.edit)(&mut policy);
    policy.defects = defects.clone();
    let groups = scenario.services.iter().map(|service| {
        let options = group::Options {
            targets: service.targets,
            replication_delay: scenario.places.between_domains,
            network_delay: scenario.places.between_domains,
            connect_delay: service.connect,
            connection_limit: u64::from(service.connections),
            schema: load::SCHEMA.map(str::to_owned).to_vec(),
            ..group::Options::default()
        };
        (service.name.clone(), options)
    });
    let accounts = scenario.accounts.iter().map(|account| Account {
        name: account.name.clone(),
        rate: account.rate,
        burst: account.burst,
        weight: account.weight,
        services: scenario
            .services_of(account)
            .into_iter()
            .map(|index| index as ServiceId + 1)
            .collect(),
    });
    Spec {
        seed,
        hosts: scenario.places.hosts,
        failure_domains: scenario.places.failure_domains,
        groups: groups.collect(),
        accounts: accounts.collect(),
        routes: BTreeMap::new(),
        policy,
        workers: CALLER_THREADS,
    }
}

fn set_lags(system: &System, scenario: &Scenario) {
    for (group, service) in system.groups.iter().zip(&scenario.services) {
        for target in group.targets() {
            target.set_lag(service.lag);
        }
    }
}

/// The setup of the load. Each account gets an HTTP client, and so connections, of its own.
fn load_setup(system: &System, scenario: &Scenario) -> Result<Setup> {
    let mut callers = Vec::new();
    for _ in &scenario.accounts {
        let http = client::http().build()?;
        let hosts = system.hosts.iter();
        let clients =
            hosts.map(|host| Client::new(http.clone(), host.settings.listen.callers)).collect();
        callers.push(clients);
    }
    let hosts = system.hosts.iter().map(|host| host.settings.host.to_string()).collect();
    let sessions: u32 = scenario.accounts.iter().map(|account| account.sessions).sum();
    Ok(Setup {
        callers,
        keys: system.keys.clone(),
        services: scenario.services.iter().map(|service| service.name.clone()).collect(),
        sessions: sessions as usize,
        timeout: scenario.timeout,
        max_age: scenario.max_age,
        network_delay: scenario.places.to_clients,
        balancer: Balancer::new(hosts),
    })
}
