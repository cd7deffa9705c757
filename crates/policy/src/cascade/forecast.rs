//! Expected cost and adequacy of a chain of steps.

/// Adequacy of a version as a first step and after a rejected answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Adequacy {
    /// Share of adequate answers among all requests of the class.
    pub first: f64,
    /// Share of adequate answers among requests for which a cheaper version's answer was rejected. It is
    /// lower than `first`, since these requests are harder.
    pub after_rejection: f64,
}

/// Expected result of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected cost of all steps and ratings.
    pub cost: f64,
    /// Probability that the delivered answer is adequate.
    pub adequacy: f64,
}

/// Forecasts a chain of `(cost of an answer, adequacy)` in which every step but the last waits for a rating.
///
/// A rating arrives in time with probability `arrival_probability`; if it is late, the next step starts.
pub fn forecast(
    steps: impl ExactSizeIterator<Item = (f64, Adequacy)>,
    rating_cost: f64,
    arrival_probability: f64,
) -> Forecast {
    // Probabilities of reaching the step without and with a rejected answer before it.
    let mut unrejected = 1.0;
    let mut rejected = 0.0;
    let mut cost = 0.0;
    let mut delivered_adequate = 0.0;
    let last = steps.len().saturating_sub(1);
    for (idx, (price, adequacy)) in steps.enumerate() {
        let reached = unrejected + rejected;
        let adequate = unrejected * adequacy.first + rejected * adequacy.after_rejection;
        if idx == last {
            cost += reached * price;
            delivered_adequate += adequate;
            break;
        }
        cost += reached * (price + rating_cost);
        delivered_adequate += arrival_probability * adequate;
        rejected = arrival_probability * (reached - adequate) + (1.0 - arrival_probability) * rejected;
        unrejected *= 1.0 - arrival_probability;
    }
    Forecast {
        cost,
        adequacy: delivered_adequate,
    }
}
