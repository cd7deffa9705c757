//! Whether a request is repeated on a larger model.
//!
//! A request starts on the smallest model of its route. The head of the engine's response states the model's
//! confidence before anything reaches the caller. A response below the threshold is dropped and the request
//! runs again on the largest model, if the remaining time, the retry budget and the latency of that model
//! permit.

use std::time::Duration;

/// Confidence of a model in its own response, from 0 to 100.
pub type Confidence = u8;

/// What is known when the head of a response has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EscalationInput {
    /// Confidence in the response; `None` if the engine states none.
    pub confidence: Option<Confidence>,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time within which the first event has its full value to the caller.
    pub latency_goal: Duration,
    /// Prompt tokens and expected output tokens; `None` if the request does not state them.
    pub tokens: Option<(u64, u64)>,
    /// Usual time to the first byte of the largest model; `None` if it was not used recently.
    pub expected_first_byte: Option<Duration>,
}

/// What to do with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EscalationDecision {
    /// Forward it to the caller.
    Accept,
    /// Drop it and send the request to the largest model.
    Escalate,
}

/// Confidence below which a response is dropped if all its tokens are output. On both sites, 53 and 63
/// improved responses but cost more than the improvement was worth to the users who pay for them.
const BASE_THRESHOLD: f64 = 47.0;

/// Decrease of the threshold for each unit of [`relative_price`] above [`MIN_RELATIVE_PRICE`].
const PRICE_SLOPE: f64 = 168.0;

/// Relative price of a request with a short prompt and a long output.
const MIN_RELATIVE_PRICE: f64 = 0.13;

/// Relative price assumed for requests that do not state their tokens.
const DEFAULT_RELATIVE_PRICE: f64 = 0.2;

/// Cost of a prompt token relative to an output token.
const PROMPT_TOKEN_COST: f64 = 0.25;

/// Value of an output token relative to a prompt token.
const OUTPUT_TOKEN_VALUE: f64 = 10.0;

/// Fraction of the latency goal within which the first event of the second response must be expected; the
/// rest covers the variance of the time to the first byte.
const USABLE_GOAL_FRACTION: f64 = 0.65;

/// Fraction of the latency goal over which the threshold falls from its full value to zero.
const FALLOFF_GOAL_FRACTION: f64 = 0.4;

/// Decides about a response of a model that is not the largest.
///
/// The threshold falls as the largest model gets slower under load, so that the responses with the lowest
/// confidence are escalated first and a saturated model gets no additional work.
pub fn decide(input: EscalationInput) -> EscalationDecision {
    let Some(confidence) = input.confidence else {
        return EscalationDecision::Accept;
    };
    let goal = input.latency_goal.as_secs_f64();
    // Without a measurement, the second run is expected to take as long as the first.
    let expected = input.expected_first_byte.unwrap_or(input.elapsed);
    let reserve = USABLE_GOAL_FRACTION * goal - (input.elapsed + expected).as_secs_f64();
    let scale = (reserve / (FALLOFF_GOAL_FRACTION * goal).max(0.001)).clamp(0.0, 1.0);
    if f64::from(confidence) < threshold(input.tokens) * scale {
        EscalationDecision::Escalate
    } else {
        EscalationDecision::Accept
    }
}

/// Confidence below which another response is worth its price.
fn threshold(tokens: Option<(u64, u64)>) -> f64 {
    let price = tokens.map_or(DEFAULT_RELATIVE_PRICE, |(prompt, output)| {
        relative_price(prompt as f64, output as f64)
    });
    BASE_THRESHOLD - PRICE_SLOPE * (price - MIN_RELATIVE_PRICE)
}

/// Cost of a request relative to its value, both as the users weight tokens.
fn relative_price(prompt: f64, output: f64) -> f64 {
    (PROMPT_TOKEN_COST * prompt + output) / (prompt + OUTPUT_TOKEN_VALUE * output).max(1.0)
}
