//! Online estimators for latencies, service times and rates.

use std::time::Duration;

/// Smoothing factor of mean and deviation; follows a change within about 20 samples.
const GAIN: f64 = 0.05;

/// Number of mean absolute deviations added to the mean for a pessimistic estimate.
const PESSIMISTIC_DEVIATIONS: f64 = 2.0;

/// Exponentially smoothed mean and mean absolute deviation of a positive quantity.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u64,
}

impl Estimate {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.mean = sample;
            self.deviation = sample / 4.0;
            return;
        }
        // The first samples are weighted as in an arithmetic mean, so that one early outlier does not
        // dominate.
        let gain = GAIN.max(1.0 / self.samples as f64);
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        self.mean += gain * (sample - self.mean);
    }

    /// Adds a sample and returns its ratio to the previous mean. An outlier is clipped before it is added, so
    /// that it moves the mean by a bounded amount.
    pub fn add_and_compare(&mut self, sample: f64) -> f64 {
        const MAX_RATIO: f64 = 10.0;
        let relative = if self.mean > 0.0 { sample / self.mean } else { 1.0 };
        self.add(if relative > MAX_RATIO {
            self.mean * MAX_RATIO
        } else {
            sample
        });
        relative
    }

    /// Number of samples so far.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Smoothed mean; zero before the first sample.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Mean plus a multiple of the deviation, which few samples exceed; zero before the first sample.
    pub fn pessimistic(&self) -> f64 {
        self.mean + PESSIMISTIC_DEVIATIONS * self.deviation
    }
}

/// Running estimate of a quantile of a positive quantity, adjusted in multiplicative steps.
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    rank: f64,
    value: f64,
    samples: u64,
}

impl Quantile {
    /// Relative step for each sample. Smaller steps converge too slowly at a few samples per second.
    const STEP: f64 = 0.05;

    /// Creates an estimator of the quantile `rank`, between 0 and 1.
    pub fn new(rank: f64) -> Self {
        Self {
            rank,
            value: 0.0,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.value = sample;
        } else if sample > self.value {
            self.value *= 1.0 + Self::STEP * self.rank;
        } else {
            self.value *= 1.0 - Self::STEP * (1.0 - self.rank);
        }
    }

    /// Current estimate, or `None` before `min_samples` samples.
    pub fn value(&self, min_samples: u64) -> Option<Duration> {
        (self.samples >= min_samples).then(|| Duration::from_secs_f64(self.value))
    }
}

/// Rate per second, averaged with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    sum: f64,
    at: Duration,
}

impl Rate {
    /// Time constant in seconds; covers several service times of short requests.
    const WINDOW_S: f64 = 3.0;

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.sum = self.decayed(now) + amount;
        self.at = self.at.max(now);
    }

    /// Current rate per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / Self::WINDOW_S
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / Self::WINDOW_S).exp()
    }
}

/// Recent minimum of a positive quantity; it drifts upwards so that old values lose their effect.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingMinimum(Option<f64>);

impl DecayingMinimum {
    /// Growth of the minimum for each sample. It doubles in about 700 samples, so that a lasting change
    /// becomes the new baseline.
    const DRIFT: f64 = 1.001;

    /// Adds a positive sample and returns its ratio to the recent minimum.
    pub fn add_and_compare(&mut self, sample: f64) -> f64 {
        let best = self
            .0
            .map_or(sample, |it| sample.min(it * Self::DRIFT))
            .max(f64::MIN_POSITIVE);
        self.0 = Some(best);
        sample / best
    }
}
