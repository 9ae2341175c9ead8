//! Reads the messages of a caller, with memory from [`crate::overload`] for those that are not
//! small.

use crate::overload::MessagePermit;
use crate::state::Host;
use bergamotvale_core::proxy::budget::{Bound, SMALL_BYTES};
use bergamotvale_platform::Error;
use bergamotvale_platform::line::{CallerCodec, Request};
use bytes::BytesMut;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Time that a message may take from its first byte. Nine messages of 1 MiB, for which the smallest
/// host has memory, take 7.6 s together on a link of 10 Mbit/s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes that are read at once; bounds what is buffered of the messages that follow.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Why no message could be read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The message met a bound, and was not read to its end.
    Bound(Bound),
    /// The connection failed.
    Failed(Error),
}

/// Reading half of a caller's connection.
pub(super) struct Reader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    codec: CallerCodec,
    permit: MessagePermit,
    /// Time by which the message that has begun has to be complete.
    deadline: Option<Instant>,
}

impl Reader {
    pub(super) fn new(half: OwnedReadHalf) -> Reader {
        Reader {
            half,
            buffer: BytesMut::new(),
            codec: CallerCodec::default(),
            permit: MessagePermit::default(),
            deadline: None,
        }
    }

    pub(super) fn into_inner(self) -> OwnedReadHalf {
        self.half
    }

    /// Reads the next message; `None` if the caller has closed its side. No bytes are lost if the
    /// future is dropped.
    pub(super) async fn next(&mut self, host: &Host) -> Option<Result<Request, ReadError>> {
        loop {
            let pending = self.buffer.len();
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(request)) => {
                    self.permit.shrink(pending - self.buffer.len());
                    self.compact();
                    self.deadline = None;
                    return Some(Ok(request));
                }
                Ok(None) => {}
                Err(Error::TooLarge) => return Some(Err(ReadError::Bound(Bound::MessageSize))),
                Err(error) => return Some(Err(ReadError::Failed(error))),
            }
            if pending == 0 {
                match self.fill(SMALL_BYTES).await {
                    Ok(0) => return None,
                    Ok(_) => {}
                    Err(error) => return Some(Err(ReadError::Failed(error.into()))),
                }
                continue;
            }
            let deadline = *self.deadline.get_or_insert_with(|| Instant::now() + MESSAGE_TIMEOUT);
            let growth = self.permit.grow(&host.overload.messages, pending);
            let Ok(end) = tokio::time::timeout_at(deadline, growth).await else {
                return Some(Err(ReadError::Bound(Bound::MessageMemory)));
            };
            match tokio::time::timeout_at(deadline, self.fill(end)).await {
                Ok(Ok(0)) => return None,
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Some(Err(ReadError::Failed(error.into()))),
                Err(_) => return Some(Err(ReadError::Bound(Bound::MessageTime))),
            }
        }
    }

    /// Gives back the memory of the last message, which has been replied to.
    pub(super) fn finish_message(&mut self) {
        self.permit = MessagePermit::default();
    }

    /// Reads once, until the buffer has at most `end` bytes. The buffer is allocated only once the
    /// first bytes are there, so that idle sessions have none.
    async fn fill(&mut self, end: usize) -> std::io::Result<usize> {
        if self.buffer.is_empty() {
            self.half.readable().await?;
        }
        let room = end - self.buffer.len();
        self.buffer.reserve(room);
        let count = room.min(READ_CHUNK_BYTES) as u64;
        (&mut self.half).take(count).read_buf(&mut self.buffer).await
    }

    /// Frees the memory of the message just decoded, except for what follows it.
    fn compact(&mut self) {
        if self.buffer.is_empty() || self.buffer.capacity() > READ_CHUNK_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }
}
