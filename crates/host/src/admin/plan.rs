//! Calls that propose, list, show and confirm plans. Each plan is a row of the platform's table.

use super::{Call, CallResult, Fault, audit, config, ok, runner};
use crate::platform::{self, CONFIG_ROW, Check, Put, Response, Transaction};
use crate::shared::Host;
use bergamotvale_core::config::Document;
use bergamotvale_core::distribute::Row;
use bergamotvale_core::id::PlanId;
use bergamotvale_core::plan::{self, Intent, Record, Refusal, Runner};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use xitca_web::http::StatusCode;

/// Prefix of the rows' keys.
pub(super) const PREFIX: &str = "plan.";
/// Attempts of a transaction that the platform did not respond to, or that conflicted with another
/// change.
const MAX_ATTEMPTS: u32 = 10;
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of plan ids per millisecond of wall-clock time; a host draws one of them at random, so
/// that two hosts rarely choose the same id.
const IDS_PER_MILLISECOND: u64 = 64;

/// Key of the row of a plan.
pub(super) fn row_key(id: PlanId) -> String {
    format!("{PREFIX}{id:017}")
}

/// Reads the record of a plan, with the version of its row.
pub(super) async fn load(host: &Host, id: PlanId) -> Result<(u64, Record), Fault> {
    let row = host.platform.row(&row_key(id)).await?.ok_or(Fault::NotFound)?;
    let record = serde_json::from_value(row.value).map_err(crate::Error::from)?;
    Ok((row.version, record))
}

/// Reads the records of all plans, each with the version of its row.
pub(super) async fn load_all(host: &Host) -> Result<Vec<(u64, Record)>, crate::Error> {
    let rows = host.platform.rows(PREFIX).await?;
    rows.into_iter().map(|row| Ok((row.version, serde_json::from_value(row.value)?))).collect()
}

pub(super) async fn list(call: Call) -> CallResult {
    let records = load_all(&call.host).await?;
    let plans: Vec<_> = records.into_iter().map(|(_, record)| record.plan).collect();
    ok(json!(plans))
}

pub(super) async fn show(call: Call, id: PlanId) -> CallResult {
    let (_, record) = load(&call.host, id).await?;
    ok(json!(record.plan))
}

pub(super) async fn propose(call: Call) -> CallResult {
    let intent: Intent = call.parse()?;
    let host = &call.host;
    for _ in 0..MAX_ATTEMPTS {
        let (document, row) = (host.document(), host.fleet.row());
        let record = plan::propose(new_id(), &document, &row, intent.clone())?;
        let put = Put { key: row_key(record.plan.id), value: json!(record) };
        let checks = vec![Check { key: put.key.clone(), version: 0 }];
        let transaction = Transaction { checks, puts: vec![put], deletes: Vec::new() };
        // If the response is lost, a proposal may remain that nobody confirms.
        if let Ok(Response::Committed(_)) = host.platform.transact(&transaction).await {
            return Ok((StatusCode::CREATED, json!(record.plan)));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(crate::fleet::change::Fault::NotWritten.into())
}

pub(super) async fn confirm(call: Call, id: PlanId) -> CallResult {
    let host = &call.host;
    let own = host.fleet.own_member();
    let runner = Runner { host: own.host, incarnation: own.incarnation };
    let confirmation = rand::random();
    let (issued, key_text) = config::new_key();
    for _ in 0..MAX_ATTEMPTS {
        let (plan_version, record) = load(host, id).await?;
        if record.confirmation == confirmation {
            return Ok(start(host, record, &key_text));
        }
        let (config_version, row) = crate::fleet::follow::read_row(host).await?;
        let next = match record.confirm(row.version, &call.operator, runner, confirmation) {
            Ok(next) if next.issues_key() => next.with_issued(issued.clone()),
            Ok(next) => next,
            Err(Refusal::Confirmed) => return Err(Fault::Confirmed),
            Err(Refusal::Stale) => return Err(stale_fault(host, &record).await),
        };
        let audit = audit::put(host, &call.operator, "confirm", Some(id), "confirmed");
        let transaction = Transaction {
            checks: vec![
                Check { key: row_key(id), version: plan_version },
                Check { key: CONFIG_ROW.to_owned(), version: config_version },
            ],
            puts: vec![Put { key: row_key(id), value: json!(next) }, audit],
            deletes: Vec::new(),
        };
        match host.platform.transact(&transaction).await {
            Ok(Response::Committed(_)) => return Ok(start(host, next, &key_text)),
            // Another change was written first: read it and try again.
            Ok(Response::Conflict(_)) => {}
            Err(error) if platform::has_unknown_outcome(&error) => {
                tokio::time::sleep(RETRY_DELAY).await
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
    Err(crate::fleet::change::Fault::Unknown.into())
}

/// Starts a confirmed plan and builds the response, the only one that shows a key which the plan
/// issues.
fn start(host: &Arc<Host>, record: Record, key_text: &str) -> (StatusCode, Value) {
    let mut body = json!(record.plan);
    if let Some(issued) = &record.issued {
        body["issued"] = json!({ "key_id": issued.key_id, "key": key_text });
    }
    tokio::spawn(runner::run(host.clone(), record.plan.id));
    (StatusCode::OK, body)
}

/// The fault for a plan that was made from an older configuration, with what has changed since.
async fn stale_fault(host: &Host, record: &Record) -> Fault {
    let old = match host.platform.object(&record.base).await {
        Ok(body) => serde_json::from_slice::<Document>(&body).ok(),
        Err(_) => None,
    };
    let row: Row = host.fleet.row();
    let versions = format!("version {} is now {}", record.plan.version, row.version);
    let mut changed = vec![versions];
    if let Some(old) = old {
        changed.extend(plan::differences(&old, &host.document()));
    }
    Fault::Stale(changed)
}

fn new_id() -> PlanId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX / IDS_PER_MILLISECOND);
    millis * IDS_PER_MILLISECOND + rand::random::<u64>() % IDS_PER_MILLISECOND
}
