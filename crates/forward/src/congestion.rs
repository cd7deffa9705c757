//! How busy the engines of a service are, as their recent load reports show.

use std::time::Duration;

use crate::mean::Mean;
use crate::{BootTime, decay};

/// Time after which a report counts half. The queues of engines build up and drain within a second.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Weight of the assumption that nothing waits, in reports.
const PRIOR_WEIGHT: f64 = 1.0;

/// Increase of the price of a model for each request that waits at an engine on average: an additional run then
/// delays others by about as much as it is worth.
const PRICE_PER_WAITING: f64 = 1.5;

/// Requests that wait at the engines of a service.
#[derive(Debug, Clone, Default)]
pub struct Congestion {
    waiting: Mean,
    reported_at: Option<BootTime>,
}

impl Congestion {
    /// Records the number of requests that wait at an engine.
    pub fn record(&mut self, waiting: u32, now: BootTime) {
        let retention = self.retention(now);
        self.waiting.record(f64::from(waiting), 1.0, retention);
        self.reported_at = Some(now);
    }

    /// Factor by which the use of an engine's time is dearer than its price.
    pub fn price_factor(&self, now: BootTime) -> f64 {
        let mut waiting = self.waiting;
        waiting.record(0.0, 0.0, self.retention(now));
        1.0 + PRICE_PER_WAITING * waiting.with_prior(0.0, PRIOR_WEIGHT)
    }

    fn retention(&self, now: BootTime) -> f64 {
        decay(self.reported_at.map(|it| now.saturating_sub(it)), HALF_LIFE)
    }
}
