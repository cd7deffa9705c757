//! Requests, candidates and plans.

use std::time::Duration;

use model::object::version::State;
use model::object::{Organisation, Version};
use model::{Class, Cost, Name};

use super::estimate::Forecast;

/// Greatest number of steps. Each further step multiplies the number of chains and adds a rating's delay.
pub const MAX_STEPS: usize = 3;

/// A request as far as the choice of versions depends on it.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Organisation that sends it.
    pub organisation: &'a Organisation,
    /// Class.
    pub class: Class,
    /// Time left until the answer is due.
    pub deadline: Duration,
    /// Time-out for one rating.
    pub rating_timeout: Duration,
    /// Cost of one rating.
    pub rating_cost: Cost,
}

/// A version that could answer the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The version; one that is withdrawn or not allowed is never planned.
    pub version: &'a Version,
    /// Expected cost of one answer.
    pub cost: Cost,
    /// Time to a whole answer at a high percentile, queueing included.
    pub latency: Duration,
}

/// What happens to the answer of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// The answer waits for its rating, at most for this time.
    Rated(Duration),
    /// The answer is delivered at once and rated afterwards.
    Sampled,
    /// The answer is delivered at once and not rated.
    Unrated,
}

/// One step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Version.
    pub version: Name,
    /// Expected cost of its answer.
    pub cost: Cost,
    /// Expected time to its whole answer.
    pub latency: Duration,
    /// What happens to its answer.
    pub gate: Gate,
}

/// Why a plan was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Cheapest plan that meets the quality target.
    Target,
    /// No plan meets the quality target in time; this one comes closest.
    BestEffort,
    /// Chosen to learn; counted against the exploration allowance.
    Exploration,
}

/// Steps in the order in which they are tried; there is at least one.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Steps; all but the last are [`Gate::Rated`].
    pub steps: Vec<Step>,
    /// Why it was chosen.
    pub purpose: Purpose,
    /// Expected cost and adequacy.
    pub forecast: Forecast,
}

/// A request that cannot be planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No candidate is both allowed and live.
    #[error("no candidate is both allowed and live")]
    NoCandidate,
    /// No candidate answers within the deadline.
    #[error("no candidate answers within the deadline")]
    Deadline,
}

impl Request<'_> {
    /// Whether the organisation may use the version and the version takes new requests.
    pub fn permits(&self, version: &Version) -> bool {
        let org = self.organisation;
        let allowed = org.models.contains(&version.model) || org.versions.contains(&version.name);
        allowed && version.state == State::Live
    }

    /// Whether an answer may be held back for its rating.
    pub fn tolerates_rating(&self) -> bool {
        matches!(self.class, Class::Standard | Class::Batch)
    }

    /// Quality target, 0 to 1.
    pub fn quality(&self) -> f64 {
        f64::from(self.organisation.quality_permille) / 1000.0
    }
}
