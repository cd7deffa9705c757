//! Sizes of requests.

/// What is known about the sizes of a service's requests, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Size {
    /// Mean of the tokens that a request shares with no other.
    pub own: f64,
    /// Standard deviation of these.
    pub deviation: f64,
    /// Mean tokens of the prompt parts that a request may share.
    pub shared: f64,
}

impl Size {
    /// Standard deviations above the mean of a sum that are counted on. Prompt parts draw long requests to the same engines,
    /// and no engine may be the one that exceeds its memory. With 3, one of 90 engines still did in a replay.
    const DEVIATIONS: f64 = 4.0;

    /// Tokens that a number of requests hold at most, in all likelihood.
    ///
    /// Requests with the same shared part meet at the same engines, so that the number of different parts grows more slowly
    /// than that of requests; its square root lies between one part for all and one for each.
    pub(super) fn bound(&self, requests: f64) -> f64 {
        requests * self.own + requests.sqrt() * (Self::DEVIATIONS * self.deviation + self.shared)
    }
}
