//! The scenario of a load bench: a YAML file that is validated strictly.
//!
//! Parsing rejects unknown fields and wrong units; [`verify`] rejects values that are out of range
//! or contradict each other.

use crate::bench::history::Kind;
use crate::bench::variant;
use bergamotvale_host::settings::Policy;
use bergamotvale_host::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum duration of a run.
pub const MAX_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of operations per second, over all accounts, that one process generates.
pub const MAX_RATE: f64 = 20_000.0;
/// Maximum number of operations of a run, since all are kept in memory.
pub const MAX_OPS: f64 = 1_000_000.0;
/// Maximum number of hosts, since all run in one process.
pub const MAX_HOSTS: usize = 64;

/// A load scenario.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Seed of the generated arrivals, with their sessions and hosts; `--seed` overrides it.
    pub seed: u64,
    /// Time during which operations become due.
    #[serde_as(as = "Span")]
    pub duration: Duration,
    /// Maximum time from the due time of an operation to its response for it to count as on time.
    #[serde_as(as = "Span")]
    pub on_time: Duration,
    /// Timeout that callers send with a request.
    #[serde_as(as = "Span")]
    pub timeout: Duration,
    /// Hosts, failure domains and network delays.
    pub places: Places,
    /// Database groups.
    pub services: Vec<Service>,
    /// Client accounts and the load that they send.
    pub accounts: Vec<Account>,
    /// Relative frequency of each kind of operation.
    pub mix: BTreeMap<Kind, u32>,
    /// Maximum age that aged reads accept.
    #[serde_as(as = "Span")]
    pub max_age: Duration,
    /// Share of the acknowledged keyed writes that their caller sends again, from 0 to 1.
    #[serde(default)]
    pub repeats: f64,
    /// Faults that are injected, each at its time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Bounds on the measures that the run must meet, besides the invariants.
    #[serde(default)]
    pub goals: Goals,
    /// Policy of every host.
    #[serde(default)]
    pub policy: Policy,
    /// Names of the variants that `--baseline` runs in addition; see [`variant::BASELINES`].
    #[serde(default)]
    pub baselines: Vec<String>,
}

/// Hosts, failure domains and network delays.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Places {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of failure domains that hosts and targets are distributed over.
    pub failure_domains: u16,
    /// One-way network delay between failure domains.
    #[serde_as(as = "Span")]
    pub between_domains: Duration,
    /// One-way network delay between callers and hosts.
    #[serde_as(as = "Span")]
    pub to_clients: Duration,
}

/// A service and its database group.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Number of targets, at least 3.
    pub targets: usize,
    /// Maximum number of connections to each target, at least one for each host.
    pub connections: u32,
    /// Delay of opening a connection to a target.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// Replication lag in addition to the network delay.
    #[serde_as(as = "Span")]
    pub lag: Duration,
}

/// A client account and the load that it sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// Admitted requests per second over all hosts.
    pub rate: u32,
    /// Requests that may exceed the rate at one time: the bucket's capacity.
    pub burst: u32,
    /// Weight of the account's share when connections are contended.
    pub weight: u32,
    /// Operations per second that it sends on average.
    pub load: f64,
    /// Number of its sessions.
    pub sessions: u32,
    /// Probability that a session changes to a random host before an operation.
    pub roaming: f64,
    /// Names of the services that it uses; empty for all.
    #[serde(default)]
    pub services: BTreeSet<String>,
    /// Probability that a session that chooses a host takes the first one instead of a random one;
    /// 0 distributes sessions evenly.
    #[serde(default)]
    pub skew: f64,
}

/// A scheduled fault.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time at which it is injected, from the start of the run.
    #[serde_as(as = "Span")]
    pub at: Duration,
    /// Time after which it is healed; none to leave it in effect until the end of the run.
    #[serde_as(as = "Option<Span>")]
    #[serde(default)]
    pub lasts: Option<Duration>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Name of the service whose target is affected; required for faults of a target.
    #[serde(default)]
    pub service: Option<String>,
    /// Number of the affected target; none for the current primary.
    #[serde(default)]
    pub target: Option<usize>,
    /// Index of the affected host, from 0; required for [`FaultKind::StopHost`].
    #[serde(default)]
    pub host: Option<usize>,
    /// Delay that [`FaultKind::Lag`] and [`FaultKind::StoreSlow`] add.
    #[serde_as(as = "Option<Span>")]
    #[serde(default)]
    pub delay: Option<Duration>,
}

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum FaultKind {
    /// The target stops at once: it closes its connections and refuses new ones.
    Kill,
    /// The target is suspended: it answers nothing and accepts no connections.
    Pause,
    /// The target is partitioned from the others of its group; hosts still reach it.
    Partition,
    /// The target is partitioned from the others of its group and from the hosts.
    Isolate,
    /// Open connections to the target stop responding for good; new ones work.
    Silence,
    /// The target answers probes, but its statements fail.
    Poison,
    /// The target's replication lags by `delay`.
    Lag,
    /// Commits on the target take effect, but their responses are dropped.
    LostAnswers,
    /// The target loses its log and data and is rebuilt from the others.
    Rebuild,
    /// The host shuts down gracefully and is restarted when the fault ends.
    StopHost,
    /// The platform's store refuses all calls.
    StoreDown,
    /// The platform's store delays its responses by `delay`.
    StoreSlow,
    /// Calls of the platform's store hang until the fault ends.
    StoreHang,
}

impl FaultKind {
    /// Whether the fault affects a target.
    pub fn is_target(self) -> bool {
        !self.is_store() && self != FaultKind::StopHost
    }

    /// Whether the fault affects the platform's store.
    pub fn is_store(self) -> bool {
        matches!(self, FaultKind::StoreDown | FaultKind::StoreSlow | FaultKind::StoreHang)
    }

    /// Whether a primary with this fault can't acknowledge writes.
    pub fn disables_primary(self) -> bool {
        matches!(
            self,
            FaultKind::Kill | FaultKind::Pause | FaultKind::Partition | FaultKind::Isolate
        )
    }

    fn needs_delay(self) -> bool {
        matches!(self, FaultKind::Lag | FaultKind::StoreSlow)
    }
}

/// Bounds on the measures of a run; those that are none are not checked.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goals {
    /// Maximum failover gap.
    #[serde_as(as = "Option<Span>")]
    pub gap: Option<Duration>,
    /// Minimum share of the worst-served account.
    pub worst_share: Option<f64>,
    /// Minimum share of reads that replicas serve.
    pub replica_share: Option<f64>,
    /// Maximum number of wrongful refusals.
    pub wrongful: Option<u64>,
}

impl Scenario {
    /// Parses and verifies a scenario; the error names the field or the line.
    pub fn parse(text: &str) -> std::result::Result<Scenario, String> {
        let scenario: Scenario = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        verify(&scenario)?;
        Ok(scenario)
    }

    /// Index of the service of this name.
    pub fn service(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// Indexes of the services that `account` uses.
    pub fn services_of(&self, account: &Account) -> Vec<usize> {
        let is_used =
            |name: &String| account.services.is_empty() || account.services.contains(name);
        let services = self.services.iter().enumerate();
        services.filter(|(_, service)| is_used(&service.name)).map(|(index, _)| index).collect()
    }
}

type Validity = std::result::Result<(), String>;

/// Verifies that `scenario` can be run; the error names the offending field.
pub fn verify(scenario: &Scenario) -> Validity {
    verify_bounds(scenario)?;
    verify_services(scenario)?;
    verify_accounts(scenario)?;
    verify_mix(scenario)?;
    verify_baselines(scenario)?;
    scenario.faults.iter().enumerate().try_for_each(|(index, fault)| {
        verify_fault(scenario, fault).map_err(|error| format!("faults[{index}].{error}"))
    })
}

fn verify_bounds(scenario: &Scenario) -> Validity {
    if scenario.duration.is_zero() || scenario.duration > MAX_DURATION {
        return invalid("duration", format!("must be above zero and at most {MAX_DURATION:?}"));
    }
    if scenario.on_time.is_zero() || scenario.timeout < scenario.on_time {
        return invalid("on_time", "must be above zero and at most timeout");
    }
    if !(1..=MAX_HOSTS).contains(&scenario.places.hosts) {
        return invalid("places.hosts", format!("must be 1 to {MAX_HOSTS}"));
    }
    if scenario.places.failure_domains == 0 {
        return invalid("places.failure_domains", "must be above zero");
    }
    if !(0.0..=1.0).contains(&scenario.repeats) {
        return invalid("repeats", "must be a share from 0 to 1");
    }
    let load: f64 = scenario.accounts.iter().map(|account| account.load).sum();
    if load > MAX_RATE || load * scenario.duration.as_secs_f64() > MAX_OPS {
        return invalid(
            "accounts",
            format!("together send {load} operations a second, which is above the limit"),
        );
    }
    Ok(())
}

fn verify_services(scenario: &Scenario) -> Validity {
    if scenario.services.is_empty() {
        return invalid("services", "must not be empty");
    }
    let mut names = BTreeSet::new();
    for (index, service) in scenario.services.iter().enumerate() {
        if !names.insert(&service.name) {
            return invalid(&format!("services[{index}].name"), "stands twice");
        }
        if service.targets < 3 {
            return invalid(&format!("services[{index}].targets"), "must be at least 3");
        }
        if (service.connections as usize) < scenario.places.hosts {
            let reason = "must give each host at least one";
            return invalid(&format!("services[{index}].connections"), reason);
        }
    }
    Ok(())
}

fn verify_accounts(scenario: &Scenario) -> Validity {
    if scenario.accounts.is_empty() {
        return invalid("accounts", "must not be empty");
    }
    let mut names = BTreeSet::new();
    for (index, account) in scenario.accounts.iter().enumerate() {
        let field = |name: &str| format!("accounts[{index}].{name}");
        if !names.insert(&account.name) {
            return invalid(&field("name"), "stands twice");
        }
        if account.rate == 0 || account.burst == 0 || account.weight == 0 {
            return invalid(&field("rate"), "and burst and weight must be above zero");
        }
        if !account.load.is_finite() || account.load < 0.0 {
            return invalid(&field("load"), "must be zero or above");
        }
        if account.sessions == 0 {
            return invalid(&field("sessions"), "must be above zero");
        }
        if !(0.0..=1.0).contains(&account.roaming) || !(0.0..=1.0).contains(&account.skew) {
            return invalid(&field("roaming"), "and skew must be shares from 0 to 1");
        }
        if let Some(name) = account.services.iter().find(|name| scenario.service(name).is_none()) {
            return invalid(&field("services"), format!("there is no service {name}"));
        }
    }
    Ok(())
}

fn verify_mix(scenario: &Scenario) -> Validity {
    match scenario.mix.values().sum::<u32>() {
        0 => invalid("mix", "must name at least one kind with a share above zero"),
        _ if scenario.mix.contains_key(&Kind::Foreign) && scenario.accounts.len() < 2 => {
            invalid("mix", "foreign requests need a second account")
        }
        _ => Ok(()),
    }
}

fn verify_baselines(scenario: &Scenario) -> Validity {
    match scenario.baselines.iter().find(|name| variant::find_baseline(name).is_none()) {
        Some(name) => invalid("baselines", format!("there is no variant {name}")),
        None => Ok(()),
    }
}

fn verify_fault(scenario: &Scenario, fault: &Fault) -> Validity {
    if fault.at > scenario.duration {
        return invalid("at", "is after the end");
    }
    if fault.kind.needs_delay() != fault.delay.is_some() {
        return invalid("delay", format!("belongs to lag and store_slow, not to {}", fault.kind));
    }
    if fault.kind.is_target() {
        let name = fault.service.as_deref().unwrap_or_default();
        let Some(service) = scenario.service(name) else {
            return invalid("service", format!("there is no service `{name}`"));
        };
        if fault.target.is_some_and(|target| target >= scenario.services[service].targets) {
            return invalid("target", "there is no such target");
        }
    } else if fault.service.is_some() || fault.target.is_some() {
        return invalid("service", format!("does not belong to {}", fault.kind));
    }
    match (fault.kind, fault.host) {
        (FaultKind::StopHost, Some(host)) if host < scenario.places.hosts => Ok(()),
        (FaultKind::StopHost, _) => invalid("host", "there is no such host"),
        (_, Some(_)) => invalid("host", format!("does not belong to {}", fault.kind)),
        (_, None) => Ok(()),
    }
}

fn invalid(field: &str, reason: impl std::fmt::Display) -> Validity {
    Err(format!("{field}: {reason}"))
}
