//! How decisions are taken, on the data path and between hosts.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeSet;
use std::time::Duration;

/// How decisions are taken; the defaults are what the project stands for, the others baselines.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Where reads go.
    pub reads: Reads,
    /// How rates are counted over hosts.
    pub rates: Rates,
    /// How connections are divided between hosts.
    pub connections: Connections,
    /// How slots are handed to client accounts.
    pub slots: Slots,
    /// Whose word deposes a primary.
    pub failover: Failover,
    /// Time for which a primary must be failing before it is deposed.
    #[serde_as(as = "Span")]
    pub failover_after: Duration,
    /// Time between two probes of a target.
    #[serde_as(as = "Span")]
    pub probe: Duration,
    /// Whether targets that fail their work are passed over.
    pub ejection: bool,
    /// Whether safe requests are sent again.
    pub retries: bool,
    /// Time between two heartbeats to a peer.
    #[serde_as(as = "Span")]
    pub heartbeat: Duration,
    /// Time for which knowledge of the shared state may be acted on.
    #[serde_as(as = "Span")]
    pub authority: Duration,
    /// Peers that one host probes and pushes to; all of them in a fleet of no more.
    pub fan_out: usize,
    /// Seed of jitter and tie breaks.
    pub seed: u64,
    /// Deliberate defects, for showing that checks can fail; settings cannot name them.
    #[serde(skip)]
    pub defects: BTreeSet<Defect>,
}

/// Where reads go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// To any target that is fresh enough.
    Replicas,
    /// To the primary only.
    Primary,
}

/// How rates are counted over hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rates {
    /// Shares that hosts lend to each other.
    Escrow,
    /// Fixed equal shares.
    Static,
}

/// How connections are divided between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Connections {
    /// Shares that move to demand.
    Shared,
    /// Fixed equal shares.
    Static,
}

/// How slots are handed to client accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Slots {
    /// Weighted max-min between client accounts.
    Fair,
    /// First come, first served.
    Arrival,
}

/// Whose word deposes a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failover {
    /// A majority of the hosts that watch the group.
    Review,
    /// Any host's own.
    Single,
    /// Nobody's.
    Off,
}

/// A deliberate defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Defect {
    /// Acknowledges a write that only the primary holds.
    AcknowledgeUnconfirmed,
    /// Serves session reads from any target.
    IgnoreToken,
    /// Sends an unkeyed write again after a lost answer.
    RetryUnkeyed,
    /// Gives every host the whole rate.
    LocalRate,
    /// Promotes without asking for a term.
    SkipFence,
    /// Goes on accepting withdrawn keys.
    IgnoreWithdrawal,
    /// Cuts what runs when the host stops.
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
