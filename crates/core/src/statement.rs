//! Data types of statements, their bound parameters and their results.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A value of a parameter or of a cell in a result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// SQL null.
    Null,
    /// `bool`.
    Bool(bool),
    /// `int8` and narrower.
    Int(i64),
    /// `float8` and narrower.
    Float(f64),
    /// `text`.
    Text(String),
    /// `bytea`.
    Bytes(Vec<u8>),
}

/// A statement with typed parameters, which are bound and never inserted into the SQL text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// SQL text with numbered parameters (`$1`).
    pub sql: String,
    /// Values of the parameters, in order.
    pub params: Vec<Value>,
}

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Name as the database returns it.
    pub name: String,
    /// Name of the PostgreSQL type.
    pub kind: String,
}

/// The complete result of a statement.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// Columns, in order.
    pub columns: Vec<Column>,
    /// Cells by row, in the order of `columns`.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows that a write affected.
    pub affected: u64,
}

/// How fresh the data for a read has to be, besides covering its session token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// No maximum age: any target that covers the session token may serve the read. Without a
    /// token, or if no such target is found, the primary serves it.
    Session,
    /// The data must be at most this old.
    MaxAge(Duration),
}
