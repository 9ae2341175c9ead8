//! Single writes, each in a transaction of its own.

use super::read::{failed, lost};
use super::{Answer, value};
use crate::shared::Host;
use crate::target::probe::position;
use bergamotvale_core::id::{AccountId, ServiceId, Time};
use bergamotvale_core::refusal::{Ran, Reason, Refusal};
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::Statement;
use std::sync::Arc;
use tokio_postgres::types::ToSql;

const COMMITTED: &str = "SELECT * FROM group_commit()";
const CONFIRMED: &str = "SELECT * FROM group_confirmed($1, $2, $3)";

/// Writes on the primary and waits until a majority has the entry.
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
    let client = lease.client();
    let params = value::bind(statement);
    client.batch_execute("BEGIN").await.map_err(failed)?;
    let rows = client.query_typed(&statement.sql, &params).await.map_err(failed)?;
    let unknown = |e: tokio_postgres::Error| {
        Refusal::new(Reason::ConnectionLost, e.to_string()).with_ran(Ran::Unknown)
    };
    client.batch_execute("COMMIT").await.map_err(unknown)?;
    let entry = client.query_typed_one(COMMITTED, &[]).await.map_err(unknown)?;
    let entry = position(&entry, "term", "index").map_err(lost)?;
    let left = deadline.saturating_sub(host.clock.now()).as_millis();
    let number = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    let (term, index, left) = (number(entry.term), number(entry.index), left as i64);
    let wait: [(&(dyn ToSql + Sync), _); 3] = [
        (&term, tokio_postgres::types::Type::INT8),
        (&index, tokio_postgres::types::Type::INT8),
        (&left, tokio_postgres::types::Type::INT8),
    ];
    let confirmed = client.query_typed_one(CONFIRMED, &wait).await.map_err(unknown)?;
    let confirmed = position(&confirmed, "confirmed_term", "confirmed_index").map_err(lost)?;
    if confirmed < entry {
        let refusal = Refusal::new(Reason::DeadlineExceeded, "no majority confirmed in time");
        return Err(refusal.with_ran(Ran::Unknown));
    }
    lease.release_clean();
    token.observe(service, entry);
    let rows = value::decode(&rows, 0).map_err(lost)?;
    Ok(Answer { rows, token, target, primary: true, replayed: false })
}
