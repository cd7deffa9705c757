//! Hash maps with cheap hashes for keys that come from this system or its configuration, not from callers.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use model::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Map with a `u64` key. Keys come from this system, not from callers, so a seedless hash is enough; the default hash
/// took a third of the time of a decision.
pub(crate) type IdMap<V> = HashMap<u64, V, BuildHasherDefault<IdHasher>>;

/// Multiplies and folds a `u64`.
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

/// Map with names of configured objects as keys.
pub(crate) type NameMap<V> = HashMap<Name, V, BuildHasherDefault<NameHasher>>;

/// XXH3 over the bytes of a name.
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
        // The terminator of a string; a key is a single string.
    }
}
