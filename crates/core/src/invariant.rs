//! Checks of what must always hold, over recorded histories.
//!
//! The checks know nothing of how the history came about; searches and tests share them. A check
//! takes plain records and answers with the first one that broke its invariant. The thirteen:
//!
//! | invariant | check |
//! |---|---|
//! | a session reads its own writes on any host | [`session::verify`] |
//! | a superseded primary acknowledges nothing | [`write::verify_durable`], [`write::verify_single_primary`] |
//! | transactions don't mix on a connection | [`target::verify_not_interleaved`] |
//! | a request runs for its key's account only | [`account::verify_account`] |
//! | no target sees a key | [`target::verify_no_keys`] |
//! | a withdrawn key stops working | [`account::verify_withdrawn`] |
//! | no account exceeds rate and burst | [`admission::verify`] |
//! | each caller gets its own whole answer | [`answer::verify_complete`] |
//! | "not run" is true | [`write::verify_not_run`] |
//! | at most once | [`write::verify_at_most_once`] |
//! | a leaving target receives no new work | [`target::verify_draining`] |
//! | a planned stop cuts no request | [`answer::verify_uninterrupted`] |
//! | an accepted configuration comes into force and never reverts | [`change::verify`] |

pub mod account;
pub mod admission;
pub mod answer;
pub mod change;
pub mod session;
pub mod target;
pub mod write;

use crate::id::{HostId, KeyId, TargetId, Version};
use crate::log::Term;
use derive_more::{Display, Error};

/// Number of a request within its history.
pub type OpId = u64;

/// An invariant that a history broke, and where.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Violation {
    /// A read missed an acknowledged write of its session.
    #[display("read {op} misses a write of its session")]
    StaleRead {
        /// The read.
        op: OpId,
    },
    /// An acknowledged write is gone.
    #[display("write {op} was acknowledged and is lost")]
    LostWrite {
        /// The write.
        op: OpId,
    },
    /// Two targets acknowledged in one term.
    #[display("two targets acknowledged in term {term}")]
    SplitBrain {
        /// The term.
        term: Term,
    },
    /// A write took effect more than once.
    #[display("write {op} ran more than once")]
    DuplicateWrite {
        /// The write.
        op: OpId,
    },
    /// A write was refused as not run and took effect.
    #[display("write {op} ran and was refused as not run")]
    FalseNotRun {
        /// The write.
        op: OpId,
    },
    /// Statements of two transactions met on one connection, or one transaction used two.
    #[display("statement of transaction {transaction} mixed with another")]
    InterleavedTransactions {
        /// The transaction.
        transaction: u64,
    },
    /// A target saw a caller's key.
    #[display("target {target} saw a caller's key")]
    KeyExposed {
        /// The target.
        target: TargetId,
    },
    /// A leaving target received new work.
    #[display("target {target} received new work while leaving")]
    WorkWhileDraining {
        /// The target.
        target: TargetId,
    },
    /// A request ran for an account whose key did not come with it.
    #[display("request {op} ran for another account than its key's")]
    WrongAccount {
        /// The request.
        op: OpId,
    },
    /// A withdrawn key was accepted.
    #[display("key {key} worked after its withdrawal")]
    WithdrawnKey {
        /// The key.
        key: KeyId,
    },
    /// A caller got another request's answer, or a part of its own.
    #[display("request {op} got an answer that is not wholly its own")]
    WrongAnswer {
        /// The request.
        op: OpId,
    },
    /// A planned stop cut a request.
    #[display("request {op} was cut by a planned stop")]
    InterruptedRequest {
        /// The request.
        op: OpId,
    },
    /// A host went back to an earlier configuration.
    #[display("host {host} reverted to version {version}")]
    Reverted {
        /// The host.
        host: HostId,
        /// The version that it went back to.
        version: Version,
    },
    /// A host acted on an old configuration for too long.
    #[display("host {host} still acts on version {version}")]
    NotInForce {
        /// The host.
        host: HostId,
        /// The version that it acted on.
        version: Version,
    },
}

/// Answers with the first of `records` that is an offender.
fn first<T>(
    records: &[T],
    is_offender: impl Fn(&T) -> bool,
    broken: impl Fn(&T) -> Violation,
) -> Result<(), Violation> {
    match records.iter().find(|record| is_offender(record)) {
        Some(record) => Err(broken(record)),
        None => Ok(()),
    }
}
