//! The daemon: sockets, timers and tasks round the decisions of the core.
//!
//! [`daemon::Daemon`] runs one host; a process may run several, which `bergamotvale try` does.
//! [`shared::Host`] is what the tasks of one host share.

pub mod admin;
pub mod auth;
pub mod clock;
pub mod daemon;
pub mod error;
pub mod exec;
pub mod failover;
pub mod fleet;
pub mod front;
pub mod limit;
pub mod logging;
pub mod metric;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod shared;
pub mod target;
pub mod unit;

pub use error::{Error, Result};
