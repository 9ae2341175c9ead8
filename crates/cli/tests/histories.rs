//! Checkers and measures on recorded histories, one case a file.
//!
//! Each rule has a history that breaks it alone, and one close by that keeps it.

use bergamotvale_cli::bench::check::{self, Findings};
use bergamotvale_cli::bench::history::History;
use bergamotvale_cli::bench::phase::PhaseCounts;
use bergamotvale_cli::bench::{admission, measure};
use bergamotvale_core::refusal::Reason;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Error of sums of floats.
const ROUNDING: f64 = 1e-6;
const ON_TIME: Duration = Duration::from_millis(500);

/// A history and what has to be found in it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    history: History,
    #[serde(default)]
    finds: Findings,
    /// Wrongful refusals by reason.
    #[serde(default)]
    wrongful: BTreeMap<Reason, u64>,
    /// Requests not served well, by cause and phase.
    missed: Option<BTreeMap<measure::Cause, PhaseCounts>>,
    /// Steady share of the worst-served account.
    steady_share: Option<f64>,
    /// Failover gaps, ms.
    #[serde(default)]
    gaps: Vec<Option<f64>>,
    /// Accounts, worst first, with their share.
    shares: Option<Vec<(String, f64)>>,
    /// Share of reads from replicas.
    replica_share: Option<f64>,
    /// Requests above rate and burst, by account.
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
            assert!((seen - excess).abs() < ROUNDING, "{seen} is not {excess}");
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/histories", pattern = r"\.yaml$" },
}
