//! JSON bodies of requests and answers.

use crate::exec::Answer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::{Rows, Statement, Value};
use serde::Deserialize;
use serde_json::json;
pub use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use xitca_web::http::{StatusCode, WebResponse};

/// Token of the caller's session.
pub const SESSION: HeaderName = HeaderName::from_static("bergamotvale-session");
/// Target that served.
pub const TARGET: HeaderName = HeaderName::from_static("bergamotvale-target");
/// Whether the outcome is an earlier one.
pub const REPLAYED: HeaderName = HeaderName::from_static("bergamotvale-replayed");
/// Media type of results.
pub const CONTENT: HeaderValue = HeaderValue::from_static("application/json");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    sql: String,
    #[serde(default)]
    params: Vec<serde_json::Value>,
}

/// The statement in a request's body.
pub fn parse_statement(body: &[u8]) -> Result<Statement, String> {
    let body: Body = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let params = body.params.into_iter().map(param).collect::<Result<_, _>>()?;
    Ok(Statement { sql: body.sql, params })
}

fn param(value: serde_json::Value) -> Result<Value, String> {
    match value {
        serde_json::Value::Null => Ok(Value::Null),
        serde_json::Value::Bool(v) => Ok(Value::Bool(v)),
        serde_json::Value::String(v) => Ok(Value::Text(v)),
        serde_json::Value::Number(n) => number(&n),
        serde_json::Value::Object(fields) => bytes(&fields),
        serde_json::Value::Array(_) => Err("a parameter must not be an array".into()),
    }
}

fn number(number: &serde_json::Number) -> Result<Value, String> {
    let int = number.as_i64().map(Value::Int);
    int.or_else(|| number.as_f64().map(Value::Float)).ok_or_else(|| "number out of range".into())
}

fn bytes(fields: &serde_json::Map<String, serde_json::Value>) -> Result<Value, String> {
    let text = fields.get("bytes").filter(|_| fields.len() == 1).and_then(|v| v.as_str());
    let text = text.ok_or("an object parameter is {\"bytes\":\"<base64>\"}")?;
    STANDARD.decode(text).map(Value::Bytes).map_err(|e| e.to_string())
}

/// The answer that carries a whole result.
pub fn response(answer: &Answer) -> WebResponse {
    with_headers(WebResponse::new(rows(&answer.rows).into()), answer)
}

/// The headers of an answer.
pub fn with_headers(mut response: WebResponse, answer: &Answer) -> WebResponse {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, CONTENT);
    let role = if answer.primary { "primary" } else { "replica" };
    session(headers, &answer.token);
    insert(headers, TARGET, &format!("{} {role}", answer.target));
    if answer.replayed {
        insert(headers, REPLAYED, "true");
    }
    response
}

/// The answer to a request that has no rows, with a token where it advances one.
pub fn plain(status: StatusCode, body: &serde_json::Value, token: Option<&Token>) -> WebResponse {
    let mut response = WebResponse::new(body.to_string().into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, CONTENT);
    if let Some(token) = token {
        session(response.headers_mut(), token);
    }
    response
}

/// The result's beginning with its first rows; `]` and the number of rows touched are to follow.
pub fn opening(rows: &Rows) -> String {
    let columns = rows.columns.iter().map(|c| json!({"name": c.name, "type": c.kind}));
    let columns = serde_json::Value::from(columns.collect::<Vec<_>>());
    let cells: Vec<_> = rows.rows.iter().map(|row| line(row)).collect();
    format!("{{\"columns\":{columns},\"rows\":[{}", cells.join(","))
}

/// Further rows.
pub fn continuation(rows: &Rows) -> String {
    rows.rows.iter().map(|row| format!(",{}", line(row))).collect()
}

/// The rows of a result as a JSON value.
pub fn rows(rows: &Rows) -> String {
    format!("{}],\"affected\":{}}}", opening(rows), rows.affected)
}

fn line(row: &[Value]) -> String {
    serde_json::Value::from(row.iter().map(cell).collect::<Vec<_>>()).to_string()
}

fn session(headers: &mut HeaderMap, token: &Token) {
    insert(headers, SESSION, &token.to_string());
}

fn insert(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    let value = HeaderValue::try_from(text).expect("tokens and ids are visible ASCII");
    headers.insert(name, value);
}

fn cell(value: &Value) -> serde_json::Value {
    match value {
        Value::Null => serde_json::Value::Null,
        Value::Bool(v) => json!(v),
        Value::Int(v) => json!(v),
        Value::Float(v) => json!(v),
        Value::Text(v) => json!(v),
        Value::Bytes(v) => json!({"bytes": STANDARD.encode(v)}),
    }
}
