//! Session tokens.
//!
//! A token binds an organisation and a requested name to a version. It is signed with a key that all nodes share, so
//! any node can check a token that another one issued and nothing is stored.

use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use model::{Name, Revision};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Longest token that is examined, in bytes; names are short, so a longer one is not ours.
const MAX_TOKEN_BYTES: usize = 1024;

/// Separates these signatures from other uses of the cluster key.
const CONTEXT: &[u8] = b"bronzevale session 1\0";

/// Contents of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Session {
    /// Organisation that started the session.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// Model, version or cascade that the caller requested.
    #[serde(rename = "n")]
    pub requested: Name,
    /// Version that the session keeps.
    #[serde(rename = "v")]
    pub version: Name,
    /// Configuration revision at which the session started.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// Keys that sign and check tokens.
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
    /// Keys in order of preference; the first one signs.
    pub(crate) fn new(keys: Vec<Vec<u8>>) -> Self {
        Self {
            keys: RwLock::new(keys),
        }
    }

    /// Replaces all keys.
    pub(crate) fn replace(&self, keys: Vec<Vec<u8>>) {
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Signs a session.
    pub(crate) fn sign(&self, session: &Session) -> Option<String> {
        let payload = serde_json::to_vec(session).ok()?;
        let tag = mac(self.read().first()?, &payload)?.finalize().into_bytes();
        let payload = URL_SAFE_NO_PAD.encode(payload);
        let tag = URL_SAFE_NO_PAD.encode(tag);
        Some(format!("{payload}.{tag}"))
    }

    /// Returns the session if one of the keys signed the token.
    pub(crate) fn check(&self, token: &str) -> Option<Session> {
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
    mac.update(CONTEXT);
    mac.update(payload);
    Some(mac)
}

#[cfg(test)]
mod tests;
