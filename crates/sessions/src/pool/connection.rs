//! A connection to a target, and the exchanges of a message and its answer on it.
//!
//! After a failed exchange the connection is closed with a TCP reset, so that bytes that are still
//! buffered or delayed in the network do not reach the target later.

use crate::overload::{AnswerGate, AnswerPermit};
use crate::pool::target::Target;
use crate::state::Host;
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::directory::Entry;
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::record::Fence;
use bergamotvale_core::proxy::session::{ConnectionState, Step, Values};
use bergamotvale_core::proxy::statement::Shape;
use bergamotvale_platform::line::{self, Answer, End, State, TargetCodec};
use bergamotvale_platform::text;
use bytes::BytesMut;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that opening a connection may take, including the time for which it occupies a slot at the
/// target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which an exchange without an answer checks whether the target counts as unreachable
/// or the fence has changed.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Spare capacity that the buffer has before each read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Capacity above which the buffer of an idle connection is replaced: after a large answer it would
/// keep that memory.
const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;

/// Why an exchange failed, or no connection for it could be obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The target answered with this error code.
    Refused(Code),
    /// The connection failed, or the target counts as unreachable.
    Lost,
    /// The deadline passed without an answer.
    Late,
    /// The group's primary is being replaced.
    Superseded,
    /// The queue for connections is too long for the request's `max_wait`.
    Full,
}

/// Conditions that end an exchange without an answer.
#[derive(Debug, Clone, Copy)]
pub struct Bounds<'a> {
    /// Time by which the answer has to arrive.
    pub deadline: Instant,
    /// Service and fence under which the target is used as the primary. The exchange ends when a
    /// promotion that is not planned raises the fence. `None` if any target will do.
    pub fence: Option<(&'a str, Fence)>,
}

/// An open connection. It is in a transaction only while the session that holds it has one open.
#[derive(Debug)]
pub struct Connection {
    /// Client account that it was opened for; only sessions of this account may use it.
    pub account: String,
    /// Values and prepared statements that earlier sessions left on it.
    pub state: ConnectionState,
    stream: TcpStream,
    buffer: BytesMut,
    codec: TargetCodec,
}

impl Connection {
    /// Connects to a target for a client account, and records the result with the target.
    ///
    /// Takes at most `CONNECT_TIMEOUT`, and ends at `deadline` if that is earlier.
    pub async fn open(
        host: &Host,
        target: &Target,
        entry: &Entry,
        account: &str,
        deadline: Instant,
    ) -> Result<Connection, Failure> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        host.metrics.count("target_connections_opened");
        target.record_request();
        let opened = tokio::time::timeout_at(deadline, Self::connect(entry, account)).await;
        target.record_end();
        match opened {
            Ok(Ok(connection)) => {
                target.record_response();
                Ok(connection)
            }
            Ok(Err(Failure::Refused(code))) => {
                target.record_response();
                Err(Failure::Refused(code))
            }
            Ok(Err(failure)) => {
                target.record_connection_failure();
                Err(failure)
            }
            Err(_) => Err(Failure::Late),
        }
    }

    async fn connect(entry: &Entry, account: &str) -> Result<Connection, Failure> {
        let stream = open_stream(entry.address).await.map_err(|_| Failure::Lost)?;
        let mut connection = Connection {
            account: account.to_owned(),
            state: ConnectionState::default(),
            stream,
            buffer: BytesMut::with_capacity(READ_CHUNK_BYTES),
            codec: TargetCodec::default(),
        };
        let hello = line::connect(&entry.service, account, &entry.name);
        connection.stream.write_all(&hello).await.map_err(|_| Failure::Lost)?;
        let answer = connection.receive(None, &mut AnswerPermit::default()).await?;
        match answer.end {
            End::Error(code) => Err(Failure::Refused(code)),
            _ => Ok(connection),
        }
    }

    /// Whether an idle connection is unusable: closed by the target, or with bytes that answer no
    /// request.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Receives an answer, with memory for a large one from `gate`.
    async fn receive(
        &mut self,
        gate: Option<&AnswerGate>,
        permit: &mut AnswerPermit,
    ) -> Result<Answer, Failure> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(answer)) => {
                    if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
                        self.buffer = BytesMut::with_capacity(READ_CHUNK_BYTES);
                    }
                    return Ok(answer);
                }
                Ok(None) => {}
                Err(_) => return Err(Failure::Lost),
            }
            let pending = self.buffer.len() + self.codec.body_bytes();
            if let Some(gate) = gate {
                permit.grow(gate, pending).await;
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            let count = self.stream.read_buf(&mut self.buffer).await;
            if matches!(count, Ok(0) | Err(_)) {
                // A target that refuses a connection closes it right after sending the error.
                let refused = self.codec.pending_error();
                return Err(refused.map_or(Failure::Lost, Failure::Refused));
            }
        }
    }

    /// Sends a message and waits for its answer, and records the result with the target.
    ///
    /// After an error the connection must not be used again.
    pub async fn exchange(
        &mut self,
        host: &Host,
        target: &Target,
        message: &[u8],
        bounds: Bounds<'_>,
    ) -> Result<Answer, Failure> {
        target.record_request();
        let result = self.send_and_receive(host, target, message, bounds).await;
        target.record_end();
        match &result {
            Ok(_) | Err(Failure::Refused(_)) => {}
            Err(failure) => {
                if *failure == Failure::Lost {
                    target.record_connection_failure();
                }
                if matches!(failure, Failure::Lost | Failure::Late) {
                    host.record_target_failure(target);
                }
                self.reset_on_close();
            }
        }
        result
    }

    async fn send_and_receive(
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
        let answer = self.receive_bounded(host, target, bounds).await?;
        target.record_response();
        if let Some(position) = answer.position {
            target.record_position(position);
        }
        Ok(answer)
    }

    /// Waits for an answer until the deadline passes, the target counts as unreachable or the fence
    /// is superseded.
    async fn receive_bounded(
        &mut self,
        host: &Host,
        target: &Target,
        bounds: Bounds<'_>,
    ) -> Result<Answer, Failure> {
        let gate = &host.overload.answers;
        let mut permit = AnswerPermit::default();
        loop {
            let poll_deadline = bounds.deadline.min(Instant::now() + VIEW_POLL_INTERVAL);
            let answer = self.receive(Some(gate), &mut permit);
            if let Ok(result) = tokio::time::timeout_at(poll_deadline, answer).await {
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

    /// Sets a session's values on the connection, and prepares `shape` unless it is prepared.
    pub async fn apply_session(
        &mut self,
        host: &Host,
        target: &Target,
        values: &Values,
        shape: Option<&Shape>,
        bounds: Bounds<'_>,
    ) -> Result<(), Failure> {
        for step in &self.state.steps(values, shape) {
            self.apply_step(host, target, step, bounds).await?;
        }
        Ok(())
    }

    async fn apply_step(
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
                self.state.apply(step);
                Ok(())
            }
            End::Error(code) => Err(Failure::Refused(code)),
            End::Ready => Err(Failure::Lost),
        }
    }

    /// Makes closing the connection send a TCP reset.
    pub fn reset_on_close(&self) {
        // This fails only if the socket is already closed, which then needs no reset.
        drop(socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)));
    }
}

/// Whether a connection may serve another session after this answer: it is in no transaction.
pub fn is_clean(answer: &Answer) -> bool {
    answer.state == State::Idle
}

async fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}
