//! Timelines of requests from logs, one case per file: which lines of which hosts are selected.

use bergamotvale_cli::explain::{Line, render, timeline};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Logs, a request, and its expected timeline.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    request: String,
    /// Log lines by host.
    logs: BTreeMap<String, Vec<String>>,
    /// Lines that are printed.
    expect: Vec<String>,
}

fn case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_yaml_ng::from_str(&std::fs::read_to_string(path)?)?;
    let lines: Vec<Line> = case
        .logs
        .iter()
        .flat_map(|(host, lines)| lines.iter().filter_map(|line| Line::parse(line, Some(host))))
        .collect();

    let rendered = render(&timeline(&case.request, &lines));

    assert_eq!(rendered.lines().collect::<Vec<_>>(), case.expect);
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/explain", pattern = r"\.yaml$" },
}
