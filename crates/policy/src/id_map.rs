//! Hash maps with fast hash functions for keys that are created by this system or its configuration, not by
//! callers.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use model::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Map with `u64` keys. The keys are created by this system and not by callers, so an unseeded hash suffices.
/// The default hasher took a third of the time of a decision.
pub(crate) type IdMap<V> = HashMap<u64, V, BuildHasherDefault<IdHasher>>;

/// Multiplicative hash of a `u64`, with the high half folded into the low half.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, value: u64) {
        let product = (self.0 ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = product ^ (product >> 32);
    }
}

/// Map keyed by names of configured objects.
pub(crate) type NameMap<V> = HashMap<Name, V, BuildHasherDefault<NameHasher>>;

/// XXH3 hash of the bytes of a name.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NameHasher(u64);

impl Hasher for NameHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u8(&mut self, _: u8) {
        // `str` hashes a terminator byte, which is not needed because a key is a single string.
    }
}
