//! Single read-only statements.

use super::{Answer, value};
use crate::shared::Host;
use crate::target::probe::position;
use bergamotvale_core::id::{AccountId, ServiceId, Time};
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::Statement;
use std::sync::Arc;

const POSITION: &str = "SELECT * FROM group_position()";

/// Reads on the primary.
pub async fn run(
    host: &Arc<Host>,
    account: AccountId,
    service: ServiceId,
    statement: &Statement,
    mut token: Token,
    deadline: Time,
) -> Result<Answer, Refusal> {
    let primary = host.pools.primary(service);
    let target = primary.ok_or_else(|| Refusal::new(Reason::NoPrimary, "no primary is known"))?;
    let lease = host.pools.acquire(host, (service, target), account, deadline).await?;
    let params = value::bind(statement);
    let before = lease.client().query_typed_one(POSITION, &[]);
    let rows = lease.client().query_typed(&statement.sql, &params);
    let (before, rows) = tokio::try_join!(before, rows).map_err(failed)?;
    let confirmed = position(&before, "confirmed_term", "confirmed_index").map_err(lost)?;
    lease.release_clean();
    token.observe(service, confirmed);
    let rows = value::decode(&rows, 0).map_err(lost)?;
    Ok(Answer { rows, token, target, primary: true, replayed: false })
}

/// Refusal for an error that the database gave.
pub(super) fn failed(error: tokio_postgres::Error) -> Refusal {
    Refusal::new(Reason::StatementFailed, error.to_string())
}

/// Refusal for an answer that cannot be read.
pub(super) fn lost(error: crate::Error) -> Refusal {
    Refusal::new(Reason::ConnectionLost, error.to_string()).with_ran(Ran::Unknown)
}
