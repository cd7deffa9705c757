//! What an adequate answer is worth, in the unit in which the configuration states the prices of models.
//!
//! The configuration does not state the value of requests. Within a route it is taken to grow with the size of a
//! request, and from one route to another in proportion to the mean size.

use crate::mean::Mean;

/// Number of prompt tokens and maximum number of output tokens of a request.
pub type Tokens = (u64, u64);

/// Value for each unit of size.
const VALUE_PER_UNIT: f64 = 0.00025;

/// Value of an output token relative to a prompt token.
const OUTPUT_TOKEN_VALUE: f64 = 10.0;

/// Price of a prompt token relative to an output token.
const PROMPT_TOKEN_PRICE: f64 = 0.25;

/// Share of the mean value that does not depend on the size of a request.
const FIXED_SHARE: f64 = 0.3;

/// Maximum value of a request relative to the mean.
const MAX_RELATIVE_VALUE: f64 = 4.0;

/// Factor applied to the weight of earlier requests with each new one.
const RETENTION: f64 = 0.99;

/// Sizes of the recent requests of one route.
#[derive(Debug, Clone, Default)]
pub struct AnswerValue {
    size: Mean,
}

impl AnswerValue {
    /// Counts a request.
    pub fn record(&mut self, tokens: Tokens) {
        self.size.record(size(tokens), 1.0, RETENTION);
    }

    /// Value of an adequate answer to a request.
    pub fn of(&self, tokens: Tokens) -> f64 {
        let size = size(tokens);
        let mean = self.size.value().unwrap_or(size);
        let units = FIXED_SHARE * mean + (1.0 - FIXED_SHARE) * size;
        VALUE_PER_UNIT * units.min(MAX_RELATIVE_VALUE * mean)
    }
}

/// Price of an answer from a model with a cost per 1,000 output tokens.
pub fn price(cost: f64, (prompt, output): Tokens) -> f64 {
    cost * (PROMPT_TOKEN_PRICE * prompt as f64 + output as f64) / 1000.0
}

fn size((prompt, output): Tokens) -> f64 {
    (prompt as f64 + OUTPUT_TOKEN_VALUE * output as f64).max(1.0)
}
