//! Socket, buffers and codec of a connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::data::{DataRow, FieldDescription, NoData, RowDescription};
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend,
};
use rusqlite::types::Value;

use super::row::{self, Column, Format};
use super::sqlstate::{Error, Result};

const READ_SIZE: usize = 64 << 10;

/// Socket, buffers and codec of a connection.
pub(crate) struct Wire {
    stream: TcpStream,
    /// Received and not decoded yet.
    pub(crate) input: BytesMut,
    /// Not sent yet.
    pub(crate) output: BytesMut,
    context: DecodeContext,
    delayed: bool,
}

impl Wire {
    /// A connection that has not started yet.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Wire {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::default(),
            delayed: false,
        }
    }

    /// Reads until a message is complete; none when the caller has closed.
    pub(crate) fn message(&mut self, timeout: Duration) -> io::Result<Option<Frontend>> {
        loop {
            if let Some(message) = self.decode()? {
                return Ok(Some(message));
            }
            if self.receive(Some(timeout))? == 0 {
                return Ok(None);
            }
        }
    }

    /// What kind of message comes next.
    pub(crate) fn expect(&mut self, ssl: bool, startup: bool) {
        self.context.awaiting_frontend_ssl = ssl;
        self.context.awaiting_frontend_startup = startup;
    }

    /// Delays what was received; its answers will be too.
    pub(crate) fn delay_next(&mut self, delay: Duration) {
        std::thread::sleep(delay);
        self.delayed = false;
    }

    /// Delays the first of the answers to what was received.
    pub(crate) fn delay(&mut self, delay: Duration) {
        if !self.delayed {
            std::thread::sleep(delay);
        }
        self.delayed = true;
    }

    /// Takes the next complete message.
    pub(crate) fn decode(&mut self) -> io::Result<Option<Frontend>> {
        Frontend::decode(&mut self.input, &self.context).map_err(io::Error::other)
    }

    /// Reads what has come, for at most a time.
    pub(crate) fn receive(&mut self, timeout: Option<Duration>) -> io::Result<usize> {
        let mut buffer = [0; READ_SIZE];
        self.stream.set_read_timeout(timeout)?;
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Adds a message to the answers.
    pub(crate) fn send(&mut self, message: Backend) {
        message.encode(&mut self.output).expect("messages of this server can be encoded");
    }

    /// Adds an error to the answers.
    pub(crate) fn error(&mut self, error: &Error, severity: &str) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.send(Backend::ErrorResponse(ErrorResponse::new(fields)));
    }

    /// Adds the description of a result.
    pub(crate) fn columns(&mut self, columns: &[Column], formats: &[Format]) {
        if columns.is_empty() {
            self.send(Backend::NoData(NoData::new()));
        } else {
            self.send(describe(columns, formats));
        }
    }

    /// Adds a row of a result.
    pub(crate) fn row(
        &mut self,
        columns: &[Column],
        formats: &[Format],
        row: &[Value],
    ) -> Result<()> {
        let data = row::encode(columns, formats, row)?;
        self.send(Backend::DataRow(DataRow::new(data, columns.len() as i16)));
        Ok(())
    }

    /// Sends the answers.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.stream.write_all(&output)
    }

    /// A second handle on the socket.
    pub(crate) fn stream(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }
}

/// Describes the columns of a result.
pub(crate) fn describe(columns: &[Column], formats: &[Format]) -> Backend {
    let field = |(at, column): (usize, &Column)| {
        let format = i16::from(row::format_at(formats, at) == Format::Binary);
        FieldDescription::new(column.name.clone(), 0, 0, column.oid(), column.size(), -1, format)
    };
    let fields = columns.iter().enumerate().map(field).collect();
    Backend::RowDescription(RowDescription::new(fields))
}
