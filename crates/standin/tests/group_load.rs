//! Many short statements on a group, then the replay of the long log by a rebuilt target.

mod common;

use std::time::Instant;

use bergamotvale_standin::group::Options;
use common::{connect, eventually, insert, start_with};
use tokio_postgres::types::Type;

const CLIENTS: i64 = 16;

/// Prints the measured rates. The result doesn't depend on them, since they vary by machine.
#[tokio::test(flavor = "multi_thread")]
async fn short_statements_and_replay() {
    const WRITES: i64 = 250;
    const READS: i64 = 1_000;
    let group = start_with(Options::default());
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(connect(group.addresses()[0]).await);
    }

    let started = Instant::now();
    let writes = clients.iter().enumerate().map(async |(number, client)| {
        for write in 0..WRITES {
            insert(client, number as i64 * WRITES + write).await.unwrap();
        }
    });
    futures::future::join_all(writes).await;
    let written = started.elapsed();
    let started = Instant::now();
    let reads = clients.iter().enumerate().map(async |(number, client)| {
        for read in 0..READS {
            let id = (number as i64 * READS + read) % (CLIENTS * WRITES);
            let sql = "SELECT id, colour FROM bolts WHERE id = $1";
            let rows = client.query_typed(sql, &[(&id, Type::INT8)]).await.unwrap();
            assert_eq!(rows.len(), 1);
        }
    });
    futures::future::join_all(reads).await;
    let read = started.elapsed();
    let entries = CLIENTS * WRITES + 1;
    let all_applied = || group.targets().iter().all(|target| target.applied_index() == entries);
    eventually("the replicas have applied all", all_applied).await;
    let started = Instant::now();
    group.target(2).rebuild();
    eventually("the rebuilt target has applied all", all_applied).await;

    let rate = |count: i64, time: std::time::Duration| count as f64 / time.as_secs_f64();
    println!("writes/s {:.0}", rate(CLIENTS * WRITES, written));
    println!("reads/s {:.0}", rate(CLIENTS * READS, read));
    println!("replayed entries/s {:.0}", rate(entries, started.elapsed()));
    for target in group.targets() {
        assert_eq!(
            target.query("SELECT count(*) FROM bolts").unwrap()[0][0],
            (CLIENTS * WRITES).into()
        );
    }
}
