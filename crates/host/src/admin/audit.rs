//! The audit trail: who changed what, in rows of the platform's table.

use super::{Answer, Call, ok};
use crate::platform::{Put, Transaction};
use crate::shared::Host;
use bergamotvale_core::id::PlanId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Prefix of the rows' keys; the rest sorts by wall-clock time, for people.
const PREFIX: &str = "audit.";
/// Tries to write an entry.
const TRIES: u32 = 5;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(200);

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time, RFC 3339.
    pub at: String,
    /// Who.
    pub operator: String,
    /// What.
    pub action: String,
    /// Plan that it belongs to.
    pub plan: Option<PlanId>,
    /// How it ended.
    pub outcome: String,
}

/// The row that adds an entry.
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

/// Adds an entry that stands alone; idempotent, since the key is its own.
pub(super) async fn add(host: &Host, operator: &str, action: &str, outcome: &str) {
    let puts = vec![put(host, operator, action, None, outcome)];
    let transaction = Transaction { puts, ..Transaction::default() };
    for _ in 0..TRIES {
        match host.platform.transact(&transaction).await {
            Ok(_) => return,
            Err(error) => log::warn!("audit entry not written: {error}"),
        }
        tokio::time::sleep(PAUSE).await;
    }
    log::error!("audit entry lost: operator {operator}: {action}: {outcome}");
}

pub(super) async fn list(call: Call) -> Answer {
    let rows = call.host.platform.rows(PREFIX).await?;
    let entries: Vec<Value> = rows.into_iter().map(|row| row.value).collect();
    ok(json!({ "entries": entries }))
}
