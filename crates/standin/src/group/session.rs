//! One connection of a target: the PostgreSQL protocol over a socket, on a thread of its own.
//!
//! Answers are collected and leave together, after each synchronisation point and whenever the
//! input has run out. Faults act at two gates, before a message is handled and before answers
//! leave, so that a paused target neither works nor speaks.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use derive_more::From;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Describe, Execute, Parse, ParseComplete, PortalSuspended,
};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::{PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend};
use rusqlite::types::Value;

use super::control::Control;
use super::executor::{Answer, Executor, Status};
use super::row::{self, Column, Format, Oid};
use super::sqlstate::{self, Error};
use super::statement;
use super::target::Target;
use super::wire::{self, Wire};

/// How often a stopped connection looks whether it may go on.
const GATE_PERIOD: Duration = Duration::from_millis(1);
/// Answers leave once they are this long.
const OUTPUT_LIMIT: usize = 64 << 10;

const TARGET_STATEMENT: u8 = b'S';

/// One connection after its start.
pub(crate) struct Session {
    target: Arc<Target>,
    control: Arc<Control>,
    executor: Executor,
    wire: Wire,
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    skipping: bool,
}

struct Prepared {
    sql: String,
    types: Vec<Oid>,
    described: Option<Vec<Column>>,
}

struct Portal {
    statement: String,
    sql: String,
    params: Vec<Value>,
    formats: Vec<Format>,
    described: Option<Vec<Column>>,
    answer: Option<Answer>,
    sent: usize,
}

/// Why a message could not be handled to its end.
#[derive(Debug, From)]
enum Stop {
    /// The statement failed; the connection goes on.
    Statement(Error),
    /// The connection has ended.
    Connection(io::Error),
}

type Step = Result<(), Stop>;

impl Session {
    /// A session on a connection that has been admitted.
    pub(crate) fn new(target: Arc<Target>, control: Arc<Control>, wire: Wire) -> Self {
        let executor = Executor::new(target.clone(), control.clone());
        Session {
            target,
            control,
            executor,
            wire,
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            skipping: false,
        }
    }

    /// Serves until either end closes.
    pub(crate) fn serve(&mut self) -> io::Result<()> {
        self.ready();
        loop {
            let Some(message) = self.next()? else { return Ok(()) };
            self.pass()?;
            match message {
                Frontend::Terminate(_) => return Ok(()),
                Frontend::Query(query) => self.simple(&query.query)?,
                Frontend::Sync(_) => self.synchronise()?,
                Frontend::Flush(_) => self.flush()?,
                message if !self.skipping => {
                    let step = self.extended(message);
                    self.skipping = self.settle(step)?;
                }
                _ => {}
            }
            if self.wire.output.len() >= OUTPUT_LIMIT {
                self.flush()?;
            }
        }
    }

    /// Answers a failed statement; true when there was one.
    fn settle(&mut self, step: Step) -> io::Result<bool> {
        match step {
            Ok(()) => Ok(false),
            Err(Stop::Connection(error)) => Err(error),
            Err(Stop::Statement(error)) => {
                self.executor.fail();
                self.wire.error(&error, "ERROR");
                Ok(true)
            }
        }
    }

    fn next(&mut self) -> io::Result<Option<Frontend>> {
        loop {
            if let Some(message) = self.wire.decode()? {
                return Ok(Some(message));
            }
            self.flush()?;
            let idle = self.executor.busy().then_some(self.target.group.idle_timeout);
            match self.wire.receive(idle) {
                Ok(0) => return Ok(None),
                Ok(_) => self.wire.delay_next(self.target.group.network_delay),
                Err(error) if timed_out(&error) => return self.idle_out(),
                Err(error) => return Err(error),
            }
            self.pass()?;
        }
    }

    fn idle_out(&mut self) -> io::Result<Option<Frontend>> {
        self.executor.abandon();
        let message = "terminating connection due to idle-in-transaction timeout";
        self.wire.error(&Error::new(sqlstate::IDLE_TIMEOUT, message), "FATAL");
        self.flush()?;
        Ok(None)
    }

    /// Waits while the target does not answer; a silent connection never goes on.
    fn pass(&mut self) -> io::Result<()> {
        loop {
            if self.control.closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if self.control.silent() {
                self.swallow()?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if self.target.switches.answers() {
                return Ok(());
            }
            std::thread::sleep(GATE_PERIOD);
        }
    }

    /// Reads and drops everything until the caller closes; an open transaction ends by its idle
    /// timeout.
    fn swallow(&mut self) -> io::Result<()> {
        loop {
            match self.wire.receive(Some(self.target.group.idle_timeout)) {
                Ok(0) => return Ok(()),
                Ok(_) => self.wire.input.clear(),
                Err(error) if timed_out(&error) => self.executor.abandon(),
                Err(error) => return Err(error),
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.wire.output.is_empty() {
            return Ok(());
        }
        self.wire.delay(self.target.group.network_delay);
        self.pass()?;
        self.wire.flush()
    }

    fn ready(&mut self) {
        let status = match self.executor.status() {
            Status::Idle => TransactionStatus::Idle,
            Status::Open => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.wire.send(Backend::ReadyForQuery(ReadyForQuery::new(status)));
    }

    fn synchronise(&mut self) -> io::Result<()> {
        if let Err(error) = self.executor.synchronise() {
            self.wire.error(&error, "ERROR");
        }
        if self.executor.status() == Status::Idle {
            self.portals.clear();
        }
        self.end()
    }

    fn simple(&mut self, text: &str) -> io::Result<()> {
        let step = self.simple_statements(text);
        self.settle(step)?;
        self.end()
    }

    /// Ends what a synchronisation point or a simple query ends.
    fn end(&mut self) -> io::Result<()> {
        self.control.finish();
        self.skipping = false;
        self.ready();
        self.flush()
    }

    /// The last statement's tag leaves only after the implicit transaction has ended well.
    fn simple_statements(&mut self, text: &str) -> Step {
        let parts = statement::split(text);
        if parts.is_empty() {
            self.wire.send(Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        for (at, sql) in parts.iter().enumerate() {
            let Answer { outcome, tag } = self.executor.run(sql, &[])?;
            if !outcome.columns.is_empty() {
                self.wire.send(wire::describe(&outcome.columns, &[]));
            }
            self.rows(&outcome.columns, &[], &outcome.rows)?;
            if at + 1 == parts.len() {
                self.executor.synchronise()?;
            }
            self.wire.send(Backend::CommandComplete(CommandComplete::new(tag)));
        }
        Ok(())
    }

    /// Sends rows, as long as the statement is not to end.
    fn rows(&mut self, columns: &[Column], formats: &[Format], rows: &[Vec<Value>]) -> Step {
        for row in rows {
            self.wire.row(columns, formats, row)?;
            if self.wire.output.len() >= OUTPUT_LIMIT {
                self.flush()?;
                self.control.check()?;
            }
        }
        Ok(())
    }

    fn extended(&mut self, message: Frontend) -> Step {
        match message {
            Frontend::Parse(parse) => self.parse(parse),
            Frontend::Bind(bind) => self.bind(bind)?,
            Frontend::Describe(describe) => self.describe(&describe)?,
            Frontend::Execute(execute) => self.execute(&execute)?,
            Frontend::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == TARGET_STATEMENT {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.wire.send(Backend::CloseComplete(CloseComplete::new()));
            }
            _ => return Err(Error::new(sqlstate::PROTOCOL, "unexpected message").into()),
        }
        Ok(())
    }

    fn parse(&mut self, parse: Parse) {
        let prepared = Prepared { sql: parse.query, types: parse.type_oids, described: None };
        self.statements.insert(parse.name.unwrap_or_default(), prepared);
        self.wire.send(Backend::ParseComplete(ParseComplete::new()));
    }

    fn bind(&mut self, bind: Bind) -> Step {
        let statement = bind.statement_name.unwrap_or_default();
        let prepared = self.statements.get(&statement).ok_or_else(|| unknown(&statement))?;
        let codes = formats(&bind.parameter_format_codes);
        let params = bind.parameters.iter().enumerate().map(|(at, bytes)| {
            let oid = prepared.types.get(at).copied().unwrap_or(0);
            row::decode(oid, row::format_at(&codes, at), bytes.as_ref())
        });
        let portal = Portal {
            params: params.collect::<Result<Vec<Value>, Error>>()?,
            formats: formats(&bind.result_column_format_codes),
            sql: prepared.sql.clone(),
            described: prepared.described.clone(),
            statement,
            answer: None,
            sent: 0,
        };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        self.wire.send(Backend::BindComplete(BindComplete::new()));
        Ok(())
    }

    /// A statement that is bound already is run now, so that its values tell the types that no
    /// declaration gives.
    fn describe(&mut self, describe: &Describe) -> Step {
        let name = describe.name.clone().unwrap_or_default();
        if describe.target_type != TARGET_STATEMENT {
            return self.describe_portal(&name);
        }
        let prepared = self.statements.get(&name).ok_or_else(|| unknown(&name))?;
        let types = row::parameter_types(&prepared.sql, &prepared.types);
        self.wire.send(Backend::ParameterDescription(ParameterDescription::new(types.clone())));
        let bound = self.portals.iter().find(|(_, portal)| portal.statement == name);
        if let Some((portal, _)) = bound {
            let portal = portal.clone();
            return self.describe_portal(&portal);
        }
        let sql = prepared.sql.clone();
        let columns = self.executor.describe(&sql, types.len())?;
        self.wire.columns(&columns, &[]);
        if let Some(prepared) = self.statements.get_mut(&name) {
            prepared.described = Some(columns);
        }
        Ok(())
    }

    fn describe_portal(&mut self, name: &str) -> Step {
        let portal = self.portals.get_mut(name).ok_or_else(|| unknown(name))?;
        run(&mut self.executor, portal)?;
        let columns = portal.answer.as_ref().map(|answer| answer.outcome.columns.as_slice());
        self.wire.columns(columns.unwrap_or_default(), &portal.formats);
        Ok(())
    }

    fn execute(&mut self, execute: &Execute) -> Step {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| unknown(&name))?;
        run(&mut self.executor, &mut portal)?;
        self.fetch(&mut portal, execute.max_rows)?;
        self.portals.insert(name, portal);
        Ok(())
    }

    /// Sends the next rows of a portal, all of them where `limit` is 0.
    fn fetch(&mut self, portal: &mut Portal, limit: i32) -> Step {
        let Some(Answer { outcome, tag }) = &portal.answer else { return Ok(()) };
        if tag.is_empty() {
            self.wire.send(Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
            return Ok(());
        }
        let rows = &outcome.rows[portal.sent..];
        let limit = usize::try_from(limit).ok().filter(|limit| *limit > 0);
        let count = limit.map_or(rows.len(), |limit| limit.min(rows.len()));
        self.rows(&outcome.columns, &portal.formats, &rows[..count])?;
        portal.sent += count;
        if limit == Some(count) {
            self.wire.send(Backend::PortalSuspended(PortalSuspended::new()));
        } else {
            self.wire.send(Backend::CommandComplete(CommandComplete::new(tag.clone())));
        }
        Ok(())
    }
}

/// Runs a portal, once. Columns that were described before keep their types.
fn run(executor: &mut Executor, portal: &mut Portal) -> Step {
    if portal.answer.is_some() {
        return Ok(());
    }
    let mut answer = executor.run(&portal.sql, &portal.params)?;
    if let Some(described) = portal.described.take() {
        answer.outcome.columns = described;
    }
    portal.answer = Some(answer);
    Ok(())
}

fn unknown(name: &str) -> Error {
    Error::new("26000", format!("statement or portal \"{name}\" does not exist"))
}

fn formats(codes: &[i16]) -> Vec<Format> {
    let format = |code: &i16| if *code == 1 { Format::Binary } else { Format::Text };
    codes.iter().map(format).collect()
}

fn timed_out(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
