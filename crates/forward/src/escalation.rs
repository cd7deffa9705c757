//! Which model answers a request.
//!
//! An answer is worth to the caller what its quality and its latency make of it, less the price of the model.
//! [`first_model`] chooses the model that is asked first, and [`decide`] whether its answer, of which the
//! caller has received nothing yet, is dropped in favour of another model. Both compare expected worths, so that
//! a saturated engine pool, a dear model or a request that is already late shifts the choice by itself.

use crate::adequacy::{self, Adequacy};

/// Confidence of a model in its own response, from 0 to 100.
pub type Confidence = u8;

/// A model that may answer a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Price of its answer relative to the value of an adequate one.
    pub price: f64,
    /// Probability that its first event arrives within the latency goal if it is asked now.
    pub timely: f64,
}

/// An answer of which the caller has received nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Model that gave it, numbered from the smallest.
    pub model: usize,
    /// Stated confidence.
    pub confidence: Confidence,
    /// Whether it arrived within the latency goal.
    pub is_timely: bool,
}

/// Value of an inadequate answer relative to an adequate one.
const INADEQUATE_VALUE: f64 = 0.05;

/// Value of a late answer relative to a timely one.
const LATE_VALUE: f64 = 0.4;

/// The model that is asked instead of accepting `answer`; `None` to accept it.
pub fn decide(adequacy: &Adequacy, answer: Answer, candidates: &[Candidate]) -> Option<usize> {
    let timely = f64::from(u8::from(answer.is_timely));
    let own = worth(adequacy::of_confidence(answer.confidence), timely);
    let larger = (answer.model + 1..candidates.len()).map(|model| {
        let quality = adequacy.after(answer.model, answer.confidence, model);
        let it = candidates[model];
        (worth(quality, it.timely) - it.price, model)
    });
    let best = larger.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 > own).then_some(best.1)
}

/// The model that is asked first.
pub fn first_model(adequacy: &Adequacy, candidates: &[Candidate]) -> usize {
    let worths = (0..candidates.len()).map(|it| (expected_worth(adequacy, candidates, it), it));
    // Of equal models the smallest is chosen.
    let best = worths.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
    best.map_or(0, |it| it.1)
}

/// Expected worth of asking `first` and, where its answer is inadequate, the best larger model.
///
/// Whether an answer is adequate counts as known when it arrives, and a request that is too hard for a model as
/// too hard for all smaller ones.
fn expected_worth(adequacy: &Adequacy, candidates: &[Candidate], first: usize) -> f64 {
    let own = candidates[first];
    let bands = adequacy.bands().map(|(band, share)| {
        let quality = adequacy.in_band(band, first);
        let escalations = candidates.iter().enumerate().skip(first + 1).map(|(model, it)| {
            let improved = (adequacy.in_band(band, model) - quality).max(0.0);
            let improvement = improved / (1.0 - quality).max(f64::EPSILON);
            worth(improvement, own.timely * it.timely) - it.price
        });
        let otherwise = escalations.fold(worth(0.0, own.timely), f64::max);
        share * (quality * worth(1.0, own.timely) + (1.0 - quality) * otherwise)
    });
    bands.sum::<f64>() - own.price
}

/// Expected value of an answer relative to a timely and adequate one.
fn worth(quality: f64, timely: f64) -> f64 {
    let by_quality = quality + INADEQUATE_VALUE * (1.0 - quality);
    let by_latency = timely + LATE_VALUE * (1.0 - timely);
    by_quality * by_latency
}
