//! Session host: serves callers' sessions over connections that stay open.
//!
//! All tasks run on one thread and share [`state::Host`]; [`run`] starts and stops them.
//!
//! - [`caller`] serves sessions: their statements, transactions and rates.
//! - [`pool`] holds connections to targets, and the state of each target.
//! - [`forward`] sends attempts to the hosts that own a target's connections.
//! - [`group`] replaces primaries, with a survey of the targets' logs where replicas are
//!   synchronous.
//! - [`evacuation`] keeps statements from targets in evacuated failure domains.
//! - [`fleet`] copies the platform's tables and exchanges heartbeats and loans of rate tokens with
//!   other hosts.
//! - [`overload`] bounds what callers make the host hold.
//! - Operation: [`maintenance`], [`stop`], [`status`], [`http`], [`event`] and [`metric`].

pub mod boot_clock;
pub mod caller;
pub mod evacuation;
pub mod event;
pub mod fleet;
pub mod forward;
pub mod group;
pub mod http;
pub mod maintenance;
pub mod metric;
pub mod overload;
pub mod pool;
pub mod run;
pub mod settings;
pub mod state;
pub mod status;
pub mod stop;
