//! `bergamotvale try`: a whole system on loopback, and the mill's story with verdicts.
//!
//! Each step provokes the fault that it is about, so that it fails when the rule behind it is
//! broken: a read is asked for while a replica lags, writes are offered while the primary is cut
//! off, a withdrawn key is used on connections that were open before, a host drains while its
//! requests run. A step answers with what was seen, or with why its verdict does not hold.

mod bolt;
mod drain;
mod failover;
mod key;
mod story;
mod transaction;

use crate::args::Output;
use crate::error::{Error, Result};
use crate::output;
use bergamotvale_host::settings::{Defect, Policy};
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::Write;
use std::time::{Duration, Instant};
use story::Story;

/// Seed of keys and decisions.
const SEED: u64 = 1;

/// How to run the story.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Whether to leave the system up until it is interrupted.
    pub keep: bool,
    /// Deliberate defects of the hosts, for showing that steps can fail.
    pub defects: BTreeSet<Defect>,
}

/// How a step went.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// Its name.
    pub step: &'static str,
    /// Whether it holds.
    pub holds: bool,
    /// What was seen, or why it does not hold.
    pub detail: String,
    /// Time that it took, ms.
    pub took_ms: u64,
}

/// What a step saw, or why its verdict does not hold.
type Outcome = std::result::Result<String, String>;

/// Verdicts as they come.
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

/// Which face of the product the story shows.
const SHOWN: &str =
    "the HTTP interface over PostgreSQL targets; for session hosts see docs/SESSIONS.md";

/// Runs the story and prints its verdicts; fails naming the steps whose verdict does not hold.
pub async fn run(output: Output, keep: bool) -> Result<()> {
    if output == Output::Human {
        println!("{SHOWN}");
    }
    let options = Options { keep, ..Options::default() };
    let mut report = |verdict: &Verdict| {
        if output == Output::Human {
            print(verdict);
        }
    };
    let verdicts = tell(&options, &mut report).await?;
    if output == Output::Json {
        output::print(output, verdicts.as_slice(), |_| String::new())?;
    }
    conclude(&verdicts)
}

/// An error that names the steps whose verdict does not hold.
fn conclude(verdicts: &[Verdict]) -> Result<()> {
    let failed: Vec<_> = verdicts.iter().filter(|v| !v.holds).map(|v| v.step).collect();
    if failed.is_empty() {
        return Ok(());
    }
    Err(Error::Verdict(failed.join(", ")))
}

fn print(verdict: &Verdict) {
    let mark = if verdict.holds { "holds" } else { "FAILS" };
    let seconds = Duration::from_millis(verdict.took_ms).as_secs_f64();
    println!("{mark}  {:<14} {seconds:>6.2} s  {}", verdict.step, verdict.detail);
    // A verdict that can't be shown is shown again by the exit status.
    let _ = std::io::stdout().flush();
}

/// Runs the story; reports each verdict as it comes and answers with all of them.
pub async fn tell(
    options: &Options,
    report: &mut (dyn FnMut(&Verdict) + Send),
) -> Result<Vec<Verdict>> {
    let mut verdicts = Verdicts { list: Vec::new(), report };
    let begun = Instant::now();
    let policy = Policy { seed: SEED, defects: options.defects.clone(), ..Policy::default() };
    let mut story = Story::start(policy, SEED).await?;
    let detail = "platform, 2 services of 3 targets, 4 hosts serve".to_owned();
    verdicts.push("start", begun, Ok(detail));

    let begun = Instant::now();
    let outcome = bolt::log(&mut story).await;
    verdicts.push("log", begun, outcome);

    let begun = Instant::now();
    let outcome = bolt::read_elsewhere(&mut story).await;
    verdicts.push("read elsewhere", begun, outcome);

    let begun = Instant::now();
    let outcome = bolt::repeat(&mut story).await;
    verdicts.push("repeat", begun, outcome);

    let begun = Instant::now();
    let outcome = failover::kill_primary(&mut story).await;
    verdicts.push("kill primary", begun, outcome);

    let begun = Instant::now();
    let outcome = failover::fence(&mut story).await;
    verdicts.push("fence", begun, outcome);

    let begun = Instant::now();
    let outcome = transaction::commit_elsewhere(&mut story).await;
    verdicts.push("transaction", begun, outcome);

    let begun = Instant::now();
    let outcome = key::withdraw(&mut story).await;
    verdicts.push("withdraw key", begun, outcome);

    let begun = Instant::now();
    let outcome = drain::host(&mut story).await;
    verdicts.push("drain host", begun, outcome);

    let begun = Instant::now();
    let outcome = story.account_for_bolts().await;
    verdicts.push("account", begun, outcome);

    if options.keep {
        story.keep().await?;
    }
    let begun = Instant::now();
    let outcome = story.stop().await;
    verdicts.push("stop", begun, outcome);
    Ok(verdicts.list)
}
