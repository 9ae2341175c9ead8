//! The control connection to each target, for probes and the steps of promotions.
//!
//! The control connection is separate from the leased ones, so that a promotion does not queue
//! behind callers. Its exchanges may overlap; they are answered in order. If an exchange times out,
//! the connection is closed and the next exchange opens a new one.

use super::connection::Connection;
use super::{Role, Status};
use crate::error::{Error, Result};
use crate::settings::Settings;
use bergamotvale_core::group::TermResponse;
use bergamotvale_core::id::PromoterId;
use bergamotvale_core::log::{Position, Term};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio_postgres::Row;
use tokio_postgres::error::SqlState;
use tokio_postgres::types::{ToSql, Type};

const STATUS: &str = "SELECT * FROM group_status()";
const PROBE_WORK: &str = "SELECT 1 + 1 AS work";
const FENCE: &str = "SELECT * FROM group_fence($1, $2)";
const PROMOTE: &str = "SELECT * FROM group_promote($1, $2)";
const HOLD: &str = "SELECT * FROM group_hold($1)";

/// Why an exchange on a control connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target did not respond before the timeout.
    Silent,
    /// The connection was refused or reset.
    Refused,
    /// The target is alive but has reached its connection limit.
    TooManyConnections,
    /// The target responded with an error, or with a row that cannot be read.
    Failed,
}

/// The control connection to one target, opened on demand.
pub struct Control {
    address: SocketAddr,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl Control {
    /// A control connection that the first exchange opens.
    pub fn new(address: SocketAddr) -> Control {
        Control { address, connection: Mutex::new(None) }
    }

    /// Address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queries the target's status.
    pub async fn status(&self, settings: &Settings) -> std::result::Result<Status, Failure> {
        let row = self.exchange(settings, STATUS, &[]).await?;
        status(&row).map_err(|_| Failure::Failed)
    }

    /// Executes a trivial statement, to detect a target that reports its status but fails to
    /// execute statements.
    pub async fn probe_work(&self, settings: &Settings) -> std::result::Result<(), Failure> {
        self.exchange(settings, PROBE_WORK, &[]).await.map(drop)
    }

    /// Requests that the target accept `term`, which fences all earlier terms.
    pub async fn fence(
        &self,
        settings: &Settings,
        term: Term,
        promoter: PromoterId,
    ) -> std::result::Result<TermResponse, Failure> {
        let row = self.exchange(settings, FENCE, &[signed(term), promoter]).await?;
        term_response(&row, "granted").map_err(|_| Failure::Failed)
    }

    /// Requests that the target become the primary of `term`.
    pub async fn promote(
        &self,
        settings: &Settings,
        term: Term,
        promoter: PromoterId,
    ) -> std::result::Result<TermResponse, Failure> {
        let row = self.exchange(settings, PROMOTE, &[signed(term), promoter]).await?;
        term_response(&row, "promoted").map_err(|_| Failure::Failed)
    }

    /// Requests that the target refuse writes for `time`. Returns its last log entry, or `None` if
    /// it did not agree.
    pub async fn hold(
        &self,
        settings: &Settings,
        time: Duration,
    ) -> std::result::Result<Option<Position>, Failure> {
        let row = self.exchange(settings, HOLD, &[signed(millis(time))]).await?;
        let held: bool = row.try_get("held").map_err(|_| Failure::Failed)?;
        let entry = position(&row, "entry_term", "entry_index").map_err(|_| Failure::Failed)?;
        Ok(held.then_some(entry))
    }

    async fn exchange(
        &self,
        settings: &Settings,
        sql: &str,
        params: &[i64],
    ) -> std::result::Result<Row, Failure> {
        let timeout = settings.timeouts.connect;
        let connection = self.connection(settings).await.map_err(|e| classify(&e))?;
        let params: Vec<(&(dyn ToSql + Sync), Type)> =
            params.iter().map(|p| (p as &(dyn ToSql + Sync), Type::INT8)).collect();
        let query = connection.client().query_typed_one(sql, &params);
        let answer = connection.exchange(timeout, query).await;
        if answer.is_err() {
            self.discard(&connection).await;
        }
        answer.map_err(|e| classify(&e))
    }

    async fn connection(&self, settings: &Settings) -> Result<Arc<Connection>> {
        let mut slot = self.connection.lock().await;
        if let Some(connection) = slot.as_ref().filter(|c| !c.client().is_closed()) {
            return Ok(connection.clone());
        }
        let connection = Arc::new(Connection::open(self.address, settings).await?);
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn discard(&self, connection: &Arc<Connection>) {
        let mut slot = self.connection.lock().await;
        if slot.as_ref().is_some_and(|known| Arc::ptr_eq(known, connection)) {
            *slot = None;
        }
    }
}

/// Classifies the error of an exchange or of opening a connection.
pub fn classify(error: &Error) -> Failure {
    match error {
        Error::Io(e) if e.kind() == std::io::ErrorKind::TimedOut => Failure::Silent,
        Error::Io(_) => Failure::Refused,
        Error::Target(e) => match e.code() {
            Some(code) if *code == SqlState::TOO_MANY_CONNECTIONS => Failure::TooManyConnections,
            Some(_) => Failure::Failed,
            None => Failure::Refused,
        },
        _ => Failure::Failed,
    }
}

fn status(row: &Row) -> Result<Status> {
    let primary: i64 = row.try_get("primary")?;
    Ok(Status {
        role: role(row.try_get("role")?),
        accepted_term: unsigned(row, "accepted_term")?,
        entry: position(row, "entry_term", "entry_index")?,
        applied: position(row, "applied_term", "applied_index")?,
        confirmed: position(row, "confirmed_term", "confirmed_index")?,
        age: Duration::from_millis(unsigned(row, "age_ms")?),
        primary: primary.try_into().ok(),
        term_start: unsigned(row, "term_start")?,
    })
}

fn term_response(row: &Row, granted: &str) -> Result<TermResponse> {
    let columns = row.columns().iter();
    let names_voter = columns.into_iter().any(|column| column.name() == "voter");
    Ok(TermResponse {
        granted: row.try_get(granted)?,
        accepted: unsigned(row, "accepted_term")?,
        entry: position(row, "entry_term", "entry_index")?,
        voter: if names_voter { row.try_get("voter")? } else { true },
    })
}

fn role(text: &str) -> Role {
    match text {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => Role::Rebuilding,
    }
}

/// Reads a log position from the columns `term` and `index`.
pub fn position(row: &Row, term: &str, index: &str) -> Result<Position> {
    Ok(Position::new(unsigned(row, term)?, unsigned(row, index)?))
}

fn unsigned(row: &Row, column: &str) -> Result<u64> {
    let value: i64 = row.try_get(column)?;
    Ok(u64::try_from(value).unwrap_or(0))
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
