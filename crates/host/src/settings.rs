//! Settings of one host: a YAML file, strictly checked.
//!
//! Unknown fields and wrong units are found while reading, sums and addresses that cannot hold by
//! [`verify`]. Each error names the field and its place. What all hosts share is not here but in
//! the configuration that the platform keeps.

mod access;
mod limits;
mod listen;
mod place;
mod platform;
mod policy;
mod report;
mod tls;
mod verify;

pub use access::{Login, Operator};
pub use limits::{Limits, Timeouts};
pub use listen::Listen;
pub use platform::Platform;
pub use policy::{Connections, Defect, Failover, Policy, Rates, Reads, Slots};
pub use report::{Format, Log, Metrics};
pub use tls::{Identity, Tls};
pub use verify::{Fault, verify};

use bergamotvale_core::id::{FailureDomainId, HostId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

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

fn default_workers() -> usize {
    2
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
            platform: Platform::new(platform),
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
