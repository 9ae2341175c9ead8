//! Check of callers' statements for words that they must not contain.
//!
//! A statement runs inside a transaction that the host controls, on a connection that other
//! callers use afterwards. So it must not end the transaction, change the database session, call
//! the group's functions or name the proxy's tables. The check scans the words outside literals and
//! comments; it is not a parser, and the database itself enforces access rights to its objects.

use crate::refusal::{Reason, Refusal};
use crate::statement::{Statement, Value};

/// First words of statements that control a transaction or change a session.
const FORBIDDEN_FIRST: [&str; 26] = [
    "abort",
    "begin",
    "call",
    "checkpoint",
    "close",
    "commit",
    "copy",
    "deallocate",
    "declare",
    "discard",
    "do",
    "end",
    "execute",
    "fetch",
    "listen",
    "load",
    "move",
    "notify",
    "prepare",
    "reassign",
    "release",
    "reset",
    "rollback",
    "savepoint",
    "set",
    "start",
];
/// Words that are refused at any position.
const FORBIDDEN_ANYWHERE: [&str; 10] = [
    "dblink",
    "group_commit",
    "group_confirmed",
    "group_fence",
    "group_hold",
    "group_position",
    "group_promote",
    "group_status",
    "set_config",
    "unlisten",
];
/// Prefixes of the names of the proxy's tables, and of locks that outlive a transaction.
const FORBIDDEN_PREFIXES: [&str; 2] = ["bergamotvale_", "pg_advisory_"];
/// Words after which `temp` or `temporary` creates an object that outlives a transaction.
const BEFORE_TEMPORARY: [&str; 5] = ["create", "global", "into", "local", "replace"];

/// Checks that a caller may run `sql`.
pub fn verify(sql: &str) -> Result<(), Refusal> {
    let words = words(sql)?;
    let Some(first) = words.first() else {
        return Err(malformed("the statement is empty"));
    };
    if FORBIDDEN_FIRST.contains(&first.as_str()) {
        return Err(malformed("the statement controls a transaction or a session"));
    }
    if words.windows(2).any(is_temporary) {
        return Err(malformed("the statement makes a temporary object"));
    }
    if words.iter().any(|word| is_forbidden(word)) {
        return Err(malformed("the statement names what belongs to the database group"));
    }
    Ok(())
}

/// Whether `secret` occurs in the text of the statement or in one of its parameters.
pub fn contains_secret(statement: &Statement, secret: &str) -> bool {
    let contains_bytes = |bytes: &[u8]| bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
    let in_param = |value: &Value| match value {
        Value::Text(text) => contains_bytes(text.as_bytes()),
        Value::Bytes(bytes) => contains_bytes(bytes),
        Value::Null | Value::Bool(_) | Value::Int(_) | Value::Float(_) => false,
    };
    !secret.is_empty()
        && (contains_bytes(statement.sql.as_bytes()) || statement.params.iter().any(in_param))
}

fn is_forbidden(word: &str) -> bool {
    FORBIDDEN_ANYWHERE.contains(&word)
        || FORBIDDEN_PREFIXES.iter().any(|prefix| word.starts_with(prefix))
}

fn is_temporary(pair: &[String]) -> bool {
    BEFORE_TEMPORARY.contains(&pair[0].as_str())
        && ["temp", "temporary"].contains(&pair[1].as_str())
}

/// Returns the words of `sql` outside literals and comments in lower case, quoted names included.
fn words(sql: &str) -> Result<Vec<String>, Refusal> {
    let mut words = Vec::new();
    let mut rest = sql;
    while let Some(next) = rest.chars().next() {
        rest = if rest.starts_with("--") {
            skip_past(rest, "\n").unwrap_or("")
        } else if rest.starts_with("/*") {
            skip_comment(rest)?
        } else if next == '\'' {
            skip_literal(rest, false)?
        } else if next == '"' {
            read_quoted(rest, &mut words)?
        } else if next == '$' {
            skip_dollar(rest)?
        } else if is_word_start(next) {
            read_word(rest, &mut words)?
        } else {
            &rest[next.len_utf8()..]
        };
    }
    Ok(words)
}

fn read_word<'a>(text: &'a str, words: &mut Vec<String>) -> Result<&'a str, Refusal> {
    let end = text.find(|c: char| !is_word_part(c)).unwrap_or(text.len());
    let (word, rest) = text.split_at(end);
    let word = word.to_lowercase();
    if word == "e" && rest.starts_with('\'') {
        return skip_literal(rest, true);
    }
    if word == "u" && rest.starts_with('&') {
        // An escaped identifier could spell any reserved name.
        return Err(malformed("Unicode escapes are not accepted"));
    }
    words.push(word);
    Ok(rest)
}

fn read_quoted<'a>(text: &'a str, words: &mut Vec<String>) -> Result<&'a str, Refusal> {
    let body = &text[1..];
    let end = body.find('"').ok_or_else(unterminated)?;
    words.push(body[..end].to_lowercase());
    Ok(&body[end + 1..])
}

/// Skips a string literal; without escapes, a doubled quote is read as two adjacent literals.
fn skip_literal(text: &str, has_escapes: bool) -> Result<&str, Refusal> {
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        if escaped {
            escaped = false;
        } else if has_escapes && c == '\\' {
            escaped = true;
        } else if c == '\'' {
            let rest = &text[at + 1..];
            let continues = has_escapes && rest.starts_with('\'');
            return if continues { skip_literal(rest, true) } else { Ok(rest) };
        }
    }
    Err(unterminated())
}

/// Skips a dollar-quoted literal, or the dollar of a parameter or on its own.
fn skip_dollar(text: &str) -> Result<&str, Refusal> {
    let body = &text[1..];
    let end = body.find(|c: char| !is_word_part(c) || c == '$').unwrap_or(body.len());
    let is_tag = body[end..].starts_with('$') && !body.starts_with(|c: char| c.is_ascii_digit());
    if !is_tag {
        return Ok(body);
    }
    let tag = &text[..end + 2];
    skip_past(&text[tag.len()..], tag).ok_or_else(unterminated)
}

fn skip_comment(text: &str) -> Result<&str, Refusal> {
    let mut depth = 0u32;
    let mut rest = text;
    loop {
        if let Some(inner) = rest.strip_prefix("/*") {
            depth += 1;
            rest = inner;
        } else if let Some(outer) = rest.strip_prefix("*/") {
            depth -= 1;
            rest = outer;
        } else {
            let next = rest.chars().next().ok_or_else(unterminated)?;
            rest = &rest[next.len_utf8()..];
        }
        if depth == 0 {
            return Ok(rest);
        }
    }
}

fn skip_past<'a>(text: &'a str, delimiter: &str) -> Option<&'a str> {
    text.find(delimiter).map(|at| &text[at + delimiter.len()..])
}

fn is_word_start(c: char) -> bool {
    c.is_alphabetic() || c == '_'
}

fn is_word_part(c: char) -> bool {
    is_word_start(c) || c.is_numeric() || c == '$'
}

fn unterminated() -> Refusal {
    malformed("the statement has an unterminated literal, name or comment")
}

fn malformed(detail: &str) -> Refusal {
    Refusal::new(Reason::Malformed, detail)
}
