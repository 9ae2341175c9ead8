//! Logging and metrics of a host.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Level and format of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// Format of a log line.
    pub format: Format,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Plain text for people to read.
    Text,
}

/// Where counters are sent, in addition to the operators' listener.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// Address of a statsd server, over UDP; `None` sends no counters.
    pub statsd: Option<SocketAddr>,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: log::LevelFilter::Info, format: Format::Text }
    }
}
