//! Stand-ins (test doubles) of the systems that Bergamotvale depends on: the platform and the
//! database groups.
//!
//! They serve the protocols of `docs/design/outside.md` on loopback and inject faults that tests,
//! trials and benchmarks set at run time. Each runs on its own threads, so that it never shares a
//! runtime with the system under test. The daemon does not link this crate.

pub mod error;
pub mod group;
pub mod lines;
pub mod link;
pub mod platform;

mod port;
mod sync;

pub use error::{Error, Result};
