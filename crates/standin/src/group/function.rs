//! The `group_` functions that a target offers over SQL: status, fencing, promotion, holding
//! writes, and waiting for a majority.

use std::time::{Duration, Instant};

use rusqlite::types::Value;

use super::control::{Control, INTERRUPT_POLL_INTERVAL};
use super::database::Outcome;
use super::log::{Index, Position, Term};
use super::row::{Column, Kind};
use super::sqlstate::{self, Error, Result};
use super::state::{Role, State};
use super::statement::Call;
use super::target::Target;
use crate::sync::{self, lock};

const STATUS_COLUMNS: [&str; 11] = [
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
const POSITION_COLUMNS: [&str; 5] =
    ["applied_term", "applied_index", "age_ms", "confirmed_term", "confirmed_index"];
const CONFIRMED_COLUMNS: [&str; 4] =
    ["confirmed_term", "confirmed_index", "entry_term", "entry_index"];
const COMMIT_COLUMNS: [&str; 2] = ["term", "index"];
const FENCE_COLUMNS: [&str; 5] = ["granted", "accepted_term", "entry_term", "entry_index", "voter"];
const PROMOTE_COLUMNS: [&str; 4] = ["promoted", "accepted_term", "entry_term", "entry_index"];
const HOLD_COLUMNS: [&str; 3] = ["held", "entry_term", "entry_index"];
const TEXT_COLUMNS: [&str; 1] = ["role"];
const BOOL_COLUMNS: [&str; 4] = ["granted", "voter", "promoted", "held"];

/// Result columns of a group function and the number of its arguments.
pub(crate) fn describe(name: &str) -> Result<(Vec<Column>, usize)> {
    let (names, arguments): (&[&str], usize) = match name {
        "status" => (&STATUS_COLUMNS, 0),
        "position" => (&POSITION_COLUMNS, 0),
        "confirmed" => (&CONFIRMED_COLUMNS, 3),
        "commit" => (&COMMIT_COLUMNS, 0),
        "fence" => (&FENCE_COLUMNS, 2),
        "promote" => (&PROMOTE_COLUMNS, 2),
        "hold" => (&HOLD_COLUMNS, 1),
        _ => return Err(unknown_function(name)),
    };
    Ok((names.iter().map(|name| column(name)).collect(), arguments))
}

fn column(name: &str) -> Column {
    let kind = match name {
        name if TEXT_COLUMNS.contains(&name) => Kind::Text,
        name if BOOL_COLUMNS.contains(&name) => Kind::Bool,
        _ => Kind::Integer,
    };
    Column::with_kind(name, kind)
}

fn unknown_function(name: &str) -> Error {
    let message = format!("function group_{name} with these arguments does not exist");
    Error::new(sqlstate::UNKNOWN_FUNCTION, message)
}

/// Runs a group function; `committed` is the position of the connection's last commit.
pub(crate) fn call(
    target: &Target,
    control: &Control,
    call: &Call,
    params: &[Value],
    committed: Position,
) -> Result<Outcome> {
    let (columns, arity) = describe(&call.name)?;
    let arguments = call.arguments.iter().map(|argument| argument.integer(params));
    let arguments = arguments.collect::<Result<Vec<i64>>>()?;
    if arguments.len() != arity {
        return Err(unknown_function(&call.name));
    }
    let row = match (call.name.as_str(), arguments.as_slice()) {
        ("status", []) => status(target),
        ("position", []) => position(target),
        ("confirmed", [term, index, wait]) => {
            let wanted = Position { term: *term, index: *index };
            wait_confirmed(target, control, wanted, milliseconds(*wait))?
        }
        ("commit", []) => vec![integer(committed.term), integer(committed.index)],
        ("fence", [term, promoter]) => fence(target, *term, *promoter),
        ("promote", [term, promoter]) => promote(target, *term, *promoter)?,
        ("hold", [duration]) => hold(target, milliseconds(*duration)),
        _ => return Err(unknown_function(&call.name)),
    };
    Ok(Outcome { columns, rows: vec![row], ..Outcome::default() })
}

fn milliseconds(count: i64) -> Duration {
    Duration::from_millis(count.try_into().unwrap_or(0))
}

fn integer(value: i64) -> Value {
    Value::Integer(value)
}

fn boolean(value: bool) -> Value {
    Value::Integer(value.into())
}

fn status(target: &Target) -> Vec<Value> {
    let state = lock(&target.state);
    let entry = state.log.last_position();
    let applied = state.log.position_at(state.applied);
    vec![
        Value::Text(role_name(state.role).to_owned()),
        integer(state.accepted_term),
        integer(entry.term),
        integer(entry.index),
        integer(applied.term),
        integer(applied.index),
        integer(state.confirmed.term),
        integer(state.confirmed.index),
        integer(state.age_ms(Instant::now())),
        integer(state.primary.map_or(-1, |primary| primary as i64)),
        integer(term_start(&state, entry.term)),
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
    let applied = state.log.position_at(state.applied);
    vec![
        integer(applied.term),
        integer(applied.index),
        integer(state.age_ms(Instant::now())),
        integer(state.confirmed.term),
        integer(state.confirmed.index),
    ]
}

fn wait_confirmed(
    target: &Target,
    control: &Control,
    wanted: Position,
    wait: Duration,
) -> Result<Vec<Value>> {
    let deadline = Instant::now() + wait;
    let mut state = lock(&target.state);
    loop {
        control.check_interrupts()?;
        if !state.is_primary_in(wanted.term) {
            let message = format!("not the primary of term {}", wanted.term);
            return Err(Error::new(sqlstate::SUPERSEDED, message));
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if state.confirmed >= wanted || remaining.is_zero() {
            let (entry, confirmed) = (state.log.last_position(), state.confirmed);
            return Ok(vec![
                integer(confirmed.term),
                integer(confirmed.index),
                integer(entry.term),
                integer(entry.index),
            ]);
        }
        state = sync::wait(&target.changed, state, remaining.min(10 * INTERRUPT_POLL_INTERVAL));
    }
}

fn fence(target: &Target, term: Term, promoter: i64) -> Vec<Value> {
    let mut state = lock(&target.state);
    let granted = state.fence(term, promoter);
    target.changed.notify_all();
    let entry = state.log.last_position();
    vec![
        boolean(granted),
        integer(state.accepted_term),
        integer(entry.term),
        integer(entry.index),
        boolean(state.voter),
    ]
}

fn promote(target: &Target, term: Term, promoter: i64) -> Result<Vec<Value>> {
    let promoted = target.promote(term, promoter)?;
    let state = lock(&target.state);
    let entry = state.log.last_position();
    Ok(vec![
        boolean(promoted),
        integer(state.accepted_term),
        integer(entry.term),
        integer(entry.index),
    ])
}

fn hold(target: &Target, duration: Duration) -> Vec<Value> {
    let mut state = lock(&target.state);
    let held = state.is_primary();
    if held {
        state.hold_deadline = (!duration.is_zero()).then(|| Instant::now() + duration);
    }
    let entry = state.log.last_position();
    vec![boolean(held), integer(entry.term), integer(entry.index)]
}
