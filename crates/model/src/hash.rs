//! Hash functions that must give the same results on every node.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Stable 64-bit hash of a byte string.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Weight of `candidate` for `key` in rendezvous hashing; the candidate of highest weight is chosen.
pub fn rendezvous(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), stable(key.as_bytes()))
}

/// The `count` candidates of highest rendezvous weight for `key`, in descending order of weight.
pub fn highest<'a>(key: &str, candidates: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates.map(|it| (rendezvous(key, it), it)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, it)| it).collect()
}
