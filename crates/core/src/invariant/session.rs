//! Checks that a session reads its own writes regardless of the hosts and targets that served it.

use super::{OpId, Violation};
use crate::id::ServiceId;
use crate::log::Position;
use std::collections::BTreeMap;

/// Identifies a session within its history.
pub type SessionId = u64;

/// Answer to a request of a session. Checks expect the events of each session in the order in which
/// it received them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Request that was answered.
    pub op: OpId,
    /// Session that made the request.
    pub session: SessionId,
    /// Service that it addressed.
    pub service: ServiceId,
    /// What the answer reported.
    pub kind: EventKind,
}

/// What an answer reported to its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A write was acknowledged at this position.
    Acknowledged(Position),
    /// A read was served from a log that reached this position.
    Read(Position),
}

/// Checks that every read covers the writes of its session and service acknowledged before it.
pub fn verify(events: &[Event]) -> Result<(), Violation> {
    let mut floors: BTreeMap<(SessionId, ServiceId), Position> = BTreeMap::new();
    for event in events {
        let floor = floors.entry((event.session, event.service)).or_default();
        match event.kind {
            EventKind::Acknowledged(position) => *floor = position.max(*floor),
            EventKind::Read(applied) if applied < *floor => {
                return Err(Violation::StaleRead { op: event.op });
            }
            EventKind::Read(_) => {}
        }
    }
    Ok(())
}
