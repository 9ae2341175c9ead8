//! Invariants of the system, checked over recorded histories.
//!
//! The checks don't depend on how a history was recorded, so randomized searches, tests and the
//! benchmark share them. Each check takes plain records and returns the first violation. There are
//! thirteen invariants:
//!
//! | invariant | check |
//! |---|---|
//! | a session reads its own writes on any host | [`session::verify`] |
//! | a superseded primary acknowledges nothing | [`write::verify_durable`], [`write::verify_single_primary`] |
//! | a connection carries one transaction at a time | [`target::verify_not_interleaved`] |
//! | a request runs only for the account of its key | [`account::verify_account`] |
//! | no target receives a caller's key | [`target::verify_no_keys`] |
//! | a withdrawn key is rejected | [`account::verify_withdrawn`] |
//! | no account exceeds its rate and burst | [`admission::verify`] |
//! | a caller receives the complete answer to its request | [`answer::verify_complete`] |
//! | a write refused as not run did not run | [`write::verify_not_run`] |
//! | a write takes effect at most once | [`write::verify_at_most_once`] |
//! | a draining target receives no new transactions | [`target::verify_draining`] |
//! | a graceful stop interrupts no request | [`answer::verify_uninterrupted`] |
//! | an accepted configuration comes into force and is never reverted | [`change::verify`] |

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

/// Identifies a request within its history.
pub type OpId = u64;

/// An invariant that a history violates, with the offending record.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Violation {
    /// A read did not see a write that its session had acknowledged before.
    #[display("read {op} misses a write of its session")]
    StaleRead {
        /// Request of the read.
        op: OpId,
    },
    /// An acknowledged write is missing on a target.
    #[display("write {op} was acknowledged and is lost")]
    LostWrite {
        /// Request of the write.
        op: OpId,
    },
    /// Two targets acknowledged writes in the same term.
    #[display("two targets acknowledged in term {term}")]
    SplitBrain {
        /// Term that both used.
        term: Term,
    },
    /// A write took effect more than once.
    #[display("write {op} ran more than once")]
    DuplicateWrite {
        /// Request of the write.
        op: OpId,
    },
    /// A write that was refused as not run took effect.
    #[display("write {op} ran and was refused as not run")]
    FalseNotRun {
        /// Request of the write.
        op: OpId,
    },
    /// A connection carried statements of two open transactions, or a transaction used two
    /// connections.
    #[display("transaction {transaction} shared its connection or used more than one")]
    InterleavedTransactions {
        /// Transaction of the first such statement.
        transaction: u64,
    },
    /// A statement that a target received contained a caller's key.
    #[display("target {target} received a caller's key")]
    KeyExposed {
        /// Target that received it.
        target: TargetId,
    },
    /// A draining target received a new transaction.
    #[display("target {target} received a new transaction while draining")]
    WorkWhileDraining {
        /// Target that is draining.
        target: TargetId,
    },
    /// A request ran for an account other than that of the key it presented.
    #[display("request {op} ran for an account other than its key's")]
    WrongAccount {
        /// Request that ran.
        op: OpId,
    },
    /// A host accepted a key too long after its withdrawal.
    #[display("key {key} was accepted after its withdrawal")]
    WithdrawnKey {
        /// Key that was accepted.
        key: KeyId,
    },
    /// A caller received the answer to another request, or an incomplete answer.
    #[display("request {op} received another request's answer or an incomplete one")]
    WrongAnswer {
        /// Request that received it.
        op: OpId,
    },
    /// A graceful stop of a host interrupted a request.
    #[display("request {op} was interrupted by a graceful stop")]
    InterruptedRequest {
        /// Request that was interrupted.
        op: OpId,
    },
    /// A host returned to an earlier configuration version.
    #[display("host {host} reverted to version {version}")]
    Reverted {
        /// Host that returned to it.
        host: HostId,
        /// Version that it returned to.
        version: Version,
    },
    /// A host acted on a superseded configuration version for too long.
    #[display("host {host} still acts on version {version}")]
    NotInForce {
        /// Host that acted on it.
        host: HostId,
        /// Superseded version that it acted on.
        version: Version,
    },
}

/// Returns the violation of the first record that `is_violation` accepts.
fn check_each<T>(
    records: &[T],
    is_violation: impl Fn(&T) -> bool,
    violation: impl Fn(&T) -> Violation,
) -> Result<(), Violation> {
    match records.iter().find(|record| is_violation(record)) {
        Some(record) => Err(violation(record)),
        None => Ok(()),
    }
}
