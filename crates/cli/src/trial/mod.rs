//! `bergamotvale try`: a walkthrough of a complete system on loopback, with a verdict per step.
//!
//! The sample data is that of a weaving mill: loom stations log bolts of cloth. Each step provokes
//! the fault that it is about, so that it fails if the property that it checks is broken: a read is
//! sent while a replica lags, writes are sent while the primary is partitioned, a withdrawn key is
//! used on connections that were open before, a host drains while its requests run. A step returns
//! what was observed, or the reason why its verdict does not hold.

mod bolt;
mod drain;
mod failover;
mod key;
mod transaction;
mod walkthrough;

use crate::args::Output;
use crate::error::{Error, Result};
use crate::output;
use bergamotvale_host::settings::{Defect, Policy};
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::Write;
use std::time::{Duration, Instant};
use walkthrough::Walkthrough;

/// Seed of the keys and of the hosts' random decisions.
const SEED: u64 = 1;

/// Options of a walkthrough.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Whether to keep the system running until an interrupt, before the step that stops it.
    pub keep: bool,
    /// Deliberate defects of the hosts, with which tests check that steps can fail.
    pub defects: BTreeSet<Defect>,
}

/// Result of a step.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// Name of the step.
    pub step: &'static str,
    /// Whether the checked property holds.
    pub holds: bool,
    /// What was observed, or why the verdict does not hold.
    pub detail: String,
    /// Duration of the step, in milliseconds.
    pub took_ms: u64,
}

/// What a step observed, or why its verdict does not hold.
type Outcome = std::result::Result<String, String>;

/// Collects verdicts and reports each one at once.
struct Verdicts<'a> {
    list: Vec<Verdict>,
    report: &'a mut dyn FnMut(&Verdict),
}

impl Verdicts<'_> {
    fn push(&mut self, step: &'static str, begun: Instant, outcome: Outcome) {
        let holds = outcome.is_ok();
        let detail = outcome.unwrap_or_else(|reason| reason);
        let took_ms = begun.elapsed().as_millis() as u64;
        let verdict = Verdict { step, holds, detail, took_ms };
        (self.report)(&verdict);
        self.list.push(verdict);
    }
}

/// Printed first: the part of the product that the walkthrough covers.
const SCOPE_NOTE: &str =
    "the HTTP interface over PostgreSQL targets; for session hosts see docs/SESSIONS.md";

/// Runs the walkthrough and prints its verdicts. The error names the steps whose verdict does not
/// hold.
pub async fn run(output: Output, keep: bool) -> Result<()> {
    if output == Output::Human {
        println!("{SCOPE_NOTE}");
    }
    let options = Options { keep, ..Options::default() };
    let mut report = |verdict: &Verdict| {
        if output == Output::Human {
            print_verdict(verdict);
        }
    };
    let verdicts = run_steps(&options, &mut report).await?;
    if output == Output::Json {
        output::print(output, verdicts.as_slice(), |_| String::new())?;
    }
    check_verdicts(&verdicts)
}

/// Fails with the names of the steps whose verdict does not hold.
fn check_verdicts(verdicts: &[Verdict]) -> Result<()> {
    let failed: Vec<_> = verdicts.iter().filter(|v| !v.holds).map(|v| v.step).collect();
    if failed.is_empty() {
        return Ok(());
    }
    Err(Error::Verdict(failed.join(", ")))
}

fn print_verdict(verdict: &Verdict) {
    let mark = if verdict.holds { "holds" } else { "FAILS" };
    let seconds = Duration::from_millis(verdict.took_ms).as_secs_f64();
    println!("{mark}  {:<14} {seconds:>6.2} s  {}", verdict.step, verdict.detail);
    // If the flush fails, the exit status still reports the verdict.
    let _ = std::io::stdout().flush();
}

/// Starts the system and runs all steps; calls `report` after each step and returns all verdicts.
pub async fn run_steps(
    options: &Options,
    report: &mut (dyn FnMut(&Verdict) + Send),
) -> Result<Vec<Verdict>> {
    let mut verdicts = Verdicts { list: Vec::new(), report };
    let begun = Instant::now();
    let policy = Policy { seed: SEED, defects: options.defects.clone(), ..Policy::default() };
    let mut walkthrough = Walkthrough::start(policy, SEED).await?;
    let detail = "platform, 2 services of 3 targets, 4 hosts serve".to_owned();
    verdicts.push("start", begun, Ok(detail));

    let begun = Instant::now();
    let outcome = bolt::log(&mut walkthrough).await;
    verdicts.push("log", begun, outcome);

    let begun = Instant::now();
    let outcome = bolt::read_elsewhere(&mut walkthrough).await;
    verdicts.push("read elsewhere", begun, outcome);

    let begun = Instant::now();
    let outcome = bolt::repeat(&mut walkthrough).await;
    verdicts.push("repeat", begun, outcome);

    let begun = Instant::now();
    let outcome = failover::kill_primary(&mut walkthrough).await;
    verdicts.push("kill primary", begun, outcome);

    let begun = Instant::now();
    let outcome = failover::fence(&mut walkthrough).await;
    verdicts.push("fence", begun, outcome);

    let begun = Instant::now();
    let outcome = transaction::commit_elsewhere(&mut walkthrough).await;
    verdicts.push("transaction", begun, outcome);

    let begun = Instant::now();
    let outcome = key::withdraw(&mut walkthrough).await;
    verdicts.push("withdraw key", begun, outcome);

    let begun = Instant::now();
    let outcome = drain::drain_host(&mut walkthrough).await;
    verdicts.push("drain host", begun, outcome);

    let begun = Instant::now();
    let outcome = walkthrough.check_rows().await;
    verdicts.push("account", begun, outcome);

    if options.keep {
        walkthrough.wait_for_interrupt().await?;
    }
    let begun = Instant::now();
    let outcome = walkthrough.stop().await;
    verdicts.push("stop", begun, outcome);
    Ok(verdicts.list)
}
