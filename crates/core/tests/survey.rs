//! Cases of the survey, which determines the target that has every acknowledged commit.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::survey::Survey;
use common::case;
use serde::Deserialize;
use std::path::Path;

type Case = case::Case<Given, Event>;

/// A group in term 1.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    sync_replicas: usize,
    replicas: usize,
    #[serde(default)]
    reached: u64,
    named: String,
}

/// A target's answer, or a query of the best target so far.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, tag = "on", rename_all = "snake_case")]
enum Event {
    Stopped { target: String, position: u64 },
    Deposed { target: String, position: u64 },
    Look,
}

fn position(number: u64) -> Position {
    Position { term: 1, number }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let Given { sync_replicas, replicas, reached, named } = &case.given;
    let mut survey = Survey::new(*sync_replicas, *replicas, position(*reached));
    let mut seen = Vec::new();
    for event in &case.events {
        match event {
            Event::Stopped { target, position: at } => survey.record_stopped(target, position(*at)),
            Event::Deposed { target, position: at } => survey.record_deposed(target, position(*at)),
            Event::Look => {
                seen.push(
                    survey.most_advanced(named).cloned().unwrap_or_else(|| "none".to_owned()),
                );
            }
        }
    }
    Ok(seen)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/proxy/survey", pattern = r"\.yaml$" },
}
