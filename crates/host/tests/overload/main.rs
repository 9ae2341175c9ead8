//! Callers that misbehave: large messages, unread replies, stalled senders, floods of connections
//! and large session state, against a host with little memory and few descriptors.
//!
//! The tests check no times and no share of served requests, only that the process lives, that its
//! peak memory and its open descriptors stay under the settings, and that one ordinary request is
//! answered afterwards. They run one at a time.

#[path = "../sessions/fixture.rs"]
#[expect(dead_code, reason = "the fixture also serves the session tests")]
mod fixture;

mod connections;
mod crowd;
mod listeners;
mod messages;
mod replies;
mod state;
