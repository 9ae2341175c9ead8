//! Bounds on what callers may make a host hold: connections, buffered bytes and session state.
//!
//! [`Limits`] derives the bounds from the memory and the descriptors of the host. A [`Ledger`]
//! records what each connection holds of one kind, and selects the connections to close when all of
//! them together exceed a bound.

use crate::id::Time;
use std::collections::BTreeMap;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Memory that is assumed if the settings state none: that of the smallest host deployed.
pub const DEFAULT_MEMORY_MB: u32 = 160;
/// Largest size of a message, or of a reply, that is covered by the memory of its connection and
/// not accounted for otherwise.
pub const SMALL_BYTES: usize = 2 * KIB;
/// Largest size of a message of the middle class. Middle and large messages have budgets of their
/// own, so that a message that grows from one class to the next cannot wait for itself.
pub const MIDDLE_BYTES: usize = 64 * KIB;
/// Bytes that a host holds for each byte of a message while it runs: the text in the caller's
/// statement, in the task and in the message to the target, and a reply of the same size.
pub const COPIES: usize = 4;
/// Memory that a session takes with its buffers. With 4,000 idle sessions, a debug build took 10 kB
/// for each.
const CONNECTION_BYTES: usize = 16 * KIB;
/// Descriptors kept for listeners, the platform, targets and HTTP connections: this part of all.
const RESERVED_DESCRIPTORS_DIVISOR: usize = 16;
/// Fewest and most descriptors that are kept for these.
const RESERVED_DESCRIPTORS: std::ops::RangeInclusive<usize> = 96..=512;
/// Fewest connections of callers, however small the limits of the host are.
const MIN_CONNECTIONS: usize = 16;
/// Values and statements that one session may store: a value as large as a message may be, and
/// others.
const SESSION_STATE_BYTES: usize = MIB + 256 * KIB;
/// Number of values and statements that one session may store.
const SESSION_STATE_ENTRIES: usize = 1024;
/// Bounds of the receive buffer that the kernel keeps for one connection.
const RECEIVE_BUFFER_BYTES: std::ops::RangeInclusive<usize> = 16 * KIB..=64 * KIB;

/// Bounds of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections of callers, with or without a session.
    pub connections: usize,
    /// Bytes for messages of the middle class.
    pub middle_bytes: usize,
    /// Bytes for large messages.
    pub large_bytes: usize,
    /// Bytes for large answers that are being received from targets.
    pub answer_bytes: usize,
    /// Bytes of replies that callers have not read yet.
    pub reply_bytes: usize,
    /// Bytes of the values and prepared statements of all sessions.
    pub state_bytes: usize,
    /// Bytes of the values and prepared statements of one session.
    pub session_state_bytes: usize,
    /// Values and prepared statements of one session.
    pub session_state_entries: usize,
    /// Receive buffer that the kernel keeps for one connection.
    pub receive_buffer_bytes: usize,
}

impl Limits {
    /// Derives the bounds from the settings of a host: memory in MB, if stated, and descriptors.
    pub fn new(memory_mb: Option<u32>, descriptors: u32) -> Limits {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize * 1_000_000;
        let descriptors = descriptors as usize;
        let reserved = (descriptors / RESERVED_DESCRIPTORS_DIVISOR)
            .clamp(*RESERVED_DESCRIPTORS.start(), *RESERVED_DESCRIPTORS.end());
        let connections = descriptors
            .saturating_sub(reserved)
            .min(memory / 2 / CONNECTION_BYTES)
            .max(MIN_CONNECTIONS);
        // The largest message is always served, also on a host whose share would be smaller.
        let largest = COPIES * MIB;
        Limits {
            connections,
            middle_bytes: (memory / 8).max(COPIES * MIDDLE_BYTES),
            large_bytes: (memory / 8).max(largest),
            answer_bytes: (memory / 8).max(largest),
            reply_bytes: (memory / 8).max(largest),
            state_bytes: (memory / 8).max(SESSION_STATE_BYTES),
            session_state_bytes: SESSION_STATE_BYTES,
            session_state_entries: SESSION_STATE_ENTRIES,
            receive_buffer_bytes: (memory / 4 / connections)
                .clamp(*RECEIVE_BUFFER_BYTES.start(), *RECEIVE_BUFFER_BYTES.end()),
        }
    }

    /// Bytes of session state that a session may store even if all of them together exceed the
    /// bound; others are closed instead.
    pub fn fair_state_bytes(&self) -> usize {
        self.state_bytes / self.connections
    }
}

/// A bound that a caller has met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The host has as many connections of callers as it may.
    Connections,
    /// No memory was available for a message in time.
    MessageMemory,
    /// A message is larger than the limit.
    MessageSize,
    /// A message was not finished in time.
    MessageTime,
    /// A reply was not read in time.
    ReplyTime,
    /// Unread replies exceed their memory.
    ReplyMemory,
    /// A session stores too much.
    SessionState,
    /// All sessions together store too much.
    HostState,
}

impl Bound {
    /// All bounds.
    pub const ALL: [Bound; 8] = [
        Bound::Connections,
        Bound::MessageMemory,
        Bound::MessageSize,
        Bound::MessageTime,
        Bound::ReplyTime,
        Bound::ReplyMemory,
        Bound::SessionState,
        Bound::HostState,
    ];

    /// Reason as written to log lines, answers and names of counters.
    pub fn label(self) -> &'static str {
        match self {
            Bound::Connections => "connections_full",
            Bound::MessageMemory => "message_memory",
            Bound::MessageSize => "message_size",
            Bound::MessageTime => "message_time",
            Bound::ReplyTime => "reply_time",
            Bound::ReplyMemory => "reply_memory",
            Bound::SessionState => "session_state",
            Bound::HostState => "host_state",
        }
    }
}

/// How a ledger selects the connection to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The one with the most bytes.
    Size,
    /// The one with the largest product of bytes and the time for which it has held them, so that
    /// slow readers go before callers that have just been answered.
    SizeAndAge,
}

/// Bytes of one kind that connections hold, against a bound for all of them.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    order: Order,
    total: usize,
    held: BTreeMap<u64, (usize, Time)>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limit: usize, order: Order) -> Ledger {
        Ledger { limit, order, total: 0, held: BTreeMap::new() }
    }

    /// Records that a connection holds `bytes` from now on, instead of what it held before.
    pub fn set(&mut self, connection: u64, bytes: usize, now: Time) {
        self.release(connection);
        if bytes > 0 {
            self.held.insert(connection, (bytes, now));
            self.total += bytes;
        }
    }

    /// Removes what a connection holds.
    pub fn release(&mut self, connection: u64) {
        if let Some((bytes, _)) = self.held.remove(&connection) {
            self.total -= bytes;
        }
    }

    /// Bytes that a connection holds.
    pub fn held(&self, connection: u64) -> usize {
        self.held.get(&connection).map_or(0, |(bytes, _)| *bytes)
    }

    /// Bytes that all connections hold.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Removes connections until the rest is within the bound, and returns those to close.
    pub fn evict(&mut self, now: Time) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.total > self.limit {
            let weight = |(connection, (bytes, since)): (&u64, &(usize, Time))| {
                let age = match self.order {
                    Order::Size => 1,
                    Order::SizeAndAge => now.saturating_sub(*since).as_micros() + 1,
                };
                (*bytes as u128 * age, *connection)
            };
            let Some((_, connection)) = self.held.iter().map(weight).max() else { break };
            self.release(connection);
            evicted.push(connection);
        }
        evicted
    }
}
