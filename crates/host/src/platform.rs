//! Client of the platform's table service, object store and list of hosts.
//!
//! Every call passes a gate (see [`bergamotvale_core::store`]) and has a deadline. A failed write
//! is either certainly not done, or lost: [`has_unknown_outcome`] tells which, and a lost one has to be read
//! back before anything is said of it.

mod call;
mod hosts;

pub use call::Traffic;
pub use hosts::HostEntry;

use crate::error::{Error, Result};
use crate::settings::Settings;
use reqwest::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Row that names the configuration in force.
pub const CONFIG_ROW: &str = "config.current";
/// Tells the platform which host calls.
const HOST_HEADER: &str = "bergamotvale-host";

/// Client of the platform.
pub struct Client {
    http: reqwest::Client,
    base: String,
    host: String,
    calls: call::Calls,
}

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version; 0 when it is absent.
    pub version: u64,
    /// Its value.
    #[serde(default)]
    pub value: Value,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Check {
    /// Row.
    pub key: String,
    /// Version that it must have.
    pub version: u64,
}

/// A row to be written.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Put {
    /// Row.
    pub key: String,
    /// Its new value.
    pub value: Value,
}

/// A transaction over rows: all or nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to delete.
    pub deletes: Vec<String>,
}

/// How a transaction went.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// It took effect; the rows with their new versions.
    Committed(Vec<Row>),
    /// A check failed; the rows as they are.
    Conflict(Vec<Row>),
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

impl Client {
    /// A client with the deadline of the settings.
    pub fn new(settings: &Settings) -> Result<Client> {
        let http = reqwest::Client::builder().timeout(settings.platform.timeout).build()?;
        let base = format!("http://{}", settings.platform.address);
        let calls = call::Calls::new();
        Ok(Client { http, base, host: settings.host.to_string(), calls })
    }

    /// Calls made so far.
    pub fn traffic(&self) -> Traffic {
        self.calls.traffic()
    }

    /// The row under `key`.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        let request = self.http.get(format!("{}/table/rows/{key}", self.base));
        let response = self.read(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(response.json().await?))
    }

    /// Rows whose key begins with `prefix`, in order of key.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>> {
        let request = self.http.get(format!("{}/table/rows?prefix={prefix}", self.base));
        Ok(self.read(request).await?.json::<Rows>().await?.rows)
    }

    /// Runs `transaction`. See [`has_unknown_outcome`] for what an error means.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Response> {
        let request = self.http.post(format!("{}/table/transactions", self.base));
        let response = self.write(request.json(transaction)).await?;
        if response.status() == StatusCode::CONFLICT {
            return Ok(Response::Conflict(response.json::<Rows>().await?.rows));
        }
        Ok(Response::Committed(response.json::<Rows>().await?.rows))
    }

    /// Stores `body` under its digest, which is returned.
    pub async fn put_object(&self, body: Vec<u8>) -> Result<String> {
        let digest = hex(&Sha256::digest(&body));
        let request = self.http.put(format!("{}/objects/{digest}", self.base));
        self.write(request.body(body)).await?;
        Ok(digest)
    }

    /// The object under `digest`.
    pub async fn object(&self, digest: &str) -> Result<Vec<u8>> {
        let request = self.http.get(format!("{}/objects/{digest}", self.base));
        Ok(self.read(request).await?.bytes().await?.to_vec())
    }
}

/// Whether a write that failed with `error` may have taken effect all the same.
pub fn has_unknown_outcome(error: &Error) -> bool {
    match error {
        Error::Platform(error) => !error.is_connect() && !error.is_status(),
        Error::Gate(_) => false,
        _ => true,
    }
}

/// Lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
        text
    })
}
