//! Checks on the statements that targets receive: transactions don't share a connection, no
//! statement contains a key, and a draining target receives no new transaction.

use super::{Violation, check_each};
use crate::id::{TargetId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A statement as a target received it. Checks expect them in order of arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Time of arrival.
    pub at: Time,
    /// Target that received it.
    pub target: TargetId,
    /// Connection that carried it, unique within the target.
    pub connection: u64,
    /// Transaction that it belongs to; a single statement is a transaction of its own.
    pub transaction: u64,
    /// Whether it is the last statement of its transaction.
    pub ends_transaction: bool,
    /// Text of the statement with its parameters.
    pub text: String,
}

type Connection = (TargetId, u64);

/// Checks that a connection carries one transaction at a time and that a transaction stays on its
/// connection.
pub fn verify_not_interleaved(statements: &[Statement]) -> Result<(), Violation> {
    let mut active: BTreeMap<Connection, u64> = BTreeMap::new();
    let mut connections: BTreeMap<u64, Connection> = BTreeMap::new();
    for statement in statements {
        let connection = (statement.target, statement.connection);
        let transaction = statement.transaction;
        let active_transaction = *active.entry(connection).or_insert(transaction);
        let assigned = *connections.entry(transaction).or_insert(connection);
        if active_transaction != transaction || assigned != connection {
            return Err(Violation::InterleavedTransactions { transaction });
        }
        if statement.ends_transaction {
            active.remove(&connection);
        }
    }
    Ok(())
}

/// Checks that no statement contains any of the callers' `secrets`.
pub fn verify_no_keys(statements: &[Statement], secrets: &[&str]) -> Result<(), Violation> {
    let has_key = |s: &Statement| secrets.iter().any(|secret| s.text.contains(secret));
    check_each(statements, has_key, |statement| Violation::KeyExposed { target: statement.target })
}

/// Checks that no target receives a new transaction later than `bound` after its drain began.
///
/// `draining` holds the time at which the drain of each target began.
pub fn verify_draining(
    statements: &[Statement],
    draining: &BTreeMap<TargetId, Time>,
    bound: Duration,
) -> Result<(), Violation> {
    let mut starts: BTreeMap<u64, Time> = BTreeMap::new();
    for statement in statements {
        let start = *starts.entry(statement.transaction).or_insert(statement.at);
        let since = draining.get(&statement.target);
        if since.is_some_and(|since| start > *since + bound) {
            return Err(Violation::WorkWhileDraining { target: statement.target });
        }
    }
    Ok(())
}
