//! Whether an engine broke off a response because this node did not read it.
//!
//! A node stops reading from an engine while the caller does not take what it has, and an engine cuts off a response that
//! stays unread for some seconds. That says nothing about the engine. What the engine had sent before arrives without much
//! delay once the node reads on, so a node that has waited for more knows that the response was not cut off.

use std::time::Duration;

/// Time in which a response was not read although more of it had arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unread {
    /// Time since the response was last known to be intact.
    since_intact: Duration,
    total: Duration,
    /// Time for which the node had waited for more at the end of the last pause.
    waited: Duration,
}

impl Unread {
    /// Engines cut off a response that stays unread for some seconds; a time up to this one is no reason.
    pub const MAX_HARMLESS: Duration = Duration::from_secs(1);

    /// Waiting time after which a response is intact. When a node reads on, what the engine has in its send buffer follows
    /// in some round trips, or after a timer of TCP (200 ms) if the news of it is lost.
    pub const SETTLING_TIME: Duration = Duration::from_millis(250);

    /// Time that does not change the pace of a stream noticeably, which is judged by five events or more.
    const MAX_PACE_ERROR: Duration = Duration::from_millis(10);

    /// Records a pause in reading. `waited_before` and `waited` are the times for which the node had waited for more at its
    /// begin and at its end: a pause begins with a wait if nothing has arrived.
    pub fn record_pause(&mut self, pause: Duration, waited_before: Duration, waited: Duration) {
        if self.is_intact(waited) {
            self.since_intact = Duration::ZERO;
        }
        let unread = pause.saturating_sub(waited.saturating_sub(waited_before));
        self.since_intact += unread;
        self.total += unread;
        self.waited = waited;
    }

    /// Whether the pauses explain that the engine broke off the response, after the node had waited for more for `waited`.
    pub fn explains_break(&self, waited: Duration) -> bool {
        self.since_intact > Self::MAX_HARMLESS && !self.is_intact(waited)
    }

    /// Whether the times at which events were read show the pace of the caller rather than that of the engine.
    pub fn hides_pace(&self) -> bool {
        self.total > Self::MAX_PACE_ERROR
    }

    fn is_intact(&self, waited: Duration) -> bool {
        waited.saturating_sub(self.waited) >= Self::SETTLING_TIME
    }
}
