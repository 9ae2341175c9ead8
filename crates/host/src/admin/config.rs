//! Calls that change the configuration, the keys or the log level.

use super::{Call, CallResult, Fault, audit, ok};
use crate::auth;
use crate::fleet::change;
use crate::platform::hex;
use crate::shared::Host;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bergamotvale_core::config::{self, Document};
use bergamotvale_core::id::KeyId;
use bergamotvale_core::key;
use bergamotvale_core::plan::Issued;
use log::LevelFilter;
use serde::Deserialize;
use serde_json::{Value, json};
use xitca_web::http::StatusCode;

/// Random bytes in a key's secret.
const SECRET_BYTES: usize = 32;
/// Key ids are below this limit, so that JSON readers which use doubles represent them exactly.
const KEY_ID_LIMIT: KeyId = 1 << 48;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Level {
    level: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Account {
    account: String,
}

pub(super) async fn set_log_level(call: Call) -> CallResult {
    let Level { level } = call.parse()?;
    let level: LevelFilter =
        level.parse().map_err(|_| Fault::Malformed("no such log level".to_owned()))?;
    match call.host.log_control.get() {
        Some(control) => control.set_level(level),
        None => log::set_max_level(level),
    }
    ok(json!({ "level": level.to_string().to_lowercase() }))
}

/// The configuration without salts and digests.
pub(super) fn redacted(host: &Host) -> Value {
    let mut document = json!(*host.document());
    for key in document["keys"].as_object_mut().into_iter().flat_map(|keys| keys.values_mut()) {
        if let Some(key) = key.as_object_mut() {
            key.remove("salt");
            key.remove("digest");
        }
    }
    document
}

/// Publishes the first configuration.
pub(super) async fn create(call: Call) -> CallResult {
    let mut document: Document = call.parse()?;
    document.version = 1;
    let host = &call.host;
    if host.fleet.row().version > 0 {
        return Err(Fault::Exists);
    }
    let accepted = change::bootstrap(host, document).await.map_err(|fault| match fault {
        change::Fault::Overtaken => Fault::Exists,
        fault => fault.into(),
    })?;
    audit::add(host, &call.operator, "put configuration", "accepted").await;
    ok(json!({ "accepted": accepted.version }))
}

pub(super) async fn issue_key(call: Call) -> CallResult {
    let Account { account } = call.parse()?;
    let host = &call.host;
    let id = host.document().account_named(&account).ok_or(Fault::NotFound)?;
    let (issued, text) = new_key();
    let requested = issued.clone();
    change::publish(host, |document| {
        let Issued { key_id, salt, digest } = requested.clone();
        if document.keys.contains_key(&key_id) {
            return Ok(Vec::new());
        }
        if !document.accounts.contains_key(&id) {
            return Err(config::Fault::NoAccount(id));
        }
        Ok(key::issue(document, key_id, id, salt, digest).into_iter().collect())
    })
    .await?;
    let action = format!("issue key {} for {account}", issued.key_id);
    audit::add(host, &call.operator, &action, "accepted").await;
    Ok((StatusCode::CREATED, json!({ "key_id": issued.key_id, "key": text })))
}

pub(super) async fn withdraw_key(call: Call, id: KeyId) -> CallResult {
    let host = &call.host;
    if !host.document().keys.contains_key(&id) {
        return Err(Fault::NotFound);
    }
    let accepted = change::publish(host, |document| {
        let edit = key::is_active(document, id).then(|| key::withdraw(document, id)).flatten();
        Ok(edit.into_iter().collect())
    })
    .await?;
    audit::add(host, &call.operator, &format!("withdraw key {id}"), "accepted").await;
    ok(json!({ "accepted": accepted.version }))
}

/// Generates a key: the part that the configuration stores, and the text that is shown only once.
pub(super) fn new_key() -> (Issued, String) {
    let secret = URL_SAFE_NO_PAD.encode(rand::random::<[u8; SECRET_BYTES]>());
    let salt = hex(&rand::random::<[u8; config::DIGEST_BYTES]>());
    let digest = auth::digest(&salt, &secret);
    let key_id = 1 + rand::random::<u64>() % (KEY_ID_LIMIT - 1);
    let text = key::format(key_id, &secret);
    (Issued { key_id, salt, digest }, text)
}
