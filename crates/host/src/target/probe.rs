//! Asks each target for its status at a fixed period.

use super::{Key, Role, Status, View, connection::Connection};
use crate::error::Result;
use crate::shared::Host;
use bergamotvale_core::log::Position;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio_postgres::Row;

const STATUS: &str = "SELECT * FROM group_status()";

/// Probes all targets until the host stops.
pub async fn run(host: Arc<Host>) {
    let mut connections = BTreeMap::new();
    let mut ticks = tokio::time::interval(host.settings.policy.probe);
    loop {
        ticks.tick().await;
        for (key, address) in addresses(&host) {
            let probe = probe(&host, key, address, &mut connections);
            if tokio::time::timeout(host.settings.timeouts.connect, probe).await.is_err() {
                connections.remove(&key);
            }
        }
    }
}

fn addresses(host: &Host) -> Vec<(Key, std::net::SocketAddr)> {
    let document = host.document();
    let services = document.services.iter();
    services
        .flat_map(|(service, s)| {
            s.targets.iter().map(|(t, target)| ((*service, *t), target.address))
        })
        .collect()
}

async fn probe(
    host: &Host,
    key: Key,
    address: std::net::SocketAddr,
    connections: &mut BTreeMap<Key, Connection>,
) {
    let at = host.clock.now();
    let connection = match connections.remove(&key) {
        Some(connection) => connection,
        None => match Connection::open(address, &host.settings).await {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    if let Ok(status) = ask(&connection).await {
        host.pools.lock().views.insert(key, View { status, at });
        connections.insert(key, connection);
    }
}

async fn ask(connection: &Connection) -> Result<Status> {
    let row = connection.client().query_typed_one(STATUS, &[]).await?;
    Ok(Status {
        role: role(row.try_get("role")?),
        accepted_term: unsigned(&row, "accepted_term")?,
        entry: position(&row, "entry_term", "entry_index")?,
        applied: position(&row, "applied_term", "applied_index")?,
        confirmed: position(&row, "confirmed_term", "confirmed_index")?,
        age: Duration::from_millis(unsigned(&row, "age_ms")?),
    })
}

fn role(text: &str) -> Role {
    match text {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => Role::Rebuilding,
    }
}

/// The position in two columns.
pub fn position(row: &Row, term: &str, index: &str) -> Result<Position> {
    Ok(Position::new(unsigned(row, term)?, unsigned(row, index)?))
}

fn unsigned(row: &Row, column: &str) -> Result<u64> {
    let value: i64 = row.try_get(column)?;
    Ok(u64::try_from(value).unwrap_or(0))
}
