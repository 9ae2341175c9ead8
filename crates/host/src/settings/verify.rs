//! Checks that settings are consistent: addresses, times and sizes that must fit each other.

use super::{Operator, Settings, tls};
use derive_more::{Display, Error};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why settings are rejected.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The file cannot be read.
    #[display("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The text does not parse as settings; the error names the field and the line.
    #[display("settings: {_0}")]
    Syntax(serde_yaml_ng::Error),
    /// The value of a field is invalid.
    #[display("settings: {field}: {reason}{}", line.map(|l| format!(" at line {l}")).unwrap_or_default())]
    Field {
        /// Dotted path of the field.
        field: &'static str,
        /// What is wrong with the value.
        reason: String,
        /// Line of the field; `None` if the settings were not parsed from a text that sets it.
        line: Option<usize>,
    },
}

/// Checks that `settings` are consistent; returns the first fault found.
pub fn verify(settings: &Settings) -> Result<(), Fault> {
    verify_addresses(settings)?;
    verify_times(settings)?;
    verify_sizes(settings)?;
    tls::verify(&settings.tls)?;
    verify_operators(&settings.operators)
}

fn verify_addresses(settings: &Settings) -> Result<(), Fault> {
    let listen = &settings.listen;
    if overlaps(listen.operators, listen.callers) {
        return field("listen.operators", "overlaps with listen.callers");
    }
    if overlaps(listen.peers, listen.callers) || overlaps(listen.peers, listen.operators) {
        return field("listen.peers", "overlaps with another listen address");
    }
    let own = [listen.callers, listen.operators, listen.peers];
    if own.iter().any(|address| overlaps(*address, settings.platform.address)) {
        return field("platform.address", "overlaps with a listen address");
    }
    Ok(())
}

fn verify_times(settings: &Settings) -> Result<(), Fault> {
    let (timeouts, policy) = (&settings.timeouts, &settings.policy);
    if timeouts.request > timeouts.request_ceiling {
        return field("timeouts.request", "is above timeouts.request_ceiling");
    }
    if timeouts.transaction_idle > timeouts.transaction_total {
        return field("timeouts.transaction_idle", "is above timeouts.transaction_total");
    }
    if timeouts.stop < timeouts.request_ceiling.max(timeouts.transaction_total) {
        let reason = "is below timeouts.request_ceiling or timeouts.transaction_total";
        return field("timeouts.stop", reason);
    }
    if timeouts.connect.is_zero() || timeouts.connect > timeouts.request_ceiling {
        return field("timeouts.connect", "must be above zero and within timeouts.request_ceiling");
    }
    if policy.probe.is_zero() || policy.probe * 2 > policy.failover_after {
        return field(
            "policy.probe",
            "must be above zero and at most half of policy.failover_after",
        );
    }
    if policy.heartbeat.is_zero() || policy.heartbeat * 2 > policy.authority {
        return field(
            "policy.heartbeat",
            "must be above zero and at most half of policy.authority",
        );
    }
    if settings.platform.period + settings.platform.timeout > policy.authority {
        return field("platform.period", "with platform.timeout exceeds policy.authority");
    }
    Ok(())
}

fn verify_sizes(settings: &Settings) -> Result<(), Fault> {
    let limits = &settings.limits;
    if limits.statement > limits.body {
        return field("limits.statement", "is above limits.body");
    }
    if limits.body == 0 || limits.headers == 0 || limits.result == 0 || limits.queue == 0 {
        return field("limits", "no limit may be zero");
    }
    if settings.workers == 0 {
        return field("workers", "must be above zero");
    }
    if settings.policy.fan_out == 0 {
        return field("policy.fan_out", "must be above zero");
    }
    Ok(())
}

fn verify_operators(operators: &[Operator]) -> Result<(), Fault> {
    let mut names = BTreeSet::new();
    for operator in operators {
        if !names.insert(&operator.name) {
            return field("operators", &format!("{} is listed twice", operator.name));
        }
        if operator.name.is_empty() || operator.name.contains('_') {
            return field("operators", "a name must not be empty nor contain an underscore");
        }
    }
    Ok(())
}

fn field(field: &'static str, reason: &str) -> Result<(), Fault> {
    Err(Fault::Field { field, reason: reason.to_owned(), line: None })
}

/// Whether two addresses cannot both be bound. Port 0 never overlaps: it binds any free port.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}
