//! Effect of each fault that tests can inject into a target, and that the target works again once
//! the fault has ended.

mod common;

use std::time::{Duration, Instant};

use bergamotvale_standin::group::{Options, Position};
use common::{call, code, connect, eventually, insert, start, start_with, try_connect};
use tokio::time::timeout;
use tokio_postgres::Client;

/// Longest wait for the response of a target that is expected to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a target must not respond to count as silent.
const SILENCE_PERIOD: Duration = Duration::from_millis(200);

async fn probe_succeeds(client: &Client) -> bool {
    client.query_typed("SELECT 1", &[]).await.is_ok()
}

async fn is_silent(client: &Client) -> bool {
    timeout(SILENCE_PERIOD, probe_succeeds(client)).await.is_err()
}

async fn responds(client: &Client) -> bool {
    timeout(RESPONSE_TIMEOUT, probe_succeeds(client)).await.unwrap_or(false)
}

#[tokio::test]
async fn killed_target_refuses_until_its_restart() {
    let group = start();
    let address = group.addresses()[0];
    let client = connect(address).await;
    insert(&client, 1).await.unwrap();
    client.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (2)").await.unwrap();

    group.target(0).kill();
    eventually("the connection is closed", || client.is_closed()).await;
    let refused = try_connect(address).await;
    group.target(0).restart().unwrap();
    let client = connect(address).await;
    insert(&client, 3).await.unwrap();

    assert!(refused.is_err());
    let rows = client.query_typed("SELECT id FROM bolts ORDER BY id", &[]).await.unwrap();
    let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, [1, 3]);
    assert_eq!(group.addresses()[0], address);
}

#[tokio::test]
async fn killed_target_is_refused_again_and_again() {
    let group = start();
    let address = group.addresses()[2];

    for _ in 0..20 {
        group.target(2).kill();
        assert!(try_connect(address).await.is_err());
        group.target(2).restart().unwrap();
        assert!(responds(&connect(address).await).await);
    }
}

#[tokio::test]
async fn paused_target_answers_after_the_pause() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    group.target(0).pause();
    let silent = is_silent(&client).await;
    let waiting = tokio::spawn(connect(group.addresses()[0]));
    tokio::time::sleep(SILENCE_PERIOD).await;
    let waits = !waiting.is_finished();
    group.target(0).resume();

    assert!(silent);
    assert!(waits);
    assert!(responds(&client).await);
    assert!(responds(&waiting.await.unwrap()).await);
}

#[tokio::test]
async fn cut_callers_wait_while_replication_goes_on() {
    let group = start();
    let primary = connect(group.addresses()[0]).await;
    let replica = connect(group.addresses()[1]).await;
    group.target(2).kill();

    group.target(1).set_callers_blocked(true);
    let silent = is_silent(&replica).await;
    insert(&primary, 1).await.unwrap();
    let confirmed = call(&primary, "confirmed", &[1, 2, 20_000]).await.unwrap();
    group.target(1).set_callers_blocked(false);

    assert!(silent);
    assert_eq!(confirmed.get("confirmed_index"), 2);
    assert!(responds(&replica).await);
}

#[tokio::test]
async fn partitioned_replica_stays_behind_and_catches_up() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    group.target(2).partition(&[0]);
    insert(&client, 1).await.unwrap();
    call(&client, "confirmed", &[1, 2, 20_000]).await.unwrap();
    let behind = group.target(2).applied_index();
    group.target(2).heal();

    assert_eq!(behind, 1);
    eventually("the replica has caught up", || group.target(2).applied_index() == 2).await;
}

#[tokio::test]
async fn silent_connections_stay_silent_and_new_ones_work() {
    let idle_timeout = Duration::from_millis(300);
    let group = start_with(Options { idle_timeout, ..Options::default() });
    let old = connect(group.addresses()[0]).await;
    old.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();

    group.target(0).silence_connections();
    let new = connect(group.addresses()[0]).await;

    assert!(is_silent(&old).await);
    assert!(!old.is_closed());
    assert!(responds(&new).await);
    assert_eq!(insert(&new, 1).await.unwrap(), 1);
    assert!(is_silent(&old).await);
}

#[tokio::test]
async fn poisoned_target_passes_probes_and_fails_work() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    group.target(0).set_poisoned(true);
    let probed = probe_succeeds(&client).await && call(&client, "status", &[]).await.is_ok();
    let read = client.query_typed("SELECT id FROM bolts", &[]).await.unwrap_err();
    let write = insert(&client, 1).await.unwrap_err();
    group.target(0).set_poisoned(false);

    assert!(probed);
    assert_eq!(code(&read), "58030");
    assert_eq!(code(&write), "58030");
    assert_eq!(insert(&client, 1).await.unwrap(), 1);
}

#[tokio::test]
async fn a_lost_answer_leaves_its_effect() {
    let group = start();
    let first = connect(group.addresses()[0]).await;
    let second = connect(group.addresses()[0]).await;

    group.target(0).drop_commit_responses(1);
    let lost = timeout(SILENCE_PERIOD, insert(&first, 1)).await;
    eventually("the commit takes effect", || {
        group.target(0).query("SELECT id FROM bolts").unwrap().len() == 1
    })
    .await;
    insert(&second, 2).await.unwrap();

    assert!(lost.is_err());
    assert!(is_silent(&first).await);
    assert_eq!(group.target(0).query("SELECT id FROM bolts").unwrap().len(), 2);
}

#[tokio::test]
async fn lagging_replica_applies_late_and_says_its_age() {
    const LAG: Duration = Duration::from_millis(400);
    let group = start();
    let primary = connect(group.addresses()[0]).await;
    let replica = connect(group.addresses()[1]).await;

    group.target(1).set_lag(LAG);
    let written = Instant::now();
    insert(&primary, 1).await.unwrap();
    eventually("the replica has applied", || group.target(1).applied_index() == 2).await;
    let late = written.elapsed();
    let age = call(&replica, "position", &[]).await.unwrap().get("age_ms");

    assert!(late >= LAG, "applied after {late:?}");
    assert!(age >= LAG.as_millis() as i64, "the age is {age} ms");
}

#[tokio::test]
async fn healthy_replica_is_fresh() {
    let group = start();
    let replica = connect(group.addresses()[1]).await;
    let max_age_ms = 5_000;

    let mut age = i64::MAX;
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    while age > max_age_ms && Instant::now() < deadline {
        age = call(&replica, "position", &[]).await.unwrap().get("age_ms");
    }

    assert!(age <= max_age_ms, "the age is {age} ms");
}

#[tokio::test]
async fn connections_over_the_limit_are_refused() {
    let group = start_with(Options { connection_limit: 2, ..Options::default() });
    let address = group.addresses()[0];
    let first = connect(address).await;
    let _second = connect(address).await;

    let refused = try_connect(address).await.expect_err("the third is refused");
    drop(first);
    eventually("the connection is given back", || group.target(0).connection_count() == 1).await;
    let third = try_connect(address).await;
    group.target(0).set_connection_limit(3);
    let fourth = try_connect(address).await;

    assert_eq!(code(&refused), "53300");
    assert!(third.is_ok());
    assert!(fourth.is_ok());
}

#[tokio::test]
async fn delays_are_kept() {
    const DELAY: Duration = Duration::from_millis(30);
    let options = Options {
        connect_delay: DELAY,
        network_delay: DELAY,
        replication_delay: DELAY,
        ..Options::default()
    };
    let group = start_with(options);

    let start = Instant::now();
    let client = connect(group.addresses()[0]).await;
    let connected = start.elapsed();
    insert(&client, 1).await.unwrap();
    let written = start.elapsed() - connected;
    call(&client, "confirmed", &[1, 2, 20_000]).await.unwrap();
    let confirmed = start.elapsed() - connected;

    assert!(connected >= DELAY, "connected after {connected:?}");
    assert!(written >= 2 * DELAY, "written after {written:?}");
    assert!(confirmed >= 4 * DELAY, "confirmed after {confirmed:?}");
}

#[tokio::test]
async fn rebuilt_target_closes_its_connections_and_comes_back() {
    let group = start();
    let primary = connect(group.addresses()[0]).await;
    insert(&primary, 1).await.unwrap();
    let replica = connect(group.addresses()[1]).await;

    group.target(1).rebuild();
    eventually("the connection is closed", || replica.is_closed()).await;
    let caught_up = || group.target(1).applied_index() == 2;
    eventually("the target has caught up", caught_up).await;

    assert_eq!(group.target(1).log_positions(), group.target(0).log_positions());
    assert_eq!(group.target(1).query("SELECT id FROM bolts").unwrap().len(), 1);
}

#[tokio::test]
async fn group_of_one_confirms_by_itself() {
    let group = start_with(Options { targets: 1, ..Options::default() });
    let client = connect(group.addresses()[0]).await;

    insert(&client, 1).await.unwrap();
    let confirmed = call(&client, "confirmed", &[1, 2, 0]).await.unwrap();

    assert_eq!(confirmed.get("confirmed_index"), 2);
    assert_eq!(group.target(0).confirmed_position(), Position { term: 1, index: 2 });
}
