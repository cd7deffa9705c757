//! Session tokens.
//!
//! A token binds an organisation and a requested name to a version. It is signed with a key that all nodes
//! share, so any node can verify a token of another node, and no session state is stored.

use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use model::{Name, Revision};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Maximum size of a token. Names are short, so no issued token is longer.
const MAX_TOKEN_BYTES: usize = 1024;

/// Domain separation of these signatures from other uses of the cluster key.
const SIGNATURE_CONTEXT: &[u8] = b"bronzevale session 1\0";

/// Payload of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Session {
    /// Organisation of the session.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// Name of the requested model, version or cascade.
    #[serde(rename = "n")]
    pub requested: Name,
    /// Version that the session is pinned to.
    #[serde(rename = "v")]
    pub version: Name,
    /// Configuration revision at which the session started.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// Keys that sign and verify tokens.
pub(crate) struct Keys {
    /// The current key, followed by previous ones that are still accepted.
    keys: RwLock<Vec<Vec<u8>>>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({})", self.read().len())
    }
}

impl Keys {
    /// Creates the key set. The first key signs; all are accepted for verification.
    pub(crate) fn new(keys: Vec<Vec<u8>>) -> Self {
        Self {
            keys: RwLock::new(keys),
        }
    }

    /// Replaces all keys.
    pub(crate) fn replace(&self, keys: Vec<Vec<u8>>) {
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Returns the signed token of a session, or `None` without a usable key.
    pub(crate) fn sign(&self, session: &Session) -> Option<String> {
        let payload = serde_json::to_vec(session).ok()?;
        let tag = mac(self.read().first()?, &payload)?.finalize().into_bytes();
        let payload = URL_SAFE_NO_PAD.encode(payload);
        let tag = URL_SAFE_NO_PAD.encode(tag);
        Some(format!("{payload}.{tag}"))
    }

    /// Returns the session of a token if any of the keys signed it.
    pub(crate) fn verify(&self, token: &str) -> Option<Session> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let (payload, tag) = token.split_once('.')?;
        let payload = URL_SAFE_NO_PAD.decode(payload).ok()?;
        let tag = URL_SAFE_NO_PAD.decode(tag).ok()?;
        let signed = self
            .read()
            .iter()
            .filter_map(|key| mac(key, &payload))
            .any(|mac| mac.verify_slice(&tag).is_ok());
        if !signed {
            return None;
        }
        serde_json::from_slice(&payload).ok()
    }

    fn read(&self) -> RwLockReadGuard<'_, Vec<Vec<u8>>> {
        self.keys.read().unwrap_or_else(PoisonError::into_inner)
    }
}

fn mac(key: &[u8], payload: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(SIGNATURE_CONTEXT);
    mac.update(payload);
    Some(mac)
}

#[cfg(test)]
mod tests;
