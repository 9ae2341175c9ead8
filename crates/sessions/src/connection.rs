//! One connection to a target and the exchanges on it.
//!
//! A connection on which an exchange failed is closed with a reset, so that bytes that are held up
//! on the way do not reach the target later.

use crate::state::Host;
use crate::target::Target;
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::directory::Entry;
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::record::Fence;
use bergamotvale_core::proxy::session::{ConnectionState, Step, Values};
use bergamotvale_core::proxy::statement::Shape;
use bergamotvale_platform::line::{self, Answer, End, State, TargetCodec};
use bergamotvale_platform::text;
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Time for which sent bytes may stay unconfirmed before the connection is given up.
const USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that opening a connection may take, its slot time at the target included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between looks at whether a target that stays silent is held for lost.
const LOOK: Duration = Duration::from_millis(50);
/// Bytes read at a time.
const READ_SIZE: usize = 8 << 10;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target answered with an error.
    Refused(Code),
    /// The connection broke, or the target stayed silent.
    Lost,
    /// No answer in the time given.
    Late,
    /// The group's primary is being replaced.
    Superseded,
    /// So many wait for a connection that it could not come in time.
    Full,
}

/// What ends an exchange before its answer.
#[derive(Debug, Clone, Copy)]
pub struct Bounds<'a> {
    /// Time by which the answer has to be there.
    pub deadline: Instant,
    /// Service and fence that the exchange rests on, if it is one with a primary.
    pub fence: Option<(&'a str, Fence)>,
}

/// An open connection, in no transaction unless its owner opened one.
#[derive(Debug)]
pub struct Connection {
    /// Client account that it belongs to.
    pub account: String,
    /// What earlier sessions left on it.
    pub held: ConnectionState,
    stream: TcpStream,
    buffer: BytesMut,
    codec: TargetCodec,
}

impl Connection {
    /// Connects to a target for a client account.
    pub async fn open(
        host: &Host,
        target: &Target,
        entry: &Entry,
        account: &str,
        deadline: Instant,
    ) -> Result<Connection, Failure> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        host.metrics.count("target_connections_opened");
        target.ask();
        let opened = tokio::time::timeout_at(deadline, Self::connect(entry, account)).await;
        target.end();
        match opened {
            Ok(Ok(connection)) => {
                target.answer();
                Ok(connection)
            }
            Ok(Err(Failure::Refused(code))) => {
                target.answer();
                Err(Failure::Refused(code))
            }
            Ok(Err(failure)) => {
                target.fail();
                Err(failure)
            }
            Err(_) => Err(Failure::Late),
        }
    }

    async fn connect(entry: &Entry, account: &str) -> Result<Connection, Failure> {
        let stream = open_stream(entry.address).await.map_err(|_| Failure::Lost)?;
        let mut connection = Connection {
            account: account.to_owned(),
            held: ConnectionState::default(),
            stream,
            buffer: BytesMut::with_capacity(READ_SIZE),
            codec: TargetCodec::default(),
        };
        let hello = line::connect(&entry.service, account, &entry.name);
        connection.stream.write_all(&hello).await.map_err(|_| Failure::Lost)?;
        let answer = connection.receive().await?;
        match answer.end {
            End::Error(code) => Err(Failure::Refused(code)),
            _ => Ok(connection),
        }
    }

    /// Whether the target has closed it, or has sent something that nobody asked for.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    async fn receive(&mut self) -> Result<Answer, Failure> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(_) => return Err(Failure::Lost),
            }
            self.buffer.reserve(READ_SIZE);
            let count = self.stream.read_buf(&mut self.buffer).await;
            if matches!(count, Ok(0) | Err(_)) {
                // A target that refuses a connection closes it right after its error.
                let refused = self.codec.pending_error();
                return Err(refused.map_or(Failure::Lost, Failure::Refused));
            }
        }
    }

    /// Sends a message and waits for its answer.
    pub async fn exchange(
        &mut self,
        host: &Host,
        target: &Target,
        message: &[u8],
        bounds: Bounds<'_>,
    ) -> Result<Answer, Failure> {
        target.ask();
        let result = self.converse(host, target, message, bounds).await;
        target.end();
        match &result {
            Ok(_) | Err(Failure::Refused(_)) => {}
            Err(failure) => {
                if *failure == Failure::Lost {
                    target.fail();
                }
                self.reset_on_close();
            }
        }
        result
    }

    async fn converse(
        &mut self,
        host: &Host,
        target: &Target,
        message: &[u8],
        bounds: Bounds<'_>,
    ) -> Result<Answer, Failure> {
        let sent = tokio::time::timeout_at(bounds.deadline, self.stream.write_all(message)).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(Failure::Lost),
            Err(_) => return Err(Failure::Late),
        }
        let answer = self.receive_within(host, target, bounds).await?;
        target.answer();
        if let Some(position) = answer.position {
            target.note_position(position);
        }
        Ok(answer)
    }

    /// Waits for an answer while the target counts as alive and the fence stands.
    async fn receive_within(
        &mut self,
        host: &Host,
        target: &Target,
        bounds: Bounds<'_>,
    ) -> Result<Answer, Failure> {
        loop {
            let look = bounds.deadline.min(Instant::now() + LOOK);
            if let Ok(result) = tokio::time::timeout_at(look, self.receive()).await {
                return result;
            }
            if Instant::now() >= bounds.deadline {
                return Err(Failure::Late);
            }
            if target.view() == View::Lost {
                return Err(Failure::Lost);
            }
            if let Some((service, fence)) = bounds.fence
                && host.fence(service) != fence
                && !host.has_planned_promotion(service)
            {
                return Err(Failure::Superseded);
            }
        }
    }

    /// Brings the connection to a session's values, and prepares a shape.
    pub async fn match_session(
        &mut self,
        host: &Host,
        target: &Target,
        values: &Values,
        shape: Option<&Shape>,
        bounds: Bounds<'_>,
    ) -> Result<(), Failure> {
        for step in &self.held.steps(values, shape) {
            self.take_step(host, target, step, bounds).await?;
        }
        Ok(())
    }

    async fn take_step(
        &mut self,
        host: &Host,
        target: &Target,
        step: &Step,
        bounds: Bounds<'_>,
    ) -> Result<(), Failure> {
        let message = line::query(line::HOST_STATEMENT_ID, &text::step(step));
        let answer = self.exchange(host, target, &message, bounds).await?;
        match answer.end {
            End::Done => {
                self.held.apply(step);
                Ok(())
            }
            End::Error(code) => Err(Failure::Refused(code)),
            End::Ready => Err(Failure::Lost),
        }
    }

    /// Makes the close a reset.
    pub fn reset_on_close(&self) {
        // A socket that is already gone needs no reset.
        drop(socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)));
    }
}

/// Whether a connection may serve another session after this answer.
pub fn is_clean(answer: &Answer) -> bool {
    answer.state == State::Idle
}

async fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}
