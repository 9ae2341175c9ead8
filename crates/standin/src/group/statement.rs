//! Classification of statements: SQL for SQLite, transaction control, settings, or a call of a
//! group function.

use std::time::Duration;

use rusqlite::types::Value;

use super::sqlstate::{self, Error, Result};

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Only whitespace, semicolons and comments.
    Empty,
    /// `BEGIN` or `START TRANSACTION`.
    Begin {
        /// `READ ONLY`: the transaction rejects writes.
        read_only: bool,
    },
    /// `COMMIT` or `END`.
    Commit,
    /// `ROLLBACK` or `ABORT`.
    Rollback,
    /// A statement that changes or resets session settings, such as `SET`, `RESET` or `DISCARD`.
    Set(Setting),
    /// `SELECT * FROM group_...(...)`.
    Call(Call),
    /// `SELECT pg_sleep(x)`.
    Sleep(Argument),
    /// Any other statement, which SQLite executes.
    Sql,
}

/// A session setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Setting {
    /// `default_transaction_read_only`.
    ReadOnly(bool),
    /// `statement_timeout`; none means no timeout.
    Timeout(Option<Duration>),
    /// Any other setting; it has no effect.
    Other,
}

/// A call of a group function.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Call {
    /// Function name without the prefix `group_`.
    pub(crate) name: String,
    pub(crate) arguments: Vec<Argument>,
}

/// An argument of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Argument {
    /// A literal number.
    Number(f64),
    /// A parameter `$n`; n starts at 1.
    Parameter(usize),
}

impl Argument {
    /// Evaluates the argument as an integer.
    pub(crate) fn integer(self, params: &[Value]) -> Result<i64> {
        match self.value(params)? {
            Value::Integer(value) => Ok(value),
            Value::Real(value) if value.fract() == 0.0 => Ok(value as i64),
            Value::Text(text) => text.trim().parse().map_err(|_| not_a_number()),
            _ => Err(not_a_number()),
        }
    }

    /// Evaluates the argument as a float.
    pub(crate) fn float(self, params: &[Value]) -> Result<f64> {
        match self.value(params)? {
            Value::Integer(value) => Ok(value as f64),
            Value::Real(value) => Ok(value),
            Value::Text(text) => text.trim().parse().map_err(|_| not_a_number()),
            _ => Err(not_a_number()),
        }
    }

    fn value(self, params: &[Value]) -> Result<Value> {
        match self {
            Argument::Number(value) => Ok(Value::Real(value)),
            Argument::Parameter(number) => params.get(number - 1).cloned().ok_or_else(|| {
                Error::new(sqlstate::PROTOCOL, format!("there is no parameter ${number}"))
            }),
        }
    }
}

fn not_a_number() -> Error {
    Error::new(sqlstate::INVALID_TEXT, "the argument is not a number")
}

/// Parses one statement as far as needed to classify it.
pub(crate) fn parse(sql: &str) -> Result<Command> {
    let text = strip_comments(sql).to_ascii_lowercase();
    let words: Vec<&str> = text.split_whitespace().collect();
    let read_only = text.contains("read only");
    let command = match words.as_slice() {
        [] => Command::Empty,
        ["begin", ..] | ["start", "transaction", ..] => Command::Begin { read_only },
        ["commit", ..] | ["end", ..] => Command::Commit,
        ["rollback", "to", ..] | ["savepoint", ..] | ["release", ..] => {
            return Err(Error::new(sqlstate::UNSUPPORTED, "savepoints"));
        }
        ["rollback", ..] | ["abort", ..] => Command::Rollback,
        ["set", rest @ ..] => Command::Set(parse_setting(&rest.join(" "))?),
        ["reset" | "discard" | "deallocate", ..] => Command::Set(Setting::Other),
        ["pragma" | "attach" | "detach" | "vacuum" | "reindex" | "analyze", ..] => {
            return Err(Error::new(sqlstate::SYNTAX, format!("syntax error at {}", words[0])));
        }
        ["select", ..] => parse_select(&text)?,
        _ => Command::Sql,
    };
    Ok(command)
}

/// Command tag of a completed statement.
pub(crate) fn command_tag(sql: &str, is_write: bool, affected: u64, rows: usize) -> String {
    let text = strip_comments(sql).to_ascii_uppercase();
    let mut words = text.split_whitespace();
    let first = words.next().unwrap_or_default();
    match first {
        _ if !is_write => format!("SELECT {rows}"),
        "INSERT" | "REPLACE" => format!("INSERT 0 {affected}"),
        "UPDATE" | "DELETE" => format!("{first} {affected}"),
        "WITH" => format!("UPDATE {affected}"),
        _ => format!("{first} {}", words.next().unwrap_or_default()),
    }
}

fn parse_select(text: &str) -> Result<Command> {
    if let Some(call) = text.strip_prefix("select * from group_") {
        let (name, arguments) = parse_call(call)
            .ok_or_else(|| Error::new(sqlstate::SYNTAX, "syntax error in a group function"))?;
        return Ok(Command::Call(Call { name, arguments }));
    }
    if let Some(call) = text.strip_prefix("select pg_sleep") {
        let parts = parse_call(&format!("pg_sleep{call}"));
        if let Some((_, arguments)) = parts
            && let [argument] = arguments.as_slice()
        {
            return Ok(Command::Sleep(*argument));
        }
    }
    Ok(Command::Sql)
}

/// Name and arguments of a call `name(a, b)`; none for anything else.
fn parse_call(text: &str) -> Option<(String, Vec<Argument>)> {
    let (name, rest) = text.split_once('(')?;
    let inner = rest.trim().strip_suffix(')')?.trim();
    if inner.is_empty() {
        return Some((name.trim().to_owned(), Vec::new()));
    }
    let arguments = inner.split(',').map(|part| parse_argument(part.trim()));
    Some((name.trim().to_owned(), arguments.collect::<Option<Vec<Argument>>>()?))
}

fn parse_argument(text: &str) -> Option<Argument> {
    let text = text.split("::").next().unwrap_or(text).trim();
    match text.strip_prefix('$') {
        Some(number) => number.parse().ok().filter(|number| *number > 0).map(Argument::Parameter),
        None => text.parse().ok().map(Argument::Number),
    }
}

fn parse_setting(text: &str) -> Result<Setting> {
    let text = text.strip_prefix("session ").unwrap_or(text);
    let text = text.replace(" to ", "=").replace(['\'', ' '], "");
    let (name, value) = text.split_once('=').unwrap_or((&text, ""));
    match name {
        "default_transaction_read_only" => Ok(Setting::ReadOnly(parse_switch(value)?)),
        "statement_timeout" => Ok(Setting::Timeout(parse_timeout(value)?)),
        _ => Ok(Setting::Other),
    }
}

fn parse_switch(value: &str) -> Result<bool> {
    match value {
        "on" | "true" | "1" => Ok(true),
        "off" | "false" | "0" => Ok(false),
        _ => Err(invalid_setting(value)),
    }
}

fn parse_timeout(value: &str) -> Result<Option<Duration>> {
    let (digits, unit) = match value.strip_suffix("ms") {
        Some(digits) => (digits, 1),
        None => match value.strip_suffix('s') {
            Some(digits) => (digits, 1_000),
            None => (value, 1),
        },
    };
    let count: u64 = digits.parse().map_err(|_| invalid_setting(value))?;
    Ok((count > 0).then(|| Duration::from_millis(count * unit)))
}

fn invalid_setting(value: &str) -> Error {
    Error::new("22023", format!("invalid value of a setting: {value}"))
}

/// Strips leading comments, trailing semicolons, and whitespace at both ends.
fn strip_comments(sql: &str) -> &str {
    let mut text = sql.trim().trim_end_matches([';', ' ', '\n', '\t', '\r']);
    loop {
        let rest = match (text.starts_with("--"), text.starts_with("/*")) {
            (true, _) => text.split_once('\n').map_or("", |(_, rest)| rest),
            (_, true) => text.split_once("*/").map_or("", |(_, rest)| rest),
            _ => return text,
        };
        text = rest.trim_start();
    }
}

/// Splits the text of a simple query into statements and drops the empty ones.
pub(crate) fn split_statements(sql: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut scan = Scan::Plain;
    let bytes = sql.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let pair = (bytes[at], bytes.get(at + 1).copied().unwrap_or(0));
        scan = match (scan, pair) {
            (Scan::Plain, (b';', _)) => {
                parts.push(&sql[start..at]);
                start = at + 1;
                Scan::Plain
            }
            (Scan::Plain, (quote @ (b'\'' | b'"'), _)) => Scan::Quote(quote),
            (Scan::Plain, (b'-', b'-')) => Scan::Line,
            (Scan::Plain, (b'/', b'*')) => Scan::Block,
            (Scan::Quote(quote), (byte, _)) if byte == quote => Scan::Plain,
            (Scan::Line, (b'\n', _)) => Scan::Plain,
            (Scan::Block, (b'*', b'/')) => {
                at += 1;
                Scan::Plain
            }
            (scan, _) => scan,
        };
        at += 1;
    }
    parts.push(&sql[start..]);
    parts.retain(|part| !strip_comments(part).is_empty());
    parts
}

/// Lexical context of a byte; `Line` and `Block` are comments.
#[derive(Clone, Copy)]
enum Scan {
    Plain,
    /// Inside a literal or name that is quoted with this byte.
    Quote(u8),
    Line,
    Block,
}

/// Highest number of a `$n` parameter outside single quotes; 0 if there is none.
pub(crate) fn parameter_count(sql: &str) -> usize {
    let unquoted = sql.split('\'').step_by(2);
    let numbers = unquoted.flat_map(|part| part.split('$').skip(1)).map(leading_number);
    numbers.max().unwrap_or(0)
}

fn leading_number(text: &str) -> usize {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    text[..end].parse().unwrap_or(0)
}
