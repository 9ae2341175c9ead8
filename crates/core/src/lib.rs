//! Every decision of bergamotvale, as plain state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. A machine is a struct
//! with `new`; each of its methods takes an event and the time at which it happened, and answers
//! with the actions that the caller has to carry out. Randomness comes from a seeded source that
//! is passed in. The crates round this one supply sockets, timers and storage.

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
