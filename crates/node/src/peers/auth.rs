//! Authentication between nodes by the cluster key.
//!
//! A tag covers the purpose, the receiver and the whole message. A copied message is therefore of no use at another
//! node or another process at the same address, and the calls between nodes have no further effect when repeated.

use hmac::{Hmac, Mac};
use model::Incarnation;
use sha2::Sha256;

/// Length of a tag in bytes.
pub(crate) const TAG_LEN: usize = 32;

/// Separates these tags from other uses of the key.
const DATAGRAM: &[u8] = b"bronzevale datagram 1\0";
const CALL: &[u8] = b"bronzevale call 1\0";

/// The cluster key.
#[derive(Clone)]
pub(crate) struct Key(Vec<u8>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").finish_non_exhaustive()
    }
}

impl Key {
    /// Wraps the bytes of the key file.
    pub(crate) fn new(key: Vec<u8>) -> Self {
        Self(key)
    }

    /// Appends the tag of a datagram.
    pub(crate) fn seal(&self, mut datagram: Vec<u8>) -> Vec<u8> {
        let tag = self.mac(&[DATAGRAM, &datagram]).finalize().into_bytes();
        datagram.extend_from_slice(&tag);
        datagram
    }

    /// The datagram without its tag, if the tag is right.
    pub(crate) fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (datagram, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_LEN)?)?;
        let mac = self.mac(&[DATAGRAM, datagram]);
        mac.verify_slice(tag).is_ok().then_some(datagram)
    }

    /// Tag of a call to `receiver`.
    pub(crate) fn sign(&self, method: &str, receiver: Incarnation, message: &[u8]) -> String {
        hex::encode(self.call(method, receiver, message).finalize().into_bytes())
    }

    /// Whether the tag of a call is right.
    pub(crate) fn verify(&self, method: &str, receiver: Incarnation, message: &[u8], tag: &[u8]) -> bool {
        let Ok(tag) = hex::decode(tag) else {
            return false;
        };
        self.call(method, receiver, message).verify_slice(&tag).is_ok()
    }

    fn call(&self, method: &str, receiver: Incarnation, message: &[u8]) -> Hmac<Sha256> {
        let receiver = receiver.bits().to_be_bytes();
        self.mac(&[CALL, method.as_bytes(), b"\0", &receiver, message])
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // A key of any length is valid for this function.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

#[cfg(test)]
mod tests;
