//! Counters and gauges, readable in process and sent to a statsd server if one is configured.
//!
//! Each refusal reason and each retry reason has its own counter, which exists with value zero from
//! the start.

use bergamotvale_core::{refusal, retry};
use cadence::{Counted, Gauged, MetricSink, StatsdClient};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

const PREFIX: &str = "bergamotvale";

/// Values of all counters and gauges, by name without the prefix `bergamotvale.`.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Sums since the host started.
    pub counters: BTreeMap<String, i64>,
    /// Most recent values.
    pub gauges: BTreeMap<String, i64>,
}

/// Counters and gauges of one host.
pub struct Registry {
    client: StatsdClient,
    totals: Arc<Mutex<Snapshot>>,
}

struct Sink {
    totals: Arc<Mutex<Snapshot>>,
    statsd: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        record(&mut self.totals.lock().expect("no holder of the lock panics"), metric);
        if let Some((socket, address)) = &self.statsd {
            socket.send_to(metric.as_bytes(), address)?;
        }
        Ok(metric.len())
    }
}

/// Applies one line of the statsd protocol, `prefix.name:value|kind`, to `totals`.
fn record(totals: &mut Snapshot, metric: &str) {
    let Some((name, rest)) = metric.split_once(':') else { return };
    let name = name.strip_prefix(PREFIX).and_then(|n| n.strip_prefix('.')).unwrap_or(name);
    let mut parts = rest.split('|');
    let Some(Ok(value)) = parts.next().map(str::parse::<i64>) else { return };
    match parts.next() {
        Some("c") => add(&mut totals.counters, name, value),
        Some("g") => set(&mut totals.gauges, name, value),
        _ => {}
    }
}

fn add(values: &mut BTreeMap<String, i64>, name: &str, value: i64) {
    match values.get_mut(name) {
        Some(total) => *total += value,
        None => drop(values.insert(name.to_owned(), value)),
    }
}

fn set(values: &mut BTreeMap<String, i64>, name: &str, value: i64) {
    match values.get_mut(name) {
        Some(total) => *total = value,
        None => drop(values.insert(name.to_owned(), value)),
    }
}

impl Registry {
    /// A registry with all reason counters at zero. Fails if the socket for `statsd` cannot be
    /// bound.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Registry> {
        let statsd = match statsd {
            Some(address) => Some((UdpSocket::bind((unspecified_address(address), 0))?, address)),
            None => None,
        };
        let totals = Arc::new(Mutex::new(zero_counters()));
        let sink = Sink { totals: totals.clone(), statsd };
        Ok(Registry { client: StatsdClient::from_sink(PREFIX, sink), totals })
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `value` to the counter `name`.
    pub fn add(&self, name: &str, value: i64) {
        // Sending to the statsd server is best effort: a failure must not affect the caller.
        drop(self.client.count(name, value));
    }

    /// Sets the gauge `name`.
    pub fn set_gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }

    /// Adds one to the counter `refusal.<reason>`.
    pub fn count_refusal(&self, reason: refusal::Reason) {
        self.count(&format!("refusal.{reason}"));
    }

    /// Adds one to the counter `retry.<reason>`.
    pub fn count_retry(&self, reason: retry::Reason) {
        self.count(&format!("retry.{reason}"));
    }

    /// A copy of all current values.
    pub fn snapshot(&self) -> Snapshot {
        self.totals.lock().expect("no holder of the lock panics").clone()
    }
}

fn zero_counters() -> Snapshot {
    let refusals = refusal::Reason::ALL.iter().map(|reason| format!("refusal.{reason}"));
    let retries = retry::Reason::ALL.iter().map(|reason| format!("retry.{reason}"));
    let counters = refusals.chain(retries).map(|name| (name, 0)).collect();
    Snapshot { counters, gauges: BTreeMap::new() }
}

fn unspecified_address(address: SocketAddr) -> std::net::IpAddr {
    match address {
        SocketAddr::V4(_) => std::net::Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => std::net::Ipv6Addr::UNSPECIFIED.into(),
    }
}
