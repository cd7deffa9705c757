//! Size intervals: requests of similar work share engines.
//!
//! The work of requests differs by a factor of a thousand, and a long prompt on a large model delays every other
//! request of its engine. So each engine of a failure domain serves an interval of sizes, with bounds that give each
//! interval the same sum of work. All nodes see the same mix of requests and find about the same bounds.

/// Estimated work of one request, in tokens of the cheapest model.
pub type Work = f64;

/// Distribution of the work that a node forwarded lately.
#[derive(Debug, Clone)]
pub struct Lanes {
    /// Sum of work by size.
    buckets: [f64; BUCKETS],
    total: f64,
    count: f64,
}

/// Sizes up to 2^24 tokens.
const BUCKETS: usize = 24 * STEPS;

/// Buckets for each doubling of the size.
const STEPS: usize = 4;

/// Power of the share of work that smaller requests bring; above 1, large requests get more engines than their share,
/// because streams on an engine wait for each long prompt that it reads.
const SPREAD: f64 = 2.0;

/// Part of the past that is kept with each request; about the last thousand requests count.
const KEEP: f64 = 0.999;

impl Lanes {
    /// No requests yet.
    pub fn new() -> Self {
        Self {
            buckets: [0.0; BUCKETS],
            total: 0.0,
            count: 0.0,
        }
    }

    /// Counts a request.
    pub fn note(&mut self, work: Work) {
        for it in &mut self.buckets {
            *it *= KEEP;
        }
        self.buckets[bucket(work)] += work;
        self.total = self.total * KEEP + work;
        self.count = self.count * KEEP + 1.0;
    }

    /// Place of a size among the engines of a domain, from 0 for the smallest to 1.
    pub fn position(&self, work: Work) -> f64 {
        if self.total <= 0.0 {
            return 0.5;
        }
        let own = bucket(work);
        let below: f64 = self.buckets[..own].iter().sum();
        let share = (below + self.buckets[own] / 2.0) / self.total;
        share.clamp(0.0, 1.0).powf(SPREAD)
    }

    /// Mean work of a request.
    pub fn mean(&self) -> Work {
        self.total / self.count.max(1.0)
    }
}

impl Default for Lanes {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket(work: Work) -> usize {
    let doublings = work.max(1.0).log2();
    ((doublings * STEPS as f64) as usize).min(BUCKETS - 1)
}
