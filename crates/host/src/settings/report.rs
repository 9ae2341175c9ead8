//! What a host tells of itself: log and counters.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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

impl Default for Log {
    fn default() -> Log {
        Log { level: log::LevelFilter::Info, format: Format::Text }
    }
}
