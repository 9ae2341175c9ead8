//! What an operator wants, before it becomes a plan.

use bergamotvale_core::id::{HostId, KeyId, TargetId};
use serde::{Deserialize, Serialize};

/// An intent, as the operators' interface carries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Makes a target its service's primary.
    Promote {
        /// Name of the service.
        service: String,
        /// The target.
        target: TargetId,
    },
    /// Gives a target no new work.
    DrainTarget {
        /// Name of the service.
        service: String,
        /// The target.
        target: TargetId,
    },
    /// Gives a drained target work again.
    RestoreTarget {
        /// Name of the service.
        service: String,
        /// The target.
        target: TargetId,
    },
    /// Takes a host out of service.
    DrainHost {
        /// The host.
        host: HostId,
    },
    /// Issues a new key and withdraws an old one.
    Rotate {
        /// Name of the client account.
        account: String,
        /// The key to withdraw.
        key_id: KeyId,
    },
    /// Changes a client account's rate.
    Rate {
        /// Name of the client account.
        account: String,
        /// Requests a second.
        rate: u32,
        /// Requests above the rate at once.
        burst: u32,
    },
}
