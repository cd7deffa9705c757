//! Retry budget and hedging decisions.

use std::time::Duration;

use model::Class;
use model::object::service::Repeat;

use crate::estimate::Quantile;
use crate::fault::{Fault, is_injected};

/// Retry budget of a pool: tokens for second and later attempts, as a fraction of first attempts.
///
/// Retries and hedges draw on the same budget, so that together they cannot raise the load of a failing pool
/// by more than the fraction.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    fraction: f64,
    tokens: f64,
    first: u64,
    extra: u64,
}

impl RetryBudget {
    /// Maximum number of saved tokens. It covers the streams that one node loses when a failure domain fails,
    /// and limits the extra load after a long quiet period.
    const MAX_TOKENS: f64 = 30.0;

    /// Initial number of tokens. Without them, a node that has just started refuses every request whose first
    /// attempt fails until it has sent ten others.
    const INITIAL_TOKENS: f64 = 5.0;

    /// Creates a budget of `fraction` further attempts for each first attempt.
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction,
            tokens: Self::INITIAL_TOKENS,
            first: 0,
            extra: 0,
        }
    }

    /// Adds the tokens earned by a first attempt.
    pub fn earn(&mut self) {
        self.first += 1;
        self.tokens = (self.tokens + self.fraction).min(Self::MAX_TOKENS);
    }

    /// Takes the token for one further attempt; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        // The tolerance compensates for rounding, so that ten additions of 0.1 count as one token.
        if self.tokens < 1.0 - 1e-9 {
            return false;
        }
        self.tokens -= 1.0;
        self.extra += 1;
        true
    }

    /// Returns the token of an attempt that was never sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        self.extra -= 1;
    }

    /// Numbers of first and of further attempts so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.first, self.extra)
    }
}

/// Whether a failed attempt may have been executed by the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// Proven not to have started: no connection was made, or the upstream stated that it did not run the
    /// call.
    NotStarted,
    /// The call may have been executed.
    Possible,
}

/// Whether a call may be sent again after a failed attempt.
pub fn may_resend(repeat: Repeat, execution: Execution) -> bool {
    repeat == Repeat::Idempotent || execution == Execution::NotStarted || is_injected(Fault::ResendAll)
}

/// Delay after which a second attempt is started in parallel with an unanswered first one.
#[derive(Debug, Clone)]
pub struct HedgeDelay {
    first_token: [Quantile; Class::ALL.len()],
}

impl HedgeDelay {
    /// Quantile of the time to first token after which a hedge starts. About one request in twenty is hedged
    /// in normal operation, which leaves half of the retry budget for retries.
    const QUANTILE_RANK: f64 = 0.95;

    /// Minimum number of samples before the quantile is used.
    const MIN_SAMPLES: u64 = 50;

    /// Factor applied to the quantile, so that moderately slow answers are not hedged.
    const QUANTILE_FACTOR: f64 = 1.2;

    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self {
            first_token: [Quantile::new(Self::QUANTILE_RANK); Class::ALL.len()],
        }
    }

    /// Adds a sample of the time to first token.
    pub fn add(&mut self, class: Class, first_token: Duration) {
        self.first_token[class.index()].add(first_token.as_secs_f64());
    }

    /// Hedging delay for a call, or `None` if it must not or need not be hedged.
    pub fn delay(&self, class: Class, repeat: Repeat) -> Option<Duration> {
        if repeat == Repeat::NonIdempotent && !is_injected(Fault::HedgeAll) {
            return None;
        }
        if !matches!(class, Class::Interactive | Class::Transaction) {
            return None;
        }
        let quantile = self.first_token[class.index()].value(Self::MIN_SAMPLES)?;
        Some(quantile.mul_f64(Self::QUANTILE_FACTOR))
    }
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self::new()
    }
}
