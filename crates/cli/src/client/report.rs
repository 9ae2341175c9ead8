//! Responses of the operators' API.
//!
//! Unknown fields, which a newer host may add, are ignored. Plans are those of
//! [`bergamotvale_core::plan`].

use bergamotvale_core::id::{
    AccountId, HostId, Incarnation, KeyId, PlanId, ServiceId, TargetId, Version,
};
use bergamotvale_core::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A host's view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Host that sent this view.
    pub host: HostId,
    /// Current incarnation of the host.
    pub incarnation: Incarnation,
    /// Version of the configuration that the host acts on.
    pub version: Version,
    /// Whether the host's copy of the shared state is recent enough to act on.
    pub authority: Authority,
    /// Members of the fleet.
    pub members: Vec<Member>,
    /// Services of the configuration.
    pub services: Vec<Service>,
    /// Client accounts of the configuration.
    pub accounts: Vec<Account>,
    /// Newest change of the configuration.
    pub change: Change,
}

/// Authority of a host: whether its copy of the shared state is recent enough to act on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Authority {
    /// Whether the host has authority.
    pub held: bool,
    /// Age of the last renewal, in milliseconds.
    pub age_ms: Option<u64>,
    /// What renewed the authority last: the store or peers.
    pub by: Option<String>,
}

/// A member of the fleet as the responding host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the member.
    pub host: HostId,
    /// Current incarnation of the member.
    pub incarnation: Incarnation,
    /// Version of the configuration that the member acts on.
    pub version: Version,
    /// Whether the member is leaving the fleet.
    pub leaving: bool,
    /// Time since its last heartbeat was received, in milliseconds; None before the first.
    pub last_heard_ms: Option<u64>,
}

/// A service and its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Id of the service.
    pub service: ServiceId,
    /// Name in the configuration, which operators and callers use.
    pub name: String,
    /// Primary of the group; None if none is known.
    pub primary: Option<TargetId>,
    /// Term of the primary; 0 if none is known.
    pub term: u64,
    /// Targets of the group.
    pub targets: Vec<Target>,
}

/// A target as the responding host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Id of the target within its service.
    pub target: TargetId,
    /// Role that the target last reported; None before the first report.
    #[serde(default)]
    pub role: Option<String>,
    /// Configured state: `active` if the target receives new work.
    pub state: String,
    /// Whether the host has received a recent probe response, its own or through a peer.
    pub healthy: bool,
    /// Age of the target's data, in milliseconds; None if unknown.
    pub age_ms: Option<u64>,
    /// Log position up to which the target has applied.
    pub applied: serde_json::Value,
    /// Whether the host has ejected the target and sends it no work.
    pub ejected: bool,
}

/// A client account and the host's share of its rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Id of the account.
    pub account: AccountId,
    /// Name in the configuration.
    pub name: String,
    /// Rate over all hosts, in requests per second.
    pub rate: f64,
    /// Number of requests over the rate that may arrive at once, over all hosts.
    pub burst: f64,
    /// Share of the rate that the responding host holds.
    pub held_rate: f64,
    /// Share of the burst that the responding host holds.
    pub held_burst: f64,
}

/// Newest change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Newest version that was accepted.
    pub accepted: Version,
    /// Newest version that every live host acts on.
    pub in_force: serde_json::Value,
}

/// Metrics of the responding host.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Metrics {
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Gauges by name.
    #[serde(default)]
    pub gauges: BTreeMap<String, f64>,
}

/// A newly issued key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Id of the key.
    pub key_id: KeyId,
    /// The key itself, which the host returns only here.
    pub key: String,
}

/// A confirmed plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmedPlan {
    /// The plan, whose fields are at the top level of the JSON object.
    #[serde(flatten)]
    pub plan: Plan,
    /// New key of a rotation, which only the response to the confirmation contains.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub issued: Option<IssuedKey>,
}

/// Audit log of the operators' actions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// Entries, oldest first.
    pub entries: Vec<Entry>,
}

/// One action of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time of the action, RFC 3339.
    pub at: serde_json::Value,
    /// Name of the operator.
    pub operator: String,
    /// Name of the action.
    pub action: String,
    /// Plan that the action belongs to, if any.
    #[serde(default)]
    pub plan: Option<PlanId>,
    /// Result of the action.
    pub outcome: String,
}
