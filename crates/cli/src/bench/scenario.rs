//! What a bench runs: a strictly checked YAML file.
//!
//! Unknown fields and wrong units are found while reading, what cannot hold by [`verify`].

use crate::bench::history::Kind;
use crate::bench::variant;
use bergamotvale_host::settings::Policy;
use bergamotvale_host::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest run.
pub const MAX_DURATION: Duration = Duration::from_secs(600);
/// Operations a second that one process generates.
pub const MAX_RATE: f64 = 20_000.0;
/// Operations that a run keeps in memory.
pub const MAX_OPS: f64 = 1_000_000.0;
/// Hosts in one process.
pub const MAX_HOSTS: usize = 64;

/// A load scenario.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Seed of arrivals, sessions and roaming.
    pub seed: u64,
    /// Time for which operations arrive.
    #[serde_as(as = "Span")]
    pub duration: Duration,
    /// An answer within this time of the moment at which it was due is on time.
    #[serde_as(as = "Span")]
    pub on_time: Duration,
    /// Time that callers wait for an answer.
    #[serde_as(as = "Span")]
    pub timeout: Duration,
    /// Hosts and how far things are from each other.
    pub places: Places,
    /// Database groups.
    pub services: Vec<Service>,
    /// Client accounts and their load.
    pub accounts: Vec<Account>,
    /// Share of each kind of operation, relative to the others.
    pub mix: BTreeMap<Kind, u32>,
    /// Age that aged reads accept.
    #[serde_as(as = "Span")]
    pub max_age: Duration,
    /// Share of acknowledged keyed writes that their caller sends again.
    #[serde(default)]
    pub repeats: f64,
    /// Faults on a schedule.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Bounds that the run has to keep, besides what may never happen.
    #[serde(default)]
    pub goals: Goals,
    /// How hosts decide.
    #[serde(default)]
    pub policy: Policy,
    /// Variants that `--baseline` runs besides.
    #[serde(default)]
    pub baselines: Vec<String>,
}

/// Hosts and distances.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Places {
    /// Entry hosts.
    pub hosts: usize,
    /// Failure domains that hosts and targets are spread over.
    pub failure_domains: u16,
    /// Delay one way between failure domains.
    #[serde_as(as = "Span")]
    pub between_domains: Duration,
    /// Delay one way between callers and hosts.
    #[serde_as(as = "Span")]
    pub to_clients: Duration,
}

/// A database group.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its targets.
    pub targets: usize,
    /// Connections that each target takes.
    pub connections: u32,
    /// Time that a new connection takes.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// What its replicas lag behind, besides the way.
    #[serde_as(as = "Span")]
    pub lag: Duration,
}

/// A client account and its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Requests a second over all hosts.
    pub rate: u32,
    /// Requests above the rate at once.
    pub burst: u32,
    /// Share of contended connections.
    pub weight: u32,
    /// Operations a second that it sends.
    pub load: f64,
    /// Sessions that send them.
    pub sessions: u32,
    /// Share of operations for which its session moves to another host.
    pub roaming: f64,
    /// Services that it uses; all when empty.
    #[serde(default)]
    pub services: BTreeSet<String>,
    /// How unevenly its sessions stand on the hosts: share that the first host gets on top.
    #[serde(default)]
    pub skew: f64,
}

/// A fault on the schedule.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it is set.
    #[serde_as(as = "Span")]
    pub at: Duration,
    /// When it is healed again; at the end when not given.
    #[serde_as(as = "Option<Span>")]
    #[serde(default)]
    pub lasts: Option<Duration>,
    /// What happens.
    pub kind: FaultKind,
    /// The service, for a target's fault.
    #[serde(default)]
    pub service: Option<String>,
    /// The target; the primary when not given.
    #[serde(default)]
    pub target: Option<usize>,
    /// The host, counted from 0, for a host's fault.
    #[serde(default)]
    pub host: Option<usize>,
    /// Lag, slowness.
    #[serde_as(as = "Option<Span>")]
    #[serde(default)]
    pub delay: Option<Duration>,
}

/// What happens in a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum FaultKind {
    /// The target goes down.
    Kill,
    /// The target answers nobody.
    Pause,
    /// The target is cut off from the others of its group; callers still reach it.
    Partition,
    /// The target is cut off from everything.
    Isolate,
    /// Open connections to the target go silent for good.
    Silence,
    /// The target answers probes and fails its work.
    Poison,
    /// The target falls behind by `delay`.
    Lag,
    /// Commits take effect and are not answered.
    LostAnswers,
    /// The target loses its data.
    Rebuild,
    /// The host is stopped as planned and started again when the fault ends.
    StopHost,
    /// The platform's store is down.
    StoreDown,
    /// The platform's store answers after `delay`.
    StoreSlow,
    /// The platform's store answers nobody.
    StoreHang,
}

impl FaultKind {
    /// Whether it is a target's.
    pub fn is_target(self) -> bool {
        !self.is_store() && self != FaultKind::StopHost
    }

    /// Whether it is the store's.
    pub fn is_store(self) -> bool {
        matches!(self, FaultKind::StoreDown | FaultKind::StoreSlow | FaultKind::StoreHang)
    }

    /// Whether a primary under it can acknowledge nothing.
    pub fn takes_primary(self) -> bool {
        matches!(
            self,
            FaultKind::Kill | FaultKind::Pause | FaultKind::Partition | FaultKind::Isolate
        )
    }

    fn needs_delay(self) -> bool {
        matches!(self, FaultKind::Lag | FaultKind::StoreSlow)
    }
}

/// Bounds that a run has to keep.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goals {
    /// Longest failover gap.
    #[serde_as(as = "Option<Span>")]
    pub gap: Option<Duration>,
    /// Least share of the worst-served account.
    pub worst_share: Option<f64>,
    /// Least share of reads from replicas.
    pub replica_share: Option<f64>,
    /// Most wrongful refusals.
    pub wrongful: Option<u64>,
}

impl Scenario {
    /// Reads and verifies the scenario in `text`.
    pub fn parse(text: &str) -> std::result::Result<Scenario, String> {
        let scenario: Scenario = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        verify(&scenario)?;
        Ok(scenario)
    }

    /// Place of the service of this name.
    pub fn service(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// Services that `account` uses, by their place.
    pub fn services_of(&self, account: &Account) -> Vec<usize> {
        let named = |name: &String| account.services.is_empty() || account.services.contains(name);
        let services = self.services.iter().enumerate();
        services.filter(|(_, service)| named(&service.name)).map(|(place, _)| place).collect()
    }
}

type Verdict = std::result::Result<(), String>;

/// Says whether `scenario` can be run.
pub fn verify(scenario: &Scenario) -> Verdict {
    verify_bounds(scenario)?;
    verify_services(scenario)?;
    verify_accounts(scenario)?;
    verify_mix(scenario)?;
    verify_baselines(scenario)?;
    scenario.faults.iter().enumerate().try_for_each(|(place, fault)| {
        verify_fault(scenario, fault).map_err(|error| format!("faults[{place}].{error}"))
    })
}

fn verify_bounds(scenario: &Scenario) -> Verdict {
    if scenario.duration.is_zero() || scenario.duration > MAX_DURATION {
        return fault("duration", format!("must be above zero and at most {MAX_DURATION:?}"));
    }
    if scenario.on_time.is_zero() || scenario.timeout < scenario.on_time {
        return fault("on_time", "must be above zero and at most timeout");
    }
    if !(1..=MAX_HOSTS).contains(&scenario.places.hosts) {
        return fault("places.hosts", format!("must be 1 to {MAX_HOSTS}"));
    }
    if scenario.places.failure_domains == 0 {
        return fault("places.failure_domains", "must be above zero");
    }
    if !(0.0..=1.0).contains(&scenario.repeats) {
        return fault("repeats", "must be a share from 0 to 1");
    }
    let load: f64 = scenario.accounts.iter().map(|account| account.load).sum();
    if load > MAX_RATE || load * scenario.duration.as_secs_f64() > MAX_OPS {
        return fault("accounts", format!("together send {load} a second, which is too much"));
    }
    Ok(())
}

fn verify_services(scenario: &Scenario) -> Verdict {
    if scenario.services.is_empty() {
        return fault("services", "must not be empty");
    }
    let mut names = BTreeSet::new();
    for (place, service) in scenario.services.iter().enumerate() {
        if !names.insert(&service.name) {
            return fault(&format!("services[{place}].name"), "stands twice");
        }
        if service.targets < 3 {
            return fault(&format!("services[{place}].targets"), "must be at least 3");
        }
        if (service.connections as usize) < scenario.places.hosts {
            let reason = "must give each host at least one";
            return fault(&format!("services[{place}].connections"), reason);
        }
    }
    Ok(())
}

fn verify_accounts(scenario: &Scenario) -> Verdict {
    if scenario.accounts.is_empty() {
        return fault("accounts", "must not be empty");
    }
    let mut names = BTreeSet::new();
    for (place, account) in scenario.accounts.iter().enumerate() {
        let field = |name: &str| format!("accounts[{place}].{name}");
        if !names.insert(&account.name) {
            return fault(&field("name"), "stands twice");
        }
        if account.rate == 0 || account.burst == 0 || account.weight == 0 {
            return fault(&field("rate"), "and burst and weight must be above zero");
        }
        if !account.load.is_finite() || account.load < 0.0 {
            return fault(&field("load"), "must be zero or above");
        }
        if account.sessions == 0 {
            return fault(&field("sessions"), "must be above zero");
        }
        if !(0.0..=1.0).contains(&account.roaming) || !(0.0..=1.0).contains(&account.skew) {
            return fault(&field("roaming"), "and skew must be shares from 0 to 1");
        }
        if let Some(name) = account.services.iter().find(|name| scenario.service(name).is_none()) {
            return fault(&field("services"), format!("there is no service {name}"));
        }
    }
    Ok(())
}

fn verify_mix(scenario: &Scenario) -> Verdict {
    match scenario.mix.values().sum::<u32>() {
        0 => fault("mix", "must name at least one kind with a share above zero"),
        _ if scenario.mix.contains_key(&Kind::Foreign) && scenario.accounts.len() < 2 => {
            fault("mix", "foreign requests need a second account")
        }
        _ => Ok(()),
    }
}

fn verify_baselines(scenario: &Scenario) -> Verdict {
    match scenario.baselines.iter().find(|name| variant::named(name).is_none()) {
        Some(name) => fault("baselines", format!("there is no variant {name}")),
        None => Ok(()),
    }
}

fn verify_fault(scenario: &Scenario, set: &Fault) -> Verdict {
    if set.at > scenario.duration {
        return fault("at", "is after the end");
    }
    if set.kind.needs_delay() != set.delay.is_some() {
        return fault("delay", format!("belongs to lag and store_slow, not to {}", set.kind));
    }
    if set.kind.is_target() {
        let name = set.service.as_deref().unwrap_or_default();
        let Some(service) = scenario.service(name) else {
            return fault("service", format!("there is no service `{name}`"));
        };
        if set.target.is_some_and(|target| target >= scenario.services[service].targets) {
            return fault("target", "there is no such target");
        }
    } else if set.service.is_some() || set.target.is_some() {
        return fault("service", format!("does not belong to {}", set.kind));
    }
    match (set.kind, set.host) {
        (FaultKind::StopHost, Some(host)) if host < scenario.places.hosts => Ok(()),
        (FaultKind::StopHost, _) => fault("host", "there is no such host"),
        (_, Some(_)) => fault("host", format!("does not belong to {}", set.kind)),
        (_, None) => Ok(()),
    }
}

fn fault(field: &str, reason: impl std::fmt::Display) -> Verdict {
    Err(format!("{field}: {reason}"))
}
