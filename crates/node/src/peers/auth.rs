//! Message authentication between nodes with the cluster key.
//!
//! The tag of a call covers its purpose, the receiver and the whole message, so a replayed call is rejected
//! by any other node and by another process at the same address. The calls between nodes are idempotent, so a
//! replay to the same process has no further effect.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use hmac::{Hmac, Mac};
use model::Incarnation;
use sha2::Sha256;

/// Length of a tag.
pub(crate) const TAG_BYTES: usize = 32;

/// Domain separation between the tags of datagrams and calls and any other use of the key.
const DATAGRAM_CONTEXT: &[u8] = b"bronzevale datagram 1\0";
const CALL_CONTEXT: &[u8] = b"bronzevale call 1\0";

/// The cluster key; clones share the same state.
#[derive(Clone)]
pub(crate) struct ClusterKey(Arc<RwLock<Keys>>);

/// The signing key and the key that it replaced. Both are accepted, because the key files of the nodes do not
/// change at the same time.
#[derive(Clone)]
struct Keys {
    current: Vec<u8>,
    previous: Option<Vec<u8>>,
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").finish_non_exhaustive()
    }
}

impl ClusterKey {
    /// Creates a key from the contents of the key file.
    pub(crate) fn new(key: Vec<u8>) -> Self {
        Self(Arc::new(RwLock::new(Keys {
            current: key,
            previous: None,
        })))
    }

    /// Changes the signing key; the current one is still accepted.
    pub(crate) fn replace(&self, key: Vec<u8>) {
        let mut keys = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if keys.current != key {
            keys.previous = Some(std::mem::replace(&mut keys.current, key));
        }
    }

    /// Appends the tag to a datagram.
    pub(crate) fn sign_datagram(&self, mut datagram: Vec<u8>) -> Vec<u8> {
        let tag = mac(&self.read().current, &[DATAGRAM_CONTEXT, &datagram])
            .finalize()
            .into_bytes();
        datagram.extend_from_slice(&tag);
        datagram
    }

    /// Returns the datagram without its tag if the tag is valid.
    pub(crate) fn verify_datagram<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (datagram, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        self.accepts(&[DATAGRAM_CONTEXT, datagram], tag)
            .then_some(datagram)
    }

    /// Returns the tag of a call to `receiver`, in hexadecimal.
    pub(crate) fn sign_call(&self, method: &str, receiver: Incarnation, message: &[u8]) -> String {
        let receiver = receiver.bits().to_be_bytes();
        let parts = call_parts(method, &receiver, message);
        hex::encode(mac(&self.read().current, &parts).finalize().into_bytes())
    }

    /// Whether the tag of a call is valid.
    pub(crate) fn verify_call(
        &self,
        method: &str,
        receiver: Incarnation,
        message: &[u8],
        tag: &[u8],
    ) -> bool {
        let Ok(tag) = hex::decode(tag) else {
            return false;
        };
        let receiver = receiver.bits().to_be_bytes();
        self.accepts(&call_parts(method, &receiver, message), &tag)
    }

    fn accepts(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let keys = self.read();
        let mut keys = std::iter::once(&keys.current).chain(&keys.previous);
        keys.any(|it| mac(it, parts).verify_slice(tag).is_ok())
    }

    fn read(&self) -> RwLockReadGuard<'_, Keys> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call_parts<'a>(method: &'a str, receiver: &'a [u8], message: &'a [u8]) -> [&'a [u8]; 5] {
    [CALL_CONTEXT, method.as_bytes(), b"\0", receiver, message]
}

fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
    for part in parts {
        mac.update(part);
    }
    mac
}

#[cfg(test)]
mod tests;
