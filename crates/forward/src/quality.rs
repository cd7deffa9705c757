//! Which model answers a request.
//!
//! A request starts on the smallest model of its route. The engine's answer states its confidence before anything
//! reaches the caller; an answer below the threshold is dropped and the request runs again on the largest model,
//! if the time, the retry allowance and the speed of that model permit.

use std::time::Duration;

/// Confidence of a model in its own answer, from 0 to 100.
pub type Confidence = u8;

/// What is known when an answer's head has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Situation {
    /// Confidence in the answer; `None` if the engine states none.
    pub confidence: Option<Confidence>,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time within which the first event has its full worth.
    pub goal: Duration,
    /// Prompt tokens and expected output tokens; `None` if the request does not state them.
    pub tokens: Option<(u64, u64)>,
    /// Usual time of the largest model to its first byte; `None` if it was not used lately.
    pub expected: Option<Duration>,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Accept,
    /// Drop it and ask the largest model.
    Escalate,
}

/// Confidence below which an answer is dropped if its tokens are all output. On the two sites, 63 and 53 earned more
/// and cost more than that was worth to the users who pay for the answers.
const THRESHOLD: f64 = 47.0;

/// What the threshold falls for each unit of [`price`] above [`LEAST_PRICE`].
const PRICE_SLOPE: f64 = 168.0;

/// Price of a request with a short prompt and a long answer.
const LEAST_PRICE: f64 = 0.13;

/// Price of requests that do not state their tokens.
const USUAL_PRICE: f64 = 0.2;

/// What a prompt token costs, relative to a generated one.
const PROMPT_COST: f64 = 0.25;

/// What a generated token is worth, relative to one of the prompt.
const OUTPUT_WORTH: f64 = 10.0;

/// Part of the goal that may be used up when the first event of the second answer is expected; the rest covers the
/// spread of the time to the first byte.
const USABLE: f64 = 0.65;

/// Part of the goal over which the threshold falls from its full value to zero.
const FALL: f64 = 0.4;

/// Judges an answer of a model that is not the largest.
///
/// The threshold falls as the largest model gets slower under load, so that the answers with the least confidence
/// are escalated first and a saturated model gets no more work.
pub fn judge(situation: Situation) -> Verdict {
    let Some(confidence) = situation.confidence else {
        return Verdict::Accept;
    };
    let goal = situation.goal.as_secs_f64();
    // Without a measurement, a second run is expected to take as long as the first.
    let expected = situation.expected.unwrap_or(situation.elapsed);
    let reserve = USABLE * goal - (situation.elapsed + expected).as_secs_f64();
    let room = (reserve / (FALL * goal).max(0.001)).clamp(0.0, 1.0);
    if f64::from(confidence) < threshold(situation.tokens) * room {
        Verdict::Escalate
    } else {
        Verdict::Accept
    }
}

/// Confidence below which another answer is worth its price.
fn threshold(tokens: Option<(u64, u64)>) -> f64 {
    let price = tokens.map_or(USUAL_PRICE, |(prompt, output)| {
        price(prompt as f64, output as f64)
    });
    THRESHOLD - PRICE_SLOPE * (price - LEAST_PRICE)
}

/// Cost of a request relative to its worth, both as the users count tokens.
fn price(prompt: f64, output: f64) -> f64 {
    (PROMPT_COST * prompt + output) / (prompt + OUTPUT_WORTH * output).max(1.0)
}
