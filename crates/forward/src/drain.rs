//! Which new requests a node accepts during a planned stop, and when the others end.
//!
//! Callers use addresses for some time after they got them, so a stopping node goes on serving. It refuses what it could
//! not finish: a refusal is true and quick, while a response that the exit cuts off is lost. What may run only once is
//! accepted only if it must end in time; what may be repeated also if it is expected to.

use std::time::Duration;

use model::object::service::Repeat;

/// Time between the exit and the responses to the requests that are still running, in which these are written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Maximum time from the signal to the begin of the stop.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);

/// What is known about a request that arrives during a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Time that it may take.
    pub time_left: Duration,
    /// Time that it is expected to take, if there is an expectation.
    pub expected: Option<Duration>,
}

/// Course of a planned stop, as times since its begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// When all responses that name this node's entry address have expired.
    pub addresses_expired: Duration,
    /// When requests that are still running get a final response.
    pub final_responses: Duration,
    /// When the process ends even if requests are in progress.
    pub exit: Duration,
}

impl Drain {
    /// A stop that ends at `exit`, on a node whose address callers use until `addresses_expired`.
    pub fn new(addresses_expired: Duration, exit: Duration) -> Self {
        let final_responses = exit.saturating_sub(RESPONSE_MARGIN);
        Self {
            addresses_expired: addresses_expired.min(final_responses),
            final_responses,
            exit,
        }
    }

    /// Whether a request that arrives at a time of the stop is served.
    pub fn accepts(&self, arrival: &Arrival, elapsed: Duration) -> bool {
        let ends_in_time = |time: Duration| elapsed.saturating_add(time) <= self.final_responses;
        if ends_in_time(arrival.time_left) {
            return true;
        }
        // Few requests take all of their time, so callers with a cached address are not turned away.
        let may_be_cached = elapsed + SIGNAL_DELAY < self.addresses_expired;
        let expected = arrival.expected.unwrap_or(self.final_responses / 2);
        arrival.repeat == Repeat::Idempotent && may_be_cached && ends_in_time(expected)
    }
}
