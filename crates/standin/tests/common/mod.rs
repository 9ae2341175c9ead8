//! Fixtures of the tests.
#![allow(dead_code, reason = "each test file uses some of them")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

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
