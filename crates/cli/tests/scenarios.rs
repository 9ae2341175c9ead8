//! Tests of scenario files: those in `bench/` are valid, and the error for each kind of mistake
//! names the field.

use bergamotvale_cli::bench::scenario::Scenario;
use bergamotvale_cli::bench::{arrival, html, report, variant};
use serde::Deserialize;
use std::path::Path;

/// The valid scenario that each case introduces a mistake into.
const BASE: &str = include_str!("../../../bench/mill.yaml");

/// A mistake: a text of the base scenario, its replacement, and a part of the expected error.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mistake {
    replace: String,
    with: String,
    error: String,
}

fn mistake(path: &Path) -> datatest_stable::Result<()> {
    let case: Mistake = serde_yaml_ng::from_str(&std::fs::read_to_string(path)?)?;
    assert!(BASE.contains(&case.replace), "base scenario does not contain the text to replace");
    let text = BASE.replacen(&case.replace, &case.with, 1);

    let error = Scenario::parse(&text).expect_err("mistake should be rejected");

    assert!(error.contains(&case.error), "{error}");
    Ok(())
}

/// Checks that equal seeds generate equal arrivals, and that each account sends about as many
/// operations as its load states: within six standard deviations.
fn shipped(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    if !text.contains("mix:") {
        return Ok(());
    }
    let scenario = Scenario::parse(&text)?;

    let arrivals = arrival::generate(&scenario, 7);

    assert_eq!(arrivals, arrival::generate(&scenario, 7));
    assert_ne!(arrivals, arrival::generate(&scenario, 8));
    assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    for (index, account) in scenario.accounts.iter().enumerate() {
        let sent = arrivals.iter().filter(|arrival| arrival.account == index).count() as f64;
        let expected = account.load * scenario.duration.as_secs_f64();
        let deviation = (sent - expected).abs() / expected.max(1.0).sqrt();
        assert!(
            deviation < 6.0,
            "account {} sends {sent} operations, expected about {expected}",
            account.name
        );
    }
    assert!(scenario.places.hosts == 1 || arrivals.iter().all(|a| a.host != a.other_host));
    assert_page_is_self_contained(&scenario);
    Ok(())
}

fn assert_page_is_self_contained(scenario: &Scenario) {
    let history = Default::default();
    let measures = bergamotvale_cli::bench::measure::measure(&history, scenario.on_time);
    let runs = vec![report::Run::new(variant::UNCHANGED, measures)];

    let page = html::page(&report::Report::new(scenario, 1, runs));

    assert!(page.contains("<svg"));
    assert!(page.contains("time since the start, s") && page.contains("ms, log scale"));
    assert!(!page.contains("http") && !page.contains("src=") && !page.contains("href="));
}

datatest_stable::harness! {
    { test = mistake, root = "tests/scenarios", pattern = r"\.yaml$" },
    { test = shipped, root = "../../bench", pattern = r"\.yaml$" },
}
