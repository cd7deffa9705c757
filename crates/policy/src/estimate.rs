//! Estimates of service times from completed attempts.

use std::time::Duration;

/// Smoothing factor of mean and deviation; reacts within about twenty samples.
const GAIN: f64 = 0.05;

/// Number of deviations above the mean that a pessimistic estimate adds.
const DEVIATIONS: f64 = 2.0;

/// Smoothed mean and mean absolute deviation of a positive quantity.
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
        // The first samples weigh as in a plain average, so that one early outlier does not dominate.
        let gain = GAIN.max(1.0 / self.samples as f64);
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        self.mean += gain * (sample - self.mean);
    }

    /// Adds a sample, and returns it relative to the mean before it. A far outlier moves the mean by a bounded amount.
    pub fn relative(&mut self, sample: f64) -> f64 {
        const MOST: f64 = 10.0;
        let relative = if self.mean > 0.0 { sample / self.mean } else { 1.0 };
        self.add(if relative > MOST { self.mean * MOST } else { sample });
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

    /// Value that few samples exceed; zero before the first sample.
    pub fn pessimistic(&self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }
}

/// Running quantile of a positive quantity by multiplicative steps.
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    rank: f64,
    value: f64,
    samples: u64,
}

impl Quantile {
    /// Relative step for a sample above the estimate; smaller steps converge too slowly at a few samples a second.
    const STEP: f64 = 0.05;

    /// An estimate of the quantile `rank`, between 0 and 1.
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

    /// The estimate once it rests on `least` samples.
    pub fn after(&self, least: u64) -> Option<Duration> {
        (self.samples >= least).then(|| Duration::from_secs_f64(self.value))
    }
}

/// Amount per second, averaged with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    sum: f64,
    at: Duration,
}

impl Rate {
    /// Time constant in seconds; spans several service times of short requests.
    const WINDOW_S: f64 = 3.0;

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.sum = self.decayed(now) + amount;
        self.at = self.at.max(now);
    }

    /// Amount per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / Self::WINDOW_S
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / Self::WINDOW_S).exp()
    }
}

/// Least value of late, which slowly forgets.
#[derive(Debug, Clone, Copy, Default)]
pub struct Best(Option<f64>);

impl Best {
    /// Growth for each sample: doubles in about 700 samples, so that a lasting change becomes the new norm.
    const DRIFT: f64 = 1.001;

    /// Adds a positive sample, and returns it relative to the best one.
    pub fn relative(&mut self, sample: f64) -> f64 {
        let best = self
            .0
            .map_or(sample, |it| sample.min(it * Self::DRIFT))
            .max(f64::MIN_POSITIVE);
        self.0 = Some(best);
        sample / best
    }
}
