//! Refusals as problem documents (RFC 9457).

use bergamotvale_core::refusal::{Ran, Reason};
use derive_more::Error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Characters of a foreign answer that are shown.
const MAX_DETAIL_CHARS: usize = 300;

/// A refusal of a host.
///
/// `reason` stays text, so that a newer host's reasons can be shown too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Problem {
    /// HTTP status.
    #[serde(default)]
    pub status: u16,
    /// Stable reason.
    #[serde(default)]
    pub reason: String,
    /// Whether the request took effect.
    #[serde(default)]
    pub ran: Option<Ran>,
    /// One sentence for people.
    #[serde(default)]
    pub detail: String,
    /// What changed since a stale plan was made.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<String>,
    /// When asking again makes sense.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Reads the body of an answer with `status`.
    pub fn new(status: u16, retry_after: Option<Duration>, body: &[u8]) -> Problem {
        let mut problem = serde_json::from_slice(body).unwrap_or_else(|_| foreign(body));
        problem.status = status;
        problem.retry_after = retry_after;
        problem
    }

    /// The reason, when this version knows it.
    pub fn known_reason(&self) -> Option<Reason> {
        Reason::ALL.into_iter().find(|reason| reason.to_string() == self.reason)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = if self.reason.is_empty() { "no reason" } else { &self.reason };
        write!(f, "{reason} ({})", self.status)?;
        if let Some(ran) = self.ran {
            write!(f, ", ran: {ran}")?;
        }
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        if !self.changed.is_empty() {
            write!(f, "; changed since: {}", self.changed.join(", "))?;
        }
        Ok(())
    }
}

/// A body that is no problem document.
fn foreign(body: &[u8]) -> Problem {
    let detail = String::from_utf8_lossy(body).chars().take(MAX_DETAIL_CHARS).collect();
    Problem { detail, ..Problem::default() }
}
