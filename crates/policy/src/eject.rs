//! Outlier ejection of one engine.
//!
//! An engine is ejected after consecutive failures or lost races, or when its latency is far above the pool's. After
//! the ejection one attempt at a time tests it. The pool applies the cap on the number of ejected engines.

use std::time::Duration;

/// Standing of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Takes work.
    Healthy,
    /// Takes no work until the time has passed.
    Ejected(Duration),
    /// Takes one attempt at a time until one succeeds.
    Testing,
}

/// Failure history of one engine.
#[derive(Debug, Clone)]
pub struct Outlier {
    standing: Standing,
    failures: u32,
    ejections: u32,
    slowdown: f64,
    samples: u32,
}

impl Outlier {
    /// Consecutive failures that eject.
    const FAILURES: u32 = 3;

    /// First ejection; doubled for each further one without a success between.
    const BASE: Duration = Duration::from_secs(5);

    /// Greatest exponent of the doubling: at most 160 s.
    const MOST_DOUBLINGS: u32 = 5;

    /// Latency relative to the pool's that ejects.
    const SLOWDOWN: f64 = 3.5;

    /// Latency samples before the slowdown counts.
    const LEAST_SAMPLES: u32 = 5;

    /// Smoothing factor of the slowdown.
    const GAIN: f64 = 0.2;

    /// Bound on one sample, so that a single very late answer does not eject.
    const MOST_SAMPLE: f64 = 10.0;

    /// A healthy engine.
    pub fn new() -> Self {
        Self {
            standing: Standing::Healthy,
            failures: 0,
            ejections: 0,
            slowdown: 1.0,
            samples: 0,
        }
    }

    /// Standing at `now`.
    pub fn standing(&self, now: Duration) -> Standing {
        match self.standing {
            Standing::Ejected(until) if until <= now => Standing::Testing,
            standing => standing,
        }
    }

    /// Smoothed latency relative to the pool's.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Notes that the engine answered at all.
    pub fn reached(&mut self) {
        self.failures = 0;
    }

    /// Counts an answer with its latency relative to the pool's usual one.
    pub fn answered(&mut self, slowdown: f64, now: Duration) {
        let sample = slowdown.clamp(0.1, Self::MOST_SAMPLE);
        self.samples += 1;
        self.slowdown += Self::GAIN * (sample - self.slowdown);
        if self.standing(now) == Standing::Testing && sample < Self::SLOWDOWN {
            self.standing = Standing::Healthy;
            self.slowdown = 1.0;
            self.samples = 0;
        }
    }

    /// Counts a successful end, after which the next ejection is short again.
    pub fn succeeded(&mut self) {
        if self.standing == Standing::Healthy {
            self.ejections = 0;
        }
    }

    /// Counts a failure.
    pub fn failed(&mut self) {
        self.failures += 1;
    }

    /// Whether the history calls for an ejection.
    pub fn is_outlier(&self, now: Duration) -> bool {
        match self.standing(now) {
            Standing::Healthy => {
                let slow = self.samples >= Self::LEAST_SAMPLES && self.slowdown > Self::SLOWDOWN;
                self.failures >= Self::FAILURES || slow
            }
            Standing::Ejected(_) => false,
            Standing::Testing => self.failures > 0 || self.slowdown > Self::SLOWDOWN && self.samples > 0,
        }
    }

    /// Ejects the engine.
    pub fn eject(&mut self, now: Duration) {
        let doublings = self.ejections.min(Self::MOST_DOUBLINGS);
        self.standing = Standing::Ejected(now + Self::BASE * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
        self.samples = 0;
        self.slowdown = 1.0;
    }
}

impl Default for Outlier {
    fn default() -> Self {
        Self::new()
    }
}

/// Greatest number of ejected engines among `engines`; beyond it, ejecting more would overload the rest.
pub fn cap(engines: usize) -> usize {
    engines / 2
}
