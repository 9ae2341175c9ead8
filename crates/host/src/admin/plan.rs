//! Plans: proposed, shown, confirmed. Each is a row of the platform's table.

use super::{Answer, Call, Fault, audit, config, ok, runner};
use crate::platform::{self, CONFIG_ROW, Check, Put, Response as Stored, Transaction};
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
/// Tries of a call that the platform did not answer or that met another change.
const TRIES: u32 = 10;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(100);
/// Plan ids are milliseconds times this, so that two hosts seldom meet.
const IDS_A_MILLISECOND: u64 = 64;

pub(super) fn key(id: PlanId) -> String {
    format!("{PREFIX}{id:017}")
}

/// The record of a plan and the version of its row.
pub(super) async fn load(host: &Host, id: PlanId) -> Result<(u64, Record), Fault> {
    let row = host.platform.row(&key(id)).await?.ok_or(Fault::NotFound)?;
    let record = serde_json::from_value(row.value).map_err(crate::Error::from)?;
    Ok((row.version, record))
}

/// Every plan with the version of its row.
pub(super) async fn load_all(host: &Host) -> Result<Vec<(u64, Record)>, crate::Error> {
    let rows = host.platform.rows(PREFIX).await?;
    rows.into_iter().map(|row| Ok((row.version, serde_json::from_value(row.value)?))).collect()
}

pub(super) async fn list(call: Call) -> Answer {
    let records = load_all(&call.host).await?;
    let plans: Vec<_> = records.into_iter().map(|(_, record)| record.plan).collect();
    ok(json!(plans))
}

pub(super) async fn show(call: Call, id: PlanId) -> Answer {
    let (_, record) = load(&call.host, id).await?;
    ok(json!(record.plan))
}

pub(super) async fn propose(call: Call) -> Answer {
    let intent: Intent = call.parse()?;
    let host = &call.host;
    for _ in 0..TRIES {
        let (document, row) = (host.document(), host.fleet.row());
        let record = plan::propose(new_id(), &document, &row, intent.clone())?;
        let put = Put { key: key(record.plan.id), value: json!(record) };
        let checks = vec![Check { key: put.key.clone(), version: 0 }];
        let transaction = Transaction { checks, puts: vec![put], deletes: Vec::new() };
        // An answer that was lost leaves behind a proposal that nobody confirms.
        if let Ok(Stored::Committed(_)) = host.platform.transact(&transaction).await {
            return Ok((StatusCode::CREATED, json!(record.plan)));
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(crate::fleet::change::Fault::NotWritten.into())
}

pub(super) async fn confirm(call: Call, id: PlanId) -> Answer {
    let host = &call.host;
    let own = host.fleet.own_member();
    let runner = Runner { host: own.host, incarnation: own.incarnation };
    let confirmation = rand::random();
    let (issued, key_text) = config::new_key();
    for _ in 0..TRIES {
        let (plan_version, record) = load(host, id).await?;
        if record.confirmation == confirmation {
            return Ok(confirmed(host, record, &key_text));
        }
        let (config_version, row) = crate::fleet::follow::read_row(host).await?;
        let next = match record.confirm(row.version, &call.operator, runner, confirmation) {
            Ok(next) if next.issues_key() => next.with_issued(issued.clone()),
            Ok(next) => next,
            Err(Refusal::Confirmed) => return Err(Fault::Confirmed),
            Err(Refusal::Stale) => return Err(stale(host, &record).await),
        };
        let audit = audit::put(host, &call.operator, "confirm", Some(id), "confirmed");
        let transaction = Transaction {
            checks: vec![
                Check { key: key(id), version: plan_version },
                Check { key: CONFIG_ROW.to_owned(), version: config_version },
            ],
            puts: vec![Put { key: key(id), value: json!(next) }, audit],
            deletes: Vec::new(),
        };
        match host.platform.transact(&transaction).await {
            Ok(Stored::Committed(_)) => return Ok(confirmed(host, next, &key_text)),
            // Another change came first: look again at what it was.
            Ok(Stored::Conflict(_)) => {}
            Err(error) if platform::has_unknown_outcome(&error) => tokio::time::sleep(PAUSE).await,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
    Err(crate::fleet::change::Fault::Unknown.into())
}

/// Starts the confirmed plan; the answer shows a new key this once.
fn confirmed(host: &Arc<Host>, record: Record, key_text: &str) -> (StatusCode, Value) {
    let mut body = json!(record.plan);
    if let Some(issued) = &record.issued {
        body["issued"] = json!({ "key_id": issued.key_id, "key": key_text });
    }
    tokio::spawn(runner::run(host.clone(), record.plan.id));
    (StatusCode::OK, body)
}

async fn stale(host: &Host, record: &Record) -> Fault {
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
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX / IDS_A_MILLISECOND);
    millis * IDS_A_MILLISECOND + rand::random::<u64>() % IDS_A_MILLISECOND
}
