//! Encodes and decodes the JSON bodies of requests and responses, and sets the headers of
//! responses.

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

/// Header with the token of the caller's session.
pub const SESSION: HeaderName = HeaderName::from_static("bergamotvale-session");
/// Header with the target that served the request, and its role.
pub const TARGET: HeaderName = HeaderName::from_static("bergamotvale-target");
/// Header that is present if the response is the stored outcome of an earlier request with the same
/// idempotency key.
pub const REPLAYED: HeaderName = HeaderName::from_static("bergamotvale-replayed");
/// Media type of results.
pub const JSON: HeaderValue = HeaderValue::from_static("application/json");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    sql: String,
    #[serde(default)]
    params: Vec<serde_json::Value>,
}

/// Parses the statement in a request's body; the error becomes the detail of the refusal.
pub fn parse_statement(body: &[u8]) -> Result<Statement, String> {
    let body: Body = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let params = body.params.into_iter().map(parse_param).collect::<Result<_, _>>()?;
    Ok(Statement { sql: body.sql, params })
}

fn parse_param(value: serde_json::Value) -> Result<Value, String> {
    match value {
        serde_json::Value::Null => Ok(Value::Null),
        serde_json::Value::Bool(v) => Ok(Value::Bool(v)),
        serde_json::Value::String(v) => Ok(Value::Text(v)),
        serde_json::Value::Number(n) => parse_number(&n),
        serde_json::Value::Object(fields) => parse_bytes(&fields),
        serde_json::Value::Array(_) => Err("a parameter must not be an array".into()),
    }
}

fn parse_number(number: &serde_json::Number) -> Result<Value, String> {
    let int = number.as_i64().map(Value::Int);
    int.or_else(|| number.as_f64().map(Value::Float)).ok_or_else(|| "number out of range".into())
}

fn parse_bytes(fields: &serde_json::Map<String, serde_json::Value>) -> Result<Value, String> {
    let text = fields.get("bytes").filter(|_| fields.len() == 1).and_then(|v| v.as_str());
    let text = text.ok_or("an object parameter is {\"bytes\":\"<base64>\"}")?;
    STANDARD.decode(text).map(Value::Bytes).map_err(|e| e.to_string())
}

/// The response to a request whose result is complete.
pub fn response(answer: &Answer) -> WebResponse {
    with_headers(WebResponse::new(result(&answer.rows).into()), answer)
}

/// Adds the headers that describe `answer`: content type, session token, target, and whether it is
/// replayed.
pub fn with_headers(mut response: WebResponse, answer: &Answer) -> WebResponse {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    let role = if answer.primary { "primary" } else { "replica" };
    insert_token(headers, &answer.token);
    insert(headers, TARGET, &format!("{} {role}", answer.target));
    if answer.replayed {
        insert(headers, REPLAYED, "true");
    }
    response
}

/// The response to a request that returns no rows, with the session token if the request advances
/// it.
pub fn without_rows(
    status: StatusCode,
    body: &serde_json::Value,
    token: Option<&Token>,
) -> WebResponse {
    let mut response = WebResponse::new(body.to_string().into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    if let Some(token) = token {
        insert_token(response.headers_mut(), token);
    }
    response
}

/// Encodes the start of a result with its first rows. More rows may follow; `]` and the number of
/// affected rows end the result.
pub fn opening(rows: &Rows) -> String {
    let columns = rows.columns.iter().map(|c| json!({"name": c.name, "type": c.kind}));
    let columns = serde_json::Value::from(columns.collect::<Vec<_>>());
    let cells: Vec<_> = rows.rows.iter().map(|row| encode_row(row)).collect();
    format!("{{\"columns\":{columns},\"rows\":[{}", cells.join(","))
}

/// Encodes rows that follow an [`opening`] or another continuation.
pub fn continuation(rows: &Rows) -> String {
    rows.rows.iter().map(|row| format!(",{}", encode_row(row))).collect()
}

/// Encodes a complete result.
pub fn result(rows: &Rows) -> String {
    format!("{}],\"affected\":{}}}", opening(rows), rows.affected)
}

fn encode_row(row: &[Value]) -> String {
    serde_json::Value::from(row.iter().map(encode_cell).collect::<Vec<_>>()).to_string()
}

fn insert_token(headers: &mut HeaderMap, token: &Token) {
    insert(headers, SESSION, &token.to_string());
}

fn insert(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    let value = HeaderValue::try_from(text).expect("tokens and ids consist of visible ASCII");
    headers.insert(name, value);
}

fn encode_cell(value: &Value) -> serde_json::Value {
    match value {
        Value::Null => serde_json::Value::Null,
        Value::Bool(v) => json!(v),
        Value::Int(v) => json!(v),
        Value::Float(v) => json!(v),
        Value::Text(v) => json!(v),
        Value::Bytes(v) => json!({"bytes": STANDARD.encode(v)}),
    }
}
