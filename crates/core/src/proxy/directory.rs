//! The targets that exist, as they describe themselves in the platform's directory.

use derive_more::Display;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Name of a target; unique among the targets of all services.
pub type TargetName = String;
/// Start of a target's process, in milliseconds since the Unix epoch; identifies its incarnation.
pub type StartTime = u64;

/// Role that a target reports for itself; it may not have learned of a newer primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Replicates the log of a primary.
    Replica,
}

/// Directory entry of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the target.
    pub name: TargetName,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub domain: String,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop and takes no new work.
    pub is_leaving: bool,
    /// Role that it reports for itself.
    pub role: Role,
    /// Start of its process; differs between incarnations.
    pub start_time: StartTime,
}

/// Entries of all targets by name.
pub type Directory = BTreeMap<TargetName, Entry>;

/// Returns the entries of a service's targets, in the order of their names.
pub fn of_service<'a>(
    directory: &'a Directory,
    service: &'a str,
) -> impl Iterator<Item = &'a Entry> {
    directory.values().filter(move |entry| entry.service == service)
}
