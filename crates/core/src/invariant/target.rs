//! What targets receive: whole transactions, no keys, and nothing new while they leave.

use super::{Broken, first};
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
    pub ends: bool,
    /// Text and parameters.
    pub text: String,
}

type Connection = (TargetId, u64);

/// A connection carries one transaction at a time, and a transaction stays on its connection.
pub fn verify_unmixed(statements: &[Statement]) -> Result<(), Broken> {
    let mut open: BTreeMap<Connection, u64> = BTreeMap::new();
    let mut homes: BTreeMap<u64, Connection> = BTreeMap::new();
    for statement in statements {
        let connection = (statement.target, statement.connection);
        let transaction = statement.transaction;
        let holder = *open.entry(connection).or_insert(transaction);
        let home = *homes.entry(transaction).or_insert(connection);
        if holder != transaction || home != connection {
            return Err(Broken::MixedTransactions { transaction });
        }
        if statement.ends {
            open.remove(&connection);
        }
    }
    Ok(())
}

/// No statement contains any of the callers' secrets.
pub fn verify_keyless(statements: &[Statement], secrets: &[&str]) -> Result<(), Broken> {
    let has_key = |s: &Statement| secrets.iter().any(|secret| s.text.contains(secret));
    first(statements, has_key, |statement| Broken::KeySeen { target: statement.target })
}

/// A target receives no new transaction once it has been leaving for longer than `bound`.
pub fn verify_leaving(
    statements: &[Statement],
    leaving: &BTreeMap<TargetId, Time>,
    bound: Duration,
) -> Result<(), Broken> {
    let mut begun: BTreeMap<u64, Time> = BTreeMap::new();
    for statement in statements {
        let start = *begun.entry(statement.transaction).or_insert(statement.at);
        let since = leaving.get(&statement.target);
        if since.is_some_and(|since| start > *since + bound) {
            return Err(Broken::WorkWhileLeaving { target: statement.target });
        }
    }
    Ok(())
}
