//! The counters `read.share.*` include exactly the reads that allow an age of a second or more.

mod common;

use common::Fixture;

const COUNT: &str = "SELECT count(*) FROM bolts";

/// Reads [`COUNT`] through `host` with the maximum age `age`; returns whether a replica served it.
async fn read(host: &common::Host, age: &str) -> bool {
    let read = host.read(COUNT).with_header("bergamotvale-max-age", age).send().await.ok();
    read.target().ends_with("replica")
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_of_a_second_or_more_count() {
    let fixture = Fixture::new().await;
    let host = fixture.host(1).await;

    let mut by_replicas = 0;
    for _ in 0..10 {
        by_replicas += i64::from(read(&host, "1s").await);
        read(&host, "999ms").await;
        host.read(COUNT).send().await.ok();
    }

    assert_eq!(host.counter("read.share.replica"), by_replicas);
    assert_eq!(host.counter("read.share.primary"), 10 - by_replicas);
}
