//! The targets that exist, as they describe themselves.

use derive_more::Display;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A target's own name; unique among all targets.
pub type TargetName = String;
/// Start of a target's process, in milliseconds of the Unix epoch; tells its runs apart.
pub type StartTime = u64;

/// What a target holds itself to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop: it takes no new work.
    pub is_leaving: bool,
    /// What it holds itself to be.
    pub role: Role,
    /// Its run.
    pub start_time: StartTime,
}

/// All targets by name.
pub type Directory = BTreeMap<TargetName, Entry>;

/// Targets of a service.
pub fn of_service<'a>(
    directory: &'a Directory,
    service: &'a str,
) -> impl Iterator<Item = &'a Entry> {
    directory.values().filter(move |entry| entry.service == service)
}
