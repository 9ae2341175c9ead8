//! Writes that run at most once.
//!
//! The outcome of a write with an idempotency key is a row of the same database, written in the
//! same transaction as the write. The row's primary key is (client account, idempotency key), so
//! that the database itself lets at most one of several tries commit; and it is in the log at the
//! write's own position, so that a failover keeps or loses both together.

use crate::id::{AccountId, ServiceId};
use crate::refusal::{Reason, Refusal};
use crate::statement::{Statement, Value};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeSet;
use std::time::Duration;

/// Table of outcomes in each service's database.
pub const TABLE: &str = "bergamotvale_outcomes";
/// Characters of an idempotency key.
pub const MAX_KEY_CHARS: usize = 128;
/// Time beyond the retention for which a row stays, for hosts whose clocks differ.
pub const PRUNE_MARGIN: Duration = Duration::from_secs(3600);

/// Digest over a request's content, hexadecimal.
pub type Digest = String;

/// A row of the table of outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Digest of the request that wrote it.
    pub digest: Digest,
    /// The outcome, encoded.
    pub outcome: String,
}

/// What to do with a repeated request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// No earlier try took effect: run it.
    Run,
    /// Answer with the first outcome, once its position is confirmed in the present term.
    Replay(String),
    /// The key came with other content before.
    Mismatch,
}

/// Decides from the row that was found under the request's key.
///
/// A row stays in force until it is pruned, however old.
pub fn decide(row: Option<Row>, digest: &str) -> Decision {
    match row {
        None => Decision::Run,
        Some(row) if row.digest == digest => Decision::Replay(row.outcome),
        Some(_) => Decision::Mismatch,
    }
}

/// Says whether `key` can be an idempotency key.
pub fn verify(key: &str) -> Result<(), Refusal> {
    let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_CHARS || !visible {
        let detail = "idempotency-key must be 1 to 128 visible ASCII characters";
        return Err(Refusal::new(Reason::Malformed, detail));
    }
    Ok(())
}

/// Seconds since the Unix epoch before which rows may be pruned.
///
/// Wall-clock time decides only here, where a margin far above clock skew can be given.
pub fn prune_before(unix_time: Duration, retention: Duration) -> i64 {
    let before = unix_time.saturating_sub(retention + PRUNE_MARGIN);
    i64::try_from(before.as_secs()).unwrap_or(i64::MAX)
}

/// Digest of a request's content.
pub fn digest(account: AccountId, service: ServiceId, statement: &Statement) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(account.to_be_bytes());
    hasher.update(service.to_be_bytes());
    update_bytes(&mut hasher, statement.sql.as_bytes());
    for value in &statement.params {
        update_value(&mut hasher, value);
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Requests with an idempotency key that run on this host now.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    keys: BTreeSet<(ServiceId, AccountId, String)>,
}

impl InFlight {
    /// Nothing runs.
    pub fn new() -> InFlight {
        InFlight::default()
    }

    /// Enters a request; refused while another one with its key runs here.
    pub fn start(
        &mut self,
        service: ServiceId,
        account: AccountId,
        key: &str,
    ) -> Result<(), Refusal> {
        if self.keys.insert((service, account, key.to_owned())) {
            return Ok(());
        }
        let detail = "a request with this idempotency key is running";
        Err(Refusal::new(Reason::IdempotencyInProgress, detail))
    }

    /// Removes a request that has ended.
    pub fn finish(&mut self, service: ServiceId, account: AccountId, key: &str) {
        self.keys.remove(&(service, account, key.to_owned()));
    }
}

// Each field carries its kind and length, so that no two requests hash alike by concatenation.
fn update_bytes(hasher: &mut Sha256, bytes: &[u8]) {
    hasher.update((bytes.len() as u64).to_be_bytes());
    hasher.update(bytes);
}

fn update_value(hasher: &mut Sha256, value: &Value) {
    match value {
        Value::Null => hasher.update([0]),
        Value::Bool(flag) => hasher.update([1, u8::from(*flag)]),
        Value::Int(number) => {
            hasher.update([2]);
            hasher.update(number.to_be_bytes());
        }
        Value::Float(number) => {
            hasher.update([3]);
            hasher.update(number.to_bits().to_be_bytes());
        }
        Value::Text(text) => {
            hasher.update([4]);
            update_bytes(hasher, text.as_bytes());
        }
        Value::Bytes(bytes) => {
            hasher.update([5]);
            update_bytes(hasher, bytes);
        }
    }
}
