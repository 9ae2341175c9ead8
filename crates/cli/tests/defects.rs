//! Checks that the invariant checkers detect hosts with deliberate defects, and find nothing on
//! hosts without. A checker that detects nothing would let every load bench pass.

use bergamotvale_cli::bench::check::{self, Findings};
use bergamotvale_cli::bench::run;
use bergamotvale_cli::bench::scenario::Scenario;
use bergamotvale_cli::bench::variant;
use bergamotvale_host::settings::Defect;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::Mutex;

const SEED: u64 = 5;

/// A short scenario of two accounts on one service.
fn scenario(mix: &str, load: u32, faults: &str) -> Scenario {
    let text = format!(
        "
name: defects
seed: {SEED}
duration: 5s
on_time: 500ms
timeout: 1s
places: {{ hosts: 4, failure_domains: 3, between_domains: 4ms, to_clients: 0s }}
services:
  - {{ name: orders, targets: 3, connections: 20, connect: 10ms, lag: 0s }}
accounts:
  - {{ name: looms, rate: 300, burst: 60, weight: 1, load: {load}, sessions: 10, roaming: 0.5 }}
  - {{ name: desk, rate: 60, burst: 60, weight: 1, load: 20, sessions: 2, roaming: 0.5 }}
mix: {mix}
max_age: 1s
faults: {faults}
"
    );
    Scenario::parse(&text).expect("scenario should be valid")
}

/// Runs one system at a time. Several at once starve each other of CPU time, and the requests that
/// would show a violation don't run.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

async fn findings(scenario: &Scenario, defects: &[Defect]) -> Findings {
    let _lock = RUN_LOCK.lock().await;
    let defects = BTreeSet::from_iter(defects.iter().copied());
    let history =
        run::record(scenario, SEED, variant::UNCHANGED, &defects).await.expect("run failed");
    check::check(&history)
}

#[tokio::test(flavor = "multi_thread")]
async fn sound_hosts_break_no_rule() {
    let mix = "{ keyed_write: 40, unkeyed_write: 10, session_read: 30, aged_read: 15, foreign: 5 }";
    let scenario = scenario(mix, 200, "[{ at: 2s, kind: kill, service: orders, lasts: 2s }]");

    let findings = findings(&scenario, &[]).await;

    assert_eq!(findings, Findings::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledgement_without_majority_loses_writes() {
    let mix = "{ keyed_write: 100 }";
    let faults = "[{ at: 2s, kind: partition, service: orders, lasts: 2s }]";
    let scenario = scenario(mix, 150, faults);

    let findings = findings(&scenario, &[Defect::AcknowledgeUnconfirmed]).await;

    assert!(!findings.lost.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_without_token_check_are_stale() {
    let faults = "[{ at: 100ms, kind: lag, service: orders, target: 2, delay: 1s }]";
    let scenario = scenario("{ keyed_write: 50, session_read: 50 }", 150, faults);

    let findings = findings(&scenario, &[Defect::IgnoreToken]).await;

    assert!(!findings.stale_session.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn retried_unkeyed_writes_are_doubled() {
    let faults = "[{ at: 1s, kind: lost_answers, service: orders, lasts: 2s }]";
    let mut scenario = scenario("{ unkeyed_write: 100 }", 20, faults);
    scenario.timeout = Duration::from_secs(3);

    let findings = findings(&scenario, &[Defect::RetryUnkeyed]).await;

    assert!(!findings.duplicated.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn rates_of_each_host_alone_go_above_the_rate() {
    let scenario = scenario("{ aged_read: 100 }", 900, "[]");

    let findings = findings(&scenario, &[Defect::LocalRate]).await;

    assert!(!findings.above_rate.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_with_another_secret_are_refused() {
    let scenario = scenario("{ foreign: 100 }", 150, "[]");

    let findings = findings(&scenario, &[]).await;

    assert_eq!(findings.wrong_account, BTreeSet::new());
}
