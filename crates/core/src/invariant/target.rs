//! What targets receive: whole transactions, no keys, and nothing new while they leave.

use super::{Violation, first};
use crate::id::{TargetId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A statement as a target received it, in order of arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// When it arrived.
    pub at: Time,
    /// The target.
    pub target: TargetId,
    /// Connection within the target.
    pub connection: u64,
    /// Transaction that it belongs to; a statement alone is one of its own.
    pub transaction: u64,
    /// Whether it ends its transaction.
    pub ends_transaction: bool,
    /// Text and parameters.
    pub text: String,
}

type Connection = (TargetId, u64);

/// A connection carries one transaction at a time, and a transaction stays on its connection.
pub fn verify_not_interleaved(statements: &[Statement]) -> Result<(), Violation> {
    let mut active: BTreeMap<Connection, u64> = BTreeMap::new();
    let mut connections: BTreeMap<u64, Connection> = BTreeMap::new();
    for statement in statements {
        let connection = (statement.target, statement.connection);
        let transaction = statement.transaction;
        let holder = *active.entry(connection).or_insert(transaction);
        let assigned = *connections.entry(transaction).or_insert(connection);
        if holder != transaction || assigned != connection {
            return Err(Violation::InterleavedTransactions { transaction });
        }
        if statement.ends_transaction {
            active.remove(&connection);
        }
    }
    Ok(())
}

/// No statement contains any of the callers' secrets.
pub fn verify_no_keys(statements: &[Statement], secrets: &[&str]) -> Result<(), Violation> {
    let has_key = |s: &Statement| secrets.iter().any(|secret| s.text.contains(secret));
    first(statements, has_key, |statement| Violation::KeyExposed { target: statement.target })
}

/// A target receives no new transaction once it has been leaving for longer than `bound`.
pub fn verify_draining(
    statements: &[Statement],
    leaving: &BTreeMap<TargetId, Time>,
    bound: Duration,
) -> Result<(), Violation> {
    let mut starts: BTreeMap<u64, Time> = BTreeMap::new();
    for statement in statements {
        let start = *starts.entry(statement.transaction).or_insert(statement.at);
        let since = leaving.get(&statement.target);
        if since.is_some_and(|since| start > *since + bound) {
            return Err(Violation::WorkWhileDraining { target: statement.target });
        }
    }
    Ok(())
}
