//! Authenticates callers: checks presented keys against the configuration.
//!
//! A key has the form `bv_<id>_<secret>`. The configuration holds a salt and a digest; digests are
//! compared in constant time. A presented key is never logged.

use crate::platform::hex;
use bergamotvale_core::config::{Document, KeyState};
use bergamotvale_core::id::{AccountId, KeyId};
use bergamotvale_core::refusal::Reason;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const PREFIX: &str = "bv_";

/// The key and client account that a caller has authenticated as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Id of the presented key.
    pub key: KeyId,
    /// Client account of the key.
    pub account: AccountId,
}

/// Identifies the caller by `presented`, the text after `Bearer`; fails if the key is unknown or
/// withdrawn.
pub fn identify(document: &Document, presented: &str) -> Result<Identity, Reason> {
    let identity = identify_ignoring_state(document, presented)?;
    match is_active(document, identity) {
        true => Ok(identity),
        false => Err(Reason::KeyWithdrawn),
    }
}

/// Identifies the caller like [`identify`], but accepts withdrawn keys.
pub fn identify_ignoring_state(document: &Document, presented: &str) -> Result<Identity, Reason> {
    let (id, secret) = split(presented).ok_or(Reason::KeyUnknown)?;
    let key = document.keys.get(&id).ok_or(Reason::KeyUnknown)?;
    let digest = digest(&key.salt, secret);
    if !bool::from(digest.as_bytes().ct_eq(key.digest.as_bytes())) {
        return Err(Reason::KeyUnknown);
    }
    Ok(Identity { key: id, account: key.account })
}

/// Whether the key of `identity` exists in `document` and is not withdrawn.
pub fn is_active(document: &Document, identity: Identity) -> bool {
    document.keys.get(&identity.key).is_some_and(|key| key.state == KeyState::Active)
}

/// SHA-256 over the text of the salt and the secret, in hexadecimal.
pub fn digest(salt: &str, secret: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(salt.as_bytes());
    hash.update(secret.as_bytes());
    hex(&hash.finalize())
}

/// The secret part of a presented key; `None` if the text does not have the form of a key.
pub fn secret(presented: &str) -> Option<&str> {
    split(presented).map(|(_, secret)| secret)
}

fn split(presented: &str) -> Option<(KeyId, &str)> {
    let (id, secret) = presented.strip_prefix(PREFIX)?.split_once('_')?;
    Some((id.parse().ok()?, secret))
}
