//! Serves the platform's HTTP calls, with faults applied.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::time::sleep;
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::bytes::Bytes;
use xitca_web::handler::body::Limit;
use xitca_web::http::{Method, StatusCode, WebResponse};

use super::fault::Faults;
use super::store::{Host, Store, Transaction};
use crate::sync::lock;

/// Header that carries the name of the calling host.
const HOST_HEADER: &str = "bergamotvale-host";
/// Size limit of a row's value, encoded as JSON.
const MAX_VALUE_BYTES: usize = 256 << 10;
/// Size limit of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Interval at which a hanging call checks whether the fault has ended.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by all request handlers.
#[derive(Clone)]
pub(crate) struct Service {
    pub(crate) faults: Faults,
    pub(crate) store: Arc<Mutex<Store>>,
}

/// A request, independent of the HTTP server.
struct Call {
    method: Method,
    path: String,
    query: String,
    body: Bytes,
}

/// A response, independent of the HTTP server.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn json(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("answers are plain JSON");
        Answer { status, body: body.into() }
    }

    fn error(status: StatusCode) -> Self {
        Answer::json(status, &json!({ "error": status.canonical_reason() }))
    }
}

/// Handles a request; closes its connection if the response is to be lost.
pub(crate) async fn handle(context: &WebContext<'_, Service>) -> WebResponse {
    let service = context.state().clone();
    let host = context.req().headers().get(HOST_HEADER).and_then(|host| host.to_str().ok());
    let host = host.map(str::to_owned);
    let seen = *context.req().body().socket_addr();
    let answer = match context.extract::<(Bytes, Limit<MAX_BODY_BYTES>)>().await {
        Ok((body, _)) => service.serve(call(context, body), host.as_deref()).await,
        Err(_) => Some(Answer::error(StatusCode::PAYLOAD_TOO_LARGE)),
    };
    if answer.is_none() {
        service.faults.front().close(seen);
    }
    let answer = answer.unwrap_or_else(|| Answer::error(StatusCode::SERVICE_UNAVAILABLE));
    let mut response = WebResponse::new(ResponseBody::bytes(answer.body));
    *response.status_mut() = answer.status;
    response
}

fn call(context: &WebContext<'_, Service>, body: Bytes) -> Call {
    let uri = context.req().uri();
    Call {
        method: context.req().method().clone(),
        path: uri.path().to_owned(),
        query: uri.query().unwrap_or_default().to_owned(),
        body,
    }
}

impl Service {
    /// Executes a call under the present faults; `None` if the response is to be lost.
    async fn serve(&self, call: Call, host: Option<&str>) -> Option<Answer> {
        if self.wait_while_hanging(host).await {
            return Some(Answer::error(StatusCode::SERVICE_UNAVAILABLE));
        }
        let fault = self.faults.get();
        sleep(fault.delay / 2).await;
        if self.faults.get().outage {
            return Some(Answer::error(StatusCode::SERVICE_UNAVAILABLE));
        }
        let write = call.method != Method::GET;
        if !self.faults.admit(write, Instant::now()) {
            return Some(Answer::error(StatusCode::TOO_MANY_REQUESTS));
        }
        let answer = self.execute(&call);
        sleep(fault.delay / 2).await;
        let lost = write && self.faults.take_lost_response();
        (!lost).then_some(answer)
    }

    /// Waits while calls of this host hang; true if this one did, which then must have no effect.
    async fn wait_while_hanging(&self, host: Option<&str>) -> bool {
        let mut hung = false;
        loop {
            let fault = self.faults.get();
            let blocked = host.is_some_and(|host| fault.blocked_hosts.contains(host));
            if !fault.hang && !blocked || fault.refuse {
                return hung;
            }
            hung = true;
            sleep(HANG_POLL_INTERVAL).await;
        }
    }

    fn execute(&self, call: &Call) -> Answer {
        let parts: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("POST", ["table", "transactions"]) => self.transaction(&call.body),
            ("GET", ["table", "rows", key]) => self.row(key),
            ("GET", ["table", "rows"]) => self.rows(query(call, "prefix").unwrap_or_default()),
            ("PUT", ["objects", digest]) => self.put_object(digest, &call.body),
            ("GET", ["objects", digest]) => self.object(digest),
            ("GET", ["hosts"]) => self.hosts(),
            ("PUT", ["hosts", host]) => self.put_host(host, &call.body),
            ("DELETE", ["hosts", host]) => self.delete_host(host, query(call, "incarnation")),
            _ => Answer::error(StatusCode::NOT_FOUND),
        }
    }

    fn transaction(&self, body: &[u8]) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return Answer::error(StatusCode::BAD_REQUEST);
        };
        let keys = transaction.puts.iter().map(|put| &put.key);
        if !keys.chain(&transaction.deletes).all(|key| is_valid_key(key)) {
            return Answer::error(StatusCode::BAD_REQUEST);
        }
        if transaction.puts.iter().any(|put| put.value.to_string().len() > MAX_VALUE_BYTES) {
            return Answer::error(StatusCode::PAYLOAD_TOO_LARGE);
        }
        match lock(&self.store).apply(transaction) {
            Ok(rows) => Answer::json(StatusCode::OK, &json!({ "rows": rows })),
            Err(rows) => Answer::json(StatusCode::CONFLICT, &json!({ "rows": rows })),
        }
    }

    fn row(&self, key: &str) -> Answer {
        match lock(&self.store).row(key) {
            Some(row) => Answer::json(StatusCode::OK, row),
            None => Answer::error(StatusCode::NOT_FOUND),
        }
    }

    fn rows(&self, prefix: &str) -> Answer {
        Answer::json(StatusCode::OK, &json!({ "rows": lock(&self.store).rows(prefix) }))
    }

    fn put_object(&self, digest: &str, body: &Bytes) -> Answer {
        let actual: String = Sha256::digest(body).iter().map(|b| format!("{b:02x}")).collect();
        if actual != digest {
            return Answer::error(StatusCode::BAD_REQUEST);
        }
        lock(&self.store).put_object(actual, body.clone());
        Answer::json(StatusCode::OK, &json!({}))
    }

    fn object(&self, digest: &str) -> Answer {
        match lock(&self.store).object(digest) {
            Some(body) => Answer { status: StatusCode::OK, body },
            None => Answer::error(StatusCode::NOT_FOUND),
        }
    }

    fn hosts(&self) -> Answer {
        let lag = self.faults.get().hosts_lag;
        let hosts = lock(&self.store).hosts(Instant::now(), lag);
        Answer::json(StatusCode::OK, &json!({ "hosts": hosts }))
    }

    fn put_host(&self, name: &str, body: &[u8]) -> Answer {
        let host = serde_json::from_slice::<Host>(body).ok().filter(|host| host.host == name);
        let Some(host) = host else { return Answer::error(StatusCode::BAD_REQUEST) };
        match lock(&self.store).put_host(host, Instant::now()) {
            true => Answer::json(StatusCode::OK, &json!({})),
            false => Answer::error(StatusCode::CONFLICT),
        }
    }

    fn delete_host(&self, name: &str, incarnation: Option<&str>) -> Answer {
        let Some(incarnation) = incarnation.and_then(|number| number.parse().ok()) else {
            return Answer::error(StatusCode::BAD_REQUEST);
        };
        match lock(&self.store).delete_host(name, incarnation, Instant::now()) {
            true => Answer::json(StatusCode::OK, &json!({})),
            false => Answer::error(StatusCode::NOT_FOUND),
        }
    }
}

/// Value of a query parameter, not decoded: keys and prefixes need no percent-encoding.
fn query<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    let pairs = call.query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn is_valid_key(key: &str) -> bool {
    let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    !key.is_empty() && key.chars().all(valid)
}
