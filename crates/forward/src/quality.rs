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

/// Confidence below which an answer is dropped while the service has room. Measured on both sites: 30 and 70 were
/// worth less than 50.
const THRESHOLD: f64 = 50.0;

/// Part of the goal that may be used up when the first event of the second answer is expected; the rest covers the
/// spread of the time to the first byte.
const USABLE: f64 = 0.8;

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
    if f64::from(confidence) < THRESHOLD * room {
        Verdict::Escalate
    } else {
        Verdict::Accept
    }
}
