//! Compares retries and refusals with and without ejection of a replica that fails all its work.

mod common;

use common::{Fixture, Host};
use std::time::Duration;

const COUNT: &str = "SELECT count(*) AS bolts FROM bolts";
const READS: i64 = 400;

/// Number of retries and refusals of [`READS`] reads.
struct Cost {
    retries: i64,
    refused: i64,
}

async fn measure_reads(host: &Host) -> Cost {
    let before = host.counter("retry.target_failed");
    let mut refused = 0;
    for _ in 0..READS {
        let read = host.read(COUNT).with_header("bergamotvale-max-age", "5s");
        refused += i64::from(read.send().await.status != 200);
    }
    Cost { retries: host.counter("retry.target_failed") - before, refused }
}

async fn measure_with_poisoned_replica(ejection: bool) -> Cost {
    let fixture = Fixture::new().await;
    let host = fixture.host_with(1, |settings| settings.policy.ejection = ejection).await;
    fixture.group.target(1).set_poisoned(true);
    // Waits until the first ejection sweep has run.
    for _ in 0..40 {
        host.read(COUNT).with_header("bergamotvale-max-age", "5s").send().await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    measure_reads(&host).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisoned_replica_costs_less_with_ejection() {
    let with = measure_with_poisoned_replica(true).await;
    let without = measure_with_poisoned_replica(false).await;

    println!("with: {} retries, {} refused of {READS}", with.retries, with.refused);
    println!("without: {} retries, {} refused of {READS}", without.retries, without.refused);
    assert_eq!(with.refused, 0);
    assert!(without.retries + without.refused > 4 * (with.retries + 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_replicas_poisoned_leave_the_primary() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;
    fixture.group.target(1).set_poisoned(true);
    fixture.group.target(2).set_poisoned(true);

    let mut served = 0;
    for _ in 0..READS {
        let read = host.read(COUNT).with_header("bergamotvale-max-age", "5s").send().await;
        served += i64::from(read.status == 200);
    }

    println!("both poisoned: {served} of {READS} served");
    assert!(served >= READS / 2, "{served}");
}
