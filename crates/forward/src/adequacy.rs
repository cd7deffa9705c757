//! How well the models of a route answer, as far as their stated confidence shows it.
//!
//! No answer is ever marked as right or wrong. The confidence of the answering model is the only evidence, and
//! what a larger model makes of the same requests is learned from those that both have answered.

use crate::escalation::Confidence;
use crate::mean::Mean;

/// Number of bands into which confidences are divided.
const BANDS: usize = 10;

/// Confidence at which an answer is adequate as often as not.
const UNDECIDED: f64 = 50.0;

/// Change of the confidence that changes the odds of an adequate answer by a factor of e.
const ODDS_STEP: f64 = 5.0;

/// Share of inadequate answers that the next larger model improves, assumed until it has answered some.
const PRIOR_IMPROVEMENT: f64 = 0.5;

/// Weight of a prior, in observations.
const PRIOR_WEIGHT: f64 = 3.0;

/// Factor applied to the weight of earlier observations with each new one.
const RETENTION: f64 = 0.995;

/// Probability that an answer with a stated confidence is adequate.
pub fn of_confidence(confidence: Confidence) -> f64 {
    at(f64::from(confidence))
}

fn at(confidence: f64) -> f64 {
    1.0 / (1.0 + ((UNDECIDED - confidence) / ODDS_STEP).exp())
}

/// What is known about a model's answers to requests that a smaller one has answered.
#[derive(Debug, Clone, Default)]
struct Comparison {
    /// Adequacy by the band of the smaller model's confidence.
    by_band: [Mean; BANDS],
    /// Share of the inadequate answers that were improved, over all bands.
    improvement: Mean,
}

/// Adequacy of the models of one route, numbered from the smallest.
#[derive(Debug, Clone)]
pub struct Adequacy {
    /// Weight of the requests by the band of the smallest model's confidence.
    band_weights: [f64; BANDS],
    /// Comparisons of each model with each larger one.
    comparisons: Vec<Vec<Comparison>>,
}

impl Adequacy {
    /// Knows nothing about the answers of `models` models yet.
    pub fn new(models: usize) -> Self {
        Self {
            band_weights: [1.0; BANDS],
            comparisons: vec![vec![Comparison::default(); models]; models],
        }
    }

    /// Records the smallest model's answer to a request that no other model has answered.
    pub fn record_smallest(&mut self, confidence: Confidence) {
        for it in &mut self.band_weights {
            *it *= RETENTION;
        }
        self.band_weights[band(confidence)] += 1.0;
    }

    /// Records that model `to` has answered a request after model `from`.
    pub fn record_escalation(
        &mut self,
        (from, before): (usize, Confidence),
        (to, after): (usize, Confidence),
    ) {
        let (own, other) = (of_confidence(before), of_confidence(after));
        let Some(comparison) = self.comparisons.get_mut(from).and_then(|it| it.get_mut(to)) else {
            return;
        };
        comparison.by_band[band(before)].record(other, 1.0, RETENTION);
        comparison.improvement.record(other - own, 1.0 - own, RETENTION);
    }

    /// Probability that model `to` answers adequately a request that `from` has answered with `confidence`.
    pub fn after(&self, from: usize, confidence: Confidence, to: usize) -> f64 {
        self.estimate(from, band(confidence), of_confidence(confidence), to)
    }

    /// Shares of the requests by the band of the smallest model's confidence.
    pub fn bands(&self) -> impl Iterator<Item = (usize, f64)> + '_ {
        let total: f64 = self.band_weights.iter().sum();
        self.band_weights.iter().map(move |it| it / total).enumerate()
    }

    /// Probability that a model answers a request of a band adequately.
    pub fn in_band(&self, band: usize, model: usize) -> f64 {
        let middle = (band as f64 + 0.5) * 100.0 / BANDS as f64;
        match model {
            0 => at(middle),
            _ => self.estimate(0, band, at(middle), model),
        }
    }

    fn estimate(&self, from: usize, band: usize, own: f64, to: usize) -> f64 {
        let Some(comparison) = self.comparisons.get(from).and_then(|it| it.get(to)) else {
            return own;
        };
        let steps = i32::try_from(to.saturating_sub(from)).unwrap_or(i32::MAX);
        let prior = 1.0 - (1.0 - PRIOR_IMPROVEMENT).powi(steps);
        let improvement = comparison
            .improvement
            .with_prior(prior, PRIOR_WEIGHT)
            .clamp(0.0, 1.0);
        let expected = own + (1.0 - own) * improvement;
        // A larger model is not assumed to be worse, however few answers of it are known.
        comparison.by_band[band]
            .with_prior(expected, PRIOR_WEIGHT)
            .max(own)
    }
}

fn band(confidence: Confidence) -> usize {
    (usize::from(confidence) * BANDS / 100).min(BANDS - 1)
}
