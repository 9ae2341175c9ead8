//! Client of the callers' interface.

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

const SESSION: &str = "bergamotvale-session";
const TARGET: &str = "bergamotvale-target";
const REPLAYED: &str = "bergamotvale-replayed";
const MAX_AGE: &str = "bergamotvale-max-age";
const TIMEOUT: &str = "bergamotvale-timeout";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What a request is about.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// A read-only statement on the named service.
    Read(String, Statement),
    /// A statement in a transaction of its own on the named service.
    Write(String, Statement),
    /// Begins a transaction on the named service.
    Begin(String),
    /// A statement in the transaction.
    Run(String, Statement),
    /// Ends the transaction with its effects.
    Commit(String),
    /// Ends the transaction without effects.
    Rollback(String),
    /// A route open to all.
    Open(String),
}

/// A request with what travels in its headers.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// What it is about.
    pub operation: Operation,
    /// The client account's key.
    pub key: Option<String>,
    /// What the session has seen.
    pub session: Option<Token>,
    /// Age that a read accepts.
    pub max_age: Option<Duration>,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Under which a write runs at most once.
    pub idempotency_key: Option<String>,
}

impl Request {
    /// A request without key or other headers.
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

    /// The same request under `key`.
    pub fn with_key(mut self, key: &str) -> Request {
        self.key = Some(key.to_owned());
        self
    }

    /// The same request of a session that has seen `token`.
    pub fn with_session(mut self, token: &Token) -> Request {
        self.session = Some(token.clone());
        self
    }

    /// The same request accepting data of `age`.
    pub fn with_max_age(mut self, age: Duration) -> Request {
        self.max_age = Some(age);
        self
    }

    /// The same request waiting for `timeout`.
    pub fn with_timeout(mut self, timeout: Duration) -> Request {
        self.timeout = Some(timeout);
        self
    }

    /// The same request, at most once under `key`.
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

    /// Whether its answer has no rows.
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

/// Who served a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The target's number, as the host gave it.
    pub number: String,
    /// Whether it was a replica.
    pub is_replica: bool,
}

/// A whole answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Response {
    /// The result.
    pub rows: Rows,
    /// Token for the session's next request.
    pub session: Option<Token>,
    /// Who served it.
    pub target: Option<Target>,
    /// Whether it is the outcome of an earlier request.
    pub replayed: bool,
    /// The transaction that was begun.
    pub transaction: Option<String>,
}

/// A request without a whole answer.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The host refused.
    #[display("{_0}")]
    Refused(Problem),
    /// The connection was not made: certainly not run.
    #[display("connection: {_0}")]
    #[from(ignore)]
    Unsent(reqwest::Error),
    /// The answer is missing or incomplete: the outcome is open.
    #[display("answer: {_0}")]
    #[from(ignore)]
    Incomplete(#[error(not(source))] String),
}

impl Failure {
    /// What is known about the request's effect.
    pub fn ran(&self) -> Ran {
        match self {
            Failure::Refused(problem) => problem.ran.unwrap_or(Ran::Unknown),
            Failure::Unsent(_) => Ran::No,
            Failure::Incomplete(_) => Ran::Unknown,
        }
    }
}

/// A transaction's id as `begin` answers it.
#[derive(Debug, Deserialize)]
struct Begun {
    transaction: String,
}

/// A caller of one host.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

impl Client {
    /// A caller of the host at `address`, over the connections of `http`.
    pub fn new(http: reqwest::Client, address: SocketAddr) -> Client {
        Client { http, base: format!("http://{address}") }
    }

    /// Sends `request` once and waits for its whole answer.
    pub async fn send(&self, request: &Request) -> Result<Response, Failure> {
        let response = self.build(request).send().await.map_err(failure)?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body =
            response.bytes().await.map_err(|error| Failure::Incomplete(error.to_string()))?;
        match status {
            200 if request.ends_transaction() => Ok(headers_only(&headers)),
            200 => answer(&headers, &body),
            201 => begun(&headers, &body),
            _ => Err(Problem::new(status, retry_after(&headers), &body).into()),
        }
    }

    fn build(&self, request: &Request) -> reqwest::RequestBuilder {
        let url = format!("{}{}", self.base, request.path());
        let mut builder = match request.operation {
            Operation::Open(_) => self.http.get(url),
            _ => self.http.post(url),
        };
        if let Some(key) = &request.key {
            builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(token) = &request.session {
            builder = builder.header(SESSION, token.to_string());
        }
        if let Some(age) = request.max_age {
            builder = builder.header(MAX_AGE, millis(age));
        }
        if let Some(timeout) = request.timeout {
            builder = builder.header(TIMEOUT, millis(timeout));
        }
        if let Some(key) = &request.idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        match request.statement() {
            Some(statement) => builder.json(&value::statement_body(statement)),
            None => builder,
        }
    }
}

fn millis(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}

fn failure(error: reqwest::Error) -> Failure {
    if error.is_connect() || error.is_builder() {
        return Failure::Unsent(error);
    }
    Failure::Incomplete(error.to_string())
}

fn answer(headers: &HeaderMap, body: &[u8]) -> Result<Response, Failure> {
    let rows = match value::rows(body) {
        Some(rows) => rows,
        None => return Err(Failure::Incomplete("the body is not a whole result".to_owned())),
    };
    Ok(Response { rows, ..headers_only(headers) })
}

fn begun(headers: &HeaderMap, body: &[u8]) -> Result<Response, Failure> {
    let begun: Begun =
        serde_json::from_slice(body).map_err(|error| Failure::Incomplete(error.to_string()))?;
    Ok(Response { transaction: Some(begun.transaction), ..headers_only(headers) })
}

fn headers_only(headers: &HeaderMap) -> Response {
    Response {
        rows: Rows::default(),
        session: text(headers, SESSION).and_then(|text| text.parse().ok()),
        target: text(headers, TARGET).and_then(parse_target),
        replayed: text(headers, REPLAYED) == Some("true"),
        transaction: None,
    }
}

fn parse_target(text: &str) -> Option<Target> {
    let (number, role) = text.split_once(' ')?;
    Some(Target { number: number.to_owned(), is_replica: role == "replica" })
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
