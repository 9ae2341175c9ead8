//! Walkthrough of `try`: all verdicts hold, and each deliberate defect of the hosts fails the step
//! that checks for it.

use bergamotvale_cli::trial::{self, Options, Verdict};
use bergamotvale_host::settings::Defect;
use std::collections::BTreeSet;
use tokio::sync::Mutex;

/// Serializes the tests: several systems at once would starve each other.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

async fn run_walkthrough(defects: &[Defect]) -> Vec<Verdict> {
    let _lock = RUN_LOCK.lock().await;
    let options = Options { keep: false, defects: BTreeSet::from_iter(defects.iter().copied()) };
    let mut print = |verdict: &Verdict| println!("{verdict:?}");
    trial::run_steps(&options, &mut print).await.expect("the system starts")
}

fn failed(verdicts: &[Verdict]) -> Vec<&'static str> {
    verdicts.iter().filter(|verdict| !verdict.holds).map(|verdict| verdict.step).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_verdict_holds() {
    let verdicts = run_walkthrough(&[]).await;

    assert_eq!(failed(&verdicts), Vec::<&str>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledgement_without_majority_fails_log() {
    let verdicts = run_walkthrough(&[Defect::AcknowledgeUnconfirmed]).await;

    assert!(failed(&verdicts).contains(&"log"), "{verdicts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn read_without_token_check_fails_read_elsewhere() {
    let verdicts = run_walkthrough(&[Defect::IgnoreToken]).await;

    assert!(failed(&verdicts).contains(&"read elsewhere"), "{verdicts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_without_fence_fails_fence() {
    let verdicts = run_walkthrough(&[Defect::SkipFence]).await;

    assert!(failed(&verdicts).contains(&"fence"), "{verdicts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_that_works_fails_withdraw_key() {
    let verdicts = run_walkthrough(&[Defect::IgnoreWithdrawal]).await;

    assert!(failed(&verdicts).contains(&"withdraw key"), "{verdicts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn abrupt_stop_fails_drain_host() {
    let verdicts = run_walkthrough(&[Defect::AbruptStop]).await;

    assert!(failed(&verdicts).contains(&"drain host"), "{verdicts:?}");
}
