//! Terms, fencing, promotion and replication of a group: a superseded primary must not commit, a
//! term must have one promoter, and confirmation must need a majority of voters.

mod common;

use std::time::Duration;

use bergamotvale_standin::group::{Group, Options, Position};
use common::{call, code, connect, eventually, insert, promote, start, start_with, try_connect};

fn at(term: i64, index: i64) -> Position {
    Position { term, index }
}

/// Partitions target 0 from both others.
fn isolate(group: &Group) {
    group.target(0).partition(&[1, 2]);
}

/// Waits until all targets have applied the log up to the entry at a position.
async fn wait_replicated(group: &Group, position: Position) {
    let applied_everywhere = || {
        let mut targets = group.targets().iter();
        targets.all(|target| {
            target.applied_index() >= position.index && target.log_positions().contains(&position)
        })
    };
    eventually("the entry is applied everywhere", applied_everywhere).await;
}

#[tokio::test]
async fn write_is_confirmed_and_replicated() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    insert(&client, 1).await.unwrap();
    let commit = call(&client, "commit", &[]).await.unwrap();
    let confirmed = call(&client, "confirmed", &[1, 2, 20_000]).await.unwrap();

    assert_eq!((commit.get("term"), commit.get("index")), (1, 2));
    assert_eq!((confirmed.get("confirmed_term"), confirmed.get("confirmed_index")), (1, 2));
    wait_replicated(&group, at(1, 2)).await;
    let replica = connect(group.addresses()[2]).await;
    let rows = replica.query_typed("SELECT id FROM bolts", &[]).await.unwrap();
    assert_eq!(rows[0].get::<_, i64>(0), 1);
}

#[tokio::test]
async fn term_is_granted_to_one_promoter() {
    let group = start();
    let client = connect(group.addresses()[1]).await;

    let first = call(&client, "fence", &[2, 10]).await.unwrap();
    let other = call(&client, "fence", &[2, 11]).await.unwrap();
    let again = call(&client, "fence", &[2, 10]).await.unwrap();
    let lower = call(&client, "fence", &[1, 10]).await.unwrap();

    assert!(first.flag("granted") && first.flag("voter"));
    assert_eq!((first.get("accepted_term"), first.get("entry_term")), (2, 1));
    assert!(!other.flag("granted"));
    assert!(again.flag("granted"));
    assert!(!lower.flag("granted"));
}

#[tokio::test]
async fn replica_takes_no_entries_of_lower_terms() {
    let group = start();
    let primary = connect(group.addresses()[0]).await;
    let replica = connect(group.addresses()[1]).await;
    call(&replica, "fence", &[2, 10]).await.unwrap();

    insert(&primary, 1).await.unwrap();
    call(&primary, "confirmed", &[1, 2, 20_000]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;

    assert_eq!(group.target(2).log_positions(), [at(1, 1), at(1, 2)]);
    assert_eq!(group.target(1).log_positions(), [at(1, 1)]);
}

#[tokio::test]
async fn promotion_needs_the_grant() {
    let group = start();
    let client = connect(group.addresses()[1]).await;
    call(&client, "fence", &[2, 10]).await.unwrap();

    let other = call(&client, "promote", &[2, 11]).await.unwrap();
    let lower = call(&client, "promote", &[1, 10]).await.unwrap();
    let granted = call(&client, "promote", &[2, 10]).await.unwrap();
    let again = call(&client, "promote", &[2, 10]).await.unwrap();

    assert!(!other.flag("promoted"));
    assert!(!lower.flag("promoted"));
    assert!(granted.flag("promoted"));
    assert!(again.flag("promoted"));
    assert_eq!(group.target(1).log_positions(), [at(1, 1), at(2, 2)]);
}

#[tokio::test]
async fn fenced_primary_commits_nothing() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    let fencer = connect(group.addresses()[0]).await;
    client.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();

    call(&fencer, "fence", &[2, 10]).await.unwrap();
    let commit = client.batch_execute("COMMIT").await.unwrap_err();
    let write = insert(&client, 2).await.unwrap_err();
    let wait = call(&client, "confirmed", &[1, 1, 0]).await.err().unwrap();

    assert_eq!(code(&commit), "BV001");
    assert_eq!(code(&write), "BV001");
    assert_eq!(code(&wait), "BV001");
    assert_eq!(group.target(0).log_positions(), [at(1, 1)]);
    assert!(group.target(0).query("SELECT id FROM bolts").unwrap().is_empty());
}

#[tokio::test]
async fn cut_off_primary_confirms_nothing_and_its_tail_is_dropped() {
    let group = start();
    let old = connect(group.addresses()[0]).await;
    insert(&old, 1).await.unwrap();
    wait_replicated(&group, at(1, 2)).await;
    isolate(&group);
    insert(&old, 2).await.unwrap();
    insert(&old, 3).await.unwrap();

    let unconfirmed = call(&old, "confirmed", &[1, 4, 50]).await.unwrap();
    promote(&group, &[1, 2], 1, 2).await;
    let new = connect(group.addresses()[1]).await;
    insert(&new, 4).await.unwrap();
    let confirmed = call(&new, "confirmed", &[2, 4, 20_000]).await.unwrap();
    group.target(0).heal();

    assert_eq!(unconfirmed.get("confirmed_index"), 2);
    assert_eq!(confirmed.get("confirmed_index"), 4);
    wait_replicated(&group, at(2, 4)).await;
    assert_eq!(group.target(0).log_positions(), [at(1, 1), at(1, 2), at(2, 3), at(2, 4)]);
    eventually("the old primary's connections are closed", || old.is_closed()).await;
    let rejoined = connect(group.addresses()[0]).await;
    let rows = rejoined.query_typed("SELECT id FROM bolts ORDER BY id", &[]).await.unwrap();
    let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, [1, 4]);
    let status = call(&rejoined, "status", &[]).await.unwrap();
    assert_eq!((status.role().as_str(), status.get("primary")), ("replica", 1));
}

#[tokio::test]
async fn confirmation_needs_a_majority() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    group.target(1).pause();
    group.target(2).pause();
    insert(&client, 1).await.unwrap();

    let minority = call(&client, "confirmed", &[1, 2, 100]).await.unwrap();
    group.target(2).resume();
    let majority = call(&client, "confirmed", &[1, 2, 20_000]).await.unwrap();

    assert_eq!(minority.get("confirmed_index"), 1);
    assert_eq!(minority.get("entry_index"), 2);
    assert_eq!(majority.get("confirmed_index"), 2);
}

#[tokio::test]
async fn rebuilt_target_votes_only_when_caught_up() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    insert(&client, 1).await.unwrap();
    wait_replicated(&group, at(1, 2)).await;
    group.target(2).partition(&[0, 1]);
    group.target(2).rebuild();
    let rebuilt = connect(group.addresses()[2]).await;

    let status = call(&rebuilt, "status", &[]).await.unwrap();
    let fence = call(&rebuilt, "fence", &[2, 77]).await.unwrap();
    let promotion = call(&rebuilt, "promote", &[2, 77]).await.unwrap();
    promote(&group, &[0, 1], 0, 2).await;
    group.target(2).heal();

    assert_eq!((status.role().as_str(), status.get("entry_index")), ("rebuilding", 0));
    assert!(fence.flag("granted") && !fence.flag("voter"));
    assert!(!promotion.flag("promoted"));
    eventually("the target votes", || group.target(2).is_voter()).await;
    assert_eq!(group.target(2).log_positions(), [at(1, 1), at(1, 2), at(2, 3)]);
    assert_eq!(call(&rebuilt, "status", &[]).await.unwrap().role(), "replica");
}

#[tokio::test]
async fn rebuilt_target_grants_no_term_twice() {
    let group = start();
    let client = connect(group.addresses()[2]).await;
    call(&client, "fence", &[2, 10]).await.unwrap();

    group.target(2).rebuild();
    let rebuilt = connect(group.addresses()[2]).await;
    let other = call(&rebuilt, "fence", &[2, 11]).await.unwrap();

    assert!(!other.flag("granted"));
}

#[tokio::test]
async fn rebuilt_target_confirms_nothing_for_a_primary_without_other_majority() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    group.target(1).kill();
    group.target(2).rebuild();
    insert(&client, 1).await.unwrap();

    eventually("the rebuilt target holds the log", || group.target(2).log_positions().len() == 2)
        .await;
    let wait = call(&client, "confirmed", &[1, 2, 300]).await.unwrap();

    assert_eq!(wait.get("confirmed_index"), 1);
}

#[tokio::test]
async fn durable_state_outlives_a_kill() {
    let group = start();
    let client = connect(group.addresses()[1]).await;
    call(&client, "fence", &[5, 10]).await.unwrap();

    group.target(1).kill();
    let refused = try_connect(group.addresses()[1]).await;
    group.target(1).restart().unwrap();
    let client = connect(group.addresses()[1]).await;
    let other = call(&client, "fence", &[5, 11]).await.unwrap();
    let same = call(&client, "fence", &[5, 10]).await.unwrap();

    assert!(refused.is_err());
    assert!(!other.flag("granted"));
    assert!(same.flag("granted"));
}

#[tokio::test]
async fn age_grows_on_a_primary_that_is_cut_off() {
    let group =
        start_with(Options { heartbeat_interval: Duration::from_millis(10), ..Options::default() });
    let client = connect(group.addresses()[0]).await;
    let replica = connect(group.addresses()[1]).await;

    isolate(&group);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let isolated_age_ms = call(&client, "position", &[]).await.unwrap().get("age_ms");
    let replica_age_ms = call(&replica, "position", &[]).await.unwrap().get("age_ms");

    assert!(isolated_age_ms >= 300, "the primary's age is {isolated_age_ms} ms");
    assert!(replica_age_ms >= 300, "the replica's age is {replica_age_ms} ms");
}

#[tokio::test]
async fn hold_refuses_new_writes_and_lets_running_ones_end() {
    let group = start();
    let running = connect(group.addresses()[0]).await;
    let waiting = connect(group.addresses()[0]).await;
    running.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();

    call(&waiting, "hold", &[60_000]).await.unwrap();
    let refused = insert(&waiting, 2).await.unwrap_err();
    running.batch_execute("COMMIT").await.unwrap();
    call(&waiting, "hold", &[0]).await.unwrap();
    let released = insert(&waiting, 3).await;

    assert_eq!(code(&refused), "BV002");
    assert_eq!(released.unwrap(), 1);
}
