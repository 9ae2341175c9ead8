//! What a statement asks of a target: plain SQL, transaction control, settings, or one of the
//! group functions.

use std::time::Duration;

use rusqlite::types::Value;

use super::sqlstate::{self, Error, Result};

/// A statement by what it does.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Nothing but spaces and comments.
    Empty,
    /// Starts a transaction.
    Begin {
        /// It may not write.
        read_only: bool,
    },
    /// Ends the transaction.
    Commit,
    /// Gives the transaction up.
    Rollback,
    /// Changes a setting of the session.
    Set(Setting),
    /// A group function.
    Call(Call),
    /// `SELECT pg_sleep(x)`.
    Sleep(Argument),
    /// Anything for SQLite.
    Sql,
}

/// A session setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Setting {
    /// `default_transaction_read_only`.
    ReadOnly(bool),
    /// `statement_timeout`; none is no limit.
    Timeout(Option<Duration>),
    /// Any other, without effect.
    Other,
}

/// A group function with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Call {
    /// Name without `group_`.
    pub(crate) name: String,
    /// Arguments.
    pub(crate) arguments: Vec<Argument>,
}

/// An argument: a number or a parameter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Argument {
    /// Written in the statement.
    Number(f64),
    /// `$n`, from 1.
    Parameter(usize),
}

impl Argument {
    /// Its value as an integer.
    pub(crate) fn integer(self, params: &[Value]) -> Result<i64> {
        match self.value(params)? {
            Value::Integer(value) => Ok(value),
            Value::Real(value) if value.fract() == 0.0 => Ok(value as i64),
            Value::Text(text) => text.trim().parse().map_err(|_| not_a_number()),
            _ => Err(not_a_number()),
        }
    }

    /// Its value as a float.
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

/// Tells what a statement asks for.
pub(crate) fn parse(sql: &str) -> Result<Command> {
    let text = strip(sql).to_ascii_lowercase();
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
        ["set", rest @ ..] => Command::Set(setting(&rest.join(" "))?),
        ["reset" | "discard" | "deallocate", ..] => Command::Set(Setting::Other),
        ["pragma" | "attach" | "detach" | "vacuum" | "reindex" | "analyze", ..] => {
            return Err(Error::new(sqlstate::SYNTAX, format!("syntax error at {}", words[0])));
        }
        ["select", ..] => select(&text)?,
        _ => Command::Sql,
    };
    Ok(command)
}

/// The command tag that ends the answer.
pub(crate) fn tag(sql: &str, wrote: bool, affected: u64, rows: usize) -> String {
    let text = strip(sql).to_ascii_uppercase();
    let mut words = text.split_whitespace();
    let first = words.next().unwrap_or_default();
    match first {
        _ if !wrote => format!("SELECT {rows}"),
        "INSERT" | "REPLACE" => format!("INSERT 0 {affected}"),
        "UPDATE" | "DELETE" => format!("{first} {affected}"),
        "WITH" => format!("UPDATE {affected}"),
        _ => format!("{first} {}", words.next().unwrap_or_default()),
    }
}

fn select(text: &str) -> Result<Command> {
    if let Some(call) = text.strip_prefix("select * from group_") {
        let (name, arguments) = call_parts(call)
            .ok_or_else(|| Error::new(sqlstate::SYNTAX, "syntax error in a group function"))?;
        return Ok(Command::Call(Call { name, arguments }));
    }
    if let Some(call) = text.strip_prefix("select pg_sleep") {
        let parts = call_parts(&format!("pg_sleep{call}"));
        if let Some((_, arguments)) = parts
            && let [argument] = arguments.as_slice()
        {
            return Ok(Command::Sleep(*argument));
        }
    }
    Ok(Command::Sql)
}

/// Name and arguments of `name(a, b)`, if it is nothing more.
fn call_parts(text: &str) -> Option<(String, Vec<Argument>)> {
    let (name, rest) = text.split_once('(')?;
    let inner = rest.trim().strip_suffix(')')?.trim();
    if inner.is_empty() {
        return Some((name.trim().to_owned(), Vec::new()));
    }
    let arguments = inner.split(',').map(|part| argument(part.trim()));
    Some((name.trim().to_owned(), arguments.collect::<Option<Vec<Argument>>>()?))
}

fn argument(text: &str) -> Option<Argument> {
    let text = text.split("::").next().unwrap_or(text).trim();
    match text.strip_prefix('$') {
        Some(number) => number.parse().ok().filter(|number| *number > 0).map(Argument::Parameter),
        None => text.parse().ok().map(Argument::Number),
    }
}

fn setting(text: &str) -> Result<Setting> {
    let text = text.strip_prefix("session ").unwrap_or(text);
    let text = text.replace(" to ", "=").replace(['\'', ' '], "");
    let (name, value) = text.split_once('=').unwrap_or((&text, ""));
    match name {
        "default_transaction_read_only" => Ok(Setting::ReadOnly(read_only(value)?)),
        "statement_timeout" => Ok(Setting::Timeout(timeout(value)?)),
        _ => Ok(Setting::Other),
    }
}

fn read_only(value: &str) -> Result<bool> {
    match value {
        "on" | "true" | "1" => Ok(true),
        "off" | "false" | "0" => Ok(false),
        _ => Err(invalid_setting(value)),
    }
}

fn timeout(value: &str) -> Result<Option<Duration>> {
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

/// Takes spaces, semicolons and comments off both ends.
fn strip(sql: &str) -> &str {
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

/// Splits the text of a simple query into statements.
pub(crate) fn split(sql: &str) -> Vec<&str> {
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
    parts.retain(|part| !strip(part).is_empty());
    parts
}

#[derive(Clone, Copy)]
enum Scan {
    Plain,
    Quote(u8),
    Line,
    Block,
}

/// Highest number of a `$n` parameter outside quotes.
pub(crate) fn parameter_count(sql: &str) -> usize {
    let unquoted = sql.split('\'').step_by(2);
    let numbers = unquoted.flat_map(|part| part.split('$').skip(1)).map(leading_number);
    numbers.max().unwrap_or(0)
}

fn leading_number(text: &str) -> usize {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    text[..end].parse().unwrap_or(0)
}
