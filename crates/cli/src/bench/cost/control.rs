//! Measures the cost of a fleet without load, as slopes over its size and its configuration
//! changes.
//!
//! A point whose fleet does not start or that misses a deadline is reported as failed, and the
//! others are still measured; lines are fitted to the measured points.
//!
//! Bytes are those of the loopback interface, headers included: the traffic with peers, platform
//! and targets, each packet counted once. Other processes' traffic on the interface would be
//! included, so it is measured before a fleet starts and after it has stopped. If it exceeds a
//! small share of the total, the point has no value for bytes.

use super::Scenario;
use super::process::{self, Threads};
use super::slope::{self, Line as Fit};
use super::statement::{self, HostRuntime, start_on_runtime};
use crate::error::{Error, Result};
use crate::output::table;
use crate::system::System;
use serde::Serialize;
use std::fmt::Write;
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Number of hosts where another number is varied; likewise for accounts and groups.
const DEFAULT_HOSTS: usize = 4;
const DEFAULT_ACCOUNTS: usize = 8;
const DEFAULT_GROUPS: usize = 3;
/// Time between the start of a fleet and the first reading.
const SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Time allowed for a fleet to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time allowed beyond the window for the configuration changes made in it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which background traffic is measured before a fleet starts and after it has stopped.
const BACKGROUND_WINDOW: Duration = Duration::from_secs(1);
/// Maximum background traffic, as a share of all traffic while the fleet runs.
const MAX_BACKGROUND_SHARE: f64 = 0.05;

/// The measurement of one fleet without load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Value of the varied number.
    pub at: usize,
    /// CPU time of one host, in µs per second.
    pub cpu: f64,
    /// Resident memory of the process, in bytes.
    pub resident: f64,
    /// Calls to the platform per second by the whole fleet.
    pub platform_calls: f64,
    /// Bytes per second on the loopback interface by one host; none if background traffic was too
    /// high.
    pub bytes: Option<f64>,
    /// Background traffic on the interface in bytes per second; the higher of the values before and
    /// after.
    pub background: f64,
}

/// A point that could not be measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Value of the varied number.
    pub at: usize,
    /// Error that ended the measurement.
    pub reason: String,
}

/// Points over the values of one varied number, with the lines fitted to them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Sweep {
    /// Name of the varied number, such as `hosts`.
    pub varied: &'static str,
    /// Points that were measured.
    pub points: Vec<Point>,
    /// Points that could not be measured.
    pub failed: Vec<Failure>,
    /// CPU time of one host, in µs per second.
    pub cpu: Fit,
    /// Resident memory of the process, in bytes.
    pub resident: Fit,
    /// Calls to the platform per second by the whole fleet.
    pub platform_calls: Fit,
    /// Bytes per second on the loopback interface by one host; none with fewer than two points that
    /// have bytes.
    pub bytes: Option<Fit>,
}

/// Size of a fleet, and the number of configuration changes while it is measured.
#[derive(Debug, Clone, Copy)]
struct Size {
    hosts: usize,
    accounts: usize,
    groups: usize,
    changes: usize,
}

/// Measures the scenario's values of each varied number; points that fail are in the results.
pub async fn measure(scenario: &Scenario) -> Vec<Sweep> {
    let size = Size {
        hosts: DEFAULT_HOSTS,
        accounts: DEFAULT_ACCOUNTS,
        groups: DEFAULT_GROUPS,
        changes: 0,
    };
    let control = &scenario.control;
    vec![
        measure_sweep(scenario, "hosts", &control.hosts, |hosts| Size { hosts, ..size }).await,
        measure_sweep(scenario, "accounts", &control.accounts, |accounts| Size {
            accounts,
            ..size
        })
        .await,
        measure_sweep(scenario, "groups", &control.groups, |groups| Size { groups, ..size }).await,
        measure_sweep(scenario, "changes", &control.changes, |changes| Size { changes, ..size })
            .await,
    ]
}

async fn measure_sweep(
    scenario: &Scenario,
    varied: &'static str,
    values: &[usize],
    size: impl Fn(usize) -> Size,
) -> Sweep {
    let mut points = Vec::new();
    let mut failed = Vec::new();
    for at in values {
        eprintln!("cost: {at} {varied}");
        match measure_point(scenario, *at, size(*at)).await {
            Ok(point) => points.push(point),
            Err(error) => {
                eprintln!("cost: {at} {varied} failed: {error}");
                failed.push(Failure { at: *at, reason: error.to_string() });
            }
        }
    }
    fit(varied, points, failed)
}

/// Fits lines to `points`.
pub fn fit(varied: &'static str, points: Vec<Point>, failed: Vec<Failure>) -> Sweep {
    let fit = |value: fn(&Point) -> f64| {
        let points: Vec<_> = points.iter().map(|point| (point.at as f64, value(point))).collect();
        slope::fit(&points)
    };
    let bytes = points.iter().filter_map(|point| Some((point.at as f64, point.bytes?)));
    let bytes: Vec<_> = bytes.collect();
    Sweep {
        varied,
        cpu: fit(|point| point.cpu),
        resident: fit(|point| point.resident),
        platform_calls: fit(|point| point.platform_calls),
        bytes: (bytes.len() > 1).then(|| slope::fit(&bytes)),
        points,
        failed,
    }
}

async fn measure_point(scenario: &Scenario, at: usize, size: Size) -> Result<Point> {
    let runtime = HostRuntime::new()?;
    let spec = statement::spec(scenario.seed, size.hosts, size.accounts, size.groups);
    let background = measure_background().await?;
    let (system, others) =
        with_timeout(START_TIMEOUT, "the fleet's start", start_on_runtime(spec, &runtime)).await?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let before = Reading::take(&system, &others)?;
    let begun = Instant::now();
    let window = scenario.control.window;
    let changing = issue_keys(&system, size.changes, window);
    with_timeout(window + CHANGE_TIMEOUT, "the window's changes", changing).await?;
    let seconds = begun.elapsed().as_secs_f64();
    let after = Reading::take(&system, &others)?;
    let resident = process::resident_bytes()? as f64;
    if tokio::time::timeout(STOP_TIMEOUT, system.stop()).await.is_err() {
        eprintln!("cost: hosts did not stop within {STOP_TIMEOUT:?}; continuing");
    }
    let hosts = size.hosts as f64;
    let background = background.max(self::measure_background().await?);
    let bytes = after.bytes.saturating_sub(before.bytes) as f64 / seconds;
    Ok(Point {
        at,
        cpu: after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64() * 1e6 / seconds / hosts,
        resident,
        platform_calls: after.platform_calls.saturating_sub(before.platform_calls) as f64 / seconds,
        bytes: fleet_bytes(bytes, background).map(|bytes| bytes / hosts),
        background,
    })
}

/// `all` bytes per second as those of the fleet; none if `background` exceeds the allowed share.
pub fn fleet_bytes(all: f64, background: f64) -> Option<f64> {
    (background <= all * MAX_BACKGROUND_SHARE).then_some(all)
}

/// Cumulative counters at one time.
struct Reading {
    cpu_time: Duration,
    platform_calls: u64,
    bytes: u64,
}

impl Reading {
    fn take(system: &System, others: &Threads) -> Result<Reading> {
        let cpu_time = process::hosts_cpu_time(others)?;
        Ok(Reading {
            cpu_time,
            platform_calls: platform_calls(system),
            bytes: process::loopback_bytes()?,
        })
    }
}

async fn measure_background() -> Result<f64> {
    let before = process::loopback_bytes()?;
    tokio::time::sleep(BACKGROUND_WINDOW).await;
    let bytes = process::loopback_bytes()?.saturating_sub(before);
    Ok(bytes as f64 / BACKGROUND_WINDOW.as_secs_f64())
}

/// Waits for `work`; fails with an error that names `what` after `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    what: &str,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    let timeout_error = |_| Error::Start(format!("{what} took longer than {timeout:?}"));
    tokio::time::timeout(timeout, work).await.map_err(timeout_error)?
}

/// Issues `count` keys, spread evenly over `window`, and returns at its end.
async fn issue_keys(system: &System, count: usize, window: Duration) -> Result<()> {
    let begun = Instant::now();
    for index in 0..count {
        tokio::time::sleep_until(begun + window * index as u32 / count as u32).await;
        system.operator(0).issue_key("account_0").await?;
    }
    tokio::time::sleep_until(begun + window).await;
    Ok(())
}

fn platform_calls(system: &System) -> u64 {
    let count = system.platform.faults().count();
    count.reads + count.writes
}

/// Renders the measurements as plain text.
pub fn human(sweeps: &[Sweep]) -> String {
    let mut rows = Vec::new();
    for sweep in sweeps {
        for point in &sweep.points {
            rows.push(vec![
                format!("{} {}", point.at, sweep.varied),
                format!("{:.0}", point.cpu),
                format!("{:.1}", point.resident / 1048576.0),
                format!("{:.1}", point.platform_calls),
                point.bytes.map_or("-".to_owned(), |bytes| format!("{bytes:.0}")),
                format!("{:.0}", point.background),
            ]);
        }
        rows.push(vec![
            format!("  slope over {}", sweep.varied),
            format!("{:+.1}", sweep.cpu.slope),
            format!("{:+.3}", sweep.resident.slope / 1048576.0),
            format!("{:+.2}", sweep.platform_calls.slope),
            sweep.bytes.map_or("-".to_owned(), |fit| format!("{:+.1}", fit.slope)),
            String::new(),
        ]);
    }
    let header = [
        "WITHOUT LOAD",
        "CPU US/S A HOST",
        "MIB, WHOLE PROCESS",
        "PLATFORM CALLS/S",
        "BYTES/S A HOST",
        "OTHERS' BYTES/S",
    ];
    let mut out = table(&header, &rows);
    for failure in unmeasured(sweeps) {
        let _ = writeln!(out, "not measured: {failure}");
    }
    out
}

/// Describes the points that could not be measured.
pub fn unmeasured(sweeps: &[Sweep]) -> Vec<String> {
    let failed = sweeps.iter().flat_map(|sweep| {
        sweep.failed.iter().map(|point| format!("{} {}: {}", point.at, sweep.varied, point.reason))
    });
    failed.collect()
}
