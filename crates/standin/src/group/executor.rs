//! Statements and transactions of one connection.
//!
//! A statement that writes takes the target's write transaction; one that only reads uses the
//! committed data, unless its own transaction has written. Outside an explicit transaction the
//! statements up to the next synchronisation point are one implicit transaction, as in
//! PostgreSQL.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rusqlite::types::Value;

use super::control::Control;
use super::database::{Outcome, duration};
use super::function;
use super::log::Position;
use super::row::{self, Column, Kind};
use super::sqlstate::{self, Error, Result};
use super::statement::{self, Command, Setting};
use super::target::Target;
use super::writer::Transaction;
use crate::sync::lock;

/// Transaction of a connection, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// None.
    Idle,
    /// Open.
    Open,
    /// Failed; only its end is taken.
    Failed,
}

/// What a statement answers.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    /// The result.
    pub(crate) outcome: Outcome,
    /// The command tag; empty for an empty statement.
    pub(crate) tag: String,
}

/// Runs the statements of one connection.
pub(crate) struct Executor {
    target: Arc<Target>,
    control: Arc<Control>,
    status: Status,
    read_only: bool,
    default_read_only: bool,
    timeout: Option<Duration>,
    transaction: Option<Transaction>,
    committed: Position,
}

impl Executor {
    /// An executor without a transaction.
    pub(crate) fn new(target: Arc<Target>, control: Arc<Control>) -> Self {
        Executor {
            target,
            control,
            status: Status::Idle,
            read_only: false,
            default_read_only: false,
            timeout: None,
            transaction: None,
            committed: Position::default(),
        }
    }

    /// The transaction's status.
    pub(crate) fn status(&self) -> Status {
        self.status
    }

    /// Whether the connection holds a transaction of any kind.
    pub(crate) fn busy(&self) -> bool {
        self.status != Status::Idle || self.transaction.is_some()
    }

    /// Runs one statement.
    pub(crate) fn run(&mut self, sql: &str, params: &[Value]) -> Result<Answer> {
        self.control.start(self.timeout);
        let answer = self.dispatch(sql, params);
        if answer.is_err() {
            self.fail();
        }
        answer
    }

    /// Ends an implicit transaction.
    pub(crate) fn synchronise(&mut self) -> Result<()> {
        if self.status != Status::Idle {
            return Ok(());
        }
        self.commit()
    }

    /// Marks the transaction as failed.
    pub(crate) fn fail(&mut self) {
        self.transaction = None;
        if self.status == Status::Open {
            self.status = Status::Failed;
        }
    }

    /// Gives up any transaction.
    pub(crate) fn abandon(&mut self) {
        self.transaction = None;
        self.status = Status::Idle;
    }

    /// Columns of a statement that is not run yet.
    pub(crate) fn describe(&mut self, sql: &str, params: usize) -> Result<Vec<Column>> {
        match statement::parse(sql)? {
            Command::Call(call) => Ok(function::describe(&call.name)?.0),
            Command::Sleep(_) => Ok(vec![sleep_column()]),
            Command::Sql => self.describe_sql(sql, params),
            _ => Ok(Vec::new()),
        }
    }

    /// Where no declaration tells a type, a read is tried with nulls to see its first values.
    fn describe_sql(&mut self, sql: &str, params: usize) -> Result<Vec<Column>> {
        let working = self.transaction.as_ref().map(|transaction| transaction.writer.clone());
        let database = match &working {
            Some(writer) => lock(&writer.database),
            None => lock(&self.target.database),
        };
        let columns = database.describe(sql)?;
        if columns.iter().all(|column| column.kind.is_some()) || !database.reads(sql)? {
            return Ok(columns);
        }
        let mut outcome = database.run(sql, &vec![Value::Null; params], &self.control)?;
        row::infer(&mut outcome);
        Ok(outcome.columns)
    }

    fn dispatch(&mut self, sql: &str, params: &[Value]) -> Result<Answer> {
        let command = statement::parse(sql)?;
        self.admit(sql, &command)?;
        match command {
            Command::Empty => Ok(Answer::default()),
            Command::Begin { read_only } => {
                self.status = Status::Open;
                self.read_only = read_only;
                Ok(tagged("BEGIN"))
            }
            Command::Commit => self.end(),
            Command::Rollback => {
                self.abandon();
                Ok(tagged("ROLLBACK"))
            }
            Command::Set(setting) => {
                self.set(setting);
                Ok(tagged("SET"))
            }
            Command::Call(call) => {
                let (target, control) = (&self.target, &self.control);
                let outcome = function::call(target, control, &call, params, self.committed)?;
                Ok(Answer { outcome, tag: "SELECT 1".to_owned() })
            }
            Command::Sleep(argument) => {
                self.control.sleep(duration(argument.float(params)?))?;
                let columns = vec![sleep_column()];
                let rows = vec![vec![Value::Text(String::new())]];
                let outcome = Outcome { columns, rows, ..Outcome::default() };
                Ok(Answer { outcome, tag: "SELECT 1".to_owned() })
            }
            Command::Sql => self.sql(sql, params),
        }
    }

    fn admit(&self, sql: &str, command: &Command) -> Result<()> {
        let ends = matches!(command, Command::Commit | Command::Rollback);
        if self.status == Status::Failed && !ends {
            let message = "current transaction is aborted, commands ignored until its end";
            return Err(Error::new(sqlstate::ABORTED, message));
        }
        let poisoned = self.target.switches.poisoned.load(Ordering::SeqCst);
        let probe = matches!(command, Command::Call(_)) || is_probe(sql);
        if poisoned && !probe {
            return Err(Error::new(sqlstate::IO, "could not read block: input/output error"));
        }
        Ok(())
    }

    fn set(&mut self, setting: Setting) {
        match setting {
            Setting::ReadOnly(on) => self.default_read_only = on,
            Setting::Timeout(timeout) => self.timeout = timeout,
            Setting::Other => {}
        }
    }

    fn sql(&mut self, sql: &str, params: &[Value]) -> Result<Answer> {
        let mut outcome = match &mut self.transaction {
            Some(transaction) => transaction.run(sql, params, &self.control)?,
            None => self.read_or_begin(sql, params)?,
        };
        row::infer(&mut outcome);
        let tag = statement::tag(sql, outcome.wrote, outcome.affected, outcome.rows.len());
        Ok(Answer { outcome, tag })
    }

    fn read_or_begin(&mut self, sql: &str, params: &[Value]) -> Result<Outcome> {
        let database = lock(&self.target.database);
        if database.reads(sql)? {
            return database.run(sql, params, &self.control);
        }
        drop(database);
        if self.default_read_only || (self.read_only && self.status == Status::Open) {
            let message = "cannot execute a write in a read-only transaction";
            return Err(Error::new(sqlstate::READ_ONLY, message));
        }
        let transaction = self.target.begin(&self.control)?;
        self.transaction.insert(transaction).run(sql, params, &self.control)
    }

    /// Ends the explicit transaction; a failed one is rolled back.
    fn end(&mut self) -> Result<Answer> {
        let failed = self.status == Status::Failed;
        self.status = Status::Idle;
        self.read_only = false;
        if failed {
            return Ok(tagged("ROLLBACK"));
        }
        self.commit()?;
        Ok(tagged("COMMIT"))
    }

    fn commit(&mut self) -> Result<()> {
        if let Some(transaction) = self.transaction.take() {
            self.committed = self.target.commit(transaction, &self.control)?;
        }
        Ok(())
    }
}

fn is_probe(sql: &str) -> bool {
    sql.trim().trim_end_matches(';').eq_ignore_ascii_case("select 1")
}

fn tagged(tag: &str) -> Answer {
    Answer { tag: tag.to_owned(), ..Answer::default() }
}

fn sleep_column() -> Column {
    Column::with_kind("pg_sleep", Kind::Text)
}
