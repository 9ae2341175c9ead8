//! Reads and writes the table `bergamotvale_outcomes` in each service's database.
//!
//! The table holds the outcome of each write with an idempotency key, in the same transaction as
//! the write, so that a repeated request can be answered with the first outcome.

use super::exchange::Error;
use super::value::{self, Fault};
use bergamotvale_core::id::AccountId;
use bergamotvale_core::idempotency::{self, Row};
use bergamotvale_core::log::Position;
use bergamotvale_core::sqlstate::UNIQUE_VIOLATION;
use bergamotvale_core::statement::Rows;
use postgres_types::{ToSql, Type};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio_postgres::Client;

/// SQLSTATE of a missing table.
const NO_TABLE: &str = "42P01";
/// Maximum number of rows that one call of [`prune`] removes.
const MAX_PRUNED_ROWS: i64 = 2000;
/// Maximum size of an encoded outcome, in bytes.
pub const MAX_BYTES: usize = 256 * 1024;

const CREATE: &str = "CREATE TABLE IF NOT EXISTS bergamotvale_outcomes (\
    account bigint NOT NULL, key text NOT NULL, digest text NOT NULL, outcome text NOT NULL, \
    at bigint NOT NULL, PRIMARY KEY (account, key))";
const INSERT: &str = "INSERT INTO bergamotvale_outcomes (account, key, digest, outcome, at) \
    VALUES ($1, $2, $3, '', $4)";
const UPDATE: &str =
    "UPDATE bergamotvale_outcomes SET outcome = $3 WHERE account = $1 AND key = $2";
const SELECT: &str =
    "SELECT digest, outcome FROM bergamotvale_outcomes WHERE account = $1 AND key = $2";
const PRUNE: &str = "DELETE FROM bergamotvale_outcomes WHERE (account, key) IN \
    (SELECT account, key FROM bergamotvale_outcomes WHERE at < $1 LIMIT $2)";
const STATUS: &str = "SELECT * FROM group_status()";

/// The write that a row belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Id {
    /// Client account that sent the write; keys of different accounts are independent.
    pub account: AccountId,
    /// Idempotency key.
    pub key: String,
    /// Digest of the request; a repeat of the key with another digest is a mismatch.
    pub digest: String,
}

/// Creates the table, in a separate transaction.
pub async fn create(client: &Client) -> Result<(), tokio_postgres::Error> {
    client.batch_execute("BEGIN READ WRITE").await?;
    client.batch_execute(CREATE).await?;
    client.batch_execute("COMMIT").await
}

/// Claims the key by inserting its row within the write's transaction.
///
/// Fails with [`Error::Conflict`] if the row exists and [`Error::NoTable`] if the table does not.
pub async fn insert(client: &Client, id: &Id) -> Result<(), Error> {
    let (account, at) = (i64::from(id.account), i64::try_from(unix_time().as_secs()).unwrap_or(0));
    let params: [(&(dyn ToSql + Sync), Type); 4] = [
        (&account, Type::INT8),
        (&id.key, Type::TEXT),
        (&id.digest, Type::TEXT),
        (&at, Type::INT8),
    ];
    match client.execute_typed(INSERT, &params).await.map_err(Error::from) {
        Ok(_) => Ok(()),
        Err(Error::Failed(code, _)) if code == UNIQUE_VIOLATION => Err(Error::Conflict),
        Err(Error::Failed(code, _)) if code == NO_TABLE => Err(Error::NoTable),
        Err(failure) => Err(failure),
    }
}

/// Writes the outcome into the claimed row; returns the number of updated rows.
pub async fn update(client: &Client, id: &Id, outcome: &str) -> Result<u64, tokio_postgres::Error> {
    let account = i64::from(id.account);
    let params: [(&(dyn ToSql + Sync), Type); 3] =
        [(&account, Type::INT8), (&id.key, Type::TEXT), (&outcome, Type::TEXT)];
    client.execute_typed(UPDATE, &params).await
}

/// Finds the row, and the position of the last log entry, which is at or after the row's entry.
pub async fn find(
    client: &Client,
    id: &Id,
) -> Result<(Option<Row>, Position), tokio_postgres::Error> {
    let account = i64::from(id.account);
    let params: [(&(dyn ToSql + Sync), Type); 2] = [(&account, Type::INT8), (&id.key, Type::TEXT)];
    let row = client.query_typed_opt(SELECT, &params);
    let status = client.query_typed_one(STATUS, &[]);
    let (row, status) = futures::try_join!(row, status)?;
    let row = match row {
        Some(row) => Some(Row { digest: row.try_get(0)?, outcome: row.try_get(1)? }),
        None => None,
    };
    let entry = (status.try_get::<_, i64>("entry_term")?, status.try_get::<_, i64>("entry_index")?);
    Ok((row, Position::new(entry.0.unsigned_abs(), entry.1.unsigned_abs())))
}

/// Removes a limited number of rows that are older than `retention`; returns their number.
pub async fn prune(client: &Client, retention: Duration) -> Result<u64, tokio_postgres::Error> {
    let before = idempotency::prune_before(unix_time(), retention);
    let params: [(&(dyn ToSql + Sync), Type); 2] =
        [(&before, Type::INT8), (&MAX_PRUNED_ROWS, Type::INT8)];
    client.batch_execute("SET default_transaction_read_only = off").await?;
    client.batch_execute("BEGIN READ WRITE").await?;
    let pruned = client.execute_typed(PRUNE, &params).await?;
    client.batch_execute("COMMIT").await?;
    Ok(pruned)
}

/// Encodes `rows` as the text that is stored; fails if it exceeds [`MAX_BYTES`].
pub fn encode(rows: &Rows) -> Result<String, Fault> {
    let text = serde_json::to_string(rows)?;
    if text.len() > MAX_BYTES {
        return Err(format!("the outcome is over {MAX_BYTES} bytes").into());
    }
    Ok(text)
}

/// Decodes the rows from a stored text.
pub fn decode(text: &str) -> Result<Rows, value::Fault> {
    Ok(serde_json::from_str(text)?)
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
