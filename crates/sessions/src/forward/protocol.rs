//! Messages between the host that has a caller's session and the owner of a target's connections.
//!
//! A message is a length-prefixed frame: a byte for the format, a `postcard` value, and in a reply
//! the body of the target's answer, unchanged. A connection carries one attempt or one transaction
//! at a time; each request gets one reply.

use crate::caller::work::{Context, Task};
use crate::pool::connection::Failure;
use bergamotvale_core::proxy::answer::{Effect, Sent};
use bergamotvale_core::proxy::directory::TargetName;
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::record::Fence;
use bergamotvale_core::proxy::session::Values;
use bergamotvale_core::proxy::statement::Shape;
use bergamotvale_platform::line::{Answer, End, HOST_STATEMENT_ID, State};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::LengthDelimitedCodec;

/// First byte of each frame; differs between incompatible formats.
const FORMAT: u8 = 1;
/// Size limit of a frame: a target's largest answer, or a statement with its session's values.
const MAX_FRAME_BYTES: usize = 9 << 20;
/// Part of a statement's time that the owner does not get, so that its reply arrives in time.
const HOP_MARGIN: Duration = Duration::from_millis(20);

/// A statement on its way to an owner. Times are durations, because clocks of hosts differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RemoteTask {
    id: String,
    text: String,
    shape: Option<Shape>,
    /// Time that the owner has.
    remaining: Duration,
    max_wait: Duration,
}

impl RemoteTask {
    /// Returns the task as the owner gets it: with the time that is left until `deadline`.
    pub fn new(task: &Task, deadline: Instant) -> RemoteTask {
        let left = deadline.saturating_duration_since(Instant::now());
        RemoteTask {
            id: task.id.clone(),
            text: task.text.clone(),
            shape: task.shape.clone(),
            remaining: left.saturating_sub(HOP_MARGIN),
            max_wait: task.max_wait,
        }
    }

    /// Time that the owner has.
    pub fn remaining(&self) -> Duration {
        self.remaining
    }

    /// Returns the task at the owner, where it arrived at `arrived`.
    pub fn into_task(self, arrived: Instant) -> Task {
        Task {
            id: self.id,
            text: self.text,
            shape: self.shape,
            deadline: arrived + self.remaining,
            max_wait: self.max_wait,
        }
    }
}

/// An attempt at one target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attempt {
    /// Target that the sender has chosen.
    pub target: TargetName,
    /// Fence under which the target is the primary, if the attempt is only valid there.
    pub fence: Option<Fence>,
    /// Session and route.
    pub context: Context,
    /// Values of the session.
    pub values: Values,
    /// The statement.
    pub task: RemoteTask,
}

/// What an owner is asked to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Runs a read outside a transaction.
    Read(Attempt),
    /// Runs a write outside a transaction.
    Write(Attempt),
    /// Begins a transaction, which lasts until its end or that of the connection.
    Begin {
        /// Target, and the statement that the transaction begins with; it is not run yet.
        attempt: Attempt,
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// Runs a statement in the open transaction.
    Statement {
        /// Values of the session.
        values: Values,
        /// The statement.
        task: RemoteTask,
        /// Whether it commits.
        effect: Effect,
    },
    /// Rolls the open transaction back.
    Rollback,
}

impl Request {
    /// Id that the caller gave the statement.
    pub fn id(&self) -> &str {
        match self {
            Request::Read(attempt) | Request::Write(attempt) | Request::Begin { attempt, .. } => {
                &attempt.task.id
            }
            Request::Statement { task, .. } => &task.id,
            Request::Rollback => HOST_STATEMENT_ID,
        }
    }
}

/// Why an owner did not run an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The owner is stopping.
    Stopping,
    /// By its own state the host owns no connection to the target, or does not know the target.
    NotOwner,
}

impl Reason {
    /// Reason as written to log lines and names of counters.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Stopping => "owner_stopping",
            Reason::NotOwner => "not_owner",
        }
    }
}

/// Result of a request at the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target's answer; its body follows the message.
    Answered {
        /// How it ends.
        end: End,
        /// Transaction state after it.
        state: State,
        /// Position of the target's log.
        position: Option<Position>,
    },
    /// The transaction has begun, or was rolled back.
    Done {
        /// Position of the target's log.
        position: Option<Position>,
    },
    /// The attempt failed.
    Failed {
        /// Why.
        failure: Failure,
        /// Whether bytes of the statement may have reached the target.
        sent: Sent,
    },
    /// The target reported success, but may no longer have been the primary.
    Unverified,
    /// Not run; another owner may run it.
    NotRun(Reason),
}

/// Load of a target's connections at their owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the target has not answered yet.
    pub in_flight: u32,
    /// Requests that wait for a connection.
    pub waiting: u32,
    /// Mean duration of a statement at the target.
    pub statement_time: Duration,
    /// Whether the account has an idle connection.
    pub has_connection: bool,
    /// Whether the owner counts the target as unreachable.
    pub is_lost: bool,
}

/// Reply of an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reply {
    /// Result of the request.
    pub outcome: Outcome,
    /// Load after it.
    pub load: Load,
}

/// Returns the codec that splits a connection into frames.
pub fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Encodes a request.
pub fn encode_request(request: &Request) -> postcard::Result<Bytes> {
    postcard::to_extend(request, vec![FORMAT]).map(Bytes::from)
}

/// Decodes a request; `None` if it is of another format or malformed.
pub fn decode_request(frame: &[u8]) -> Option<Request> {
    let (&FORMAT, message) = frame.split_first()? else { return None };
    postcard::from_bytes(message).ok()
}

/// Encodes a reply with the body of an answer.
pub fn encode_reply(reply: &Reply, body: &[u8]) -> postcard::Result<Bytes> {
    let mut frame = postcard::to_extend(reply, vec![FORMAT])?;
    frame.extend_from_slice(body);
    Ok(Bytes::from(frame))
}

/// Decodes a reply and the body of its answer; `None` if it is of another format or malformed.
pub fn decode_reply(frame: &Bytes) -> Option<(Reply, Bytes)> {
    let (&FORMAT, message) = frame.split_first()? else { return None };
    let (reply, body) = postcard::take_from_bytes(message).ok()?;
    Some((reply, frame.slice(frame.len() - body.len()..)))
}

impl Outcome {
    /// Returns the outcome that tells of a target's answer.
    pub fn answered(answer: &Answer) -> Outcome {
        Outcome::Answered { end: answer.end, state: answer.state, position: answer.position }
    }
}
