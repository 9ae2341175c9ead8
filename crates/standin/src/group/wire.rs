//! Message transport of a connection: socket, buffers and protocol codec.

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

const READ_BUFFER_BYTES: usize = 64 << 10;

/// Reads and writes protocol messages on a socket, with a simulated network delay.
pub(crate) struct Wire {
    stream: TcpStream,
    /// Received bytes that are not decoded yet.
    pub(crate) input: BytesMut,
    /// Encoded responses that are not sent yet.
    pub(crate) output: BytesMut,
    context: DecodeContext,
    response_delayed: bool,
}

impl Wire {
    /// A connection before its startup handshake.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Wire {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::default(),
            response_delayed: false,
        }
    }

    /// Reads the next message; none when the caller has closed the connection. `timeout` bounds
    /// each read from the socket.
    pub(crate) fn read_message(&mut self, timeout: Duration) -> io::Result<Option<Frontend>> {
        loop {
            if let Some(message) = self.decode()? {
                return Ok(Some(message));
            }
            if self.receive(Some(timeout))? == 0 {
                return Ok(None);
            }
        }
    }

    /// Sets whether the codec accepts an SSL request or a startup message next.
    pub(crate) fn expect_startup(&mut self, ssl: bool, startup: bool) {
        self.context.awaiting_frontend_ssl = ssl;
        self.context.awaiting_frontend_startup = startup;
    }

    /// Delays received messages; the first response to them is delayed as well.
    pub(crate) fn delay_request(&mut self, delay: Duration) {
        std::thread::sleep(delay);
        self.response_delayed = false;
    }

    /// Delays the responses to received messages, once for each call of `delay_request`.
    pub(crate) fn delay_response(&mut self, delay: Duration) {
        if !self.response_delayed {
            std::thread::sleep(delay);
        }
        self.response_delayed = true;
    }

    /// Decodes the next message; none if it is not complete yet.
    pub(crate) fn decode(&mut self) -> io::Result<Option<Frontend>> {
        Frontend::decode(&mut self.input, &self.context).map_err(io::Error::other)
    }

    /// Reads the available bytes and returns their number; 0 when the caller has closed the
    /// connection. Fails when nothing arrives within the timeout.
    pub(crate) fn receive(&mut self, timeout: Option<Duration>) -> io::Result<usize> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        self.stream.set_read_timeout(timeout)?;
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Buffers a response.
    pub(crate) fn send(&mut self, message: Backend) {
        message.encode(&mut self.output).expect("messages of this server can be encoded");
    }

    /// Buffers an error response.
    pub(crate) fn send_error(&mut self, error: &Error, severity: &str) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.send(Backend::ErrorResponse(ErrorResponse::new(fields)));
    }

    /// Buffers the description of a result, which may have no columns.
    pub(crate) fn send_description(&mut self, columns: &[Column], formats: &[Format]) {
        if columns.is_empty() {
            self.send(Backend::NoData(NoData::new()));
        } else {
            self.send(row_description(columns, formats));
        }
    }

    /// Buffers a row of a result.
    pub(crate) fn send_row(
        &mut self,
        columns: &[Column],
        formats: &[Format],
        row: &[Value],
    ) -> Result<()> {
        let data = row::encode(columns, formats, row)?;
        self.send(Backend::DataRow(DataRow::new(data, columns.len() as i16)));
        Ok(())
    }

    /// Sends the buffered responses.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.stream.write_all(&output)
    }

    /// A second handle to the socket.
    pub(crate) fn clone_stream(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }
}

/// Row description message for the columns of a result.
pub(crate) fn row_description(columns: &[Column], formats: &[Format]) -> Backend {
    let field = |(index, column): (usize, &Column)| {
        let format = i16::from(row::format_at(formats, index) == Format::Binary);
        FieldDescription::new(column.name.clone(), 0, 0, column.oid(), column.size(), -1, format)
    };
    let fields = columns.iter().enumerate().map(field).collect();
    Backend::RowDescription(RowDescription::new(fields))
}
