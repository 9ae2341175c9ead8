//! Types of parameters and result columns, and their text and binary wire formats.

use bytes::{BufMut, Bytes, BytesMut};
use rusqlite::types::Value;

use super::binary;
use super::database::Outcome;
use super::sqlstate::{self, Error, Result};
use super::statement;

/// Object identifier of a PostgreSQL type.
pub(crate) type Oid = u32;

const BOOL: Oid = 16;
const BYTEA: Oid = 17;
const INT8: Oid = 20;
const INT2: Oid = 21;
const INT4: Oid = 23;
const TEXT: Oid = 25;
const OID: Oid = 26;
const JSON: Oid = 114;
const FLOAT4: Oid = 700;
const FLOAT8: Oid = 701;
const UNKNOWN: Oid = 705;
const BPCHAR: Oid = 1042;
const VARCHAR: Oid = 1043;
const DATE: Oid = 1082;
const TIMESTAMP: Oid = 1114;
const TIMESTAMPTZ: Oid = 1184;
const INTERVAL: Oid = 1186;
const NUMERIC: Oid = 1700;
const UUID: Oid = 2950;
const JSONB: Oid = 3802;

/// Wire format of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Binary,
}

/// Type of a result column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// `int8`.
    Integer,
    /// `float8`.
    Float,
    /// `bool`.
    Bool,
    /// `text`.
    Text,
    /// `bytea`.
    Bytes,
    /// The type with this identifier, whose values SQLite stores as text.
    StoredAsText(Oid),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    /// None if the column has no declared type.
    pub(crate) kind: Option<Kind>,
}

impl Column {
    /// A column with the type that its table declares, if any.
    pub(crate) fn new(name: &str, declared: Option<&str>) -> Self {
        Column { name: name.to_owned(), kind: declared.and_then(declared_kind) }
    }

    pub(crate) fn with_kind(name: &str, kind: Kind) -> Self {
        Column { name: name.to_owned(), kind: Some(kind) }
    }

    /// Type identifier on the wire; `text` if the type is unknown.
    pub(crate) fn oid(&self) -> Oid {
        match self.kind.unwrap_or(Kind::Text) {
            Kind::Integer => INT8,
            Kind::Float => FLOAT8,
            Kind::Bool => BOOL,
            Kind::Text => TEXT,
            Kind::Bytes => BYTEA,
            Kind::StoredAsText(oid) => oid,
        }
    }

    /// Size in bytes of the type on the wire; -1 if it varies.
    pub(crate) fn size(&self) -> i16 {
        match self.kind.unwrap_or(Kind::Text) {
            Kind::Integer | Kind::Float => 8,
            Kind::Bool => 1,
            Kind::Text | Kind::Bytes => -1,
            Kind::StoredAsText(DATE) => 4,
            Kind::StoredAsText(TIMESTAMP | TIMESTAMPTZ) => 8,
            Kind::StoredAsText(UUID | INTERVAL) => 16,
            Kind::StoredAsText(_) => -1,
        }
    }
}

/// Prefixes of declared types whose values are stored as text; a prefix of another comes after it.
const TEXT_STORED_TYPES: [(&str, Oid); 9] = [
    ("numeric", NUMERIC),
    ("timestamp with time zone", TIMESTAMPTZ),
    ("timestamptz", TIMESTAMPTZ),
    ("timestamp", TIMESTAMP),
    ("date", DATE),
    ("interval", INTERVAL),
    ("uuid", UUID),
    ("jsonb", JSONB),
    ("json", JSON),
];

fn declared_kind(declared: &str) -> Option<Kind> {
    let declared = declared.to_ascii_lowercase();
    let text_stored = TEXT_STORED_TYPES.iter().find(|(name, _)| declared.starts_with(name));
    if let Some((_, oid)) = text_stored {
        return Some(Kind::StoredAsText(*oid));
    }
    let has = |part: &str| declared.contains(part);
    if has("bool") {
        Some(Kind::Bool)
    } else if has("int") || has("serial") {
        Some(Kind::Integer)
    } else if has("real") || has("float") || has("double") {
        Some(Kind::Float)
    } else if has("char") || has("text") || has("clob") {
        Some(Kind::Text)
    } else if has("bytea") || has("blob") {
        Some(Kind::Bytes)
    } else {
        None
    }
}

/// Gives each column without a type the type of its first value that is not null.
pub(crate) fn infer_kinds(outcome: &mut Outcome) {
    for (index, column) in outcome.columns.iter_mut().enumerate() {
        if column.kind.is_none() {
            column.kind = outcome.rows.iter().find_map(|row| value_kind(&row[index]));
        }
    }
}

fn value_kind(value: &Value) -> Option<Kind> {
    match value {
        Value::Null => None,
        Value::Integer(_) => Some(Kind::Integer),
        Value::Real(_) => Some(Kind::Float),
        Value::Text(_) => Some(Kind::Text),
        Value::Blob(_) => Some(Kind::Bytes),
    }
}

/// Types of a statement's parameters: the given ones; otherwise `text`, or `int8` for a group
/// function.
pub(crate) fn parameter_types(sql: &str, given: &[Oid]) -> Vec<Oid> {
    let call = matches!(statement::parse(sql), Ok(statement::Command::Call(_)));
    let default = if call { INT8 } else { TEXT };
    let mut types = given.to_vec();
    types.iter_mut().filter(|oid| **oid == 0).for_each(|oid| *oid = default);
    let count = statement::parameter_count(sql);
    types.resize(types.len().max(count), default);
    types
}

/// Decodes a parameter; without bytes it is null.
pub(crate) fn decode(oid: Oid, format: Format, bytes: Option<&Bytes>) -> Result<Value> {
    let Some(bytes) = bytes else { return Ok(Value::Null) };
    match format {
        Format::Binary => decode_binary(oid, bytes),
        Format::Text => decode_text(oid, bytes),
    }
}

fn decode_binary(oid: Oid, bytes: &[u8]) -> Result<Value> {
    let value = match oid {
        INT2 => Value::Integer(i16::from_be_bytes(array(bytes)?).into()),
        INT4 => Value::Integer(i32::from_be_bytes(array(bytes)?).into()),
        OID => Value::Integer(u32::from_be_bytes(array(bytes)?).into()),
        INT8 => Value::Integer(i64::from_be_bytes(array(bytes)?)),
        FLOAT4 => Value::Real(f32::from_be_bytes(array(bytes)?).into()),
        FLOAT8 => Value::Real(f64::from_be_bytes(array(bytes)?)),
        BOOL => Value::Integer(i64::from(array::<1>(bytes)?[0] != 0)),
        BYTEA => Value::Blob(bytes.to_vec()),
        0 | TEXT | VARCHAR | BPCHAR | UNKNOWN => Value::Text(text(bytes)?),
        _ => return Err(Error::new(sqlstate::UNSUPPORTED, format!("parameter of type {oid}"))),
    };
    Ok(value)
}

fn decode_text(oid: Oid, bytes: &[u8]) -> Result<Value> {
    let text = text(bytes)?;
    let value = match oid {
        INT2 | INT4 | INT8 | OID => Value::Integer(parse(&text)?),
        FLOAT4 | FLOAT8 => Value::Real(parse(&text)?),
        BOOL => Value::Integer(parse_bool(&text)?.into()),
        BYTEA => Value::Blob(parse_bytea(&text)?),
        _ => Value::Text(text),
    };
    Ok(value)
}

fn array<const N: usize>(bytes: &[u8]) -> Result<[u8; N]> {
    bytes.try_into().map_err(|_| invalid_input("length of a binary parameter"))
}

fn text(bytes: &[u8]) -> Result<String> {
    String::from_utf8(bytes.to_vec()).map_err(|_| invalid_input("text is not UTF-8"))
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T> {
    text.trim().parse().map_err(|_| invalid_input(text))
}

fn parse_bool(text: &str) -> Result<bool> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "on" | "1" | "yes" => Ok(true),
        "f" | "false" | "off" | "0" | "no" => Ok(false),
        _ => Err(invalid_input(text)),
    }
}

fn parse_bytea(text: &str) -> Result<Vec<u8>> {
    let digits = text.strip_prefix("\\x").ok_or_else(|| invalid_input(text))?;
    let pairs = digits.as_bytes().chunks(2);
    pairs.map(|pair| parse_hex_byte(pair).ok_or_else(|| invalid_input(text))).collect()
}

fn parse_hex_byte(pair: &[u8]) -> Option<u8> {
    let pair = std::str::from_utf8(pair).ok()?;
    u8::from_str_radix(pair, 16).ok().filter(|_| pair.len() == 2)
}

fn invalid_input(text: &str) -> Error {
    Error::new(sqlstate::INVALID_TEXT, format!("invalid input: {text}"))
}

/// Encodes a result row: each value with its length, -1 for null.
pub(crate) fn encode(columns: &[Column], formats: &[Format], row: &[Value]) -> Result<BytesMut> {
    let mut data = BytesMut::new();
    for (index, (column, value)) in columns.iter().zip(row).enumerate() {
        if *value == Value::Null {
            data.put_i32(-1);
            continue;
        }
        let kind = column.kind.unwrap_or(Kind::Text);
        let bytes = match format_at(formats, index) {
            Format::Binary => encode_binary(kind, value)?,
            Format::Text => encode_text(kind, value)?,
        };
        data.put_i32(bytes.len() as i32);
        data.put_slice(&bytes);
    }
    Ok(data)
}

/// Format of a column. An empty list means text for all columns; a single format applies to all.
pub(crate) fn format_at(formats: &[Format], index: usize) -> Format {
    match formats {
        [] => Format::Text,
        [format] => *format,
        many => many.get(index).copied().unwrap_or(Format::Text),
    }
}

fn encode_binary(kind: Kind, value: &Value) -> Result<Vec<u8>> {
    let bytes = match kind {
        Kind::Integer => to_integer(value)?.to_be_bytes().to_vec(),
        Kind::Float => to_float(value)?.to_be_bytes().to_vec(),
        Kind::Bool => vec![u8::from(to_integer(value)? != 0)],
        Kind::Text => to_text(value)?.into_bytes(),
        Kind::Bytes => to_bytes(value)?,
        Kind::StoredAsText(NUMERIC) => binary::numeric(&to_text(value)?)?,
        Kind::StoredAsText(DATE) => binary::date(&to_text(value)?)?,
        Kind::StoredAsText(TIMESTAMP | TIMESTAMPTZ) => binary::timestamp(&to_text(value)?)?,
        Kind::StoredAsText(UUID) => binary::uuid(&to_text(value)?)?,
        Kind::StoredAsText(JSONB) => binary::jsonb(&to_text(value)?),
        Kind::StoredAsText(_) => to_text(value)?.into_bytes(),
    };
    Ok(bytes)
}

fn encode_text(kind: Kind, value: &Value) -> Result<Vec<u8>> {
    let text = match kind {
        Kind::Integer => to_integer(value)?.to_string(),
        Kind::Float => to_float(value)?.to_string(),
        Kind::Bool => if to_integer(value)? != 0 { "t" } else { "f" }.to_owned(),
        Kind::Text | Kind::StoredAsText(_) => to_text(value)?,
        Kind::Bytes => format_bytea(&to_bytes(value)?),
    };
    Ok(text.into_bytes())
}

fn format_bytea(bytes: &[u8]) -> String {
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    std::iter::once("\\x".to_owned()).chain(digits).collect()
}

fn to_integer(value: &Value) -> Result<i64> {
    match value {
        Value::Integer(value) => Ok(*value),
        Value::Real(value) if value.fract() == 0.0 => Ok(*value as i64),
        _ => Err(type_mismatch(value)),
    }
}

fn to_float(value: &Value) -> Result<f64> {
    match value {
        Value::Integer(value) => Ok(*value as f64),
        Value::Real(value) => Ok(*value),
        _ => Err(type_mismatch(value)),
    }
}

fn to_text(value: &Value) -> Result<String> {
    match value {
        Value::Integer(value) => Ok(value.to_string()),
        Value::Real(value) => Ok(value.to_string()),
        Value::Text(value) => Ok(value.clone()),
        _ => Err(type_mismatch(value)),
    }
}

fn to_bytes(value: &Value) -> Result<Vec<u8>> {
    match value {
        Value::Text(value) => Ok(value.clone().into_bytes()),
        Value::Blob(value) => Ok(value.clone()),
        _ => Err(type_mismatch(value)),
    }
}

fn type_mismatch(value: &Value) -> Error {
    Error::new(sqlstate::MISMATCH, format!("{} does not fit its column", value.data_type()))
}
