//! The operators' command.
//!
//! It manages plans, keys and the configuration through the operators' API of a host, explains
//! requests from logs, and runs a demonstration and benchmarks against a complete system in one
//! process. [`args`] parses a command line into an [`args::Invocation`], and [`run`] executes it.
//! Hosts are accessed through [`client`].

pub mod args;
pub mod bench;
pub mod client;
pub mod error;
pub mod explain;
pub mod output;
pub mod run;
pub mod system;
pub mod trial;

pub use error::{Error, Result};
