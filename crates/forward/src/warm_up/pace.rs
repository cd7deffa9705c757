//! Rate at which an engine gets requests after its cold time, found from its responses.

use std::time::Duration;

use crate::BootTime;
use crate::request_limit::Rate;

/// Responses of an engine that warms up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Responses that began within the usual time.
    pub good: u32,
    /// Responses that began later.
    pub slow: u32,
    /// Requests that the engine turned away.
    pub refused: u32,
}

impl Outcomes {
    /// Multiple of the usual time to the first event up to which a response is good.
    const MAX_GOOD_RATIO: f64 = 1.5;

    /// Time within which any response is good: shorter ones depend on the scheduling of the hosts.
    const MAX_GOOD_TIME: Duration = Duration::from_millis(50);

    /// The outcome of one response that took `ratio` times as long as usual.
    pub fn of_response(ratio: f64, time: Duration) -> Self {
        match ratio <= Self::MAX_GOOD_RATIO || time <= Self::MAX_GOOD_TIME {
            true => Self {
                good: 1,
                ..Self::default()
            },
            false => Self {
                slow: 1,
                ..Self::default()
            },
        }
    }

    /// The outcome of one request that the engine turned away.
    pub fn of_refusal() -> Self {
        Self {
            refused: 1,
            ..Self::default()
        }
    }
}

/// The rate of one engine, kept by the issuer of its permits.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    rate: Rate,
    min_rate: Rate,
    dropped_at: Option<BootTime>,
    /// Since when the rate has exceeded what an engine of the service gets.
    sufficient_since: Option<BootTime>,
    /// Good responses since then, less what slow ones cost.
    confirmed: f64,
}

impl Pace {
    /// Increase for each good response. An engine that uses its whole rate doubles it in 1.4 s.
    const GROWTH: Rate = 0.5;

    /// Largest increase by one report, as a fraction of the rate.
    const MAX_GROWTH: f64 = 0.5;

    /// Decrease for each slow response. About one in eight responses of a sound engine is slow, as the work varies; from one
    /// in four on the rate falls, and if all are slow, it halves in half a second.
    const SLOW_COST: Rate = 1.5;

    /// Factor after a refusal.
    const REFUSED_FACTOR: f64 = 0.5;

    /// Time in which refusals count once: those of requests that were sent at the higher rate still arrive.
    const DROP_INTERVAL: Duration = Duration::from_millis(400);

    /// Lower bound, as a fraction of the first rate: responses have to show when the engine recovers.
    const MIN_FRACTION: f64 = 0.25;

    /// Multiple of the mean rate of an engine from which on the rate is no limit, and the time for which it has to be.
    const SUFFICIENT_FACTOR: f64 = 1.5;
    const SUFFICIENT_TIME: Duration = Duration::from_secs(1);

    /// Minimum number of good responses at such a rate. It counts for engines that get few requests.
    const MIN_CONFIRMED: f64 = 1.0;

    /// Begins with a rate.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate,
            min_rate: rate * Self::MIN_FRACTION,
            dropped_at: None,
            sufficient_since: None,
            confirmed: 0.0,
        }
    }

    /// Requests per second that the engine may get.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Records responses.
    pub fn record(&mut self, outcomes: Outcomes, now: BootTime) {
        let growth = Self::GROWTH * f64::from(outcomes.good);
        let cost = Self::SLOW_COST * f64::from(outcomes.slow);
        let change = (growth - cost).min(self.rate * Self::MAX_GROWTH);
        self.rate = (self.rate + change).max(self.min_rate);
        self.confirmed = (self.confirmed + (growth - cost) / Self::GROWTH).max(0.0);
        let is_recent = |at: BootTime| now.saturating_sub(at) < Self::DROP_INTERVAL;
        if outcomes.refused > 0 {
            self.confirmed = 0.0;
        }
        if outcomes.refused > 0 && !self.dropped_at.is_some_and(is_recent) {
            self.rate = (self.rate * Self::REFUSED_FACTOR).max(self.min_rate);
            self.dropped_at = Some(now);
        }
    }

    /// Whether the engine needs no limit any more. `mean` is the mean rate of the service's engines.
    ///
    /// A sufficient rate alone shows nothing: it may have become so because the mean fell. The engine must have given as many
    /// good responses since as an engine of the service gives in [`Self::SUFFICIENT_TIME`].
    pub fn is_over(&mut self, mean: Rate, now: BootTime) -> bool {
        if self.rate < mean * Self::SUFFICIENT_FACTOR {
            self.sufficient_since = None;
            return false;
        }
        let Some(since) = self.sufficient_since else {
            self.sufficient_since = Some(now);
            self.confirmed = 0.0;
            return false;
        };
        let needed = (mean * Self::SUFFICIENT_TIME.as_secs_f64()).max(Self::MIN_CONFIRMED);
        now.saturating_sub(since) >= Self::SUFFICIENT_TIME && self.confirmed >= needed
    }
}
