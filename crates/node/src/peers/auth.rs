//! Authentication between nodes by the cluster key.
//!
//! A tag covers the purpose, the receiver and the whole message. A copied message is therefore of no use at another
//! node or another process at the same address, and the calls between nodes have no further effect when repeated.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use hmac::{Hmac, Mac};
use model::Incarnation;
use sha2::Sha256;

/// Length of a tag in bytes.
pub(crate) const TAG_LEN: usize = 32;

/// Separates these tags from other uses of the key.
const DATAGRAM: &[u8] = b"bronzevale datagram 1\0";
const CALL: &[u8] = b"bronzevale call 1\0";

/// The cluster key; clones share it.
#[derive(Clone)]
pub(crate) struct Key(Arc<RwLock<Pair>>);

/// Key that signs, and the one that it replaced. Both are accepted, so that nodes which change their files a little
/// later are still understood.
#[derive(Clone)]
struct Pair {
    current: Vec<u8>,
    previous: Option<Vec<u8>>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").finish_non_exhaustive()
    }
}

impl Key {
    /// Wraps the bytes of the key file.
    pub(crate) fn new(key: Vec<u8>) -> Self {
        Self(Arc::new(RwLock::new(Pair {
            current: key,
            previous: None,
        })))
    }

    /// Signs with another key from now on.
    pub(crate) fn replace(&self, key: Vec<u8>) {
        let mut pair = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if pair.current != key {
            pair.previous = Some(std::mem::replace(&mut pair.current, key));
        }
    }

    /// Appends the tag of a datagram.
    pub(crate) fn seal(&self, mut datagram: Vec<u8>) -> Vec<u8> {
        let tag = mac(&self.read().current, &[DATAGRAM, &datagram])
            .finalize()
            .into_bytes();
        datagram.extend_from_slice(&tag);
        datagram
    }

    /// The datagram without its tag, if the tag is right.
    pub(crate) fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (datagram, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_LEN)?)?;
        self.accepts(&[DATAGRAM, datagram], tag).then_some(datagram)
    }

    /// Tag of a call to `receiver`.
    pub(crate) fn sign(&self, method: &str, receiver: Incarnation, message: &[u8]) -> String {
        let receiver = receiver.bits().to_be_bytes();
        let parts = call(method, &receiver, message);
        hex::encode(mac(&self.read().current, &parts).finalize().into_bytes())
    }

    /// Whether the tag of a call is right.
    pub(crate) fn verify(&self, method: &str, receiver: Incarnation, message: &[u8], tag: &[u8]) -> bool {
        let Ok(tag) = hex::decode(tag) else {
            return false;
        };
        let receiver = receiver.bits().to_be_bytes();
        self.accepts(&call(method, &receiver, message), &tag)
    }

    fn accepts(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let pair = self.read();
        let mut keys = std::iter::once(&pair.current).chain(&pair.previous);
        keys.any(|it| mac(it, parts).verify_slice(tag).is_ok())
    }

    fn read(&self) -> RwLockReadGuard<'_, Pair> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call<'a>(method: &'a str, receiver: &'a [u8], message: &'a [u8]) -> [&'a [u8]; 5] {
    [CALL, method.as_bytes(), b"\0", receiver, message]
}

fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    for part in parts {
        mac.update(part);
    }
    mac
}

#[cfg(test)]
mod tests;
