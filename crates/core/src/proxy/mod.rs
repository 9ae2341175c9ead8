//! Decisions of a host that serves sessions over open connections.
//!
//! A session belongs to one caller's connection. It has values, prepared statements and at most one
//! open transaction, all of which end with the connection. The targets that serve it form groups
//! with asynchronous replication and numbered commits. These modules decide who may use which
//! target, what a read may see, which target is promoted and what a caller is answered; the I/O is
//! in the crate `bergamotvale-sessions`.

pub mod answer;
pub mod budget;
pub mod capacity;
pub mod catalog;
pub mod catch_up;
pub mod cursor;
pub mod directory;
pub mod evacuation;
pub mod evidence;
pub mod failover;
pub mod floor;
pub mod home;
pub mod lease;
pub mod ownership;
pub mod record;
pub mod restore;
pub mod revision;
pub mod roster;
pub mod select;
pub mod session;
pub mod statement;
pub mod stop;
pub mod survey;
pub mod table;
