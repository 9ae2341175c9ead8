//! Settings of a session host, read from one YAML file.
//!
//! Unknown, missing and invalid fields are errors that name the field and the line.

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name under which the platform knows the host.
    pub name: String,
    /// Failure domain of the host; targets in other ones count as having a longer round trip.
    pub domain: String,
    /// Region of the host; empty if the platform states none.
    #[serde(default)]
    pub region: String,
    /// Region of each failure domain, by the domain's name.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Addresses on which the host listens.
    pub listen: Listen,
    /// Address of the platform's table service.
    pub store: SocketAddr,
    /// Address of the platform's promotion service.
    pub promotion: SocketAddr,
    /// Time limits that the platform sets.
    pub times: Times,
    /// Amount by which client accounts may exceed their rates.
    pub rates: Rates,
    /// Limits on requests to targets that have just started; `None` where none are in force.
    #[serde(default)]
    pub cold: Option<Cold>,
    /// Whether reads are chosen by learned limits of targets that differ in speed.
    #[serde(default)]
    pub learned_limits: bool,
    /// Number of file descriptors that the process may open.
    pub descriptors: u32,
    /// Memory that the process may use, in MB; `None` if the platform states none.
    #[serde(default)]
    pub memory: Option<u32>,
    /// Capacity of the host's network link, in Mbit/s; `None` if the platform states none.
    #[serde(default)]
    pub link: Option<f64>,
}

/// Addresses on which the host listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// TCP, sessions of callers.
    pub callers: SocketAddr,
    /// HTTP, readiness checks of the balancer.
    pub readiness: SocketAddr,
    /// UDP, datagrams of other hosts. Its IP address is the host's id.
    pub peers: SocketAddr,
    /// HTTP, metrics and status.
    pub metrics: SocketAddr,
}

/// Time limits that the platform sets.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Time for which a target may still get work after it reports that it is leaving, in
    /// milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Time between the stop signal and the kill of the process, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub grace: Duration,
    /// Time after which no statement may reach a target in an evacuated failure domain, in
    /// milliseconds; `None` where no evacuations are in force.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub evacuation: Option<Duration>,
}

/// Amount by which a client account may exceed its rate over all hosts, in any window.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Length of the window, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub window: Duration,
    /// Permitted excess as a fraction of what rate and burst allow in a window.
    pub overage: f64,
    /// Further permitted excess, in operations.
    pub slack: u32,
}

/// Excess over the rate that the configuration states for a cold target, over all hosts, in any
/// second.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Factor on the configured rate.
    pub overage: f64,
    /// Further permitted statements.
    pub slack: u32,
}

impl Settings {
    /// Reads the file at `path`. Errors name the file, and the field and line of an invalid value.
    pub fn read(path: &Path) -> anyhow::Result<Settings> {
        use anyhow::Context;
        let name = path.display();
        let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
        serde_yaml_ng::from_str(&text)
            .with_context(|| format!("{name} is not a valid settings file"))
    }
}
