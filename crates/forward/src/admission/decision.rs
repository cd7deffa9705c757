//! Whether a request is admitted.

use std::time::Duration;

use rand::Rng;

/// Minimum time after which a refused caller returns: about the time in which an engine's queue advances.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Decision about a request that was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is served.
    Admitted,
    /// It is served although it seems too late, to check the estimate.
    Sampled,
    /// It is refused.
    Refused(Refused),
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time by which its deadline is too early.
    pub missing: Duration,
    /// When the caller may return.
    pub retry_after: Duration,
}

impl Refused {
    /// The caller returns once the backlog has drained to what can be served in time, at a time drawn from a further
    /// interval of the same length, and not after its deadline.
    pub(super) fn new(missing: Duration, left: Duration, rng: &mut impl Rng) -> Self {
        let drawn = missing.min(left).mul_f64(rng.random_range(1.0..2.0));
        // Callers are told hundredths of a second, rounded up.
        let latest = Duration::from_millis(left.as_millis() as u64 / 10 * 10);
        Self {
            missing,
            retry_after: drawn.min(latest).max(MIN_RETRY_DELAY),
        }
    }
}
