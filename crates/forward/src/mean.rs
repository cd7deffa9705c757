//! Means in which older observations weigh less.

/// A discounted mean.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    /// Multiplies the weight of the earlier observations by `retention`, and adds one with `weight` of which `value` is
    /// the value times the weight.
    pub(crate) fn record(&mut self, value: f64, weight: f64, retention: f64) {
        self.sum = self.sum * retention + value;
        self.weight = self.weight * retention + weight;
    }

    /// The mean of the observations and of a prior with a weight of its own.
    pub(crate) fn with_prior(self, prior: f64, weight: f64) -> f64 {
        (self.sum + weight * prior) / (self.weight + weight)
    }

    /// Weight of the observations.
    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// The mean; `None` without an observation.
    pub(crate) fn value(self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}
