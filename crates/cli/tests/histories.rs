//! Runs the checkers and measures on recorded histories, one case per file.
//!
//! Each rule has a history that violates only this rule, and a similar one that satisfies it, so a
//! checker that is too lax or too strict is noticed.

use bergamotvale_cli::bench::check::{self, Findings};
use bergamotvale_cli::bench::history::History;
use bergamotvale_cli::bench::phase::PhaseCounts;
use bergamotvale_cli::bench::{admission, measure};
use bergamotvale_core::refusal::Reason;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Tolerance for rounding errors of sums.
const ROUNDING: f64 = 1e-6;
const ON_TIME: Duration = Duration::from_millis(500);

/// A history and the expected results.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    history: History,
    #[serde(default)]
    finds: Findings,
    /// Wrongful refusals by reason.
    #[serde(default)]
    wrongful: BTreeMap<Reason, u64>,
    /// Requests within the rate that were refused, late or unanswered, by cause and phase.
    missed: Option<BTreeMap<measure::Cause, PhaseCounts>>,
    /// Steady share of the worst-served account.
    steady_share: Option<f64>,
    /// Failover gaps, in ms; null for one that does not end.
    #[serde(default)]
    gaps: Vec<Option<f64>>,
    /// Accounts with their share, the worst-served first.
    shares: Option<Vec<(String, f64)>>,
    /// Share of the answered reads that replicas served.
    replica_share: Option<f64>,
    /// Largest number of requests above rate and burst in any window, by account.
    excess: Option<Vec<f64>>,
}

fn case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_yaml_ng::from_str(&std::fs::read_to_string(path)?)?;

    let findings = check::check(&case.history);
    let measures = measure::measure(&case.history, ON_TIME);

    assert_eq!(findings, case.finds);
    assert_eq!(measures.findings, case.finds);
    assert_eq!(measures.wrongful, case.wrongful);
    let gaps: Vec<_> = measures.gaps.iter().map(|gap| gap.gap_ms).collect();
    assert_eq!(gaps, case.gaps);
    if let Some(missed) = case.missed {
        assert_eq!(measures.missed, missed);
    }
    if let Some(share) = case.steady_share {
        assert_eq!(measures.accounts[0].steady_share, share);
    }
    if let Some(shares) = case.shares {
        let seen: Vec<_> = measures.accounts.iter().map(|a| (a.name.clone(), a.share)).collect();
        assert_eq!(seen, shares);
    }
    if let Some(share) = case.replica_share {
        assert_eq!(measures.replica_share, share);
    }
    if let Some(excess) = case.excess {
        let accounts = case.history.accounts.iter().enumerate();
        let seen: Vec<_> = accounts
            .map(|(index, account)| {
                let intervals = admission::admitted(&case.history, index);
                admission::excess(&intervals, account.rate, account.burst)
            })
            .collect();
        assert_eq!(seen.len(), excess.len());
        for (seen, excess) in seen.iter().zip(&excess) {
            assert!((seen - excess).abs() < ROUNDING, "excess is {seen}, expected {excess}");
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/histories", pattern = r"\.yaml$" },
}
