//! A session reads its own writes, whatever hosts and targets served it.

use super::{OpId, Violation};
use crate::id::ServiceId;
use crate::log::Position;
use std::collections::BTreeMap;

/// Number of a session within its history.
pub type SessionId = u64;

/// What a session saw, in its own order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// The request.
    pub op: OpId,
    /// Its session.
    pub session: SessionId,
    /// The service that it used.
    pub service: ServiceId,
    /// What the session learnt.
    pub kind: EventKind,
}

/// What a session learnt from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A write was acknowledged at this position.
    Acknowledged(Position),
    /// A read was served from a log that reached this position.
    Read(Position),
}

/// Every read covers the acknowledged writes that its session made before.
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
