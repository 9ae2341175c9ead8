//! Checks presented keys against the configuration.
//!
//! A key reads `bv_<id>_<secret>`. The configuration holds salt and digest; the comparison takes
//! the same time wherever the digests differ. A presented key is never logged.

use crate::platform::hex;
use bergamotvale_core::config::{Document, KeyState};
use bergamotvale_core::id::{AccountId, KeyId};
use bergamotvale_core::refusal::Reason;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const PREFIX: &str = "bv_";

/// Who a presented key speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// The key.
    pub key: KeyId,
    /// Its client account.
    pub account: AccountId,
}

/// The identity behind `presented`, the text after `Bearer`.
pub fn identify(document: &Document, presented: &str) -> Result<Identity, Reason> {
    let identity = identify_ignoring_state(document, presented)?;
    match stands(document, identity) {
        true => Ok(identity),
        false => Err(Reason::KeyWithdrawn),
    }
}

/// The identity behind `presented`, whether or not its key still works.
pub fn identify_ignoring_state(document: &Document, presented: &str) -> Result<Identity, Reason> {
    let (id, secret) = split(presented).ok_or(Reason::KeyUnknown)?;
    let key = document.keys.get(&id).ok_or(Reason::KeyUnknown)?;
    let digest = digest(&key.salt, secret);
    if !bool::from(digest.as_bytes().ct_eq(key.digest.as_bytes())) {
        return Err(Reason::KeyUnknown);
    }
    Ok(Identity { key: id, account: key.account })
}

/// Whether `identity` still stands in `document`.
pub fn stands(document: &Document, identity: Identity) -> bool {
    document.keys.get(&identity.key).is_some_and(|key| key.state == KeyState::Active)
}

/// SHA-256 of salt and secret, hexadecimal. The salt is hashed as its text.
pub fn digest(salt: &str, secret: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(salt.as_bytes());
    hash.update(secret.as_bytes());
    hex(&hash.finalize())
}

/// The secret part of a presented key.
pub fn secret(presented: &str) -> Option<&str> {
    split(presented).map(|(_, secret)| secret)
}

fn split(presented: &str) -> Option<(KeyId, &str)> {
    let (id, secret) = presented.strip_prefix(PREFIX)?.split_once('_')?;
    Some((id.parse().ok()?, secret))
}
