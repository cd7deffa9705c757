//! Retry budget and hedging decisions.

use std::time::Duration;

use model::Class;
use model::object::service::Repeat;

use crate::estimate::Quantile;
use crate::fault::{Fault, fault};

/// Allowance for second and later attempts of a pool, as a fraction of first attempts.
///
/// Retries and hedges draw on the same allowance, so together they cannot raise the load of a failing pool by more
/// than the fraction.
#[derive(Debug, Clone)]
pub struct Budget {
    fraction: f64,
    tokens: f64,
    first: u64,
    extra: u64,
}

impl Budget {
    /// Greatest saved allowance. It covers the streams that one node loses with a failure domain, and it bounds the
    /// extra load after a long quiet period.
    const MOST_TOKENS: f64 = 30.0;

    /// Allowance at the start. Without it, a node that has just started refuses every request whose first attempt
    /// fails until it has sent ten others.
    const FIRST_TOKENS: f64 = 5.0;

    /// A budget of `fraction` further attempts for each first attempt.
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction,
            tokens: Self::FIRST_TOKENS,
            first: 0,
            extra: 0,
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.first += 1;
        self.tokens = (self.tokens + self.fraction).min(Self::MOST_TOKENS);
    }

    /// Takes the allowance for one further attempt, if there is any.
    pub fn spend(&mut self) -> bool {
        // The tolerance makes ten additions of 0.1 count as one.
        if self.tokens < 1.0 - 1e-9 {
            return false;
        }
        self.tokens -= 1.0;
        self.extra += 1;
        true
    }

    /// Gives back the allowance of an attempt that was never sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        self.extra -= 1;
    }

    /// Numbers of first and of further attempts so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.first, self.extra)
    }
}

/// Whether a failed attempt proves that the upstream did not start the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// No connection was made, or the upstream stated that it did not run the call.
    NotStarted,
    /// The call may have run.
    None,
}

/// Whether a call may be sent again after an attempt that failed with `proof`.
pub fn may_resend(repeat: Repeat, proof: Proof) -> bool {
    repeat == Repeat::Idempotent || proof == Proof::NotStarted || fault(Fault::ResendAll)
}

/// Delay after which a second attempt is started beside a first one without an answer.
#[derive(Debug, Clone)]
pub struct Hedge {
    first_token: [Quantile; Class::ALL.len()],
}

impl Hedge {
    /// Rank of the time to first token after which a hedge starts: about one request in twenty is hedged in normal
    /// operation, which leaves half of the retry budget.
    const RANK: f64 = 0.95;

    /// Samples before the quantile is used.
    const LEAST_SAMPLES: u64 = 50;

    /// Factor over the quantile that keeps ordinary slow answers from being hedged.
    const FACTOR: f64 = 1.2;

    /// Delays without samples.
    pub fn new() -> Self {
        Self {
            first_token: [Quantile::new(Self::RANK); Class::ALL.len()],
        }
    }

    /// Adds a measured time to first token.
    pub fn add(&mut self, class: Class, first_token: Duration) {
        self.first_token[class.index()].add(first_token.as_secs_f64());
    }

    /// Delay for a call, or `None` if it must not or need not be hedged.
    pub fn delay(&self, class: Class, repeat: Repeat) -> Option<Duration> {
        if repeat == Repeat::NonIdempotent && !fault(Fault::HedgeAll) {
            return None;
        }
        if !matches!(class, Class::Interactive | Class::Transaction) {
            return None;
        }
        let quantile = self.first_token[class.index()].after(Self::LEAST_SAMPLES)?;
        Some(quantile.mul_f64(Self::FACTOR))
    }
}

impl Default for Hedge {
    fn default() -> Self {
        Self::new()
    }
}
