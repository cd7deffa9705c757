//! Billing keys of chat requests, by which repeated records are discarded.

use ledger::billing::Key;
use model::Incarnation;
use sha2::{Digest, Sha256};

/// Length of the digest in a billing key; equal to the length of an incarnation.
const DIGEST_BYTES: usize = 16;

/// Returns the billing key of a request; a repeated request has the same key.
///
/// A key from the caller is hashed together with the body, so that different requests with the same key are
/// billed separately. The digest also bounds the length. Without a key from the caller every request gets a
/// unique key.
pub(crate) fn billing_key(caller: Option<&str>, body: &[u8], incarnation: Incarnation, number: u64) -> Key {
    let Some(caller) = caller else {
        return Key::Request { incarnation, number };
    };
    let mut digest = Sha256::new();
    // The length prefix separates the end of the key from the start of the body.
    digest.update((caller.len() as u64).to_be_bytes());
    digest.update(caller);
    digest.update(body);
    let digest = hex::encode(&digest.finalize()[..DIGEST_BYTES]);
    Key::Idempotency(digest.into())
}

#[cfg(test)]
mod tests;
