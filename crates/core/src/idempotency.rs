//! Idempotency of writes: a write with an idempotency key takes effect at most once.
//!
//! The outcome of such a write is stored as a row of the same database, in the same transaction as
//! the write. The row's primary key is (client account, idempotency key), so the database lets at
//! most one of several attempts commit. The row is in the log at the write's own position, so a
//! failover keeps or loses both together.

use crate::id::{AccountId, ServiceId};
use crate::refusal::{Reason, Refusal};
use crate::statement::{Statement, Value};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeSet;
use std::time::Duration;

/// Name of the table of outcomes in each service's database.
pub const TABLE: &str = "bergamotvale_outcomes";
/// Maximum length of an idempotency key.
pub const MAX_KEY_CHARS: usize = 128;
/// Time for which a row is kept beyond the retention, to allow for clock skew between hosts.
pub const PRUNE_MARGIN: Duration = Duration::from_secs(3600);

/// Hexadecimal SHA-256 digest of a request's content.
pub type Digest = String;

/// A row of the table of outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Digest of the request that wrote it.
    pub digest: Digest,
    /// The encoded outcome, which is returned to a repeated request.
    pub outcome: String,
}

/// What to do with a repeated request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run it: no earlier attempt took effect.
    Run,
    /// Return the stored outcome, once its position is confirmed in the current term.
    Replay(String),
    /// The key was used before for a request with different content.
    Mismatch,
}

/// Decides what to do with a request, given the row that was found under its key.
///
/// A row is valid until it is pruned, regardless of its age.
pub fn decide(row: Option<Row>, digest: &str) -> Decision {
    match row {
        None => Decision::Run,
        Some(row) if row.digest == digest => Decision::Replay(row.outcome),
        Some(_) => Decision::Mismatch,
    }
}

/// Checks that `key` is valid as an idempotency key.
pub fn verify(key: &str) -> Result<(), Refusal> {
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_CHARS || !is_visible {
        let detail = "idempotency-key must be 1 to 128 visible ASCII characters";
        return Err(Refusal::new(Reason::Malformed, detail));
    }
    Ok(())
}

/// Returns the time, in seconds since the Unix epoch, before which rows may be pruned.
///
/// This is the only decision based on wall-clock time; [`PRUNE_MARGIN`] is far above clock skew.
pub fn prune_before(unix_time: Duration, retention: Duration) -> i64 {
    let before = unix_time.saturating_sub(retention + PRUNE_MARGIN);
    i64::try_from(before.as_secs()).unwrap_or(i64::MAX)
}

/// Computes the digest of a request's content: account, service, SQL text and parameters.
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

/// Requests with an idempotency key that are in flight on this host.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    keys: BTreeSet<(ServiceId, AccountId, String)>,
}

impl InFlight {
    /// Creates an empty set of requests.
    pub fn new() -> InFlight {
        InFlight::default()
    }

    /// Records the start of a request; refused while another one with its key is in flight here.
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

    /// Records the end of a request, so that its key may be used again.
    pub fn finish(&mut self, service: ServiceId, account: AccountId, key: &str) {
        self.keys.remove(&(service, account, key.to_owned()));
    }
}

// Variable-length fields are prefixed with their length, and values with a tag of their type, so
// that different requests don't hash alike by concatenation.
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
