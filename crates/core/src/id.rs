//! Small copyable ids for everything that is named between hosts.
//!
//! Names that people read live in the configuration; the ids here index its tables.

use std::time::Duration;

/// A host of bergamotvale.
pub type HostId = u32;
/// One run of a host: grows each time that the host starts.
pub type Incarnation = u64;
/// A failure domain.
pub type FailureDomainId = u16;
/// A client account.
pub type AccountId = u32;
/// A key of a client account.
pub type KeyId = u64;
/// A service: one database group and its callers' name for it.
pub type ServiceId = u32;
/// A target within its service.
pub type TargetId = u16;
/// An interactive transaction; the high 32 bits are the host that owns it.
pub type TransactionId = u64;
/// A request within its host.
pub type RequestId = u64;
/// A version of the configuration.
pub type Version = u64;
/// A version of the fleet row: grows with each change of configuration or of members.
pub type Epoch = u64;
/// A plan of a planned change.
pub type PlanId = u64;
/// A candidate for a group's term: unique to one attempt of one host.
pub type PromoterId = i64;

/// Monotone time since an epoch of the process's own.
///
/// Wall-clock time never enters a decision.
pub type Time = Duration;
