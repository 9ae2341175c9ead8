//! What an idle caller connection costs in memory.

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

/// Time after the last connection before memory is read.
const SETTLE: Duration = Duration::from_millis(500);
/// Bytes of an answer.
const ANSWER_BYTES: usize = 4096;
/// A request that any host answers at once, and after which the connection stays open.
const REQUEST: &str = "GET /v1/open/none HTTP/1.1\r\nhost: bench\r\n\r\n";

/// What an idle connection costs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cost {
    /// Connections and resident memory, bytes.
    pub points: Vec<(usize, u64)>,
    /// Growth with each connection, its caller's end included.
    pub bytes: f64,
}

/// Opens connections, each with one answered request, and reads resident memory.
pub async fn measure(scenario: &Scenario) -> Result<Cost> {
    let system = System::start(statement::plan(scenario.seed, 1, 1, 1)).await?;
    let address = system.hosts[0].address();
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in &scenario.idle_connections {
        while open.len() < *count {
            open.push(connect(address).await?);
        }
        tokio::time::sleep(SETTLE).await;
        points.push((*count, process::resident()?));
    }
    drop(open);
    system.stop().await;
    let line: Vec<_> = points.iter().map(|(count, bytes)| (*count as f64, *bytes as f64)).collect();
    let Line { slope, .. } = slope::fit(&line);
    Ok(Cost { points, bytes: slope })
}

async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(REQUEST.as_bytes()).await?;
    let mut answer = vec![0; ANSWER_BYTES];
    if stream.read(&mut answer).await? == 0 {
        return Err(Error::Start("the host closed an idle connection".to_owned()));
    }
    Ok(stream)
}

/// The cost for people.
pub fn human(cost: &Cost) -> String {
    let mut out = String::new();
    for (count, bytes) in &cost.points {
        let _ = writeln!(out, "{count:>6} idle connections  {:>8} KiB resident", bytes / 1024);
    }
    let _ = writeln!(out, "{:.0} bytes an idle connection, both ends\n", cost.bytes);
    out
}
