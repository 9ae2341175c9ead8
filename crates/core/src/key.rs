//! API keys of client accounts: text format, issue and withdrawal.
//!
//! The configuration holds only the salted digest. The secret is known to the caller, and is
//! contained only in the response that issues the key and in requests that present it.

use crate::config::{Document, Edit, Key, KeyState};
use crate::id::{AccountId, KeyId};

/// First field of a caller's key.
const PREFIX: &str = "bv";
/// Length of a secret in characters.
pub const SECRET_CHARS: usize = 43;
/// Maximum length of a key's text in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// A parsed key, as a request presents it.
///
/// Implements neither `Debug` nor `Display`, so that it cannot be logged by accident.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Credential<'a> {
    /// Id of the key in the configuration.
    pub id: KeyId,
    /// The secret part, to be checked against the salted digest.
    pub secret: &'a str,
}

/// Parses a key's text; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Credential<'_>> {
    if text.len() > MAX_TEXT_BYTES {
        return None;
    }
    let mut fields = text.splitn(3, '_');
    if fields.next() != Some(PREFIX) {
        return None;
    }
    let id = fields.next()?;
    if id.starts_with('+') || (id.len() > 1 && id.starts_with('0')) {
        return None;
    }
    let id = id.parse().ok()?;
    let secret = fields.next().filter(|secret| !secret.is_empty())?;
    Some(Credential { id, secret })
}

/// Formats a key as text; the inverse of [`parse`].
pub fn format(id: KeyId, secret: &str) -> String {
    format!("{PREFIX}_{id}_{secret}")
}

/// Creates the edit that issues a key by its digest; `None` if the id is already in use.
pub fn issue(
    document: &Document,
    id: KeyId,
    account: AccountId,
    salt: String,
    digest: String,
) -> Option<Edit> {
    if document.keys.contains_key(&id) {
        return None;
    }
    Some(Edit::PutKey(id, Key { account, salt, digest, state: KeyState::Active }))
}

/// Creates the edit that withdraws a key; `None` if there is no such key.
pub fn withdraw(document: &Document, id: KeyId) -> Option<Edit> {
    let key = document.keys.get(&id)?;
    Some(Edit::PutKey(id, Key { state: KeyState::Withdrawn, ..key.clone() }))
}

/// Whether the key exists and has not been withdrawn.
pub fn is_active(document: &Document, id: KeyId) -> bool {
    document.keys.get(&id).is_some_and(|key| key.state == KeyState::Active)
}
