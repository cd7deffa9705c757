//! Hash maps with integer keys that are hashes or counters already.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

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
