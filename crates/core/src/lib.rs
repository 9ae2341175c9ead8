//! Every decision of bergamotvale, as plain state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. A machine is a struct
//! with `new`; each of its methods takes an event and the time at which it happened, and answers
//! with the actions that the caller has to carry out. Randomness comes from a seeded source that
//! is passed in. The crates round this one supply sockets, timers and storage.

pub mod config;
pub mod detect;
pub mod error;
pub mod fair;
pub mod group;
pub mod handover;
pub mod id;
pub mod invariant;
pub mod log;
pub mod peer;
pub mod pool;
pub mod promotion;
pub mod random;
pub mod rate;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod session;
pub mod share;
pub mod slot;
pub mod statement;
pub mod watch;

pub use error::{Error, Result};
