//! What callers' statements may not contain.
//!
//! A statement runs inside a transaction that the host controls, on a connection that other
//! callers use afterwards. It must therefore neither end the transaction, nor change the session,
//! nor call the group's own functions, nor name the proxy's own tables. The scan sees words
//! outside literals and comments; it is no parser, and rights on the database's own objects are
//! the database's to enforce.

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
/// Words that are refused wherever they stand.
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
/// Beginnings of names of the proxy's own tables, and of locks that outlive a transaction.
const FORBIDDEN_PREFIXES: [&str; 2] = ["bergamotvale_", "pg_advisory_"];
/// Words after which `temp` or `temporary` makes an object that outlives a transaction.
const BEFORE_TEMPORARY: [&str; 5] = ["create", "global", "into", "local", "replace"];

/// Says whether a caller may run `sql`.
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

/// Whether `secret` occurs in the statement or one of its parameters.
pub fn contains_secret(statement: &Statement, secret: &str) -> bool {
    let is_in = |bytes: &[u8]| bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
    let in_param = |value: &Value| match value {
        Value::Text(text) => is_in(text.as_bytes()),
        Value::Bytes(bytes) => is_in(bytes),
        Value::Null | Value::Bool(_) | Value::Int(_) | Value::Float(_) => false,
    };
    !secret.is_empty() && (is_in(statement.sql.as_bytes()) || statement.params.iter().any(in_param))
}

fn is_forbidden(word: &str) -> bool {
    FORBIDDEN_ANYWHERE.contains(&word)
        || FORBIDDEN_PREFIXES.iter().any(|prefix| word.starts_with(prefix))
}

fn is_temporary(pair: &[String]) -> bool {
    BEFORE_TEMPORARY.contains(&pair[0].as_str())
        && ["temp", "temporary"].contains(&pair[1].as_str())
}

/// Words of `sql` outside literals and comments, in lower case; quoted names among them.
fn words(sql: &str) -> Result<Vec<String>, Refusal> {
    let mut words = Vec::new();
    let mut rest = sql;
    while let Some(next) = rest.chars().next() {
        rest = if rest.starts_with("--") {
            after(rest, "\n").unwrap_or("")
        } else if rest.starts_with("/*") {
            comment(rest)?
        } else if next == '\'' {
            literal(rest, false)?
        } else if next == '"' {
            quoted(rest, &mut words)?
        } else if next == '$' {
            dollar(rest)?
        } else if is_word_start(next) {
            word(rest, &mut words)?
        } else {
            &rest[next.len_utf8()..]
        };
    }
    Ok(words)
}

fn word<'a>(text: &'a str, words: &mut Vec<String>) -> Result<&'a str, Refusal> {
    let end = text.find(|c: char| !is_word_part(c)).unwrap_or(text.len());
    let (word, rest) = text.split_at(end);
    let word = word.to_lowercase();
    if word == "e" && rest.starts_with('\'') {
        return literal(rest, true);
    }
    if word == "u" && rest.starts_with('&') {
        // Escapes could spell any name.
        return Err(malformed("Unicode escapes are not accepted"));
    }
    words.push(word);
    Ok(rest)
}

fn quoted<'a>(text: &'a str, words: &mut Vec<String>) -> Result<&'a str, Refusal> {
    let body = &text[1..];
    let end = body.find('"').ok_or_else(unterminated)?;
    words.push(body[..end].to_lowercase());
    Ok(&body[end + 1..])
}

/// Past a literal; a doubled quote reads as a second literal right after the first.
fn literal(text: &str, has_escapes: bool) -> Result<&str, Refusal> {
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        if escaped {
            escaped = false;
        } else if has_escapes && c == '\\' {
            escaped = true;
        } else if c == '\'' {
            let rest = &text[at + 1..];
            let goes_on = has_escapes && rest.starts_with('\'');
            return if goes_on { literal(rest, true) } else { Ok(rest) };
        }
    }
    Err(unterminated())
}

/// Past a dollar-quoted literal, a parameter or a lone dollar.
fn dollar(text: &str) -> Result<&str, Refusal> {
    let body = &text[1..];
    let end = body.find(|c: char| !is_word_part(c) || c == '$').unwrap_or(body.len());
    let is_tag = body[end..].starts_with('$') && !body.starts_with(|c: char| c.is_ascii_digit());
    if !is_tag {
        return Ok(body);
    }
    let tag = &text[..end + 2];
    after(&text[tag.len()..], tag).ok_or_else(unterminated)
}

fn comment(text: &str) -> Result<&str, Refusal> {
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

fn after<'a>(text: &'a str, mark: &str) -> Option<&'a str> {
    text.find(mark).map(|at| &text[at + mark.len()..])
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
