//! Ends of runs while culprits are looked for.

use crate::BootTime;

use super::{Fingerprint, Traits, contains};

/// The end of a run, with those of its requests that may be to blame.
#[derive(Debug, Clone)]
pub(super) struct End<'a> {
    pub at: BootTime,
    /// Requests, and when they were broken off.
    pub suspects: Vec<(&'a Traits, BootTime)>,
}

impl End<'_> {
    /// Clears other requests if one of them has the signature of a culprit.
    pub(super) fn explain(&mut self, signature: &[Fingerprint], may_clear: impl Fn(&Traits) -> bool) {
        if self.suspects.iter().any(|it| contains(it.0, signature)) {
            self.suspects
                .retain(|it| contains(it.0, signature) || !may_clear(it.0));
        }
    }
}

/// Whether all broken requests with a signature have the one of a culprit too.
pub(super) fn is_covered(signature: &[Fingerprint], culprit: &[Fingerprint], ends: &[End<'_>]) -> bool {
    let mut requests = ends.iter().flat_map(|it| &it.suspects).map(|it| it.0);
    requests.all(|it| !contains(it, signature) || contains(it, culprit))
}
