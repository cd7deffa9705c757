//! Time from sending a request to an engine to the first byte of its response.

use std::collections::HashMap;
use std::time::Duration;

use model::Name;

/// Number of prompt tokens that take about as long to process as a request usually waits in an engine's queue.
const QUEUE_TOKENS: f64 = 2000.0;

/// Smoothing factor of the times.
const SMOOTHING: f64 = 0.1;

/// Spread of the logarithm of the times around the expected one.
const LOG_SPREAD: f64 = 0.35;

/// Spreads by which the expected time must be shorter than the remaining time to be met as often as not. The first
/// event is only a part of a timely stream: pauses between its events count as well.
const MARGIN: f64 = 2.0;

/// Smoothed times to the first byte per unit of [`prompt_cost`], by route and model.
#[derive(Debug, Clone, Default)]
pub struct FirstByteTimes {
    times: HashMap<(Name, Option<Name>), Duration>,
}

impl FirstByteTimes {
    /// Expected time for a prompt of `tokens`; `None` if the model has not answered on this route.
    pub fn expected(&self, route: &Name, model: Option<&Name>, tokens: u64) -> Option<Duration> {
        let time = self.times.get(&(route.clone(), model.cloned()))?;
        Some(time.mul_f64(prompt_cost(tokens)))
    }

    /// Records a measured time for a prompt of `tokens`.
    pub fn record(&mut self, route: &Name, model: Option<&Name>, tokens: u64, time: Duration) {
        let time = time.div_f64(prompt_cost(tokens));
        let known = self.times.entry((route.clone(), model.cloned())).or_insert(time);
        *known = known.mul_f64(1.0 - SMOOTHING) + time.mul_f64(SMOOTHING);
    }
}

/// Probability that a response which is expected to begin after `expected` is timely if `remaining` is left.
pub fn timely(expected: Duration, remaining: Duration) -> f64 {
    if remaining.is_zero() {
        return 0.0;
    }
    let ratio = expected.as_secs_f64().max(f64::EPSILON) / remaining.as_secs_f64();
    1.0 / (1.0 + (ratio.ln() / LOG_SPREAD + MARGIN).exp())
}

/// Quantity that the time to the first byte is proportional to.
fn prompt_cost(tokens: u64) -> f64 {
    tokens as f64 + QUEUE_TOKENS
}
