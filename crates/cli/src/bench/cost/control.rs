//! What a fleet costs that serves nobody, as slopes.

use super::Scenario;
use super::process;
use super::slope::{self, Line as Fit};
use super::statement::{self, Runtime, start_apart};
use crate::error::Result;
use crate::output::table;
use crate::system::System;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts, accounts and groups of a point that varies something else.
const HOSTS: usize = 4;
const ACCOUNTS: usize = 8;
const GROUPS: usize = 3;
/// Time from the start of a fleet to the first reading.
const SETTLE: Duration = Duration::from_secs(2);

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
}

/// What is varied, its points and their slopes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// What is varied.
    pub varied: &'static str,
    /// Points.
    pub points: Vec<Point>,
    /// Processor time of one host, µs a second.
    pub cpu: Fit,
    /// Resident memory of the process, bytes.
    pub resident: Fit,
    /// Calls of the platform a second by the whole fleet.
    pub platform_calls: Fit,
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
pub async fn measure(scenario: &Scenario) -> Result<Vec<Line>> {
    let size = Size { hosts: HOSTS, accounts: ACCOUNTS, groups: GROUPS, changes: 0 };
    let control = &scenario.control;
    Ok(vec![
        line(scenario, "hosts", &control.hosts, |hosts| Size { hosts, ..size }).await?,
        line(scenario, "accounts", &control.accounts, |accounts| Size { accounts, ..size }).await?,
        line(scenario, "groups", &control.groups, |groups| Size { groups, ..size }).await?,
        line(scenario, "changes", &control.changes, |changes| Size { changes, ..size }).await?,
    ])
}

async fn line(
    scenario: &Scenario,
    varied: &'static str,
    values: &[usize],
    size: impl Fn(usize) -> Size,
) -> Result<Line> {
    let mut points = Vec::new();
    for at in values {
        eprintln!("cost: {at} {varied}");
        points.push(point(scenario, *at, size(*at)).await?);
    }
    let fit = |value: fn(&Point) -> f64| {
        let points: Vec<_> = points.iter().map(|point| (point.at as f64, value(point))).collect();
        slope::fit(&points)
    };
    Ok(Line {
        varied,
        cpu: fit(|point| point.cpu),
        resident: fit(|point| point.resident),
        platform_calls: fit(|point| point.platform_calls),
        points,
    })
}

async fn point(scenario: &Scenario, at: usize, size: Size) -> Result<Point> {
    let runtime = Runtime::new()?;
    let plan = statement::plan(scenario.seed, size.hosts, size.accounts, size.groups);
    let (system, others) = start_apart(plan, &runtime).await?;
    tokio::time::sleep(SETTLE).await;
    let calls_before = calls(&system);
    let used_before = process::hosts_used(&others)?;
    let begun = Instant::now();
    change(&system, size.changes, scenario.control.window).await?;
    let seconds = begun.elapsed().as_secs_f64();
    let used = process::hosts_used(&others)?.saturating_sub(used_before);
    let point = Point {
        at,
        cpu: used.as_secs_f64() * 1e6 / seconds / size.hosts as f64,
        resident: process::resident()? as f64,
        platform_calls: (calls(&system) - calls_before) as f64 / seconds,
    };
    system.stop().await;
    Ok(point)
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
            ]);
        }
        rows.push(vec![
            format!("  each one more of {}", line.varied),
            format!("{:+.1}", line.cpu.slope),
            format!("{:+.3}", line.resident.slope / 1048576.0),
            format!("{:+.2}", line.platform_calls.slope),
        ]);
    }
    let header = ["WITHOUT LOAD", "CPU US/S A HOST", "MIB, WHOLE PROCESS", "PLATFORM CALLS/S"];
    table(&header, &rows)
}
