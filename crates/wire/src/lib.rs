//! The protocol between hosts: one RPC service over TCP.
//!
//! The messages are the plain data of [`bergamotvale_core::peer`]; this crate only gives them a
//! transport.

pub mod error;
pub mod peer;

pub use error::{Error, Result};
