//! Client of the platform's table service, object store and list of hosts.
//!
//! Every call is admitted by a gate (see [`bergamotvale_core::store`]) and has a timeout. A write
//! that fails has either not taken effect or has an unknown outcome; [`has_unknown_outcome`] tells
//! which. The caller must read an unknown outcome back before it acts on it or reports it.

mod call;
mod hosts;

pub use call::Traffic;
pub use hosts::{HostEntry, decode_list};

use crate::error::{Error, Result};
use crate::settings::Settings;
use reqwest::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Key of the row that names the current configuration.
pub const CONFIG_ROW: &str = "config.current";
/// Header that names the calling host.
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
    /// Key, unique in the table.
    pub key: String,
    /// Version, which each write increases; 0 if the row is absent.
    pub version: u64,
    /// Value; null if the row is absent.
    #[serde(default)]
    pub value: Value,
}

/// A condition of a transaction: the version that a row must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Expected version; 0 if the row must be absent.
    pub version: u64,
}

/// A row that a transaction writes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Value,
}

/// An atomic transaction over rows.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions, all of which must be met.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// The platform's response to a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The transaction took effect; the rows with their new versions.
    Committed(Vec<Row>),
    /// A check failed and nothing was written; the rows as they are.
    Conflict(Vec<Row>),
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

impl Client {
    /// A client that calls the platform with the address and timeout in `settings`.
    pub fn new(settings: &Settings) -> Result<Client> {
        let http = reqwest::Client::builder().timeout(settings.platform.timeout).build()?;
        let base = format!("http://{}", settings.platform.address);
        let calls = call::Calls::new();
        Ok(Client { http, base, host: settings.host.to_string(), calls })
    }

    /// Counts of the calls since the client was created.
    pub fn traffic(&self) -> Traffic {
        self.calls.traffic()
    }

    /// Reads the row with this key; `None` if it is absent.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        let request = self.http.get(format!("{}/table/rows/{key}", self.base));
        let response = self.read(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(response.json().await?))
    }

    /// Reads the rows whose key starts with `prefix`, in key order.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>> {
        let request = self.http.get(format!("{}/table/rows?prefix={prefix}", self.base));
        Ok(self.read(request).await?.json::<Rows>().await?.rows)
    }

    /// Runs `transaction`. After an error, [`has_unknown_outcome`] tells whether it may have taken
    /// effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Response> {
        let request = self.http.post(format!("{}/table/transactions", self.base));
        let response = self.write(request.json(transaction)).await?;
        if response.status() == StatusCode::CONFLICT {
            return Ok(Response::Conflict(response.json::<Rows>().await?.rows));
        }
        Ok(Response::Committed(response.json::<Rows>().await?.rows))
    }

    /// Stores `body` under its SHA-256 digest and returns the digest.
    pub async fn put_object(&self, body: Vec<u8>) -> Result<String> {
        let digest = hex(&Sha256::digest(&body));
        let request = self.http.put(format!("{}/objects/{digest}", self.base));
        self.write(request.body(body)).await?;
        Ok(digest)
    }

    /// Reads the object with this digest.
    pub async fn object(&self, digest: &str) -> Result<Vec<u8>> {
        let request = self.http.get(format!("{}/objects/{digest}", self.base));
        Ok(self.read(request).await?.bytes().await?.to_vec())
    }
}

/// Whether a write that failed with `error` may have taken effect nevertheless.
pub fn has_unknown_outcome(error: &Error) -> bool {
    match error {
        Error::Platform(error) => !error.is_connect() && !error.is_status(),
        Error::Gate(_) => false,
        _ => true,
    }
}

/// Encodes `bytes` in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
        text
    })
}
