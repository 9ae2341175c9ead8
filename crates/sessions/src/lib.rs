//! Session host: serves callers' sessions over connections that stay open.
//!
//! All tasks run on one thread and share [`state::Host`]; [`run`] starts and stops them.
//!
//! - Requests: [`caller`] serves sessions, [`work`] and [`transaction`] execute their statements,
//!   [`connection`] and [`pool`] hold connections to targets, [`target`] the state of each target,
//!   [`quota`] limits rates.
//! - Copies of the platform's tables: [`feed`], [`follow`] and [`member`]; [`restore`] completes
//!   the table of records and members after the store was restored.
//! - Other hosts: [`peer`] exchanges heartbeats and loans of rate tokens.
//! - Groups: [`promote`] replaces primaries, with a [`survey`] of the targets' logs where replicas
//!   are synchronous; [`roster`] records which targets those are.
//! - Operation: [`maintenance`], [`stop`], [`status`], [`http`], [`event`] and [`metric`].

pub mod boot_clock;
pub mod caller;
pub mod connection;
pub mod event;
pub mod feed;
pub mod follow;
pub mod http;
pub mod maintenance;
pub mod member;
pub mod metric;
pub mod peer;
pub mod pool;
pub mod promote;
pub mod quota;
pub mod restore;
pub mod roster;
pub mod run;
pub mod settings;
pub mod state;
pub mod status;
pub mod stop;
pub mod survey;
pub mod target;
pub mod transaction;
pub mod work;
