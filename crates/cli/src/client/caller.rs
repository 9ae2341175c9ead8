//! Client of the callers' API.

use crate::client::problem::Problem;
use crate::client::value;
use bergamotvale_core::refusal::Ran;
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::{Rows, Statement};
use derive_more::{Display, Error, From};
use reqwest::header::{AUTHORIZATION, HeaderMap, RETRY_AFTER};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

const SESSION_HEADER: &str = "bergamotvale-session";
const TARGET_HEADER: &str = "bergamotvale-target";
const REPLAYED_HEADER: &str = "bergamotvale-replayed";
const MAX_AGE_HEADER: &str = "bergamotvale-max-age";
const TIMEOUT_HEADER: &str = "bergamotvale-timeout";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Endpoint of a request with its arguments.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Runs a read-only statement on the named service.
    Read(String, Statement),
    /// Runs a statement in its own transaction on the named service.
    Write(String, Statement),
    /// Begins an interactive transaction on the named service.
    Begin(String),
    /// Runs a statement in the transaction with this id.
    Run(String, Statement),
    /// Commits the transaction with this id.
    Commit(String),
    /// Rolls back the transaction with this id.
    Rollback(String),
    /// Calls the route of this name, which needs no key.
    Open(String),
}

/// An operation with the headers of its request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Operation to request.
    pub operation: Operation,
    /// Key of the client account; None sends no authorization.
    pub key: Option<String>,
    /// Session token: the response reflects at least the state that the session has seen.
    pub session: Option<Token>,
    /// Maximum age of the data that a read accepts; if None, only the session token counts.
    pub max_age: Option<Duration>,
    /// Time for which the caller waits for the response; the host's default if None.
    pub timeout: Option<Duration>,
    /// Key under which a write takes effect at most once, also if it is retried.
    pub idempotency_key: Option<String>,
}

impl Request {
    /// Creates a request without optional headers.
    pub fn new(operation: Operation) -> Request {
        Request {
            operation,
            key: None,
            session: None,
            max_age: None,
            timeout: None,
            idempotency_key: None,
        }
    }

    /// Sets the client account's key.
    pub fn with_key(mut self, key: &str) -> Request {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the session token.
    pub fn with_session(mut self, token: &Token) -> Request {
        self.session = Some(token.clone());
        self
    }

    /// Sets the maximum age of the data that a read accepts.
    pub fn with_max_age(mut self, age: Duration) -> Request {
        self.max_age = Some(age);
        self
    }

    /// Sets the time for which the caller waits.
    pub fn with_timeout(mut self, timeout: Duration) -> Request {
        self.timeout = Some(timeout);
        self
    }

    /// Sets the idempotency key.
    pub fn with_idempotency_key(mut self, key: &str) -> Request {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    fn path(&self) -> String {
        match &self.operation {
            Operation::Read(service, _) => format!("/v1/services/{service}/read"),
            Operation::Write(service, _) => format!("/v1/services/{service}/write"),
            Operation::Begin(service) => format!("/v1/services/{service}/transactions"),
            Operation::Run(id, _) => format!("/v1/transactions/{id}/run"),
            Operation::Commit(id) => format!("/v1/transactions/{id}/commit"),
            Operation::Rollback(id) => format!("/v1/transactions/{id}/rollback"),
            Operation::Open(route) => format!("/v1/open/{route}"),
        }
    }

    /// Returns whether the request ends a transaction; its response has no body.
    fn ends_transaction(&self) -> bool {
        matches!(self.operation, Operation::Commit(_) | Operation::Rollback(_))
    }

    fn statement(&self) -> Option<&Statement> {
        match &self.operation {
            Operation::Read(_, statement)
            | Operation::Write(_, statement)
            | Operation::Run(_, statement) => Some(statement),
            _ => None,
        }
    }
}

/// Target that served a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the target within its service, as the host sent it.
    pub number: String,
    /// Whether the target was a replica at that time.
    pub is_replica: bool,
}

/// Complete response to a successful request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Response {
    /// Result of the statement; empty if the request has none.
    pub rows: Rows,
    /// Token to send with the next request of the session.
    pub session: Option<Token>,
    /// Target that served the request, if the host named it.
    pub target: Option<Target>,
    /// Whether this is the stored outcome of an earlier request with the same idempotency key.
    pub replayed: bool,
    /// Id of the transaction that the request began.
    pub transaction: Option<String>,
}

/// Reason for which a request has no complete response.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The host refused the request.
    #[display("{_0}")]
    Refused(Problem),
    /// No connection was established, so the request did not run.
    #[display("connection: {_0}")]
    #[from(ignore)]
    Unsent(reqwest::Error),
    /// The response is missing or incomplete, so the outcome is unknown.
    #[display("answer: {_0}")]
    #[from(ignore)]
    Incomplete(#[error(not(source))] String),
}

impl Failure {
    /// Returns whether the request may have run.
    ///
    /// A refusal that does not state it, such as one by a proxy, counts as unknown.
    pub fn ran(&self) -> Ran {
        match self {
            Failure::Refused(problem) => problem.ran.unwrap_or(Ran::Unknown),
            Failure::Unsent(_) => Ran::No,
            Failure::Incomplete(_) => Ran::Unknown,
        }
    }
}

/// Body of the response to [`Operation::Begin`].
#[derive(Debug, Deserialize)]
struct Begun {
    transaction: String,
}

/// Client that sends requests to one host.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

impl Client {
    /// Creates a client for the callers' listener at `address` that uses the connections of `http`.
    pub fn new(http: reqwest::Client, address: SocketAddr) -> Client {
        Client { http, base: format!("http://{address}") }
    }

    /// Sends `request` once, without retries, and waits for the complete response.
    pub async fn send(&self, request: &Request) -> Result<Response, Failure> {
        let response = self.build_request(request).send().await.map_err(send_failure)?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body =
            response.bytes().await.map_err(|error| Failure::Incomplete(error.to_string()))?;
        match status {
            200 if request.ends_transaction() => Ok(parse_headers(&headers)),
            200 => parse_result(&headers, &body),
            201 => parse_begun(&headers, &body),
            _ => Err(Problem::new(status, parse_retry_after(&headers), &body).into()),
        }
    }

    fn build_request(&self, request: &Request) -> reqwest::RequestBuilder {
        let url = format!("{}{}", self.base, request.path());
        let mut builder = match request.operation {
            Operation::Open(_) => self.http.get(url),
            _ => self.http.post(url),
        };
        if let Some(key) = &request.key {
            builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(token) = &request.session {
            builder = builder.header(SESSION_HEADER, token.to_string());
        }
        if let Some(age) = request.max_age {
            builder = builder.header(MAX_AGE_HEADER, format_millis(age));
        }
        if let Some(timeout) = request.timeout {
            builder = builder.header(TIMEOUT_HEADER, format_millis(timeout));
        }
        if let Some(key) = &request.idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        match request.statement() {
            Some(statement) => builder.json(&value::statement_body(statement)),
            None => builder,
        }
    }
}

fn format_millis(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}

fn send_failure(error: reqwest::Error) -> Failure {
    if error.is_connect() || error.is_builder() {
        return Failure::Unsent(error);
    }
    Failure::Incomplete(error.to_string())
}

fn parse_result(headers: &HeaderMap, body: &[u8]) -> Result<Response, Failure> {
    let rows = match value::parse_rows(body) {
        Some(rows) => rows,
        None => return Err(Failure::Incomplete("the body is not a whole result".to_owned())),
    };
    Ok(Response { rows, ..parse_headers(headers) })
}

fn parse_begun(headers: &HeaderMap, body: &[u8]) -> Result<Response, Failure> {
    let begun: Begun =
        serde_json::from_slice(body).map_err(|error| Failure::Incomplete(error.to_string()))?;
    Ok(Response { transaction: Some(begun.transaction), ..parse_headers(headers) })
}

fn parse_headers(headers: &HeaderMap) -> Response {
    Response {
        rows: Rows::default(),
        session: header_text(headers, SESSION_HEADER).and_then(|text| text.parse().ok()),
        target: header_text(headers, TARGET_HEADER).and_then(parse_target),
        replayed: header_text(headers, REPLAYED_HEADER) == Some("true"),
        transaction: None,
    }
}

fn parse_target(text: &str) -> Option<Target> {
    let (number, role) = text.split_once(' ')?;
    Some(Target { number: number.to_owned(), is_replica: role == "replica" })
}

fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
