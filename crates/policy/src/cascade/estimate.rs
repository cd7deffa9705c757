//! Expected cost and adequacy of a chain of steps.

/// Adequacy of a version as a first step and after a rejected answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Adequacy {
    /// Share of adequate answers over all requests of the class.
    pub first: f64,
    /// Share of adequate answers over requests for which a cheaper version's answer was rejected. It is lower than
    /// `first`, since these requests are harder.
    pub after_rejection: f64,
}

/// Expectation for a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected cost of all steps and ratings.
    pub cost: f64,
    /// Probability that the delivered answer is adequate.
    pub adequacy: f64,
}

/// Forecast for a chain of `(cost of an answer, adequacy)` in which every step but the last waits for a rating.
///
/// A rating arrives in time with probability `arrival`; a step whose rating is late escalates.
pub fn forecast(
    steps: impl ExactSizeIterator<Item = (f64, Adequacy)>,
    rating_cost: f64,
    arrival: f64,
) -> Forecast {
    let mut fresh = 1.0;
    let mut rejected = 0.0;
    let mut cost = 0.0;
    let mut delivered = 0.0;
    let last = steps.len().saturating_sub(1);
    for (idx, (price, adequacy)) in steps.enumerate() {
        let reached = fresh + rejected;
        let adequate = fresh * adequacy.first + rejected * adequacy.after_rejection;
        if idx == last {
            cost += reached * price;
            delivered += adequate;
            break;
        }
        cost += reached * (price + rating_cost);
        delivered += arrival * adequate;
        rejected = arrival * (reached - adequate) + (1.0 - arrival) * rejected;
        fresh *= 1.0 - arrival;
    }
    Forecast {
        cost,
        adequacy: delivered,
    }
}
