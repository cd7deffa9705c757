//! Billing keys of chat requests.

use ledger::billing::Key;
use model::Incarnation;
use sha2::{Digest, Sha256};

/// Bytes of the digest in a billing key; as many as an incarnation has.
const DIGEST_BYTES: usize = 16;

/// Billing key of a request: a repetition has the same one.
///
/// A caller's own key counts only together with the body, so that one key does not pay for different requests. The
/// digest also bounds the length. Without a key each request has a key of its own.
pub(crate) fn identity(caller: Option<&str>, body: &[u8], incarnation: Incarnation, number: u64) -> Key {
    let Some(caller) = caller else {
        return Key::Request { incarnation, number };
    };
    let mut digest = Sha256::new();
    // The length keeps the end of the key apart from the start of the body.
    digest.update((caller.len() as u64).to_be_bytes());
    digest.update(caller);
    digest.update(body);
    let digest = hex::encode(&digest.finalize()[..DIGEST_BYTES]);
    Key::Idempotency(digest.into())
}

#[cfg(test)]
mod tests;
