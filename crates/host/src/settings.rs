//! Settings of one host, read from a YAML file.
//!
//! Parsing rejects unknown fields and wrong units; [`verify`] rejects values that contradict each
//! other. Each error names the field and its line. Settings belong to one host; what all hosts
//! share is in the configuration, which the platform stores.

mod access;
mod limits;
mod line;
mod listen;
mod platform;
mod policy;
mod telemetry;
mod tls;
mod verify;

pub use access::{Login, Operator};
pub use limits::{Limits, Timeouts};
pub use listen::Listen;
pub use platform::Platform;
pub use policy::{Connections, Defect, Failover, Policy, Rates, Reads, Slots};
pub use telemetry::{Format, Log, Metrics};
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
    /// Id of the host, unique in the fleet.
    pub host: HostId,
    /// Failure domain that the host runs in.
    pub failure_domain: FailureDomainId,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// Certificates of the listeners; a listener without one serves plain HTTP.
    #[serde(default)]
    pub tls: Tls,
    /// Address and timeouts of the platform's service.
    pub platform: Platform,
    /// Credentials for the targets.
    #[serde(default)]
    pub login: Login,
    /// Operators who may use the operators' listener.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Size and connection limits of callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts of requests, transactions, calls and the stop.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// How the host routes, limits and fails over.
    #[serde(default)]
    pub policy: Policy,
    /// Level and format of the log.
    #[serde(default)]
    pub log: Log,
    /// Where counters are sent, in addition to the operators' listener.
    #[serde(default)]
    pub metrics: Metrics,
    /// Number of threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
}

fn default_workers() -> usize {
    2
}

impl Settings {
    /// Settings of a host at these addresses, with the default for every other field.
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

    /// Reads and verifies the settings in the file `path`.
    pub fn read(path: &Path) -> Result<Settings, Fault> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Fault::File { path: path.to_owned(), source })?;
        Settings::parse(&text)
    }

    /// Parses and verifies the settings in the YAML `text`.
    pub fn parse(text: &str) -> Result<Settings, Fault> {
        let settings: Settings = serde_yaml_ng::from_str(text).map_err(Fault::Syntax)?;
        verify(&settings).map_err(|fault| with_line(fault, text))?;
        Ok(settings)
    }
}

/// Adds the line in `text` to a fault of a field.
fn with_line(fault: Fault, text: &str) -> Fault {
    match fault {
        Fault::Field { field, reason, .. } => {
            Fault::Field { field, reason, line: line::find(text, field) }
        }
        other => other,
    }
}
