//! The report of a load bench: the share of reads from replicas, the failover gaps and the accounts
//! come first, with the worst-served account at the top.

use crate::bench::measure::{self, Measures};
use crate::bench::phase::PhaseCounts;
use crate::bench::scenario::{Goals, Scenario};
use crate::bench::variant::Variant;
use crate::output::table;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Everything that a load bench reports.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Commit that the working directory has checked out; none if it is not a Git working tree.
    pub commit: Option<String>,
    /// Build profile: `debug` or `release`.
    pub profile: &'static str,
    /// Runs of the variants; the first is the scenario's own policy, baselines follow.
    pub runs: Vec<Run>,
    /// Invariants that the first run violated and goals that it did not meet; empty on success.
    pub broken: Vec<String>,
}

/// A variant and its measures.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Name of the variant.
    pub name: &'static str,
    /// Description of the variant.
    pub about: &'static str,
    /// Measures of its run.
    pub measures: Measures,
}

impl Run {
    /// The run of `variant` with its measures.
    pub fn new(variant: Variant, measures: Measures) -> Run {
        Run { name: variant.name, about: variant.about, measures }
    }
}

impl Report {
    /// Builds the report; only the first of `runs` has to meet the scenario's goals.
    pub fn new(scenario: &Scenario, seed: u64, runs: Vec<Run>) -> Report {
        let broken =
            runs.first().map_or_else(Vec::new, |run| violations(&scenario.goals, &run.measures));
        Report {
            scenario: scenario.name.clone(),
            seed,
            commit: commit(Path::new(".")),
            profile: if cfg!(debug_assertions) { "debug" } else { "release" },
            runs,
            broken,
        }
    }
}

/// Describes the invariants that `measures` violate and the goals that they do not meet.
pub fn violations(goals: &Goals, measures: &Measures) -> Vec<String> {
    let counts = measures.findings.counts().into_iter();
    let mut broken: Vec<String> = counts
        .filter(|(_, count)| *count > 0)
        .map(|(rule, count)| format!("{rule}: {count}"))
        .collect();
    if let Some(goal) = goals.gap {
        let goal = goal.as_secs_f64() * 1e3;
        match measure::gap_summary(&measures.gaps) {
            None if measures.gaps.is_empty() => {}
            None => broken.push("a failover gap has no end".to_owned()),
            Some((_, worst)) if worst > goal => {
                broken.push(format!("failover gap {worst:.0} ms is above {goal:.0} ms"));
            }
            Some(_) => {}
        }
    }
    let worst_share = measures.accounts.first().map_or(1.0, |account| account.share);
    if let Some(goal) = goals.worst_share.filter(|goal| worst_share < *goal) {
        broken.push(format!("worst-served account {worst_share:.4} is below {goal:.4}"));
    }
    if let Some(goal) = goals.replica_share.filter(|goal| measures.replica_share < *goal) {
        broken.push(format!("replica share {:.3} is below {goal:.3}", measures.replica_share));
    }
    let wrongful = measures.wrongful.values().sum::<u64>();
    if let Some(goal) = goals.wrongful.filter(|goal| wrongful > *goal) {
        broken.push(format!("wrongful refusals {wrongful} are above {goal}"));
    }
    broken
}

/// The commit that is checked out in `folder`, read from the files of its Git directory or of the
/// one that it links to as a worktree; none if they can't be read.
pub fn commit(folder: &Path) -> Option<String> {
    let git_dir = folder.join(".git");
    let git_dir = match std::fs::read_to_string(&git_dir) {
        Ok(link) => link.trim().strip_prefix("gitdir: ")?.into(),
        Err(_) => git_dir,
    };
    let head = std::fs::read_to_string(git_dir.join("HEAD")).ok()?;
    let Some(name) = head.trim().strip_prefix("ref: ") else { return Some(head.trim().to_owned()) };
    let common =
        std::fs::read_to_string(git_dir.join("commondir")).unwrap_or_else(|_| ".".to_owned());
    let reference = git_dir.join(common.trim()).join(name);
    Some(std::fs::read_to_string(reference).ok()?.trim().to_owned())
}

/// Renders the report as plain text.
pub fn human(report: &Report) -> String {
    let mut out = String::new();
    let commit = report.commit.as_deref().unwrap_or("unknown");
    let _ = writeln!(
        out,
        "scenario {}, seed {}, commit {commit}, {} build",
        report.scenario, report.seed, report.profile
    );
    if let Some(run) = report.runs.first() {
        out.push_str(&render_measures(&run.measures));
    }
    if report.runs.len() > 1 {
        out.push_str("\nBaselines (ratio to bergamotvale):\n");
        out.push_str(&variants_table(&report.runs));
    }
    match report.broken.is_empty() {
        true => out.push_str("\nAll goals are met.\n"),
        false => {
            let _ = writeln!(out, "\nNot met: {}", report.broken.join("; "));
        }
    }
    out
}

fn render_measures(measures: &Measures) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "{} operations, {} answered", measures.offered, measures.answered);
    let shares = [measures.replica_share, measures.aged_replica_share].map(|share| share * 100.0);
    let _ = writeln!(out, "\nReads from replicas: {:.1} %; aged: {:.1} %", shares[0], shares[1]);
    out.push_str(&render_gaps(measures));
    out.push_str("\nAccounts, worst served first:\n");
    out.push_str(&accounts_table(measures));
    out.push_str(
        "\nRequests within the rate that were refused, late or unanswered, by cause and phase:\n",
    );
    out.push_str(&missed_table(&measures.missed));
    out.push_str("\nLatency from the due time, ms:\n");
    out.push_str(&latency_table(measures));
    let _ = writeln!(out, "\nWrites of unknown outcome: {}", measures.unknown);
    out.push_str("Invariant violations (must be 0):\n");
    for (rule, count) in measures.findings.counts() {
        let _ = writeln!(out, "  {count:>6}  {rule}");
    }
    out
}

fn render_gaps(measures: &Measures) -> String {
    let mut out = String::new();
    match measure::gap_summary(&measures.gaps) {
        None if measures.gaps.is_empty() => out.push_str("Failover gap: no primary failed\n"),
        None => out.push_str("Failover gap: at least one did not end\n"),
        Some((median, worst)) => {
            let count = measures.gaps.len();
            let _ = writeln!(
                out,
                "Failover gap: median {median:.0} ms, worst {worst:.0} ms of {count}"
            );
        }
    }
    for gap in &measures.gaps {
        let text = gap.gap_ms.map_or("no end".to_owned(), |gap| format!("{gap:.0} ms"));
        let _ = writeln!(out, "  {:<28} {text}", gap.fault);
    }
    out
}

fn accounts_table(measures: &Measures) -> String {
    let rows: Vec<_> = measures
        .accounts
        .iter()
        .map(|account| {
            vec![
                account.name.clone(),
                format!("{:.2} %", account.share * 100.0),
                format!("{:.2} %", account.steady_share * 100.0),
                account.offered.to_string(),
                account.within.to_string(),
                account.good.to_string(),
                account.wrongful.to_string(),
                format!("{:.1}", account.excess),
                format!("{:.1}", account.p99_ms),
            ]
        })
        .collect();
    let header = [
        "ACCOUNT",
        "SERVED",
        "STEADY",
        "OFFERED",
        "WITHIN",
        "GOOD",
        "WRONGFUL",
        "ABOVE RATE",
        "P99 MS",
    ];
    table(&header, &rows)
}

fn missed_table(causes: &BTreeMap<measure::Cause, PhaseCounts>) -> String {
    let row = |name: &str, count: PhaseCounts| {
        let numbers = [count.steady, count.gap, count.after, count.total()];
        let mut row = vec![name.to_owned()];
        row.extend(numbers.map(|number| number.to_string()));
        row
    };
    let mut sum = PhaseCounts::default();
    causes.values().for_each(|count| sum.merge(*count));
    let mut rows: Vec<_> = causes.iter().map(|(cause, count)| row(cause, *count)).collect();
    rows.push(row("all", sum));
    table(&["CAUSE", "STEADY", "GAP", "AFTER", "ALL"], &rows)
}

fn latency_table(measures: &Measures) -> String {
    let rows: Vec<_> = measures
        .latency
        .iter()
        .map(|(kind, latency)| {
            vec![
                kind.to_string(),
                latency.count.to_string(),
                format!("{:.2}", latency.p50_ms),
                format!("{:.2}", latency.p90_ms),
                format!("{:.2}", latency.p99_ms),
                format!("{:.2}", latency.p999_ms),
                format!("{:.2}", latency.max_ms),
            ]
        })
        .collect();
    table(&["KIND", "COUNT", "P50", "P90", "P99", "P99.9", "MAX"], &rows)
}

/// Figures for the comparison of variants.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Figures {
    /// Share of the answered reads that replicas served.
    pub replica_share: f64,
    /// Longest failover gap, in ms; none if there was no gap or one did not end.
    pub worst_gap_ms: Option<f64>,
    /// Share of the worst-served account; see [`measure::Account::share`].
    pub worst_share: f64,
    /// Number of wrongful refusals and of requests without a response.
    pub wrongful: f64,
    /// Number of invariant violations.
    pub broken: usize,
}

impl Figures {
    /// Extracts the figures from `measures`.
    pub fn new(measures: &Measures) -> Figures {
        let wrongful = measures.wrongful.values().sum::<u64>() + measures.failed;
        Figures {
            replica_share: measures.replica_share,
            worst_gap_ms: measure::gap_summary(&measures.gaps).map(|(_, worst)| worst),
            worst_share: measures.accounts.first().map_or(1.0, |account| account.share),
            wrongful: wrongful as f64,
            broken: measures.findings.counts().iter().map(|(_, count)| count).sum(),
        }
    }
}

fn variants_table(runs: &[Run]) -> String {
    let Some(first) = runs.first() else { return String::new() };
    let base = Figures::new(&first.measures);
    let rows: Vec<_> = runs.iter().map(|run| variant_row(run, base)).collect();
    let header = ["VARIANT", "REPLICA SHARE", "WORST GAP MS", "WORST SERVED", "WRONGFUL", "BROKEN"];
    table(&header, &rows)
}

fn variant_row(run: &Run, base: Figures) -> Vec<String> {
    let figures = Figures::new(&run.measures);
    let gap = match (figures.worst_gap_ms, base.worst_gap_ms) {
        (Some(gap), Some(base)) => format!("{gap:.0} ({})", ratio(gap, base)),
        (Some(gap), None) => format!("{gap:.0}"),
        (None, _) if run.measures.gaps.is_empty() => "-".to_owned(),
        (None, _) => "no end".to_owned(),
    };
    vec![
        run.name.to_owned(),
        format!(
            "{:.3} ({})",
            figures.replica_share,
            ratio(figures.replica_share, base.replica_share)
        ),
        gap,
        format!("{:.4} ({})", figures.worst_share, ratio(figures.worst_share, base.worst_share)),
        format!("{:.0} ({})", figures.wrongful, ratio(figures.wrongful, base.wrongful)),
        figures.broken.to_string(),
    ]
}

/// Formats `value` as a multiple of `base`.
fn ratio(value: f64, base: f64) -> String {
    if base == 0.0 {
        return if value == 0.0 { "1.00x".to_owned() } else { "from 0".to_owned() };
    }
    format!("{:.2}x", value / base)
}
