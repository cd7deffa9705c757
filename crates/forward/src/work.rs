//! How much work requests are, and which of them are short.
//!
//! The work of requests differs by a factor of a thousand, and a long prompt on a large model delays every other
//! request on its engine. The position of a request is the share of all work that shorter requests make up.

/// Estimated work of one request, in tokens of the cheapest model.
pub type Work = f64;

/// Distribution of the work of the requests that a node forwarded recently.
#[derive(Debug, Clone)]
pub struct WorkDistribution {
    /// Sum of work by size.
    buckets: [f64; BUCKETS],
    total: f64,
    count: f64,
}

/// Number of buckets, for sizes up to 2^24 tokens.
const BUCKETS: usize = 24 * BUCKETS_PER_DOUBLING;

/// Buckets for each doubling of the size.
const BUCKETS_PER_DOUBLING: usize = 4;

/// Exponent applied to the share of work that shorter requests contribute. Above 1, positions tell long requests
/// apart better than short ones, which delay each other little.
const POSITION_EXPONENT: f64 = 2.0;

/// Decay factor applied with each request; about the last thousand requests count.
const DECAY: f64 = 0.999;

impl WorkDistribution {
    /// An empty distribution.
    pub fn new() -> Self {
        Self {
            buckets: [0.0; BUCKETS],
            total: 0.0,
            count: 0.0,
        }
    }

    /// Counts a request.
    pub fn record(&mut self, work: Work) {
        for it in &mut self.buckets {
            *it *= DECAY;
        }
        self.buckets[bucket(work)] += work;
        self.total = self.total * DECAY + work;
        self.count = self.count * DECAY + 1.0;
    }

    /// Position of a request among the others, from 0 for the shortest to 1.
    pub fn position(&self, work: Work) -> f64 {
        if self.total <= 0.0 {
            return 0.5;
        }
        let own = bucket(work);
        let below: f64 = self.buckets[..own].iter().sum();
        let share = (below + self.buckets[own] / 2.0) / self.total;
        share.clamp(0.0, 1.0).powf(POSITION_EXPONENT)
    }

    /// Mean work of a request.
    pub fn mean(&self) -> Work {
        self.total / self.count.max(1.0)
    }
}

impl Default for WorkDistribution {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket(work: Work) -> usize {
    let doublings = work.max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING as f64) as usize).min(BUCKETS - 1)
}
