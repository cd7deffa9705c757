//! Choice of versions for a request: the lowest expected cost that meets the organisation's quality target.
//!
//! [`Planner`] estimates the adequacy of each version per organisation and class. Ratings are stored as
//! grow-only counters per node incarnation ([`Counter`]), which nodes exchange and merge by element-wise
//! maximum. Such a counter cannot discount old ratings, so each node discounts locally: it adds the
//! *increments* of the merged counters to a discounted [`Posterior`], which drops its older ratings when
//! recent ones contradict them. Counters stay exact when messages are repeated, reordered or lost, and the
//! clocks of nodes need not agree.
//!
//! [`Planner::plan`] enumerates chains of at most [`MAX_STEPS`] versions in order of price. [`PlanProgress`]
//! tracks the progress of a plan and returns the next action when a step has answered and when a rating
//! arrives, is late or is missing.

mod counter;
mod forecast;
mod plan;
mod planner;
mod posterior;
mod progress;

#[cfg(test)]
mod tests;

pub use counter::{Counter, Record};
pub use forecast::{Adequacy, Forecast, forecast};
pub use plan::{Candidate, Error, MAX_STEPS, Plan, Purpose, RatingMode, Request, Step};
pub use planner::{Observation, Planner, Position, RatingOutcome, Stats, Verdict};
pub use posterior::Posterior;
pub use progress::{Action, PlanProgress, Spend};
