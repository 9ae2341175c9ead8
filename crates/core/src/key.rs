//! Keys of client accounts: text form, issue, withdrawal.
//!
//! Only the salted digest enters the configuration. The secret exists in the caller's hands, in
//! the one answer that shows it, and in the request that presents it.

use crate::config::{Document, Edit, Key, KeyState};
use crate::id::{AccountId, KeyId};

/// First field of a caller's key.
const PREFIX: &str = "bv";
/// Characters of a secret.
pub const SECRET_CHARS: usize = 43;
/// Most bytes of a key's text.
pub const MAX_TEXT_BYTES: usize = 128;

/// A presented key, taken apart.
///
/// Has no `Debug` or `Display`, so that it cannot reach a log by accident.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Credential<'a> {
    /// Which key.
    pub id: KeyId,
    /// The secret.
    pub secret: &'a str,
}

/// Takes a key's text apart.
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

/// The text of a key.
pub fn format(id: KeyId, secret: &str) -> String {
    format!("{PREFIX}_{id}_{secret}")
}

/// The edit that issues a key by its digest; none when the id is taken.
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

/// The edit that withdraws a key; none when there is no such key.
pub fn withdraw(document: &Document, id: KeyId) -> Option<Edit> {
    let key = document.keys.get(&id)?;
    Some(Edit::PutKey(id, Key { state: KeyState::Withdrawn, ..key.clone() }))
}

/// Whether `id` works.
pub fn is_active(document: &Document, id: KeyId) -> bool {
    document.keys.get(&id).is_some_and(|key| key.state == KeyState::Active)
}
