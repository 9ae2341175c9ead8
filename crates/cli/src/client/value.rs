//! JSON encoding of statements, and decoding of results, in the callers' API.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bergamotvale_core::statement::{Column, Rows, Statement, Value};
use serde::Deserialize;
use serde_json::json;

/// Result in the body of a response.
#[derive(Debug, Deserialize)]
struct Table {
    columns: Vec<Header>,
    rows: Vec<Vec<serde_json::Value>>,
    #[serde(default)]
    affected: u64,
}

/// Name and type of a column in the body of a response.
#[derive(Debug, Deserialize)]
struct Header {
    name: String,
    #[serde(rename = "type")]
    kind: String,
}

/// Encodes `statement` as the body of a request.
pub fn statement_body(statement: &Statement) -> serde_json::Value {
    let params: Vec<_> = statement.params.iter().map(to_json).collect();
    json!({ "sql": statement.sql, "params": params })
}

/// Parses a result. None if `body` is malformed or a row has another width than the header.
pub fn parse_rows(body: &[u8]) -> Option<Rows> {
    let table: Table = serde_json::from_slice(body).ok()?;
    let columns: Vec<_> = table
        .columns
        .into_iter()
        .map(|header| Column { name: header.name, kind: header.kind })
        .collect();
    let rows = table.rows.into_iter().map(parse_row).collect::<Option<Vec<_>>>()?;
    if rows.iter().any(|row| row.len() != columns.len()) {
        return None;
    }
    Some(Rows { columns, rows, affected: table.affected })
}

fn parse_row(cells: Vec<serde_json::Value>) -> Option<Vec<Value>> {
    cells.into_iter().map(from_json).collect()
}

fn to_json(value: &Value) -> serde_json::Value {
    match value {
        Value::Null => serde_json::Value::Null,
        Value::Bool(value) => json!(value),
        Value::Int(value) => json!(value),
        Value::Float(value) => json!(value),
        Value::Text(value) => json!(value),
        Value::Bytes(value) => json!({ "bytes": STANDARD.encode(value) }),
    }
}

fn from_json(value: serde_json::Value) -> Option<Value> {
    match value {
        serde_json::Value::Null => Some(Value::Null),
        serde_json::Value::Bool(value) => Some(Value::Bool(value)),
        serde_json::Value::String(value) => Some(Value::Text(value)),
        serde_json::Value::Number(value) => parse_number(&value),
        serde_json::Value::Object(fields) => parse_bytes(&fields),
        serde_json::Value::Array(_) => None,
    }
}

fn parse_number(value: &serde_json::Number) -> Option<Value> {
    match value.as_i64() {
        Some(int) => Some(Value::Int(int)),
        None => value.as_f64().map(Value::Float),
    }
}

fn parse_bytes(fields: &serde_json::Map<String, serde_json::Value>) -> Option<Value> {
    let text = fields.get("bytes")?.as_str()?;
    STANDARD.decode(text).ok().map(Value::Bytes)
}
