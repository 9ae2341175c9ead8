//! RPC interface between hosts: one service over TCP.
//!
//! The messages are the types of [`bergamotvale_core::peer`]; this crate adds only the transport.

pub mod error;
pub mod peer;

pub use error::{Error, Result};
