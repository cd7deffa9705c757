//! Requests, candidates and plans.

use std::time::Duration;

use model::object::version::State;
use model::object::{Organisation, Version};
use model::{Class, Cost, Name};

use super::forecast::Forecast;

/// Maximum number of steps in a plan. Each further step multiplies the number of chains and adds the delay of
/// a rating.
pub const MAX_STEPS: usize = 3;

/// Properties of a request that the choice of versions depends on.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Organisation that sent the request.
    pub organisation: &'a Organisation,
    /// Class of the request.
    pub class: Class,
    /// Time left until the answer is due.
    pub deadline: Duration,
    /// Time-out for one rating.
    pub rating_timeout: Duration,
    /// Cost of one rating.
    pub rating_cost: Cost,
}

/// A version that may be able to answer the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The version. Plans omit versions that are withdrawn or not allowed.
    pub version: &'a Version,
    /// Expected cost of one answer.
    pub cost: Cost,
    /// High percentile of the time to a complete answer, including queueing.
    pub latency: Duration,
}

/// When the answer of a step is rated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RatingMode {
    /// The answer is held back until it is rated, at most for this time.
    BeforeDelivery(Duration),
    /// The answer is delivered at once and rated afterwards.
    AfterDelivery,
    /// The answer is delivered at once and not rated.
    Never,
}

/// One attempt to answer the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Version that receives the request.
    pub version: Name,
    /// Expected cost of the answer.
    pub cost: Cost,
    /// Expected time to the complete answer.
    pub latency: Duration,
    /// When the answer is rated.
    pub rating_mode: RatingMode,
}

/// Why a plan was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Cheapest plan that meets the quality target.
    Target,
    /// No plan meets the quality target within the deadline; this one comes closest.
    BestEffort,
    /// Chosen to gather ratings; counts towards the exploration limit.
    Exploration,
}

/// A non-empty sequence of steps, in the order in which they are tried.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Steps; all but the last are [`RatingMode::BeforeDelivery`].
    pub steps: Vec<Step>,
    /// Why the plan was chosen.
    pub purpose: Purpose,
    /// Expected cost and adequacy.
    pub forecast: Forecast,
}

/// Why a request cannot be planned.
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
    /// Whether the organisation may use the version and the version accepts new requests.
    pub fn permits(&self, version: &Version) -> bool {
        let org = self.organisation;
        let allowed = org.models.contains(&version.model) || org.versions.contains(&version.name);
        allowed && version.state == State::Live
    }

    /// Whether an answer may be held back until it is rated.
    pub fn allows_rating_before_delivery(&self) -> bool {
        matches!(self.class, Class::Standard | Class::Batch)
    }

    /// Quality target of the organisation, from 0 to 1.
    pub fn quality_target(&self) -> f64 {
        f64::from(self.organisation.quality_permille) / 1000.0
    }
}
