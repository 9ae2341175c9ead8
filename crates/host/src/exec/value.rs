//! Values between the core's plain data and the database's binary form.

use crate::error::Result;
use bergamotvale_core::statement::{Column, Rows, Statement, Value};
use postgres_types::{ToSql, Type};
use tokio_postgres::Row;

/// Bound parameters with the types that they are sent as.
pub fn bind(statement: &Statement) -> Vec<(&(dyn ToSql + Sync), Type)> {
    statement.params.iter().map(bind_one).collect()
}

fn bind_one(value: &Value) -> (&(dyn ToSql + Sync), Type) {
    match value {
        Value::Null => (&None::<String>, Type::TEXT),
        Value::Bool(v) => (v, Type::BOOL),
        Value::Int(v) => (v, Type::INT8),
        Value::Float(v) => (v, Type::FLOAT8),
        Value::Text(v) => (v, Type::TEXT),
        Value::Bytes(v) => (v, Type::BYTEA),
    }
}

/// The rows as plain data.
pub fn decode(rows: &[Row], affected: u64) -> Result<Rows> {
    let columns = rows.first().map(columns).unwrap_or_default();
    let rows = rows.iter().map(cells).collect::<Result<_>>()?;
    Ok(Rows { columns, rows, affected })
}

fn columns(row: &Row) -> Vec<Column> {
    let columns = row.columns().iter();
    columns
        .map(|c| Column { name: c.name().to_owned(), kind: c.type_().name().to_owned() })
        .collect()
}

fn cells(row: &Row) -> Result<Vec<Value>> {
    (0..row.len()).map(|index| cell(row, index)).collect()
}

fn cell(row: &Row, index: usize) -> Result<Value> {
    let kind = row.columns()[index].type_().clone();
    let value = match kind {
        Type::BOOL => row.try_get::<_, Option<bool>>(index)?.map(Value::Bool),
        Type::INT2 => row.try_get::<_, Option<i16>>(index)?.map(|v| Value::Int(v.into())),
        Type::INT4 => row.try_get::<_, Option<i32>>(index)?.map(|v| Value::Int(v.into())),
        Type::INT8 => row.try_get::<_, Option<i64>>(index)?.map(Value::Int),
        Type::FLOAT4 => row.try_get::<_, Option<f32>>(index)?.map(|v| Value::Float(v.into())),
        Type::FLOAT8 => row.try_get::<_, Option<f64>>(index)?.map(Value::Float),
        Type::BYTEA => row.try_get::<_, Option<Vec<u8>>>(index)?.map(Value::Bytes),
        _ => row.try_get::<_, Option<String>>(index)?.map(Value::Text),
    };
    Ok(value.unwrap_or(Value::Null))
}
