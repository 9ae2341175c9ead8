//! Measures the memory of an idle caller connection.

use super::Scenario;
use super::process;
use super::slope::{self, Line};
use super::statement;
use crate::error::{Error, Result};
use crate::system::System;
use serde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time between opening the last connection and reading the memory.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Size of the buffer for a response.
const RESPONSE_BUFFER_BYTES: usize = 4096;
/// A request that every host answers at once and that leaves the connection open.
const REQUEST: &str = "GET /v1/open/none HTTP/1.1\r\nhost: bench\r\n\r\n";

/// The memory of idle connections.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cost {
    /// Pairs of the number of connections and the resident memory of the process, in bytes.
    pub points: Vec<(usize, u64)>,
    /// Bytes per connection, both ends included since the caller runs in the same process.
    pub bytes: f64,
}

/// Opens connections, sends one request on each, and reads the resident memory at each of the
/// scenario's numbers of connections.
pub async fn measure(scenario: &Scenario) -> Result<Cost> {
    let system = System::start(statement::spec(scenario.seed, 1, 1, 1)).await?;
    let address = system.hosts[0].address();
    let mut connections = Vec::new();
    let mut points = Vec::new();
    for count in &scenario.idle_connections {
        while connections.len() < *count {
            connections.push(connect(address).await?);
        }
        tokio::time::sleep(SETTLE_DELAY).await;
        points.push((*count, process::resident_bytes()?));
    }
    drop(connections);
    system.stop().await;
    let line: Vec<_> = points.iter().map(|(count, bytes)| (*count as f64, *bytes as f64)).collect();
    let Line { slope, .. } = slope::fit(&line);
    Ok(Cost { points, bytes: slope })
}

async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(REQUEST.as_bytes()).await?;
    let mut response = vec![0; RESPONSE_BUFFER_BYTES];
    if stream.read(&mut response).await? == 0 {
        return Err(Error::Start("host closed the connection instead of answering".to_owned()));
    }
    Ok(stream)
}

/// Renders the cost as plain text.
pub fn human(cost: &Cost) -> String {
    let mut out = String::new();
    for (count, bytes) in &cost.points {
        let _ = writeln!(out, "{count:>6} idle connections  {:>8} KiB resident", bytes / 1024);
    }
    let _ = writeln!(out, "{:.0} bytes per idle connection, both ends\n", cost.bytes);
    out
}
