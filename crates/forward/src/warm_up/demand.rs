//! Requests per second that a node sends to the engines of a service.

use std::time::Duration;

use crate::request_limit::Rate;
use crate::{BootTime, decay};

/// A count of requests that decays.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    count: f64,
    counted_at: Option<BootTime>,
}

impl Demand {
    /// Time after which a request counts half. A node of a large fleet sends a few requests per second.
    const HALF_LIFE: Duration = Duration::from_secs(5);

    /// Records a request.
    pub fn record(&mut self, now: BootTime) {
        self.count = self.count(now) + 1.0;
        self.counted_at = Some(now);
    }

    /// Requests per second.
    pub fn rate(&self, now: BootTime) -> Rate {
        self.count(now) * std::f64::consts::LN_2 / Self::HALF_LIFE.as_secs_f64()
    }

    fn count(&self, now: BootTime) -> f64 {
        let age = self.counted_at.map(|it| now.saturating_sub(it));
        self.count * decay(age, Self::HALF_LIFE)
    }
}
