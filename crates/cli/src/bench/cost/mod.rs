//! Measures the cost of a host: per statement, per idle connection, and of a fleet without load.
//!
//! Each figure is relative to a baseline from the same run: statements through a host are compared
//! with the same statements on a direct connection, and the costs of connections and fleets are
//! slopes over their number. Hosts run on threads with names of their own, so that their CPU time
//! can be separated from that of the load and the stand-ins. `--external` measures a daemon in a
//! process of its own instead.

pub mod connection;
pub mod control;
pub mod external;
pub mod process;
pub mod slope;
pub mod statement;

use crate::args::{Bench, Output};
use crate::error::{Error, Result};
use crate::output;
use bergamotvale_host::unit::{Size, Span};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::fmt::Write;
use std::time::Duration;

/// Maximum number of hosts, since all run in one process.
const MAX_HOSTS: usize = 64;
const MAX_IDLE_CONNECTIONS: usize = 8_000;

/// A cost scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Seed of the system, from which its keys are generated.
    pub seed: u64,
    /// Number of statements to measure.
    pub statements: Statements,
    /// Numbers of idle connections to measure, in increasing order; the first is usually 0.
    pub idle_connections: Vec<usize>,
    /// Fleets without load to measure.
    pub control: Control,
    /// Bounds that the measured costs must meet.
    pub goals: Goals,
}

/// Numbers of statements, which are sent through a host and directly in alternation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statements {
    /// Number of alternations.
    pub rounds: usize,
    /// Statements of one alternation on each of the two paths.
    pub per_round: usize,
}

/// Fleets without load; each list is the values of one number, while the others stay fixed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Duration of the measurement of each point.
    #[serde_as(as = "Span")]
    pub window: Duration,
    /// Numbers of hosts.
    pub hosts: Vec<usize>,
    /// Numbers of client accounts.
    pub accounts: Vec<usize>,
    /// Numbers of database groups.
    pub groups: Vec<usize>,
    /// Numbers of configuration changes within a window.
    pub changes: Vec<usize>,
}

/// Upper bounds of the measured costs.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goals {
    /// CPU time of the host per statement.
    #[serde_as(as = "Span")]
    pub cpu: Duration,
    /// Latency that the host adds to the median.
    #[serde_as(as = "Span")]
    pub latency: Duration,
    /// Memory of an idle connection, both ends together.
    #[serde_as(as = "Size")]
    pub connection: usize,
}

/// The measured costs.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Build profile: `debug` or `release`.
    pub profile: &'static str,
    /// Commit that the working directory has checked out; none if it is not a Git working tree.
    pub commit: Option<String>,
    /// Cost of a statement.
    pub statement: statement::Cost,
    /// Cost of an idle connection; none for an external daemon.
    pub connection: Option<connection::Cost>,
    /// Cost of fleets without load; empty for an external daemon.
    pub control: Vec<control::Sweep>,
    /// Goals that were not met and points that could not be measured; empty on success.
    pub broken: Vec<String>,
}

impl Scenario {
    /// Parses and verifies a scenario; the error names the field or the line.
    pub fn parse(text: &str) -> std::result::Result<Scenario, String> {
        let scenario: Scenario = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        verify(&scenario)?;
        Ok(scenario)
    }
}

/// Verifies that `scenario` can be run; the error names the offending field.
pub fn verify(scenario: &Scenario) -> std::result::Result<(), String> {
    if scenario.statements.rounds == 0 || scenario.statements.per_round == 0 {
        return Err("statements: rounds and per_round must be above zero".to_owned());
    }
    if scenario.idle_connections.iter().any(|count| *count > MAX_IDLE_CONNECTIONS) {
        return Err(format!("idle_connections: must be at most {MAX_IDLE_CONNECTIONS}"));
    }
    if scenario.control.hosts.iter().any(|count| !(1..=MAX_HOSTS).contains(count)) {
        return Err(format!("control.hosts: must be 1 to {MAX_HOSTS}"));
    }
    if scenario.control.window.is_zero() {
        return Err("control.window: must be above zero".to_owned());
    }
    Ok(())
}

/// Runs the cost scenario in `text` and prints the report. Fails when a goal is not met or a point
/// could not be measured.
pub async fn run(text: &str, bench: &Bench, output: Output) -> Result<()> {
    let scenario = Scenario::parse(text).map_err(Error::Usage)?;
    let report = match &bench.external {
        Some(folder) => {
            let statement = external::measure(&scenario, folder).await?;
            Report::new(&scenario, statement, None, Vec::new())
        }
        None => {
            let statement = statement::measure(&scenario).await?;
            let connection = connection::measure(&scenario).await?;
            let control = control::measure(&scenario).await;
            Report::new(&scenario, statement, Some(connection), control)
        }
    };
    output::print(output, &report, human)?;
    if let Some(path) = &bench.json {
        std::fs::write(path, output::json(&report)?)?;
    }
    match report.broken.is_empty() {
        true => Ok(()),
        false => Err(Error::Verdict(report.broken.join("; "))),
    }
}

impl Report {
    fn new(
        scenario: &Scenario,
        statement: statement::Cost,
        connection: Option<connection::Cost>,
        control: Vec<control::Sweep>,
    ) -> Report {
        Report {
            scenario: scenario.name.clone(),
            profile: if cfg!(debug_assertions) { "debug" } else { "release" },
            commit: crate::bench::report::commit(std::path::Path::new(".")),
            broken: [
                broken_goals(&scenario.goals, &statement, connection.as_ref()),
                control::unmeasured(&control),
            ]
            .concat(),
            statement,
            connection,
            control,
        }
    }
}

/// Describes the goals that the costs do not meet.
pub fn broken_goals(
    goals: &Goals,
    statement: &statement::Cost,
    connection: Option<&connection::Cost>,
) -> Vec<String> {
    let mut broken = Vec::new();
    let (cpu, goal) = (statement.cpu_micros, goals.cpu.as_secs_f64() * 1e6);
    if cpu > goal {
        broken.push(format!("{cpu:.1} us of processor time a statement are above {goal:.0} us"));
    }
    let (latency, goal) = (statement.added_micros, goals.latency.as_secs_f64() * 1e6);
    if latency > goal {
        broken.push(format!("{latency:.0} us added at the median are above {goal:.0} us"));
    }
    if let Some(connection) = connection {
        let (bytes, goal) = (connection.bytes, goals.connection as f64);
        if bytes > goal {
            broken.push(format!("{bytes:.0} bytes an idle connection are above {goal:.0}"));
        }
    }
    broken
}

/// Renders the report as plain text.
pub fn human(report: &Report) -> String {
    let mut out = String::new();
    let commit = report.commit.as_deref().unwrap_or("unknown");
    let _ =
        writeln!(out, "scenario {}, commit {commit}, {} build\n", report.scenario, report.profile);
    out.push_str(&statement::human(&report.statement));
    if let Some(connection) = &report.connection {
        out.push_str(&connection::human(connection));
    }
    if !report.control.is_empty() {
        out.push_str(&control::human(&report.control));
    }
    match report.broken.is_empty() {
        true => out.push_str("\nAll goals are met.\n"),
        false => {
            let _ = writeln!(out, "\nNot met: {}", report.broken.join("; "));
        }
    }
    out
}
