//! How a host routes, limits and fails over.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeSet;
use std::time::Duration;

/// How a host routes, limits and fails over.
///
/// The default of each alternative is the intended behaviour; the others are baselines for
/// comparison.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Targets that serve reads.
    pub reads: Reads,
    /// How the rate of a client account is divided between hosts.
    pub rates: Rates,
    /// How connections to targets are divided between hosts.
    pub connections: Connections,
    /// In which order client accounts get free slots.
    pub slots: Slots,
    /// Which hosts decide that a primary is deposed.
    pub failover: Failover,
    /// Time for which a primary must fail before it is deposed.
    #[serde_as(as = "Span")]
    pub failover_after: Duration,
    /// Time between two probes of a target.
    #[serde_as(as = "Span")]
    pub probe: Duration,
    /// Whether targets that fail requests are skipped for a while.
    pub ejection: bool,
    /// Whether requests that are safe to repeat are retried.
    pub retries: bool,
    /// Time between two heartbeats to a peer.
    #[serde_as(as = "Span")]
    pub heartbeat: Duration,
    /// Time for which the host may act on its copy of the shared state after a renewal.
    #[serde_as(as = "Span")]
    pub authority: Duration,
    /// Maximum number of peers that the host probes and pushes to.
    pub fan_out: usize,
    /// Random seed of jitter and tie breaking.
    pub seed: u64,
    /// Injected defects, which show that checks can fail; a settings file cannot set them.
    #[serde(skip)]
    pub defects: BTreeSet<Defect>,
}

/// Targets that serve reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// Any target that is fresh enough.
    Replicas,
    /// The primary only.
    Primary,
}

/// How the rate of a client account is divided between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rates {
    /// Shares that hosts lend to each other on demand.
    Escrow,
    /// Fixed equal shares.
    Static,
}

/// How connections to targets are divided between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Connections {
    /// Shares that follow demand.
    Shared,
    /// Fixed equal shares.
    Static,
}

/// In which order client accounts get free slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Slots {
    /// Weighted max-min fairness between client accounts.
    Fair,
    /// In order of arrival.
    Arrival,
}

/// Which hosts decide that a primary is deposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failover {
    /// A majority of the hosts that watch the group.
    Review,
    /// Any single host.
    Single,
    /// None: a failed primary is not replaced automatically.
    Off,
}

/// A defect that a test injects, to show that its checks can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Defect {
    /// Acknowledges a write that only the primary has stored.
    AcknowledgeUnconfirmed,
    /// Serves session reads from any target, whatever the session token requires.
    IgnoreToken,
    /// Retries a write without an idempotency key when its response is lost.
    RetryUnkeyed,
    /// Gives every host the whole rate of an account instead of a share.
    LocalRate,
    /// Promotes a target without fencing the other targets first.
    SkipFence,
    /// Keeps accepting withdrawn keys.
    IgnoreWithdrawal,
    /// Aborts the requests in flight when the host stops.
    AbruptStop,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            reads: Reads::Replicas,
            rates: Rates::Escrow,
            connections: Connections::Shared,
            slots: Slots::Fair,
            failover: Failover::Review,
            failover_after: Duration::from_millis(1200),
            probe: Duration::from_millis(150),
            ejection: true,
            retries: true,
            heartbeat: Duration::from_millis(250),
            authority: Duration::from_millis(1500),
            fan_out: 8,
            seed: 1,
            defects: BTreeSet::new(),
        }
    }
}
