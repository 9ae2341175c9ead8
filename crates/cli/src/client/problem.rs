//! Refusals of a host as problem documents (RFC 9457).

use bergamotvale_core::refusal::{Ran, Reason};
use derive_more::Error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Maximum length of the detail that is taken from a body that is no problem document.
const MAX_DETAIL_CHARS: usize = 300;

/// Refusal of a request by a host.
///
/// `reason` is a string, so that reasons which only a newer host knows can be printed too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Problem {
    /// HTTP status code of the response.
    #[serde(default)]
    pub status: u16,
    /// Name of the reason as in [`Reason`]; empty if the body is no problem document.
    #[serde(default)]
    pub reason: String,
    /// Whether the request may have run; None if the host did not state it.
    #[serde(default)]
    pub ran: Option<Ran>,
    /// Explanation for people.
    #[serde(default)]
    pub detail: String,
    /// Changes of the configuration since the refused plan was made.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<String>,
    /// Time after which a retry makes sense, from the header `Retry-After`.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Parses the body of a response with `status`; a foreign body becomes the detail.
    pub fn new(status: u16, retry_after: Option<Duration>, body: &[u8]) -> Problem {
        let mut problem = serde_json::from_slice(body).unwrap_or_else(|_| from_foreign_body(body));
        problem.status = status;
        problem.retry_after = retry_after;
        problem
    }

    /// Returns the reason. None if this version doesn't know it.
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

/// Makes a problem of a body that is no problem document, such as that of a proxy.
fn from_foreign_body(body: &[u8]) -> Problem {
    let detail = String::from_utf8_lossy(body).chars().take(MAX_DETAIL_CHARS).collect();
    Problem { detail, ..Problem::default() }
}
