//! What the operators' interface answers, as plain data.
//!
//! Fields that a newer host adds are passed over. Plans are those of [`bergamotvale_core::plan`].

use bergamotvale_core::id::{
    AccountId, HostId, Incarnation, KeyId, PlanId, ServiceId, TargetId, Version,
};
use bergamotvale_core::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A host's view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: HostId,
    /// Its present run.
    pub incarnation: Incarnation,
    /// Version of the configuration that it acts on.
    pub version: Version,
    /// Whether it may act on it.
    pub authority: Authority,
    /// Hosts that it knows.
    pub members: Vec<Member>,
    /// Services and their targets.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Newest change.
    pub change: Change,
}

/// Whether a host's shared state is recent enough to act on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Authority {
    /// Whether it is.
    pub held: bool,
    /// Age of the last confirmation, ms.
    pub age_ms: Option<u64>,
    /// What confirmed it: the store or peers.
    pub by: Option<String>,
}

/// A host as another sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its number.
    pub host: HostId,
    /// Its present run.
    pub incarnation: Incarnation,
    /// Version that it acts on.
    pub version: Version,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// Time since it was heard, ms.
    pub last_heard_ms: Option<u64>,
}

/// A service and its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its number.
    pub service: ServiceId,
    /// Its name.
    pub name: String,
    /// Its primary, when one is known.
    pub primary: Option<TargetId>,
    /// Term of the primary.
    pub term: u64,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// A target as the host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Its number.
    pub target: TargetId,
    /// Its role in the group.
    #[serde(default)]
    pub role: Option<String>,
    /// Whether it may receive new work.
    pub state: String,
    /// Whether it answers.
    pub healthy: bool,
    /// Age of its data, ms.
    pub age_ms: Option<u64>,
    /// Position that it has applied.
    pub applied: serde_json::Value,
    /// Whether the host keeps work from it.
    pub ejected: bool,
}

/// A client account and the host's share of its rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its number.
    pub account: AccountId,
    /// Its name.
    pub name: String,
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Requests above the rate at once.
    pub burst: f64,
    /// The host's share of the rate.
    pub held_rate: f64,
    /// The host's share of the burst.
    pub held_burst: f64,
}

/// Newest change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Newest accepted version.
    pub accepted: Version,
    /// Whether, or up to which version, it is in force everywhere.
    pub in_force: serde_json::Value,
}

/// Counters and gauges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Metrics {
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Gauges by name.
    #[serde(default)]
    pub gauges: BTreeMap<String, f64>,
}

/// A key that was just issued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issued {
    /// Its number.
    pub key_id: KeyId,
    /// The key, shown this once.
    pub key: String,
}

/// A plan that was confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The plan.
    #[serde(flatten)]
    pub plan: Plan,
    /// The key that it issues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub issued: Option<Issued>,
}

/// What operators did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// Entries, in order.
    pub entries: Vec<Entry>,
}

/// One thing that an operator did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub at: serde_json::Value,
    /// Who.
    pub operator: String,
    /// What.
    pub action: String,
    /// Under which plan.
    #[serde(default)]
    pub plan: Option<PlanId>,
    /// How it ended.
    pub outcome: String,
}
