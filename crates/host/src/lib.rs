//! The daemon that serves callers over HTTP: the sockets, timers and tasks that execute the
//! decisions of `bergamotvale_core`.
//!
//! [`daemon::Daemon`] runs one host; a process may run several, as `bergamotvale try` does.
//! [`shared::Host`] is the state that the tasks of one host share.

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
