//! The data of a target, an in-memory SQLite database.
//!
//! Each target has a database of its committed data, which serves reads and to which log entries
//! are applied. A primary has a second copy in which the running write transaction executes. The
//! log replicates statements; they produce the same data on every target because functions that
//! are not deterministic are rejected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rusqlite::backup::Backup;
use rusqlite::functions::FunctionFlags;
use rusqlite::hooks::{AuthAction, AuthContext, Authorization};
use rusqlite::types::Value;
use rusqlite::{CachedStatement, Connection, ErrorCode, ffi};

use super::control::{self, Control};
use super::log::Statement;
use super::row::Column;
use super::sqlstate::{self, Error, Result};

/// SQLite virtual machine steps between two checks for an interruption.
const PROGRESS_HANDLER_STEPS: i32 = 1_000;
/// Capacity of the prepared statement cache.
const MAX_CACHED_STATEMENTS: usize = 256;
const MAX_RESULT_BYTES: usize = 256 << 20;
/// A negative number copies all pages in one step.
const BACKUP_PAGES_PER_STEP: i32 = -1;
/// Functions whose value may differ between targets.
const NONDETERMINISTIC_FUNCTIONS: [&str; 14] = [
    "random",
    "randomblob",
    "date",
    "time",
    "datetime",
    "julianday",
    "unixepoch",
    "strftime",
    "timediff",
    "sqlite_version",
    "sqlite_source_id",
    "changes",
    "total_changes",
    "last_insert_rowid",
];

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Columns of the result; empty for a statement that returns no rows.
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<Value>>,
    /// Number of rows that a write changed.
    pub(crate) affected: u64,
    /// Whether the statement could change data, by SQLite's analysis.
    pub(crate) is_write: bool,
}

/// An in-memory SQLite database.
pub(crate) struct Database {
    connection: Connection,
    current: Arc<control::Current>,
    replaying: Arc<AtomicBool>,
}

impl Database {
    pub(crate) fn new() -> rusqlite::Result<Self> {
        let connection = Connection::open_in_memory()?;
        let current = Arc::new(control::Current::default());
        let replaying = Arc::new(AtomicBool::new(false));
        connection.set_prepared_statement_cache_capacity(MAX_CACHED_STATEMENTS);
        connection.execute_batch("PRAGMA foreign_keys = ON; PRAGMA temp_store = MEMORY;")?;
        let interrupts = current.clone();
        connection
            .progress_handler(PROGRESS_HANDLER_STEPS, Some(move || interrupts.is_interrupted()))?;
        connection.authorizer(Some(authorize))?;
        add_sleep(&connection, current.clone(), replaying.clone())?;
        Ok(Database { connection, current, replaying })
    }

    /// Copies all data into a new database.
    pub(crate) fn copy(&self) -> rusqlite::Result<Self> {
        let mut copy = Database::new()?;
        let backup = Backup::new(&self.connection, &mut copy.connection)?;
        backup.step(BACKUP_PAGES_PER_STEP)?;
        drop(backup);
        Ok(copy)
    }

    pub(crate) fn is_read_only(&self, sql: &str) -> Result<bool> {
        Ok(self.prepare(sql)?.readonly())
    }

    /// Columns of a statement's result, with the types that table declarations give.
    pub(crate) fn describe(&self, sql: &str) -> Result<Vec<Column>> {
        let statement = self.prepare(sql)?;
        Ok(columns(&statement))
    }

    /// Runs a statement of a connection, which `control` can interrupt.
    pub(crate) fn run(
        &self,
        sql: &str,
        params: &[Value],
        control: &Arc<Control>,
    ) -> Result<Outcome> {
        self.current.set(Some(control.clone()));
        let outcome = self.execute(sql, params);
        self.current.set(None);
        outcome.map_err(|error| control.interruption_cause(error))
    }

    /// Applies the statements of a log entry in one transaction.
    pub(crate) fn replay(&self, statements: &[Statement]) -> Result<()> {
        if statements.is_empty() {
            return Ok(());
        }
        self.replaying.store(true, Ordering::Relaxed);
        let result = self.replay_all(statements);
        self.replaying.store(false, Ordering::Relaxed);
        result
    }

    fn replay_all(&self, statements: &[Statement]) -> Result<()> {
        self.run_transaction_command("BEGIN")?;
        for statement in statements {
            if let Err(error) = self.execute(&statement.sql, &statement.params) {
                self.run_transaction_command("ROLLBACK")?;
                return Err(error);
            }
        }
        self.run_transaction_command("COMMIT")
    }

    /// Runs `BEGIN`, `COMMIT` or `ROLLBACK`.
    pub(crate) fn run_transaction_command(&self, command: &str) -> Result<()> {
        Ok(self.connection.prepare_cached(command)?.raw_execute().map(|_| ())?)
    }

    /// Whether a transaction is open.
    pub(crate) fn in_transaction(&self) -> bool {
        !self.connection.is_autocommit()
    }

    fn prepare(&self, sql: &str) -> Result<CachedStatement<'_>> {
        Ok(self.connection.prepare_cached(sql)?)
    }

    fn execute(&self, sql: &str, params: &[Value]) -> Result<Outcome> {
        let mut statement = self.prepare(sql)?;
        bind_parameters(&mut statement, params)?;
        let mut outcome = Outcome {
            columns: columns(&statement),
            is_write: !statement.readonly(),
            ..Outcome::default()
        };
        fetch_rows(&mut statement, &mut outcome)?;
        if outcome.is_write {
            outcome.affected = self.connection.changes();
        }
        Ok(outcome)
    }
}

fn columns(statement: &rusqlite::Statement<'_>) -> Vec<Column> {
    let columns = statement.columns();
    columns.iter().map(|column| Column::new(column.name(), column.decl_type())).collect()
}

/// Binds each `$n` to parameter n, because SQLite numbers parameters by their first use.
fn bind_parameters(statement: &mut rusqlite::Statement<'_>, params: &[Value]) -> Result<()> {
    for index in 1..=statement.parameter_count() {
        let name = statement.parameter_name(index).unwrap_or("?");
        let number = parameter_number(name)?;
        let value = params.get(number - 1).ok_or_else(|| {
            Error::new(sqlstate::PROTOCOL, format!("there is no parameter ${number}"))
        })?;
        statement.raw_bind_parameter(index, value)?;
    }
    Ok(())
}

/// Number of a parameter by its SQLite name, which includes a cast: `$1::int8`.
fn parameter_number(name: &str) -> Result<usize> {
    let digits = name.strip_prefix('$').map(|rest| rest.split(':').next().unwrap_or(rest));
    let number = digits.and_then(|digits| digits.parse().ok()).filter(|number| *number > 0);
    number.ok_or_else(|| Error::new(sqlstate::SYNTAX, format!("parameter {name} is not $n")))
}

fn fetch_rows(statement: &mut rusqlite::Statement<'_>, outcome: &mut Outcome) -> Result<()> {
    let column_count = outcome.columns.len();
    let mut size = 0;
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        let values = (0..column_count)
            .map(|index| row.get(index))
            .collect::<rusqlite::Result<Vec<Value>>>()?;
        size += values.iter().map(value_size).sum::<usize>();
        if size > MAX_RESULT_BYTES {
            return Err(Error::new(sqlstate::TOO_LARGE, "the result is too large"));
        }
        outcome.rows.push(values);
    }
    Ok(())
}

fn value_size(value: &Value) -> usize {
    let content = match value {
        Value::Text(text) => text.len(),
        Value::Blob(bytes) => bytes.len(),
        _ => 0,
    };
    size_of::<Value>() + content
}

fn authorize(context: AuthContext<'_>) -> Authorization {
    match context.action {
        AuthAction::Function { function_name } if is_nondeterministic(function_name) => {
            Authorization::Deny
        }
        AuthAction::Attach { .. } | AuthAction::Detach { .. } => Authorization::Deny,
        AuthAction::Pragma { pragma_name, .. } => authorize_pragma(pragma_name),
        _ => Authorization::Allow,
    }
}

fn is_nondeterministic(function: &str) -> bool {
    NONDETERMINISTIC_FUNCTIONS.iter().any(|name| function.eq_ignore_ascii_case(name))
        || function.to_ascii_lowercase().starts_with("current_")
}

fn authorize_pragma(name: &str) -> Authorization {
    match name {
        "foreign_keys" | "temp_store" => Authorization::Allow,
        _ => Authorization::Deny,
    }
}

/// Adds `pg_sleep(seconds)` as in PostgreSQL; it does not sleep when the log is applied.
fn add_sleep(
    connection: &Connection,
    current: Arc<control::Current>,
    replaying: Arc<AtomicBool>,
) -> rusqlite::Result<()> {
    connection.create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, move |context| {
        let seconds: f64 = context.get(0)?;
        if !replaying.load(Ordering::Relaxed) && !current.sleep(duration_from_secs(seconds)) {
            return Err(interrupt_error());
        }
        Ok(String::new())
    })
}

/// Seconds as a duration; zero if negative, too large or not a number.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

fn interrupt_error() -> rusqlite::Error {
    let failure =
        ffi::Error { code: ErrorCode::OperationInterrupted, extended_code: ffi::SQLITE_INTERRUPT };
    rusqlite::Error::SqliteFailure(failure, None)
}
