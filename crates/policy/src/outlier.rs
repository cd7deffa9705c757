//! Outlier detection and ejection for one engine.
//!
//! An engine is ejected after consecutive failures (a first attempt that loses to its hedge counts as a
//! failure), or when its latency is far above the pool's. When the ejection time is over, one attempt at a
//! time probes the engine. The pool limits the number of ejected engines.

use std::time::Duration;

/// Health state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Receives requests.
    Healthy,
    /// Receives no requests until the given time.
    Ejected(Duration),
    /// Receives one attempt at a time until one is answered with normal latency.
    Probing,
}

/// Failure and latency history of one engine.
#[derive(Debug, Clone)]
pub struct OutlierDetector {
    health: Health,
    failures: u32,
    ejections: u32,
    slowdown: f64,
    samples: u32,
}

impl OutlierDetector {
    /// Number of consecutive failures that causes ejection.
    const FAILURE_THRESHOLD: u32 = 3;

    /// Duration of the first ejection; doubled for each further one without a success in between.
    const FIRST_EJECTION: Duration = Duration::from_secs(5);

    /// Maximum number of doublings, which limits an ejection to 160 s.
    const MAX_DOUBLINGS: u32 = 5;

    /// Smoothed latency relative to the pool's above which an engine is ejected.
    const SLOWDOWN_THRESHOLD: f64 = 3.5;

    /// Minimum number of latency samples before the slowdown may cause ejection.
    const MIN_SAMPLES: u32 = 5;

    /// Smoothing factor of the slowdown.
    const GAIN: f64 = 0.2;

    /// Upper bound of one sample, so that a single very late answer does not cause ejection.
    const MAX_SAMPLE: f64 = 10.0;

    /// Creates the history of a healthy engine.
    pub fn new() -> Self {
        Self {
            health: Health::Healthy,
            failures: 0,
            ejections: 0,
            slowdown: 1.0,
            samples: 0,
        }
    }

    /// Health state at `now`.
    pub fn health(&self, now: Duration) -> Health {
        match self.health {
            Health::Ejected(until) if until <= now => Health::Probing,
            health => health,
        }
    }

    /// Smoothed latency relative to the pool's usual latency.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Resets the count of consecutive failures after any answer.
    pub fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Records an answer with its latency relative to the pool's usual latency.
    pub fn record_latency(&mut self, slowdown: f64, now: Duration) {
        let sample = slowdown.clamp(0.1, Self::MAX_SAMPLE);
        self.samples += 1;
        self.slowdown += Self::GAIN * (sample - self.slowdown);
        if self.health(now) == Health::Probing && sample < Self::SLOWDOWN_THRESHOLD {
            self.health = Health::Healthy;
            self.slowdown = 1.0;
            self.samples = 0;
        }
    }

    /// Records a completed request; the next ejection starts again at the shortest duration.
    pub fn record_success(&mut self) {
        if self.health == Health::Healthy {
            self.ejections = 0;
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Whether the engine should be ejected.
    pub fn is_outlier(&self, now: Duration) -> bool {
        match self.health(now) {
            Health::Healthy => {
                let slow = self.samples >= Self::MIN_SAMPLES && self.slowdown > Self::SLOWDOWN_THRESHOLD;
                self.failures >= Self::FAILURE_THRESHOLD || slow
            }
            Health::Ejected(_) => false,
            Health::Probing => {
                self.failures > 0 || self.slowdown > Self::SLOWDOWN_THRESHOLD && self.samples > 0
            }
        }
    }

    /// Ejects the engine.
    pub fn eject(&mut self, now: Duration) {
        let doublings = self.ejections.min(Self::MAX_DOUBLINGS);
        self.health = Health::Ejected(now + Self::FIRST_EJECTION * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
        self.samples = 0;
        self.slowdown = 1.0;
    }
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self::new()
    }
}

/// Maximum number of ejected engines among `engines`. Ejecting more would overload the remaining ones.
pub fn max_ejected(engines: usize) -> usize {
    engines / 2
}
