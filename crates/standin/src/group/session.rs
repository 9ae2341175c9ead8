//! One connection of a target: the PostgreSQL protocol over a socket, on a thread of its own.
//!
//! Answers are collected and leave together, after each synchronisation point and whenever the
//! input has run out. Faults act at two gates, before a message is handled and before answers
//! leave, so that a paused target neither works nor speaks.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

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
use super::row::{self, Format, Oid};
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
}

struct Portal {
    statement: String,
    sql: String,
    params: Vec<Value>,
    formats: Vec<Format>,
    answer: Option<Answer>,
    sent: usize,
}

type Failure = Result<(), Error>;

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
                    if let Err(error) = self.extended(message) {
                        self.executor.fail();
                        self.wire.error(&error, "ERROR");
                        self.skipping = true;
                    }
                }
                _ => {}
            }
            if self.wire.output.len() >= OUTPUT_LIMIT {
                self.flush()?;
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
        self.skipping = false;
        self.portals.clear();
        self.ready();
        self.flush()
    }

    fn simple(&mut self, text: &str) -> io::Result<()> {
        if let Err(error) = self.simple_statements(text) {
            self.executor.fail();
            self.wire.error(&error, "ERROR");
        }
        self.skipping = false;
        self.ready();
        self.flush()
    }

    /// The last statement's tag leaves only after the implicit transaction has ended well.
    fn simple_statements(&mut self, text: &str) -> Failure {
        let parts = statement::split(text);
        if parts.is_empty() {
            self.wire.send(Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        for (at, sql) in parts.iter().enumerate() {
            let answer = self.executor.run(sql, &[])?;
            let columns = &answer.outcome.columns;
            if !columns.is_empty() {
                self.wire.send(wire::describe(columns, &[]));
            }
            let rows = &answer.outcome.rows;
            rows.iter().try_for_each(|row| self.wire.row(columns, &[], row))?;
            if at + 1 == parts.len() {
                self.executor.synchronise()?;
            }
            self.wire.send(Backend::CommandComplete(CommandComplete::new(answer.tag)));
        }
        Ok(())
    }

    fn extended(&mut self, message: Frontend) -> Failure {
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
            _ => return Err(Error::new(sqlstate::PROTOCOL, "unexpected message")),
        }
        Ok(())
    }

    fn parse(&mut self, parse: Parse) {
        let prepared = Prepared { sql: parse.query, types: parse.type_oids };
        self.statements.insert(parse.name.unwrap_or_default(), prepared);
        self.wire.send(Backend::ParseComplete(ParseComplete::new()));
    }

    fn bind(&mut self, bind: Bind) -> Failure {
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
    fn describe(&mut self, describe: &Describe) -> Failure {
        let name = describe.name.clone().unwrap_or_default();
        if describe.target_type != TARGET_STATEMENT {
            return self.describe_portal(&name);
        }
        let prepared = self.statements.get(&name).ok_or_else(|| unknown(&name))?;
        let types = parameter_types(prepared);
        self.wire.send(Backend::ParameterDescription(ParameterDescription::new(types.clone())));
        let bound = self.portals.iter().find(|(_, portal)| portal.statement == name);
        if let Some((portal, _)) = bound {
            let portal = portal.clone();
            return self.describe_portal(&portal);
        }
        let sql = prepared.sql.clone();
        let columns = self.executor.describe(&sql, types.len())?;
        self.wire.columns(&columns, &[]);
        Ok(())
    }

    fn describe_portal(&mut self, name: &str) -> Failure {
        let portal = self.portals.get_mut(name).ok_or_else(|| unknown(name))?;
        run(&mut self.executor, portal)?;
        let columns = portal.answer.as_ref().map(|answer| answer.outcome.columns.as_slice());
        self.wire.columns(columns.unwrap_or_default(), &portal.formats);
        Ok(())
    }

    fn execute(&mut self, execute: &Execute) -> Failure {
        let name = execute.name.clone().unwrap_or_default();
        let portal = self.portals.get_mut(&name).ok_or_else(|| unknown(&name))?;
        run(&mut self.executor, portal)?;
        let Some(answer) = &portal.answer else { return Ok(()) };
        if answer.tag.is_empty() {
            self.wire.send(Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
            return Ok(());
        }
        let rows = &answer.outcome.rows[portal.sent..];
        let limit = usize::try_from(execute.max_rows).ok().filter(|limit| *limit > 0);
        let count = limit.map_or(rows.len(), |limit| limit.min(rows.len()));
        for row in &rows[..count] {
            self.wire.row(&answer.outcome.columns, &portal.formats, row)?;
        }
        portal.sent += count;
        if limit == Some(count) {
            self.wire.send(Backend::PortalSuspended(PortalSuspended::new()));
        } else {
            self.wire.send(Backend::CommandComplete(CommandComplete::new(answer.tag.clone())));
        }
        Ok(())
    }
}

fn run(executor: &mut Executor, portal: &mut Portal) -> Failure {
    if portal.answer.is_none() {
        portal.answer = Some(executor.run(&portal.sql, &portal.params)?);
    }
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

/// Types of a statement's parameters: those given, else text, or `int8` of a group function.
fn parameter_types(prepared: &Prepared) -> Vec<Oid> {
    const INT8: Oid = 20;
    const TEXT: Oid = 25;
    let call = matches!(statement::parse(&prepared.sql), Ok(statement::Command::Call(_)));
    let default = if call { INT8 } else { TEXT };
    let mut types = prepared.types.clone();
    types.iter_mut().filter(|oid| **oid == 0).for_each(|oid| *oid = default);
    let count = statement::parameter_count(&prepared.sql);
    types.resize(types.len().max(count), default);
    types
}
