//! A host of sessions over open connections.
//!
//! One thread runs everything: callers' sessions ([`caller`]), the work they ask for ([`work`],
//! [`transaction`]), connections to targets ([`connection`], [`pool`]), the copies of the
//! platform's tables ([`follow`], [`feed`], [`member`]), heartbeats between hosts ([`peer`]), promotions ([`promote`],
//! [`survey`]) and the maintenance of all that ([`maintenance`]). [`state::Host`] is what they share; [`run`] starts and
//! stops them.

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
pub mod run;
pub mod settings;
pub mod state;
pub mod status;
pub mod survey;
pub mod target;
pub mod transaction;
pub mod work;
