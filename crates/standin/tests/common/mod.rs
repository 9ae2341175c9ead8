//! Shared fixtures of the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotvale_standin::group::{Group, Options};
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, NoTls};

/// Longest wait for a condition that must become true.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// Statements that create the tables of the tests.
pub(crate) fn schema() -> Vec<String> {
    let bolts = "CREATE TABLE bolts (id BIGINT PRIMARY KEY, colour TEXT, metres DOUBLE PRECISION, \
                 shipped BOOLEAN NOT NULL DEFAULT FALSE, photo BYTEA)";
    vec![bolts.to_owned()]
}

/// Connects to a target that must accept the connection.
pub(crate) async fn connect(address: SocketAddr) -> Client {
    try_connect(address).await.expect("the target accepts the connection")
}

/// Connects to a target; fails if it refuses the connection.
pub(crate) async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let settings = format!("host={} port={} user=test", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Polls until the condition is true.
///
/// # Panics
///
/// If the condition is not true within `MAX_WAIT`.
pub(crate) async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within the deadline: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Result row of a group function.
pub(crate) struct FunctionRow {
    row: tokio_postgres::Row,
}

impl FunctionRow {
    /// Value of an integer column.
    pub(crate) fn get(&self, column: &str) -> i64 {
        self.row.get(column)
    }

    /// Value of a boolean column.
    pub(crate) fn flag(&self, column: &str) -> bool {
        self.row.get(column)
    }

    pub(crate) fn role(&self) -> String {
        self.row.get("role")
    }
}

/// Calls a group function with integer arguments.
pub(crate) async fn call(
    client: &Client,
    name: &str,
    arguments: &[i64],
) -> Result<FunctionRow, tokio_postgres::Error> {
    let numbers: Vec<String> = (1..=arguments.len()).map(|number| format!("${number}")).collect();
    let sql = format!("SELECT * FROM group_{name}({})", numbers.join(", "));
    let params: Vec<(&(dyn ToSql + Sync), Type)> =
        arguments.iter().map(|value| (value as &(dyn ToSql + Sync), Type::INT8)).collect();
    let mut rows = client.query_typed(&sql, &params).await?;
    Ok(FunctionRow { row: rows.remove(0) })
}

/// SQLSTATE of an error, or a description of an error that has none.
pub(crate) fn code(error: &tokio_postgres::Error) -> String {
    error.code().map_or_else(|| format!("no SQLSTATE: {error}"), |code| code.code().to_owned())
}

/// Inserts a row into `bolts` in a transaction of its own.
pub(crate) async fn insert(client: &Client, id: i64) -> Result<u64, tokio_postgres::Error> {
    let sql = "INSERT INTO bolts (id, colour) VALUES ($1, 'indigo')";
    client.execute_typed(sql, &[(&id, Type::INT8)]).await
}

/// Fences targets for a term and promotes the chosen one; each must grant the term.
pub(crate) async fn promote(group: &Group, fenced: &[usize], chosen: usize, term: i64) {
    const PROMOTER: i64 = 77;
    for target in fenced {
        let client = connect(group.addresses()[*target]).await;
        let fence = call(&client, "fence", &[term, PROMOTER]).await.expect("the call is answered");
        assert!(fence.flag("granted"));
    }
    let client = connect(group.addresses()[chosen]).await;
    let promotion =
        call(&client, "promote", &[term, PROMOTER]).await.expect("the call is answered");
    assert!(promotion.flag("promoted"));
}

/// Starts a group with the schema of the tests and default options.
pub(crate) fn start() -> Group {
    start_with(Options::default())
}

/// Starts a group with the schema of the tests and the given options.
pub(crate) fn start_with(options: Options) -> Group {
    Group::start(Options { schema: schema(), ..options }).expect("the group starts")
}
