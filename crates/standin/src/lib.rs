//! Stand-ins of what Bergamotvale meets outside: the platform and the database groups.
//!
//! They speak the protocols of `docs/design/outside.md` on loopback and carry faults that tests,
//! trials and benchmarks set at run time. Each runs on threads of its own, so that it never
//! shares a runtime with what it is tested against. The daemon does not link this crate.

pub mod error;
pub mod group;
pub mod lines;
pub mod link;
pub mod platform;

mod port;
mod sync;

pub use error::{Error, Result};
