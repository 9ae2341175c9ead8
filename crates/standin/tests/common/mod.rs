//! Fixtures of the tests.
#![allow(dead_code, reason = "each test file uses some of them")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotvale_standin::group::{Group, Options};
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, NoTls};

/// Longest wait for something that must come to pass.
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

/// Statements that set up the data of the tests.
pub(crate) fn schema() -> Vec<String> {
    let bolts = "CREATE TABLE bolts (id BIGINT PRIMARY KEY, colour TEXT, metres DOUBLE PRECISION, \
                 shipped BOOLEAN NOT NULL DEFAULT FALSE, photo BYTEA)";
    vec![bolts.to_owned()]
}

/// Connects to a target.
pub(crate) async fn connect(address: SocketAddr) -> Client {
    try_connect(address).await.expect("the target takes the connection")
}

/// Connects to a target, or not.
pub(crate) async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let settings = format!("host={} port={} user=test", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Waits until something holds.
///
/// # Panics
///
/// When it does not within the deadline.
pub(crate) async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + DEADLINE;
    while !holds() {
        assert!(Instant::now() < deadline, "not within the deadline: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Columns of one row of integers by name.
pub(crate) struct Status {
    row: tokio_postgres::Row,
}

impl Status {
    /// An integer column.
    pub(crate) fn get(&self, column: &str) -> i64 {
        self.row.get(column)
    }

    /// A flag.
    pub(crate) fn flag(&self, column: &str) -> bool {
        self.row.get(column)
    }

    /// The role.
    pub(crate) fn role(&self) -> String {
        self.row.get("role")
    }
}

/// Calls a group function with integers.
pub(crate) async fn call(
    client: &Client,
    name: &str,
    arguments: &[i64],
) -> Result<Status, tokio_postgres::Error> {
    let numbers: Vec<String> = (1..=arguments.len()).map(|number| format!("${number}")).collect();
    let sql = format!("SELECT * FROM group_{name}({})", numbers.join(", "));
    let params: Vec<(&(dyn ToSql + Sync), Type)> =
        arguments.iter().map(|value| (value as &(dyn ToSql + Sync), Type::INT8)).collect();
    let mut rows = client.query_typed(&sql, &params).await?;
    Ok(Status { row: rows.remove(0) })
}

/// SQLSTATE of a failure.
pub(crate) fn code(error: &tokio_postgres::Error) -> String {
    error.code().map_or_else(|| format!("no SQLSTATE: {error}"), |code| code.code().to_owned())
}

/// Inserts a bolt in a transaction of its own.
pub(crate) async fn insert(client: &Client, id: i64) -> Result<u64, tokio_postgres::Error> {
    let sql = "INSERT INTO bolts (id, colour) VALUES ($1, 'indigo')";
    client.execute_typed(sql, &[(&id, Type::INT8)]).await
}

/// Fences targets for a term and promotes one of them.
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

/// A group with the schema of the tests.
pub(crate) fn start() -> Group {
    start_with(Options::default())
}

/// A group with the schema of the tests and other settings.
pub(crate) fn start_with(options: Options) -> Group {
    Group::start(Options { schema: schema(), ..options }).expect("the group starts")
}
