//! What a fleet costs that serves nobody, as slopes.
//!
//! A point that does not come up, or ends past its deadline, is reported as failed, and the others
//! go on; lines are fitted through the points that were measured.
//!
//! Bytes are those of the loopback interface, headers included: peers, platform and targets alike,
//! each packet once. Whatever else sends there meanwhile would be in them, so the interface is
//! watched before a fleet starts and after it ended; where others sent more than a small share, the
//! point has no bytes.

use super::Scenario;
use super::process::{self, Threads};
use super::slope::{self, Line as Fit};
use super::statement::{self, Runtime, start_apart};
use crate::error::{Error, Result};
use crate::output::table;
use crate::system::System;
use serde::Serialize;
use std::fmt::Write;
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts, accounts and groups of a point that varies something else.
const HOSTS: usize = 4;
const ACCOUNTS: usize = 8;
const GROUPS: usize = 3;
/// Time from the start of a fleet to the first reading.
const SETTLE: Duration = Duration::from_secs(2);
/// Time that a fleet may take to serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that the window's changes may take beyond the window.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a fleet may take to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time over which the interface is watched before a fleet starts and after it ended.
const BACKGROUND: Duration = Duration::from_secs(1);
/// Most that others may send, as a share of what the fleet does.
const BACKGROUND_SHARE: f64 = 0.05;

/// One point: a fleet without load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// What is varied: its number.
    pub at: usize,
    /// Processor time of one host, µs a second.
    pub cpu: f64,
    /// Resident memory of the process, bytes.
    pub resident: f64,
    /// Calls of the platform a second by the whole fleet.
    pub platform_calls: f64,
    /// Bytes a second on the loopback interface by one host; none when others sent too.
    pub bytes: Option<f64>,
    /// Bytes a second that others sent on the interface before and after, the higher.
    pub background: f64,
}

/// A point that could not be measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// What is varied: its number.
    pub at: usize,
    /// Why.
    pub reason: String,
}

/// What is varied, its points and their slopes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// What is varied.
    pub varied: &'static str,
    /// Points.
    pub points: Vec<Point>,
    /// Points that could not be measured.
    pub failed: Vec<Failure>,
    /// Processor time of one host, µs a second.
    pub cpu: Fit,
    /// Resident memory of the process, bytes.
    pub resident: Fit,
    /// Calls of the platform a second by the whole fleet.
    pub platform_calls: Fit,
    /// Bytes a second on the loopback interface by one host; none without two points.
    pub bytes: Option<Fit>,
}

/// Size of a fleet, and changes while it is measured.
#[derive(Debug, Clone, Copy)]
struct Size {
    hosts: usize,
    accounts: usize,
    groups: usize,
    changes: usize,
}

/// Measures every line of the scenario.
pub async fn measure(scenario: &Scenario) -> Vec<Line> {
    let size = Size { hosts: HOSTS, accounts: ACCOUNTS, groups: GROUPS, changes: 0 };
    let control = &scenario.control;
    vec![
        line(scenario, "hosts", &control.hosts, |hosts| Size { hosts, ..size }).await,
        line(scenario, "accounts", &control.accounts, |accounts| Size { accounts, ..size }).await,
        line(scenario, "groups", &control.groups, |groups| Size { groups, ..size }).await,
        line(scenario, "changes", &control.changes, |changes| Size { changes, ..size }).await,
    ]
}

async fn line(
    scenario: &Scenario,
    varied: &'static str,
    values: &[usize],
    size: impl Fn(usize) -> Size,
) -> Line {
    let mut points = Vec::new();
    let mut failed = Vec::new();
    for at in values {
        eprintln!("cost: {at} {varied}");
        match point(scenario, *at, size(*at)).await {
            Ok(point) => points.push(point),
            Err(error) => {
                eprintln!("cost: {at} {varied} failed: {error}");
                failed.push(Failure { at: *at, reason: error.to_string() });
            }
        }
    }
    fit(varied, points, failed)
}

/// The lines through `points`.
pub fn fit(varied: &'static str, points: Vec<Point>, failed: Vec<Failure>) -> Line {
    let fit = |value: fn(&Point) -> f64| {
        let points: Vec<_> = points.iter().map(|point| (point.at as f64, value(point))).collect();
        slope::fit(&points)
    };
    let bytes = points.iter().filter_map(|point| Some((point.at as f64, point.bytes?)));
    let bytes: Vec<_> = bytes.collect();
    Line {
        varied,
        cpu: fit(|point| point.cpu),
        resident: fit(|point| point.resident),
        platform_calls: fit(|point| point.platform_calls),
        bytes: (bytes.len() > 1).then(|| slope::fit(&bytes)),
        points,
        failed,
    }
}

async fn point(scenario: &Scenario, at: usize, size: Size) -> Result<Point> {
    let runtime = Runtime::new()?;
    let plan = statement::plan(scenario.seed, size.hosts, size.accounts, size.groups);
    let background = background().await?;
    let (system, others) =
        within(START_TIMEOUT, "the fleet's start", start_apart(plan, &runtime)).await?;
    tokio::time::sleep(SETTLE).await;
    let before = Reading::take(&system, &others)?;
    let begun = Instant::now();
    let window = scenario.control.window;
    let changing = change(&system, size.changes, window);
    within(window + CHANGE_TIMEOUT, "the window's changes", changing).await?;
    let seconds = begun.elapsed().as_secs_f64();
    let after = Reading::take(&system, &others)?;
    let resident = process::resident()? as f64;
    if tokio::time::timeout(STOP_TIMEOUT, system.stop()).await.is_err() {
        eprintln!("cost: hosts still run {STOP_TIMEOUT:?} after they were stopped");
    }
    let hosts = size.hosts as f64;
    let background = background.max(self::background().await?);
    let bytes = after.bytes.saturating_sub(before.bytes) as f64 / seconds;
    Ok(Point {
        at,
        cpu: after.used.saturating_sub(before.used).as_secs_f64() * 1e6 / seconds / hosts,
        resident,
        platform_calls: after.calls.saturating_sub(before.calls) as f64 / seconds,
        bytes: own_bytes(bytes, background).map(|bytes| bytes / hosts),
        background,
    })
}

/// Bytes a second of the fleet, if others sent no more than a small share of them.
pub fn own_bytes(all: f64, background: f64) -> Option<f64> {
    (background <= all * BACKGROUND_SHARE).then_some(all)
}

/// What was used so far.
struct Reading {
    used: Duration,
    calls: u64,
    bytes: u64,
}

impl Reading {
    fn take(system: &System, others: &Threads) -> Result<Reading> {
        let used = process::hosts_used(others)?;
        Ok(Reading { used, calls: calls(system), bytes: process::loopback_bytes()? })
    }
}

async fn background() -> Result<f64> {
    let before = process::loopback_bytes()?;
    tokio::time::sleep(BACKGROUND).await;
    let bytes = process::loopback_bytes()?.saturating_sub(before);
    Ok(bytes as f64 / BACKGROUND.as_secs_f64())
}

/// Waits for `work`; past `timeout` it is an error that names it.
async fn within<T>(
    timeout: Duration,
    what: &str,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    let late = |_| Error::Start(format!("{what} took longer than {timeout:?}"));
    tokio::time::timeout(timeout, work).await.map_err(late)?
}

/// Issues `count` keys over `window`.
async fn change(system: &System, count: usize, window: Duration) -> Result<()> {
    let begun = Instant::now();
    for place in 0..count {
        tokio::time::sleep_until(begun + window * place as u32 / count as u32).await;
        system.operator(0).issue_key("account_0").await?;
    }
    tokio::time::sleep_until(begun + window).await;
    Ok(())
}

fn calls(system: &System) -> u64 {
    let count = system.platform.faults().count();
    count.reads + count.writes
}

/// The lines for people.
pub fn human(lines: &[Line]) -> String {
    let mut rows = Vec::new();
    for line in lines {
        for point in &line.points {
            rows.push(vec![
                format!("{} {}", point.at, line.varied),
                format!("{:.0}", point.cpu),
                format!("{:.1}", point.resident / 1048576.0),
                format!("{:.1}", point.platform_calls),
                point.bytes.map_or("-".to_owned(), |bytes| format!("{bytes:.0}")),
                format!("{:.0}", point.background),
            ]);
        }
        rows.push(vec![
            format!("  each one more of {}", line.varied),
            format!("{:+.1}", line.cpu.slope),
            format!("{:+.3}", line.resident.slope / 1048576.0),
            format!("{:+.2}", line.platform_calls.slope),
            line.bytes.map_or("-".to_owned(), |fit| format!("{:+.1}", fit.slope)),
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
    for failure in unmeasured(lines) {
        let _ = writeln!(out, "not measured: {failure}");
    }
    out
}

/// Points that could not be measured.
pub fn unmeasured(lines: &[Line]) -> Vec<String> {
    let failed = lines.iter().flat_map(|line| {
        line.failed.iter().map(|point| format!("{} {}: {}", point.at, line.varied, point.reason))
    });
    failed.collect()
}
