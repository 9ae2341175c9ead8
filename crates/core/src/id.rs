//! Compact ids for everything that hosts refer to in messages.
//!
//! The configuration contains the human-readable names; these ids are the keys of its tables.

use std::time::Duration;

/// Id of a host of bergamotvale.
pub type HostId = u32;
/// Incarnation of a host: increases each time that the host starts.
pub type Incarnation = u64;
/// Id of a failure domain: hosts and targets that may fail together.
pub type FailureDomainId = u16;
/// Id of a client account.
pub type AccountId = u32;
/// Id of a client account's key.
pub type KeyId = u64;
/// Id of a service: a database group under the name that callers use.
pub type ServiceId = u32;
/// Id of a target, unique within its service.
pub type TargetId = u16;
/// Id of an interactive transaction; the high 32 bits are the id of the host that owns it.
pub type TransactionId = u64;
/// Id of a request, unique within its host.
pub type RequestId = u64;
/// Version number of the configuration.
pub type Version = u64;
/// Version number of the fleet row: increases with each change of configuration or members.
pub type Epoch = u64;
/// Id of the plan of a planned change.
pub type PlanId = u64;
/// Id of a promotion attempt for a group's term, unique to one attempt of one host.
pub type PromoterId = i64;

/// Monotonic time since a starting point that is private to the process.
///
/// Decisions never use wall-clock time, except [`prune_before`](crate::idempotency::prune_before).
pub type Time = Duration;
