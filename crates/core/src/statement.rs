//! Statements, their bound parameters and their results, as plain data.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A value of a parameter or of a result's cell.
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

/// A statement with its typed parameters, which are bound and never spliced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// SQL text with `$1` style parameters.
    pub sql: String,
    /// Values for the parameters, in order.
    pub params: Vec<Value>,
}

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Name as the database gives it.
    pub name: String,
    /// Type as PostgreSQL names it.
    pub kind: String,
}

/// A whole result.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// Columns, in order.
    pub columns: Vec<Column>,
    /// Cells, a row after another.
    pub rows: Vec<Vec<Value>>,
    /// Rows that a write touched.
    pub affected: u64,
}

/// How fresh a read has to be, besides covering its session token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// No age was stated: a target that covers the token, else the primary.
    Session,
    /// Data at most this old.
    MaxAge(Duration),
}
