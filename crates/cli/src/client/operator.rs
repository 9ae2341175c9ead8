//! Client of the operators' API.

use crate::client::problem::Problem;
use crate::client::report::{Audit, ConfirmedPlan, IssuedKey, Metrics, Status};
use crate::error::{Error, Result};
use bergamotvale_core::id::{KeyId, PlanId};
use bergamotvale_core::plan::{Intent, Plan, State};
use reqwest::Method;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const PLAN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Client that acts for one operator, through one host of the fleet.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
    key: String,
}

impl Client {
    /// Creates a client that sends `key` to the operators' listener at `address`.
    pub fn new(http: reqwest::Client, address: SocketAddr, key: &str) -> Client {
        Client { http, base: format!("http://{address}"), key: key.to_owned() }
    }

    /// Switches the client to TLS.
    pub fn with_tls(mut self) -> Client {
        self.base = self.base.replacen("http://", "https://", 1);
        self
    }

    /// Returns the fleet's state as the host knows it.
    pub async fn status(&self) -> Result<Status> {
        self.call(Method::GET, "/v1/status", None).await
    }

    /// Returns the host's counters and gauges.
    pub async fn metrics(&self) -> Result<Metrics> {
        self.call(Method::GET, "/v1/metrics", None).await
    }

    /// Sets the host's log level, by its lower-case name.
    pub async fn set_log_level(&self, level: &str) -> Result<()> {
        self.send(Method::PUT, "/v1/log-level", Some(json!({ "level": level }))).await?;
        Ok(())
    }

    /// Returns the configuration without the digests of keys.
    pub async fn config(&self) -> Result<Value> {
        self.call(Method::GET, "/v1/config", None).await
    }

    /// Publishes the first configuration; the host refuses if there is one already.
    pub async fn put_config(&self, document: Value) -> Result<()> {
        self.send(Method::PUT, "/v1/config", Some(document)).await?;
        Ok(())
    }

    /// Issues a key to the client account with the name `account`.
    pub async fn issue_key(&self, account: &str) -> Result<IssuedKey> {
        self.call(Method::POST, "/v1/keys", Some(json!({ "account": account }))).await
    }

    /// Withdraws a key and returns the version of the configuration that does so.
    pub async fn withdraw_key(&self, key: KeyId) -> Result<Value> {
        self.call(Method::POST, &format!("/v1/keys/{key}/withdraw"), None).await
    }

    /// Proposes an intent and returns its plan, which changes nothing until it is confirmed.
    pub async fn propose(&self, intent: &Intent) -> Result<Plan> {
        self.call(Method::POST, "/v1/plans", Some(json!(intent))).await
    }

    /// Returns all plans that the host knows.
    pub async fn plans(&self) -> Result<Vec<Plan>> {
        let body: Value = self.call(Method::GET, "/v1/plans", None).await?;
        let plans = body.get("plans").cloned().unwrap_or(body);
        serde_json::from_value(plans).map_err(parse_error)
    }

    /// Returns the plan with its progress.
    pub async fn plan(&self, plan: PlanId) -> Result<Plan> {
        self.call(Method::GET, &format!("/v1/plans/{plan}"), None).await
    }

    /// Confirms a plan, which the fleet then executes. Only this response contains a new key.
    pub async fn confirm(&self, plan: PlanId) -> Result<ConfirmedPlan> {
        self.call(Method::POST, &format!("/v1/plans/{plan}/confirm"), None).await
    }

    /// Polls a plan until it is done or has failed; fails if it is still running after `timeout`.
    pub async fn wait(&self, plan: PlanId, timeout: Duration) -> Result<Plan> {
        let deadline = std::time::Instant::now() + timeout;
        loop {
            let current = self.plan(plan).await?;
            if matches!(current.state, State::Done | State::Failed) {
                return Ok(current);
            }
            if std::time::Instant::now() >= deadline {
                return Err(Error::Verdict(format!("plan {plan} is still {}", current.state)));
            }
            tokio::time::sleep(PLAN_POLL_INTERVAL).await;
        }
    }

    /// Returns the audit log.
    pub async fn audit(&self) -> Result<Audit> {
        self.call(Method::GET, "/v1/audit", None).await
    }

    async fn call<T>(&self, method: Method, path: &str, body: Option<Value>) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let body = self.send(method, path, body).await?;
        serde_json::from_slice(&body).map_err(parse_error)
    }

    async fn send(&self, method: Method, path: &str, body: Option<Value>) -> Result<Vec<u8>> {
        let mut request = self
            .http
            .request(method, format!("{}{path}", self.base))
            .bearer_auth(&self.key)
            .timeout(CALL_TIMEOUT);
        if let Some(body) = body {
            request = request.json(&body);
        }
        let response = request.send().await?;
        let status = response.status();
        let body = response.bytes().await?;
        if status.is_success() {
            return Ok(body.to_vec());
        }
        Err(Problem::new(status.as_u16(), None, &body).into())
    }
}

fn parse_error(error: serde_json::Error) -> Error {
    Error::Unreachable(format!("the host's answer can't be read: {error}"))
}
