//! SQL behavior of a group as seen by a PostgreSQL client: types, transactions, errors,
//! cancellation and portals.

mod common;

use std::time::Duration;

use bergamotvale_standin::group::Options;
use common::{code, connect, eventually, insert, start, start_with};
use futures::TryStreamExt;
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

async fn count(client: &Client) -> i64 {
    let rows = client.query_typed("SELECT count(*) FROM bolts", &[]).await;
    rows.expect("the count is answered")[0].get(0)
}

/// First column of a query's first row.
async fn number(client: &Client, sql: &str) -> Result<i64, Error> {
    client.query_typed(sql, &[]).await.map(|rows| rows[0].get(0))
}

#[tokio::test]
async fn types_pass_in_binary() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    let params: [(&(dyn ToSql + Sync), Type); 5] = [
        (&7_i32, Type::INT4),
        (&"indigo", Type::TEXT),
        (&2.5_f64, Type::FLOAT8),
        (&true, Type::BOOL),
        (&vec![0_u8, 255], Type::BYTEA),
    ];

    let sql = "INSERT INTO bolts (id, colour, metres, shipped, photo) VALUES ($1, $2, $3, $4, $5)";
    let written = client.execute_typed(sql, &params).await.unwrap();
    let rows = client.query_typed("SELECT * FROM bolts", &[]).await.unwrap();

    assert_eq!(written, 1);
    assert_eq!(rows[0].get::<_, i64>("id"), 7);
    assert_eq!(rows[0].get::<_, &str>("colour"), "indigo");
    assert_eq!(rows[0].get::<_, f64>("metres"), 2.5);
    assert!(rows[0].get::<_, bool>("shipped"));
    assert_eq!(rows[0].get::<_, Vec<u8>>("photo"), [0, 255]);
}

#[tokio::test]
async fn nulls_and_expressions_have_types() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    insert(&client, 1).await.unwrap();

    let sql = "SELECT photo, 1 + 1, 'a' || 'b', 0.5, $1 FROM bolts";
    let rows = client.query_typed(sql, &[(&None::<i64>, Type::INT8)]).await.unwrap();

    assert_eq!(rows[0].get::<_, Option<Vec<u8>>>(0), None);
    assert_eq!(rows[0].get::<_, i64>(1), 2);
    assert_eq!(rows[0].get::<_, &str>(2), "ab");
    assert_eq!(rows[0].get::<_, f64>(3), 0.5);
    assert_eq!(rows[0].get::<_, Option<&str>>(4), None);
}

#[tokio::test]
async fn prepared_statements_keep_their_described_types() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    insert(&client, 5).await.unwrap();
    let sql = "SELECT id, count(*) FROM bolts WHERE id = $1 GROUP BY id";

    let statement = client.prepare_typed(sql, &[Type::INT8]).await.unwrap();
    let rows = client.query(&statement, &[&5_i64]).await.unwrap();

    assert_eq!(rows[0].get::<_, i64>(0), 5);
    assert_eq!(statement.columns()[1].type_(), rows[0].columns()[1].type_());
}

#[tokio::test]
async fn simple_queries_answer_each_statement() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    let sql = "INSERT INTO bolts (id, colour) VALUES (1, 'a;b'); SELECT id, colour FROM bolts;";
    let messages = client.simple_query(sql).await.unwrap();

    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some((row.get(0), row.get(1))),
        _ => None,
    });
    assert_eq!(rows.collect::<Vec<_>>(), [(Some("1"), Some("a;b"))]);
}

#[tokio::test]
async fn failed_statement_undoes_a_simple_query() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    let sql = "INSERT INTO bolts (id) VALUES (1); INSERT INTO bolts (id) VALUES (1)";
    let failure = client.batch_execute(sql).await.unwrap_err();

    assert_eq!(code(&failure), "23505");
    assert_eq!(count(&client).await, 0);
    assert_eq!(group.target(0).log_positions().len(), 1);
}

#[tokio::test]
async fn open_transaction_is_seen_by_itself_alone() {
    let group = start();
    let writer = connect(group.addresses()[0]).await;
    let reader = connect(group.addresses()[0]).await;

    writer.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();
    let (inside, outside) = (count(&writer).await, count(&reader).await);
    writer.batch_execute("COMMIT").await.unwrap();
    let after = count(&reader).await;

    assert_eq!((inside, outside, after), (1, 0, 1));
    assert_eq!(group.target(0).log_positions().len(), 2);
}

#[tokio::test]
async fn failed_transaction_takes_only_its_end() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    client.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();

    let unique = insert(&client, 1).await.unwrap_err();
    let aborted = number(&client, "SELECT 2").await.unwrap_err();
    client.batch_execute("COMMIT").await.unwrap();

    assert_eq!(code(&unique), "23505");
    assert_eq!(code(&aborted), "25P02");
    assert_eq!(count(&client).await, 0);
}

#[tokio::test]
async fn closed_connection_rolls_back() {
    let group = start();
    let closed = connect(group.addresses()[0]).await;
    closed.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();

    drop(closed);
    let client = connect(group.addresses()[0]).await;
    insert(&client, 1).await.unwrap();

    assert_eq!(count(&client).await, 1);
}

#[tokio::test]
async fn idle_transaction_ends() {
    let idle_timeout = Duration::from_millis(100);
    let group = start_with(Options { idle_timeout, ..Options::default() });
    let idle = connect(group.addresses()[0]).await;
    idle.batch_execute("BEGIN; INSERT INTO bolts (id) VALUES (1)").await.unwrap();

    let client = connect(group.addresses()[0]).await;
    insert(&client, 1).await.unwrap();

    assert_eq!(count(&client).await, 1);
    eventually("the idle connection is closed", || idle.is_closed()).await;
}

#[tokio::test]
async fn failures_have_their_sqlstate() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    let cases = [
        ("SELECT * FROM nowhere", "42P01"),
        ("SELECT weight FROM bolts", "42703"),
        ("SELECT nofunction(1)", "42883"),
        ("SELECT * FROM group_nothing()", "42883"),
        ("SELEKT 1", "42601"),
        ("PRAGMA journal_mode", "42601"),
        ("SELECT random()", "0A000"),
        ("INSERT INTO bolts (id, colour) SELECT 1, CURRENT_TIMESTAMP", "0A000"),
        ("SAVEPOINT a", "0A000"),
        ("INSERT INTO bolts (id, shipped) VALUES (1, NULL)", "23502"),
    ];

    for (sql, expected) in cases {
        let failure = client.batch_execute(sql).await.unwrap_err();
        assert_eq!(code(&failure), expected, "{sql}");
    }
}

#[tokio::test]
async fn replicas_and_read_only_sessions_do_not_write() {
    let group = start();
    let primary = connect(group.addresses()[0]).await;
    let replica = connect(group.addresses()[1]).await;

    let on_replica = insert(&replica, 1).await.unwrap_err();
    primary.batch_execute("SET default_transaction_read_only = on").await.unwrap();
    let in_session = insert(&primary, 1).await.unwrap_err();
    primary.batch_execute("SET default_transaction_read_only TO off").await.unwrap();
    primary.batch_execute("BEGIN READ ONLY").await.unwrap();
    let in_transaction = insert(&primary, 1).await.unwrap_err();

    assert_eq!(code(&on_replica), "25006");
    assert_eq!(code(&in_session), "25006");
    assert_eq!(code(&in_transaction), "25006");
}

#[tokio::test]
async fn cancel_ends_the_running_statement() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    let endless = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) \
                   SELECT count(*) FROM n";

    for sql in ["SELECT pg_sleep(3600)", "SELECT 1 WHERE pg_sleep(3600) = ''", endless] {
        let token = client.cancel_token();
        let cancel = async {
            // Repeat the request, since one that arrives before the statement starts has no effect.
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                token.cancel_query(NoTls).await.unwrap();
            }
        };
        let canceled = tokio::select! {
            canceled = number(&client, sql) => canceled.unwrap_err(),
            () = cancel => unreachable!("the loop has no end"),
        };
        assert_eq!(code(&canceled), "57014", "{sql}");
    }
}

#[tokio::test]
async fn statement_timeout_ends_the_statement() {
    let group = start();
    let client = connect(group.addresses()[0]).await;

    client.batch_execute("SET statement_timeout = 30").await.unwrap();
    let timed_out = number(&client, "SELECT pg_sleep(3600)").await.unwrap_err();
    client.batch_execute("SET statement_timeout = '0'").await.unwrap();
    let short_sleep = client.batch_execute("SELECT pg_sleep(0.06)").await;

    assert_eq!(code(&timed_out), "57014");
    assert!(short_sleep.is_ok());
}

#[tokio::test]
async fn sleeping_statement_delays_nobody_else() {
    let group = start();
    let sleeper = connect(group.addresses()[0]).await;
    let client = connect(group.addresses()[0]).await;

    let sleep = sleeper.batch_execute("SELECT pg_sleep(3600)");
    let other = tokio::select! {
        _ = sleep => None,
        other = insert(&client, 1) => Some(other),
    };

    assert_eq!(other.expect("the other statement ends first").unwrap(), 1);
}

#[tokio::test]
async fn large_results_stream_and_portals_go_on() {
    const ROWS: i64 = 50_000;
    let group = start();
    let mut client = connect(group.addresses()[0]).await;
    let sql = format!(
        "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROWS}) \
         SELECT i, 'some colour of a bolt' FROM n"
    );

    let stream = client.query_typed_raw::<&i64, _>(&sql, []).await.unwrap();
    let rows: Vec<i64> = stream.map_ok(|row| row.get::<_, i64>(0)).try_collect().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    let portal = transaction.bind(&sql, &[]).await.unwrap();
    let first = transaction.query_portal(&portal, 10).await.unwrap();
    let second = transaction.query_portal(&portal, 10).await.unwrap();

    assert_eq!(rows.len() as i64, ROWS);
    assert_eq!(rows.last(), Some(&ROWS));
    assert_eq!((first.len(), second.len()), (10, 10));
    assert_eq!(second[0].get::<_, i64>(0), 11);
}

#[tokio::test]
async fn pipelined_statements_answer_in_order() {
    let group = start();
    let client = connect(group.addresses()[0]).await;
    insert(&client, 1).await.unwrap();

    let position = client.query_typed("SELECT * FROM group_position()", &[]);
    let read = client.query_typed("SELECT id FROM bolts", &[]);
    let failure = client.query_typed("SELECT * FROM nowhere", &[]);
    let last = client.query_typed("SELECT 4", &[]);
    let (position, read, failure, last) = futures::join!(position, read, failure, last);

    assert_eq!(position.unwrap()[0].get::<_, i64>("applied_index"), 2);
    assert_eq!(read.unwrap()[0].get::<_, i64>(0), 1);
    assert_eq!(code(&failure.unwrap_err()), "42P01");
    assert_eq!(last.unwrap()[0].get::<_, i64>(0), 4);
}

#[tokio::test]
async fn writers_take_turns() {
    const CLIENTS: i64 = 8;
    const WRITES: i64 = 25;
    let group = start();
    let mut tasks = Vec::new();

    for number in 0..CLIENTS {
        let client = connect(group.addresses()[0]).await;
        tasks.push(tokio::spawn(async move {
            for write in 0..WRITES {
                insert(&client, number * WRITES + write).await.unwrap();
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }

    let client = connect(group.addresses()[0]).await;
    assert_eq!(count(&client).await, CLIENTS * WRITES);
    assert_eq!(group.target(0).log_positions().len() as i64, 1 + CLIENTS * WRITES);
}
