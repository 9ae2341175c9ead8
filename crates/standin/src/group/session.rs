//! PostgreSQL protocol session of one connection, on a thread of its own.
//!
//! Responses are buffered and sent together: after each `Sync` and whenever no input is left.
//! Faults take effect at two points, before a message is handled and before responses are sent, so
//! that a paused target neither executes statements nor responds.

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
use super::executor::{Executor, Response, Status};
use super::row::{self, Column, Format, Oid};
use super::sqlstate::{self, Error};
use super::statement;
use super::target::Target;
use super::wire::{self, Wire};

/// How often a blocked connection checks for the end of a fault.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Buffered responses are sent once they have this size.
const OUTPUT_FLUSH_BYTES: usize = 64 << 10;

/// Marks a prepared statement, rather than a portal, in `Describe` and `Close`.
const STATEMENT_TARGET_TYPE: u8 = b'S';

/// A connection whose startup handshake has finished.
pub(crate) struct Session {
    target: Arc<Target>,
    control: Arc<Control>,
    executor: Executor,
    wire: Wire,
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    skipping_to_sync: bool,
}

struct Prepared {
    sql: String,
    types: Vec<Oid>,
    /// Columns reported by the last `Describe`.
    described: Option<Vec<Column>>,
}

struct Portal {
    /// Name of the prepared statement.
    statement: String,
    sql: String,
    params: Vec<Value>,
    formats: Vec<Format>,
    described: Option<Vec<Column>>,
    /// None until the portal has run.
    response: Option<Response>,
    rows_sent: usize,
}

/// Why the handling of a message failed.
#[derive(Debug, From)]
enum MessageError {
    /// The statement failed; the connection stays open.
    Statement(Error),
    /// The connection failed.
    Connection(io::Error),
}

type MessageResult = Result<(), MessageError>;

impl Session {
    /// A session on a connection that is registered with the target.
    pub(crate) fn new(target: Arc<Target>, control: Arc<Control>, wire: Wire) -> Self {
        let executor = Executor::new(target.clone(), control.clone());
        Session {
            target,
            control,
            executor,
            wire,
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            skipping_to_sync: false,
        }
    }

    /// Serves the connection until the caller or the target closes it.
    pub(crate) fn serve(&mut self) -> io::Result<()> {
        self.send_ready();
        loop {
            let Some(message) = self.next_message()? else { return Ok(()) };
            self.wait_until_available()?;
            match message {
                Frontend::Terminate(_) => return Ok(()),
                Frontend::Query(query) => self.handle_simple_query(&query.query)?,
                Frontend::Sync(_) => self.handle_sync()?,
                Frontend::Flush(_) => self.flush()?,
                message if !self.skipping_to_sync => {
                    let result = self.handle_extended(message);
                    self.skipping_to_sync = self.report_failure(result)?;
                }
                _ => {}
            }
            if self.wire.output.len() >= OUTPUT_FLUSH_BYTES {
                self.flush()?;
            }
        }
    }

    /// Sends the error of a failed statement; true when there was one.
    fn report_failure(&mut self, result: MessageResult) -> io::Result<bool> {
        match result {
            Ok(()) => Ok(false),
            Err(MessageError::Connection(error)) => Err(error),
            Err(MessageError::Statement(error)) => {
                self.executor.fail();
                self.wire.send_error(&error, "ERROR");
                Ok(true)
            }
        }
    }

    fn next_message(&mut self) -> io::Result<Option<Frontend>> {
        loop {
            if let Some(message) = self.wire.decode()? {
                return Ok(Some(message));
            }
            self.flush()?;
            let idle = self.executor.has_transaction().then_some(self.target.group.idle_timeout);
            match self.wire.receive(idle) {
                Ok(0) => return Ok(None),
                Ok(_) => self.wire.delay_request(self.target.group.network_delay),
                Err(error) if timed_out(&error) => return self.end_idle_transaction(),
                Err(error) => return Err(error),
            }
            self.wait_until_available()?;
        }
    }

    fn end_idle_transaction(&mut self) -> io::Result<Option<Frontend>> {
        self.executor.roll_back();
        let message = "terminating connection due to idle-in-transaction timeout";
        self.wire.send_error(&Error::new(sqlstate::IDLE_TIMEOUT, message), "FATAL");
        self.flush()?;
        Ok(None)
    }

    /// Waits while a fault keeps the target from serving callers; fails if the connection is closed
    /// or, after discarding its input, if it is silent.
    fn wait_until_available(&mut self) -> io::Result<()> {
        loop {
            if self.control.is_closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if self.control.is_silent() {
                self.discard_input()?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if self.target.faults.serves_callers() {
                return Ok(());
            }
            std::thread::sleep(FAULT_POLL_INTERVAL);
        }
    }

    /// Reads and discards all input until the caller closes the connection; an open transaction is
    /// rolled back after the idle timeout.
    fn discard_input(&mut self) -> io::Result<()> {
        loop {
            match self.wire.receive(Some(self.target.group.idle_timeout)) {
                Ok(0) => return Ok(()),
                Ok(_) => self.wire.input.clear(),
                Err(error) if timed_out(&error) => self.executor.roll_back(),
                Err(error) => return Err(error),
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.wire.output.is_empty() {
            return Ok(());
        }
        self.wire.delay_response(self.target.group.network_delay);
        self.wait_until_available()?;
        self.wire.flush()
    }

    fn send_ready(&mut self) {
        let status = match self.executor.status() {
            Status::Idle => TransactionStatus::Idle,
            Status::Open => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.wire.send(Backend::ReadyForQuery(ReadyForQuery::new(status)));
    }

    fn handle_sync(&mut self) -> io::Result<()> {
        if let Err(error) = self.executor.end_implicit_transaction() {
            self.wire.send_error(&error, "ERROR");
        }
        if self.executor.status() == Status::Idle {
            self.portals.clear();
        }
        self.finish_exchange()
    }

    fn handle_simple_query(&mut self, text: &str) -> io::Result<()> {
        let result = self.run_simple_query(text);
        self.report_failure(result)?;
        self.finish_exchange()
    }

    /// Completes a `Sync` or a simple query.
    fn finish_exchange(&mut self) -> io::Result<()> {
        self.control.finish();
        self.skipping_to_sync = false;
        self.send_ready();
        self.flush()
    }

    /// Runs the statements of a simple query. The last command tag is sent only after the implicit
    /// transaction has committed.
    fn run_simple_query(&mut self, text: &str) -> MessageResult {
        let statements = statement::split_statements(text);
        if statements.is_empty() {
            self.wire.send(Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        for (index, sql) in statements.iter().enumerate() {
            let Response { outcome, tag } = self.executor.run(sql, &[])?;
            if !outcome.columns.is_empty() {
                self.wire.send(wire::row_description(&outcome.columns, &[]));
            }
            self.send_rows(&outcome.columns, &[], &outcome.rows)?;
            if index + 1 == statements.len() {
                self.executor.end_implicit_transaction()?;
            }
            self.wire.send(Backend::CommandComplete(CommandComplete::new(tag)));
        }
        Ok(())
    }

    /// Sends rows, unless the statement is interrupted.
    fn send_rows(
        &mut self,
        columns: &[Column],
        formats: &[Format],
        rows: &[Vec<Value>],
    ) -> MessageResult {
        for row in rows {
            self.wire.send_row(columns, formats, row)?;
            if self.wire.output.len() >= OUTPUT_FLUSH_BYTES {
                self.flush()?;
                self.control.check_interrupts()?;
            }
        }
        Ok(())
    }

    fn handle_extended(&mut self, message: Frontend) -> MessageResult {
        match message {
            Frontend::Parse(parse) => self.handle_parse(parse),
            Frontend::Bind(bind) => self.handle_bind(bind)?,
            Frontend::Describe(describe) => self.handle_describe(&describe)?,
            Frontend::Execute(execute) => self.handle_execute(&execute)?,
            Frontend::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == STATEMENT_TARGET_TYPE {
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

    fn handle_parse(&mut self, parse: Parse) {
        let prepared = Prepared { sql: parse.query, types: parse.type_oids, described: None };
        self.statements.insert(parse.name.unwrap_or_default(), prepared);
        self.wire.send(Backend::ParseComplete(ParseComplete::new()));
    }

    fn handle_bind(&mut self, bind: Bind) -> MessageResult {
        let statement = bind.statement_name.unwrap_or_default();
        let prepared = self.statements.get(&statement).ok_or_else(|| unknown_name(&statement))?;
        let parameter_formats = decode_formats(&bind.parameter_format_codes);
        let params = bind.parameters.iter().enumerate().map(|(index, bytes)| {
            let oid = prepared.types.get(index).copied().unwrap_or(0);
            row::decode(oid, row::format_at(&parameter_formats, index), bytes.as_ref())
        });
        let portal = Portal {
            params: params.collect::<Result<Vec<Value>, Error>>()?,
            formats: decode_formats(&bind.result_column_format_codes),
            sql: prepared.sql.clone(),
            described: prepared.described.clone(),
            statement,
            response: None,
            rows_sent: 0,
        };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        self.wire.send(Backend::BindComplete(BindComplete::new()));
        Ok(())
    }

    /// Describes a statement or portal. If the statement is already bound, its portal is run first,
    /// so that values give the types that table declarations leave open.
    fn handle_describe(&mut self, describe: &Describe) -> MessageResult {
        let name = describe.name.clone().unwrap_or_default();
        if describe.target_type != STATEMENT_TARGET_TYPE {
            return self.describe_portal(&name);
        }
        let prepared = self.statements.get(&name).ok_or_else(|| unknown_name(&name))?;
        let types = row::parameter_types(&prepared.sql, &prepared.types);
        self.wire.send(Backend::ParameterDescription(ParameterDescription::new(types.clone())));
        let bound = self.portals.iter().find(|(_, portal)| portal.statement == name);
        if let Some((portal, _)) = bound {
            let portal = portal.clone();
            return self.describe_portal(&portal);
        }
        let sql = prepared.sql.clone();
        let columns = self.executor.describe(&sql, types.len())?;
        self.wire.send_description(&columns, &[]);
        if let Some(prepared) = self.statements.get_mut(&name) {
            prepared.described = Some(columns);
        }
        Ok(())
    }

    fn describe_portal(&mut self, name: &str) -> MessageResult {
        let portal = self.portals.get_mut(name).ok_or_else(|| unknown_name(name))?;
        run_portal(&mut self.executor, portal)?;
        let columns = portal.response.as_ref().map(|response| response.outcome.columns.as_slice());
        self.wire.send_description(columns.unwrap_or_default(), &portal.formats);
        Ok(())
    }

    fn handle_execute(&mut self, execute: &Execute) -> MessageResult {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| unknown_name(&name))?;
        run_portal(&mut self.executor, &mut portal)?;
        self.send_portal_rows(&mut portal, execute.max_rows)?;
        self.portals.insert(name, portal);
        Ok(())
    }

    /// Sends the next rows of a portal, at most `limit` of them; 0 means all.
    fn send_portal_rows(&mut self, portal: &mut Portal, limit: i32) -> MessageResult {
        let Some(Response { outcome, tag }) = &portal.response else { return Ok(()) };
        if tag.is_empty() {
            self.wire.send(Backend::EmptyQueryResponse(EmptyQueryResponse::new()));
            return Ok(());
        }
        let rows = &outcome.rows[portal.rows_sent..];
        let limit = usize::try_from(limit).ok().filter(|limit| *limit > 0);
        let count = limit.map_or(rows.len(), |limit| limit.min(rows.len()));
        self.send_rows(&outcome.columns, &portal.formats, &rows[..count])?;
        portal.rows_sent += count;
        if limit == Some(count) {
            self.wire.send(Backend::PortalSuspended(PortalSuspended::new()));
        } else {
            self.wire.send(Backend::CommandComplete(CommandComplete::new(tag.clone())));
        }
        Ok(())
    }
}

/// Runs a portal, unless it has run already. Columns that were described keep their types.
fn run_portal(executor: &mut Executor, portal: &mut Portal) -> MessageResult {
    if portal.response.is_some() {
        return Ok(());
    }
    let mut response = executor.run(&portal.sql, &portal.params)?;
    if let Some(described) = portal.described.take() {
        response.outcome.columns = described;
    }
    portal.response = Some(response);
    Ok(())
}

fn unknown_name(name: &str) -> Error {
    Error::new("26000", format!("statement or portal \"{name}\" does not exist"))
}

fn decode_formats(codes: &[i16]) -> Vec<Format> {
    let format = |code: &i16| if *code == 1 { Format::Binary } else { Format::Text };
    codes.iter().map(format).collect()
}

fn timed_out(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
