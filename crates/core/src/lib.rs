//! The decision logic of bergamotvale, as state machines without I/O.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. A state machine is a
//! struct whose methods take an event and the time at which it occurred, and return the actions
//! that the caller has to perform. Random numbers come from a generator whose seed is passed in.
//! The other crates supply sockets, timers and storage.

pub mod ack;
pub mod authority;
pub mod change;
pub mod config;
pub mod detect;
pub mod distribute;
pub mod error;
pub mod fair;
pub mod group;
pub mod handover;
pub mod id;
pub mod idempotency;
pub mod invariant;
pub mod key;
pub mod log;
pub mod maintenance;
pub mod member;
pub mod outlier;
pub mod peer;
pub mod plan;
pub mod pool;
pub mod progress;
pub mod promotion;
pub mod proxy;
pub mod random;
pub mod rate;
pub mod read;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod session;
pub mod share;
pub mod slot;
pub mod sql;
pub mod sqlstate;
pub mod statement;
pub mod store;
pub mod transaction;
pub mod watch;
pub mod write;

pub use error::{Error, Result};
