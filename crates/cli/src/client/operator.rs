//! Client of the operators' interface.

use crate::client::problem::Problem;
use crate::client::report::{Audit, Confirmed, Issued, Metrics, Status};
use crate::error::{Error, Result};
use bergamotvale_core::id::{KeyId, PlanId};
use bergamotvale_core::plan::{Intent, Plan, State};
use reqwest::Method;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an operator's call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks at a running plan.
const PLAN_POLL_PERIOD: Duration = Duration::from_millis(200);

/// An operator of the fleet, through one host.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
    key: String,
}

impl Client {
    /// An operator with `key` at the host's listener `address`.
    pub fn new(http: reqwest::Client, address: SocketAddr, key: &str) -> Client {
        Client { http, base: format!("http://{address}"), key: key.to_owned() }
    }

    /// The same client over TLS.
    pub fn with_tls(mut self) -> Client {
        self.base = self.base.replacen("http://", "https://", 1);
        self
    }

    /// The host's view of the fleet.
    pub async fn status(&self) -> Result<Status> {
        self.call(Method::GET, "/v1/status", None).await
    }

    /// Counters and gauges.
    pub async fn metrics(&self) -> Result<Metrics> {
        self.call(Method::GET, "/v1/metrics", None).await
    }

    /// Sets the log level.
    pub async fn set_log_level(&self, level: &str) -> Result<()> {
        self.send(Method::PUT, "/v1/log-level", Some(json!({ "level": level }))).await?;
        Ok(())
    }

    /// The configuration, key digests left out.
    pub async fn config(&self) -> Result<Value> {
        self.call(Method::GET, "/v1/config", None).await
    }

    /// Puts the first configuration.
    pub async fn put_config(&self, document: Value) -> Result<()> {
        self.send(Method::PUT, "/v1/config", Some(document)).await?;
        Ok(())
    }

    /// Issues a key to the client account of this name.
    pub async fn issue_key(&self, account: &str) -> Result<Issued> {
        self.call(Method::POST, "/v1/keys", Some(json!({ "account": account }))).await
    }

    /// Withdraws a key; answers with the version that does so.
    pub async fn withdraw_key(&self, key: KeyId) -> Result<Value> {
        self.call(Method::POST, &format!("/v1/keys/{key}/withdraw"), None).await
    }

    /// States an intent.
    pub async fn propose(&self, intent: &Intent) -> Result<Plan> {
        self.call(Method::POST, "/v1/plans", Some(json!(intent))).await
    }

    /// Every plan.
    pub async fn plans(&self) -> Result<Vec<Plan>> {
        let answer: Value = self.call(Method::GET, "/v1/plans", None).await?;
        let plans = answer.get("plans").cloned().unwrap_or(answer);
        serde_json::from_value(plans).map_err(unreadable)
    }

    /// One plan.
    pub async fn plan(&self, plan: PlanId) -> Result<Plan> {
        self.call(Method::GET, &format!("/v1/plans/{plan}"), None).await
    }

    /// Confirms a plan; a key that it issues is answered this once.
    pub async fn confirm(&self, plan: PlanId) -> Result<Confirmed> {
        self.call(Method::POST, &format!("/v1/plans/{plan}/confirm"), None).await
    }

    /// Waits until a plan is done or has failed.
    pub async fn wait(&self, plan: PlanId, timeout: Duration) -> Result<Plan> {
        let deadline = std::time::Instant::now() + timeout;
        loop {
            let seen = self.plan(plan).await?;
            if matches!(seen.state, State::Done | State::Failed) {
                return Ok(seen);
            }
            if std::time::Instant::now() >= deadline {
                return Err(Error::Verdict(format!("plan {plan} is still {}", seen.state)));
            }
            tokio::time::sleep(PLAN_POLL_PERIOD).await;
        }
    }

    /// What operators did.
    pub async fn audit(&self) -> Result<Audit> {
        self.call(Method::GET, "/v1/audit", None).await
    }

    async fn call<T>(&self, method: Method, path: &str, body: Option<Value>) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let body = self.send(method, path, body).await?;
        serde_json::from_slice(&body).map_err(unreadable)
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

fn unreadable(error: serde_json::Error) -> Error {
    Error::Unreachable(format!("the host's answer can't be read: {error}"))
}
