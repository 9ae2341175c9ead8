//! The group functions: status, fencing, promotion, and waiting for a majority.

use std::time::{Duration, Instant};

use rusqlite::types::Value;

use super::control::{Control, LOOK_PERIOD};
use super::database::Outcome;
use super::log::{Index, Position, Term};
use super::row::{Column, Kind};
use super::sqlstate::{self, Error, Result};
use super::state::{Role, State};
use super::statement::Call;
use super::target::Target;
use crate::sync::{self, lock};

const STATUS: [&str; 11] = [
    "role",
    "accepted_term",
    "entry_term",
    "entry_index",
    "applied_term",
    "applied_index",
    "confirmed_term",
    "confirmed_index",
    "age_ms",
    "primary",
    "term_start",
];
const POSITION: [&str; 5] =
    ["applied_term", "applied_index", "age_ms", "confirmed_term", "confirmed_index"];
const CONFIRMED: [&str; 4] = ["confirmed_term", "confirmed_index", "entry_term", "entry_index"];
const COMMIT: [&str; 2] = ["term", "index"];
const FENCE: [&str; 5] = ["granted", "accepted_term", "entry_term", "entry_index", "voter"];
const PROMOTE: [&str; 4] = ["promoted", "accepted_term", "entry_term", "entry_index"];
const HOLD: [&str; 3] = ["held", "entry_term", "entry_index"];
const TEXTS: [&str; 1] = ["role"];
const FLAGS: [&str; 4] = ["granted", "voter", "promoted", "held"];

/// Columns of a group function and the number of its arguments.
pub(crate) fn describe(name: &str) -> Result<(Vec<Column>, usize)> {
    let (names, arguments): (&[&str], usize) = match name {
        "status" => (&STATUS, 0),
        "position" => (&POSITION, 0),
        "confirmed" => (&CONFIRMED, 3),
        "commit" => (&COMMIT, 0),
        "fence" => (&FENCE, 2),
        "promote" => (&PROMOTE, 2),
        "hold" => (&HOLD, 1),
        _ => return Err(unknown(name)),
    };
    Ok((names.iter().map(|name| column(name)).collect(), arguments))
}

fn column(name: &str) -> Column {
    let kind = match name {
        name if TEXTS.contains(&name) => Kind::Text,
        name if FLAGS.contains(&name) => Kind::Bool,
        _ => Kind::Integer,
    };
    Column::with_kind(name, kind)
}

fn unknown(name: &str) -> Error {
    let message = format!("function group_{name} with these arguments does not exist");
    Error::new(sqlstate::UNKNOWN_FUNCTION, message)
}

/// Runs a group function; `committed` is the connection's last commit.
pub(crate) fn call(
    target: &Target,
    control: &Control,
    call: &Call,
    params: &[Value],
    committed: Position,
) -> Result<Outcome> {
    let (columns, arity) = describe(&call.name)?;
    let given = call.arguments.iter().map(|argument| argument.integer(params));
    let given = given.collect::<Result<Vec<i64>>>()?;
    if given.len() != arity {
        return Err(unknown(&call.name));
    }
    let row = match (call.name.as_str(), given.as_slice()) {
        ("status", []) => status(target),
        ("position", []) => position(target),
        ("confirmed", [term, index, wait]) => {
            let wanted = Position { term: *term, index: *index };
            confirmed(target, control, wanted, milliseconds(*wait))?
        }
        ("commit", []) => vec![int(committed.term), int(committed.index)],
        ("fence", [term, promoter]) => fence(target, *term, *promoter),
        ("promote", [term, promoter]) => promote(target, *term, *promoter)?,
        ("hold", [wait]) => hold(target, milliseconds(*wait)),
        _ => return Err(unknown(&call.name)),
    };
    Ok(Outcome { columns, rows: vec![row], ..Outcome::default() })
}

fn milliseconds(count: i64) -> Duration {
    Duration::from_millis(count.try_into().unwrap_or(0))
}

fn int(value: i64) -> Value {
    Value::Integer(value)
}

fn flag(value: bool) -> Value {
    Value::Integer(value.into())
}

fn status(target: &Target) -> Vec<Value> {
    let state = lock(&target.state);
    let entry = state.log.last();
    let applied = state.log.position(state.applied);
    vec![
        Value::Text(role_name(state.role).to_owned()),
        int(state.accepted_term),
        int(entry.term),
        int(entry.index),
        int(applied.term),
        int(applied.index),
        int(state.confirmed.term),
        int(state.confirmed.index),
        int(state.age_ms(Instant::now())),
        int(state.primary.map_or(-1, |primary| primary as i64)),
        int(term_start(&state, entry.term)),
    ]
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Primary => "primary",
        Role::Replica => "replica",
        Role::Rebuilding => "rebuilding",
    }
}

fn term_start(state: &State, term: Term) -> Index {
    if term == 0 { 0 } else { state.log.term_start(term) }
}

fn position(target: &Target) -> Vec<Value> {
    let state = lock(&target.state);
    let applied = state.log.position(state.applied);
    vec![
        int(applied.term),
        int(applied.index),
        int(state.age_ms(Instant::now())),
        int(state.confirmed.term),
        int(state.confirmed.index),
    ]
}

fn confirmed(
    target: &Target,
    control: &Control,
    wanted: Position,
    wait: Duration,
) -> Result<Vec<Value>> {
    let deadline = Instant::now() + wait;
    let mut state = lock(&target.state);
    loop {
        control.check()?;
        if !state.leads_in(wanted.term) {
            let message = format!("not the primary of term {}", wanted.term);
            return Err(Error::new(sqlstate::SUPERSEDED, message));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if state.confirmed >= wanted || left.is_zero() {
            let (entry, confirmed) = (state.log.last(), state.confirmed);
            return Ok(vec![
                int(confirmed.term),
                int(confirmed.index),
                int(entry.term),
                int(entry.index),
            ]);
        }
        state = sync::wait(&target.changed, state, left.min(10 * LOOK_PERIOD));
    }
}

fn fence(target: &Target, term: Term, promoter: i64) -> Vec<Value> {
    let mut state = lock(&target.state);
    let granted = state.fence(term, promoter);
    target.changed.notify_all();
    let entry = state.log.last();
    vec![
        flag(granted),
        int(state.accepted_term),
        int(entry.term),
        int(entry.index),
        flag(state.voter),
    ]
}

fn promote(target: &Target, term: Term, promoter: i64) -> Result<Vec<Value>> {
    let promoted = target.promote(term, promoter)?;
    let state = lock(&target.state);
    let entry = state.log.last();
    Ok(vec![flag(promoted), int(state.accepted_term), int(entry.term), int(entry.index)])
}

fn hold(target: &Target, wait: Duration) -> Vec<Value> {
    let mut state = lock(&target.state);
    let held = state.leads();
    if held {
        state.held_until = (!wait.is_zero()).then(|| Instant::now() + wait);
    }
    let entry = state.log.last();
    vec![flag(held), int(entry.term), int(entry.index)]
}
