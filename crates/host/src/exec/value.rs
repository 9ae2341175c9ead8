//! Converts values between the core's types and PostgreSQL's wire formats.

use super::exact::Exact;
use bergamotvale_core::statement::{Column, Rows, Statement, Value};
use bytes::BytesMut;
use postgres_types::{Format, FromSql, IsNull, ToSql, Type, to_sql_checked};
use std::error::Error;
use tokio_postgres::{Client, Row};

/// Why a value or result cannot be converted.
pub type Fault = Box<dyn Error + Sync + Send>;

/// First words of statements that return rows only if they have a `RETURNING` clause.
const WRITE_KEYWORDS: [&str; 8] =
    ["alter", "create", "delete", "drop", "insert", "merge", "truncate", "update"];

/// A bound parameter. Text is sent without a type, so that the database infers it from the
/// context.
#[derive(Debug)]
pub struct Param<'a>(&'a Value);

impl ToSql for Param<'_> {
    fn to_sql(&self, kind: &Type, out: &mut BytesMut) -> Result<IsNull, Fault> {
        match self.0 {
            Value::Null => return Ok(IsNull::Yes),
            Value::Text(text) => out.extend_from_slice(text.as_bytes()),
            Value::Bool(value) => return value.to_sql(kind, out),
            Value::Int(value) => return value.to_sql(kind, out),
            Value::Float(value) => return value.to_sql(kind, out),
            Value::Bytes(value) => return value.to_sql(kind, out),
        }
        Ok(IsNull::No)
    }

    fn accepts(_: &Type) -> bool {
        true
    }

    fn encode_format(&self, _: &Type) -> Format {
        match self.0 {
            Value::Null | Value::Text(_) => Format::Text,
            Value::Bool(_) | Value::Int(_) | Value::Float(_) | Value::Bytes(_) => Format::Binary,
        }
    }

    to_sql_checked!();
}

/// The parameters of `statement` with the types that they are sent as.
pub fn bind(statement: &Statement) -> Vec<(Param<'_>, Type)> {
    statement.params.iter().map(|value| (Param(value), kind(value))).collect()
}

fn kind(value: &Value) -> Type {
    match value {
        Value::Null | Value::Text(_) => Type::UNKNOWN,
        Value::Bool(_) => Type::BOOL,
        Value::Int(_) => Type::INT8,
        Value::Float(_) => Type::FLOAT8,
        Value::Bytes(_) => Type::BYTEA,
    }
}

/// Appends a row to `rows`; the first one also sets the columns.
pub fn push(rows: &mut Rows, row: &Row) -> Result<(), Fault> {
    if rows.columns.is_empty() {
        rows.columns = columns(row.columns());
    }
    let cells = (0..row.len()).map(|index| cell(row, index)).collect::<Result<_, _>>()?;
    rows.rows.push(cells);
    Ok(())
}

/// Sets the columns of a result without rows, by preparing the statement on the target.
pub async fn describe(
    client: &Client,
    statement: &Statement,
    rows: &mut Rows,
) -> Result<(), tokio_postgres::Error> {
    if !rows.columns.is_empty() || !may_return_rows(&statement.sql) {
        return Ok(());
    }
    let kinds: Vec<Type> = statement.params.iter().map(kind).collect();
    rows.columns = columns(client.prepare_typed(&statement.sql, &kinds).await?.columns());
    Ok(())
}

/// Whether a statement may return rows. False for a plain write, which saves the round trip of
/// [`describe`].
fn may_return_rows(sql: &str) -> bool {
    let sql = sql.trim_start().to_ascii_lowercase();
    let first = sql.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or_default();
    !WRITE_KEYWORDS.contains(&first) || sql.contains("returning")
}

fn columns(columns: &[tokio_postgres::Column]) -> Vec<Column> {
    let columns = columns.iter();
    columns
        .map(|c| Column { name: c.name().to_owned(), kind: c.type_().name().to_owned() })
        .collect()
}

fn cell(row: &Row, index: usize) -> Result<Value, Fault> {
    let value = match *row.columns()[index].type_() {
        Type::BOOL => row.try_get::<_, Option<bool>>(index)?.map(Value::Bool),
        Type::INT2 => row.try_get::<_, Option<i16>>(index)?.map(|v| Value::Int(v.into())),
        Type::INT4 => row.try_get::<_, Option<i32>>(index)?.map(|v| Value::Int(v.into())),
        Type::INT8 => row.try_get::<_, Option<i64>>(index)?.map(Value::Int),
        Type::FLOAT4 => row.try_get::<_, Option<f32>>(index)?.map(|v| float(v.into())),
        Type::FLOAT8 => row.try_get::<_, Option<f64>>(index)?.map(float),
        Type::BYTEA => row.try_get::<_, Option<Vec<u8>>>(index)?.map(Value::Bytes),
        Type::UUID => row.try_get::<_, Option<Uuid>>(index)?.map(|v| Value::Text(v.0)),
        Type::JSON | Type::JSONB => {
            row.try_get::<_, Option<Json>>(index)?.map(|v| Value::Text(v.0))
        }
        Type::NUMERIC | Type::DATE | Type::TIMESTAMP | Type::TIMESTAMPTZ => {
            row.try_get::<_, Option<Exact>>(index)?.map(|v| Value::Text(v.0))
        }
        ref kind if <String as FromSql>::accepts(kind) => {
            row.try_get::<_, Option<String>>(index)?.map(Value::Text)
        }
        ref kind => return Err(unsupported_type(row.columns()[index].name(), kind)),
    };
    Ok(value.unwrap_or(Value::Null))
}

fn unsupported_type(column: &str, kind: &Type) -> Fault {
    format!("column {column}: the type {kind} is not answered; cast it to text").into()
}

/// A float as a value; text if it is not finite, which JSON numbers cannot represent.
fn float(value: f64) -> Value {
    if value.is_finite() { Value::Float(value) } else { Value::Text(value.to_string()) }
}

struct Uuid(String);

impl<'a> FromSql<'a> for Uuid {
    fn from_sql(_: &Type, raw: &'a [u8]) -> Result<Uuid, Fault> {
        let raw: [u8; 16] = raw.try_into()?;
        let hex: String = raw.iter().map(|byte| format!("{byte:02x}")).collect();
        let parts = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]];
        Ok(Uuid(parts.join("-")))
    }

    fn accepts(kind: &Type) -> bool {
        *kind == Type::UUID
    }
}

struct Json(String);

impl<'a> FromSql<'a> for Json {
    fn from_sql(kind: &Type, raw: &'a [u8]) -> Result<Json, Fault> {
        // The binary form of `jsonb` is a version byte and the text.
        let text = if *kind == Type::JSONB { raw.get(1..).unwrap_or_default() } else { raw };
        Ok(Json(std::str::from_utf8(text)?.to_owned()))
    }

    fn accepts(kind: &Type) -> bool {
        [Type::JSON, Type::JSONB].contains(kind)
    }
}
