//! Execution of the statements and transactions of one connection.
//!
//! The first write of a transaction begins a write transaction on the target. Before that, reads
//! use the committed data; after it, they see the transaction's own writes. Outside an explicit
//! transaction, the statements up to the next `Sync` message form an implicit transaction, as in
//! PostgreSQL.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rusqlite::types::Value;

use super::control::Control;
use super::database::{Outcome, duration_from_secs};
use super::function;
use super::log::Position;
use super::row::{self, Column, Kind};
use super::sqlstate::{self, Error, Result};
use super::statement::{self, Command, Setting};
use super::target::Target;
use super::writer::Transaction;
use crate::sync::lock;

/// Status of a connection's explicit transaction, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// No explicit transaction.
    Idle,
    Open,
    /// A statement has failed; only `COMMIT` and `ROLLBACK` are accepted.
    Failed,
}

/// Response to a statement.
#[derive(Debug, Default)]
pub(crate) struct Response {
    pub(crate) outcome: Outcome,
    /// Command tag; empty for an empty statement.
    pub(crate) tag: String,
}

/// Executes the statements of one connection.
pub(crate) struct Executor {
    target: Arc<Target>,
    control: Arc<Control>,
    status: Status,
    read_only: bool,
    default_read_only: bool,
    statement_timeout: Option<Duration>,
    transaction: Option<Transaction>,
    last_commit: Position,
}

impl Executor {
    pub(crate) fn new(target: Arc<Target>, control: Arc<Control>) -> Self {
        Executor {
            target,
            control,
            status: Status::Idle,
            read_only: false,
            default_read_only: false,
            statement_timeout: None,
            transaction: None,
            last_commit: Position::default(),
        }
    }

    pub(crate) fn status(&self) -> Status {
        self.status
    }

    /// Whether an explicit or implicit transaction is open.
    pub(crate) fn has_transaction(&self) -> bool {
        self.status != Status::Idle || self.transaction.is_some()
    }

    /// Runs one statement; an error fails its transaction.
    pub(crate) fn run(&mut self, sql: &str, params: &[Value]) -> Result<Response> {
        self.control.start(self.statement_timeout);
        let response = self.dispatch(sql, params);
        if response.is_err() {
            self.fail();
        }
        response
    }

    /// Commits the implicit transaction, if there is one.
    pub(crate) fn end_implicit_transaction(&mut self) -> Result<()> {
        if self.status != Status::Idle {
            return Ok(());
        }
        self.commit()
    }

    /// Rolls back and marks an explicit transaction as failed.
    pub(crate) fn fail(&mut self) {
        self.transaction = None;
        if self.status == Status::Open {
            self.status = Status::Failed;
        }
    }

    /// Rolls back and ends any transaction.
    pub(crate) fn roll_back(&mut self) {
        self.transaction = None;
        self.status = Status::Idle;
    }

    /// Columns of a statement that has not run yet; `params` is the number of its parameters.
    pub(crate) fn describe(&mut self, sql: &str, params: usize) -> Result<Vec<Column>> {
        match statement::parse(sql)? {
            Command::Call(call) => Ok(function::describe(&call.name)?.0),
            Command::Sleep(_) => Ok(vec![sleep_column()]),
            Command::Sql => self.describe_sql(sql, params),
            _ => Ok(Vec::new()),
        }
    }

    /// If table declarations leave a type open, runs a read with null parameters and takes the
    /// types of the first values.
    fn describe_sql(&mut self, sql: &str, params: usize) -> Result<Vec<Column>> {
        let transaction_writer =
            self.transaction.as_ref().map(|transaction| transaction.writer.clone());
        let database = match &transaction_writer {
            Some(writer) => lock(&writer.database),
            None => lock(&self.target.database),
        };
        let columns = database.describe(sql)?;
        if columns.iter().all(|column| column.kind.is_some()) || !database.is_read_only(sql)? {
            return Ok(columns);
        }
        let mut outcome = database.run(sql, &vec![Value::Null; params], &self.control)?;
        row::infer_kinds(&mut outcome);
        Ok(outcome.columns)
    }

    fn dispatch(&mut self, sql: &str, params: &[Value]) -> Result<Response> {
        let command = statement::parse(sql)?;
        self.check_allowed(sql, &command)?;
        match command {
            Command::Empty => Ok(Response::default()),
            Command::Begin { read_only } => {
                self.status = Status::Open;
                self.read_only = read_only;
                Ok(tag_only("BEGIN"))
            }
            Command::Commit => self.end_transaction(),
            Command::Rollback => {
                self.roll_back();
                Ok(tag_only("ROLLBACK"))
            }
            Command::Set(setting) => {
                self.apply_setting(setting);
                Ok(tag_only("SET"))
            }
            Command::Call(call) => {
                let (target, control) = (&self.target, &self.control);
                let outcome = function::call(target, control, &call, params, self.last_commit)?;
                Ok(Response { outcome, tag: "SELECT 1".to_owned() })
            }
            Command::Sleep(argument) => {
                self.control.sleep(duration_from_secs(argument.float(params)?))?;
                let columns = vec![sleep_column()];
                let rows = vec![vec![Value::Text(String::new())]];
                let outcome = Outcome { columns, rows, ..Outcome::default() };
                Ok(Response { outcome, tag: "SELECT 1".to_owned() })
            }
            Command::Sql => self.run_sql(sql, params),
        }
    }

    fn check_allowed(&self, sql: &str, command: &Command) -> Result<()> {
        let ends_transaction = matches!(command, Command::Commit | Command::Rollback);
        if self.status == Status::Failed && !ends_transaction {
            let message = "current transaction is aborted, commands ignored until its end";
            return Err(Error::new(sqlstate::ABORTED, message));
        }
        let poisoned = self.target.faults.poisoned.load(Ordering::SeqCst);
        let probe = matches!(command, Command::Call(_)) || is_probe(sql);
        if poisoned && !probe {
            return Err(Error::new(sqlstate::IO, "could not read block: input/output error"));
        }
        Ok(())
    }

    fn apply_setting(&mut self, setting: Setting) {
        match setting {
            Setting::ReadOnly(on) => self.default_read_only = on,
            Setting::Timeout(timeout) => self.statement_timeout = timeout,
            Setting::Other => {}
        }
    }

    fn run_sql(&mut self, sql: &str, params: &[Value]) -> Result<Response> {
        let mut outcome = match &mut self.transaction {
            Some(transaction) => transaction.run(sql, params, &self.control)?,
            None => self.read_or_begin_write(sql, params)?,
        };
        row::infer_kinds(&mut outcome);
        let tag =
            statement::command_tag(sql, outcome.is_write, outcome.affected, outcome.rows.len());
        Ok(Response { outcome, tag })
    }

    fn read_or_begin_write(&mut self, sql: &str, params: &[Value]) -> Result<Outcome> {
        let database = lock(&self.target.database);
        if database.is_read_only(sql)? {
            return database.run(sql, params, &self.control);
        }
        drop(database);
        if self.default_read_only || (self.read_only && self.status == Status::Open) {
            let message = "cannot execute a write in a read-only transaction";
            return Err(Error::new(sqlstate::READ_ONLY, message));
        }
        let transaction = self.target.begin_write(&self.control)?;
        self.transaction.insert(transaction).run(sql, params, &self.control)
    }

    /// Commits the explicit transaction, or rolls it back if it has failed.
    fn end_transaction(&mut self) -> Result<Response> {
        let failed = self.status == Status::Failed;
        self.status = Status::Idle;
        self.read_only = false;
        if failed {
            return Ok(tag_only("ROLLBACK"));
        }
        self.commit()?;
        Ok(tag_only("COMMIT"))
    }

    fn commit(&mut self) -> Result<()> {
        if let Some(transaction) = self.transaction.take() {
            self.last_commit = self.target.commit(transaction, &self.control)?;
        }
        Ok(())
    }
}

fn is_probe(sql: &str) -> bool {
    sql.trim().trim_end_matches(';').eq_ignore_ascii_case("select 1")
}

fn tag_only(tag: &str) -> Response {
    Response { tag: tag.to_owned(), ..Response::default() }
}

fn sleep_column() -> Column {
    Column::with_kind("pg_sleep", Kind::Text)
}
