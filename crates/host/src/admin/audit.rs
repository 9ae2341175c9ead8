//! The audit trail: records which operator changed what, in rows of the platform's table.

use super::{Call, CallResult, ok};
use crate::platform::{Put, Transaction};
use crate::shared::Host;
use bergamotvale_core::id::PlanId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Prefix of the rows' keys. The rest of the key starts with the wall-clock time in milliseconds,
/// so that people read the list in order of time.
const PREFIX: &str = "audit.";
/// Attempts to write an entry before it is given up.
const MAX_ATTEMPTS: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time of the action, RFC 3339.
    pub at: String,
    /// Name of the operator.
    pub operator: String,
    /// What the operator did.
    pub action: String,
    /// Plan that the action belongs to, if any.
    pub plan: Option<PlanId>,
    /// Outcome of the action.
    pub outcome: String,
}

/// The row that adds an entry, for a transaction that also writes other rows.
pub(super) fn put(
    host: &Host,
    operator: &str,
    action: &str,
    plan: Option<PlanId>,
    outcome: &str,
) -> Put {
    static SEQUENCE: AtomicU64 = AtomicU64::new(0);
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let now = SystemTime::now();
    let millis = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let entry = Entry {
        at: humantime::format_rfc3339_millis(now).to_string(),
        operator: operator.to_owned(),
        action: action.to_owned(),
        plan,
        outcome: outcome.to_owned(),
    };
    Put {
        key: format!("{PREFIX}{millis:014}.{}.{sequence}", host.settings.host),
        value: serde_json::to_value(entry).expect("plain data is JSON"),
    }
}

/// Writes an entry in a transaction of its own. Retries are idempotent, because the key is unique.
pub(super) async fn add(host: &Host, operator: &str, action: &str, outcome: &str) {
    let puts = vec![put(host, operator, action, None, outcome)];
    let transaction = Transaction { puts, ..Transaction::default() };
    for _ in 0..MAX_ATTEMPTS {
        match host.platform.transact(&transaction).await {
            Ok(_) => return,
            Err(error) => log::warn!("cannot write an audit entry: {error}"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    log::error!("gave up writing an audit entry: operator {operator}: {action}: {outcome}");
}

pub(super) async fn list(call: Call) -> CallResult {
    let rows = call.host.platform.rows(PREFIX).await?;
    let entries: Vec<Value> = rows.into_iter().map(|row| row.value).collect();
    ok(json!({ "entries": entries }))
}
