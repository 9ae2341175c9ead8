//! Settings of a session host: one YAML file.
//!
//! Unknown fields and bad addresses are errors that name the field and the line.

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, as the platform knows it.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's table service.
    pub store: SocketAddr,
    /// The platform's promotion service.
    pub promotion: SocketAddr,
    /// Time limits.
    pub times: Times,
    /// What rates may be exceeded by.
    pub rates: Rates,
    /// File descriptors that the process may open.
    pub descriptors: u32,
}

/// Where the host listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the host is ready.
    pub readiness: SocketAddr,
    /// For other hosts, UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Time limits.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// After it has said that it leaves, a target may still get work for this time, in
    /// milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Between the signal to stop and the kill, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub grace: Duration,
}

/// What a client account's rate may be exceeded by, over all hosts, in any window.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Length of the window, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub window: Duration,
    /// Fraction of rate and burst.
    pub overage: f64,
    /// Operations.
    pub slack: u32,
}

impl Settings {
    /// Reads the file at `path`. The error names file, field and line.
    pub fn read(path: &Path) -> anyhow::Result<Settings> {
        use anyhow::Context;
        let name = path.display();
        let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
        serde_yaml_ng::from_str(&text).with_context(|| format!("{name} does not hold"))
    }
}
