//! The data of a target: SQLite in memory.
//!
//! A target has its committed data, which reads use and log entries are applied to, and as a
//! primary a second copy in which the one running write transaction works. The log carries the
//! statements of a transaction; applying them again gives the same data on every target, because
//! functions that depend on time or chance are refused.

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

/// Virtual machine steps between two looks at cancel requests and deadlines.
const PROGRESS_STEPS: i32 = 1_000;
/// Statements that stay prepared.
const PREPARED: usize = 256;
/// Bytes of one result.
const RESULT_LIMIT: usize = 256 << 20;
/// Pages copied at once.
const COPY_PAGES: i32 = -1;
/// Functions whose value changes from target to target.
const VARYING: [&str; 14] = [
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

/// What a statement gave.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Columns of the result; none for a statement that returns no rows.
    pub(crate) columns: Vec<Column>,
    /// Rows.
    pub(crate) rows: Vec<Vec<Value>>,
    /// Rows that a write touched.
    pub(crate) affected: u64,
    /// Whether the statement could change data.
    pub(crate) wrote: bool,
}

/// One SQLite database in memory.
pub(crate) struct Database {
    connection: Connection,
    current: Arc<control::Slot>,
    replaying: Arc<AtomicBool>,
}

impl Database {
    /// An empty database.
    pub(crate) fn new() -> rusqlite::Result<Self> {
        let connection = Connection::open_in_memory()?;
        let current = Arc::new(control::Slot::default());
        let replaying = Arc::new(AtomicBool::new(false));
        connection.set_prepared_statement_cache_capacity(PREPARED);
        connection.execute_batch("PRAGMA foreign_keys = ON; PRAGMA temp_store = MEMORY;")?;
        let slot = current.clone();
        connection.progress_handler(PROGRESS_STEPS, Some(move || slot.ends()))?;
        connection.authorizer(Some(authorize))?;
        add_sleep(&connection, current.clone(), replaying.clone())?;
        Ok(Database { connection, current, replaying })
    }

    /// A copy of another database.
    pub(crate) fn copy(&self) -> rusqlite::Result<Self> {
        let mut copy = Database::new()?;
        let backup = Backup::new(&self.connection, &mut copy.connection)?;
        backup.step(COPY_PAGES)?;
        drop(backup);
        Ok(copy)
    }

    /// Whether a statement only reads.
    pub(crate) fn reads(&self, sql: &str) -> Result<bool> {
        Ok(self.prepare(sql)?.readonly())
    }

    /// Columns of a statement's result, by what is declared.
    pub(crate) fn describe(&self, sql: &str) -> Result<Vec<Column>> {
        let statement = self.prepare(sql)?;
        Ok(columns(&statement))
    }

    /// Runs one statement for a connection.
    pub(crate) fn run(
        &self,
        sql: &str,
        params: &[Value],
        control: &Arc<Control>,
    ) -> Result<Outcome> {
        self.current.set(Some(control.clone()));
        let outcome = self.execute(sql, params);
        self.current.set(None);
        outcome.map_err(|error| control.explain(error))
    }

    /// Applies the statements of a log entry, all or none.
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
        self.control("BEGIN")?;
        for statement in statements {
            if let Err(error) = self.execute(&statement.sql, &statement.params) {
                self.control("ROLLBACK")?;
                return Err(error);
            }
        }
        self.control("COMMIT")
    }

    /// Runs `BEGIN`, `COMMIT` or `ROLLBACK`.
    pub(crate) fn control(&self, command: &str) -> Result<()> {
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
        bind(&mut statement, params)?;
        let mut outcome = Outcome {
            columns: columns(&statement),
            wrote: !statement.readonly(),
            ..Outcome::default()
        };
        fetch(&mut statement, &mut outcome)?;
        if outcome.wrote {
            outcome.affected = self.connection.changes();
        }
        Ok(outcome)
    }
}

fn columns(statement: &rusqlite::Statement<'_>) -> Vec<Column> {
    let columns = statement.columns();
    columns.iter().map(|column| Column::new(column.name(), column.decl_type())).collect()
}

/// Binds `$n` by its number; SQLite itself counts parameters by first use.
fn bind(statement: &mut rusqlite::Statement<'_>, params: &[Value]) -> Result<()> {
    for slot in 1..=statement.parameter_count() {
        let name = statement.parameter_name(slot).unwrap_or("?");
        let number = parameter_number(name)?;
        let value = params.get(number - 1).ok_or_else(|| {
            Error::new(sqlstate::PROTOCOL, format!("there is no parameter ${number}"))
        })?;
        statement.raw_bind_parameter(slot, value)?;
    }
    Ok(())
}

/// SQLite takes a cast into the name: `$1::int8`.
fn parameter_number(name: &str) -> Result<usize> {
    let digits = name.strip_prefix('$').map(|rest| rest.split(':').next().unwrap_or(rest));
    let number = digits.and_then(|digits| digits.parse().ok()).filter(|number| *number > 0);
    number.ok_or_else(|| Error::new(sqlstate::SYNTAX, format!("parameter {name} is not $n")))
}

fn fetch(statement: &mut rusqlite::Statement<'_>, outcome: &mut Outcome) -> Result<()> {
    let width = outcome.columns.len();
    let mut size = 0;
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        let values = (0..width).map(|at| row.get(at)).collect::<rusqlite::Result<Vec<Value>>>()?;
        size += values.iter().map(value_size).sum::<usize>();
        if size > RESULT_LIMIT {
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
        AuthAction::Function { function_name } if varies(function_name) => Authorization::Deny,
        AuthAction::Attach { .. } | AuthAction::Detach { .. } => Authorization::Deny,
        AuthAction::Pragma { pragma_name, .. } => allow_pragma(pragma_name),
        _ => Authorization::Allow,
    }
}

fn varies(function: &str) -> bool {
    VARYING.iter().any(|name| function.eq_ignore_ascii_case(name))
        || function.to_ascii_lowercase().starts_with("current_")
}

fn allow_pragma(name: &str) -> Authorization {
    match name {
        "foreign_keys" | "temp_store" => Authorization::Allow,
        _ => Authorization::Deny,
    }
}

/// `pg_sleep(seconds)` as in PostgreSQL; applying the log does not sleep again.
fn add_sleep(
    connection: &Connection,
    current: Arc<control::Slot>,
    replaying: Arc<AtomicBool>,
) -> rusqlite::Result<()> {
    connection.create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, move |context| {
        let seconds: f64 = context.get(0)?;
        if !replaying.load(Ordering::Relaxed) && !current.sleep(duration(seconds)) {
            return Err(interrupted());
        }
        Ok(String::new())
    })
}

/// Seconds as a duration; nonsense is none at all.
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

fn interrupted() -> rusqlite::Error {
    let failure =
        ffi::Error { code: ErrorCode::OperationInterrupted, extended_code: ffi::SQLITE_INTERRUPT };
    rusqlite::Error::SqliteFailure(failure, None)
}
