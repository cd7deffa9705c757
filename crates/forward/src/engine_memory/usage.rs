//! Sizes of the requests of a service.

use std::time::Duration;

use crate::{BootTime, decay};

use super::{Footprint, Size};

/// Tokens of this node's requests that are, or were recently, at the engines of a service.
///
/// They are weighted by the time that requests stay: long ones stay longer, so that an engine holds more of them than their
/// share of the arrivals.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Of the requests that are at the engines now.
    current: Sums,
    /// The same, as a discounted mean.
    recent: Sums,
    updated_at: BootTime,
}

/// Number of requests, and the sums of their unshared tokens, of the squares of these, and of their shared tokens.
type Sums = [f64; 4];

impl Usage {
    /// Time after which what was at the engines counts half. A node of a large fleet has some ten requests at a time, too
    /// few for a mean; a burst of long prompts lasts for some seconds.
    const HALF_LIFE: Duration = Duration::from_secs(8);

    /// Counts a request.
    pub(crate) fn add(&mut self, footprint: &Footprint, now: BootTime) {
        self.change(footprint, 1.0, now);
    }

    /// Counts the end of a request that was added.
    pub(crate) fn remove(&mut self, footprint: &Footprint, now: BootTime) {
        self.change(footprint, -1.0, now);
    }

    /// Sizes of a request; 0 if there was none.
    pub(crate) fn size(&self, now: BootTime) -> Size {
        let recent = self.recent(now);
        // Requests that have just been sent count from the first moment.
        let [requests, own, squares, shared] = [0, 1, 2, 3].map(|it| recent[it] + self.current[it]);
        if requests <= 0.0 {
            return Size::default();
        }
        let mean = own / requests;
        let variance = squares / requests - mean * mean;
        Size {
            own: mean,
            deviation: variance.max(0.0).sqrt(),
            shared: shared / requests,
        }
    }

    /// Whether there are requests at the engines.
    pub(crate) fn has_requests(&self) -> bool {
        self.current[0] > 0.0
    }

    fn change(&mut self, footprint: &Footprint, sign: f64, now: BootTime) {
        self.recent = self.recent(now);
        self.updated_at = self.updated_at.max(now);
        let own = footprint.own as f64;
        let shared = footprint.tokens() as f64 - own;
        for (sum, value) in self.current.iter_mut().zip([1.0, own, own * own, shared]) {
            // Requests from before the state was dropped may end after that.
            *sum = (*sum + sign * value).max(0.0);
        }
    }

    fn recent(&self, now: BootTime) -> Sums {
        let weight = decay(Some(now.saturating_sub(self.updated_at)), Self::HALF_LIFE);
        [0, 1, 2, 3].map(|it| self.recent[it] * weight + self.current[it] * (1.0 - weight))
    }
}
