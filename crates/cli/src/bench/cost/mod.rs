//! What a host costs: per statement, per idle connection, and standing still.
//!
//! Each figure is measured against its own zero in the same run: a statement through a host
//! against the same statement on a direct connection, connections and hosts as slopes. Hosts run
//! on threads of their own names, so that their processor time is told apart from the load's and
//! the stand-ins'; `--external` measures daemons in processes of their own.

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

/// Most hosts in one process.
const MAX_HOSTS: usize = 64;
/// Most idle connections.
const MAX_CONNECTIONS: usize = 8_000;

/// A cost scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Seed of keys.
    pub seed: u64,
    /// Statements, through a host and direct.
    pub statements: Statements,
    /// Numbers of idle connections, from none.
    pub idle_connections: Vec<usize>,
    /// What stands still.
    pub control: Control,
    /// Bounds.
    pub goals: Goals,
}

/// Statements through a host and direct, in turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statements {
    /// Turns.
    pub rounds: usize,
    /// Statements in a turn on either way.
    pub per_round: usize,
}

/// What a fleet without load costs.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Time that each point is measured for.
    #[serde_as(as = "Span")]
    pub window: Duration,
    /// Numbers of hosts.
    pub hosts: Vec<usize>,
    /// Numbers of client accounts.
    pub accounts: Vec<usize>,
    /// Numbers of database groups.
    pub groups: Vec<usize>,
    /// Numbers of configuration changes in a window.
    pub changes: Vec<usize>,
}

/// Bounds of the cost.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goals {
    /// Processor time that a statement costs on top.
    #[serde_as(as = "Span")]
    pub cpu: Duration,
    /// Latency that the median statement takes on top.
    #[serde_as(as = "Span")]
    pub latency: Duration,
    /// Memory of an idle connection.
    #[serde_as(as = "Size")]
    pub connection: usize,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Build profile.
    pub profile: &'static str,
    /// Commit of the working tree, when it is a clone.
    pub commit: Option<String>,
    /// Cost of a statement.
    pub statement: statement::Cost,
    /// Cost of an idle connection.
    pub connection: Option<connection::Cost>,
    /// Cost of standing still.
    pub control: Vec<control::Line>,
    /// Goals that were not kept.
    pub broken: Vec<String>,
}

impl Scenario {
    /// Reads and verifies the scenario in `text`.
    pub fn parse(text: &str) -> std::result::Result<Scenario, String> {
        let scenario: Scenario = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        verify(&scenario)?;
        Ok(scenario)
    }
}

/// Says whether `scenario` can be run.
pub fn verify(scenario: &Scenario) -> std::result::Result<(), String> {
    if scenario.statements.rounds == 0 || scenario.statements.per_round == 0 {
        return Err("statements: rounds and per_round must be above zero".to_owned());
    }
    if scenario.idle_connections.iter().any(|count| *count > MAX_CONNECTIONS) {
        return Err(format!("idle_connections: must be at most {MAX_CONNECTIONS}"));
    }
    if scenario.control.hosts.iter().any(|count| !(1..=MAX_HOSTS).contains(count)) {
        return Err(format!("control.hosts: must be 1 to {MAX_HOSTS}"));
    }
    if scenario.control.window.is_zero() {
        return Err("control.window: must be above zero".to_owned());
    }
    Ok(())
}

/// Runs the scenario in `text`, prints the report and fails when a goal is not kept.
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
        control: Vec<control::Line>,
    ) -> Report {
        Report {
            scenario: scenario.name.clone(),
            profile: if cfg!(debug_assertions) { "debug" } else { "release" },
            commit: crate::bench::report::commit(std::path::Path::new(".")),
            broken: [
                broken(&scenario.goals, &statement, connection.as_ref()),
                control::unmeasured(&control),
            ]
            .concat(),
            statement,
            connection,
            control,
        }
    }
}

/// Goals that were not kept.
pub fn broken(
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

/// The report for people.
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
        true => out.push_str("\nEvery goal is kept.\n"),
        false => {
            let _ = writeln!(out, "\nNot kept: {}", report.broken.join("; "));
        }
    }
    out
}
