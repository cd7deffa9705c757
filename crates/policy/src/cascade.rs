//! Choice of versions for a request: least expected cost at the organisation's quality target.
//!
//! [`Planner`] holds what is known about the adequacy of each version per organisation and class. Ratings enter as
//! grow-only counters per node incarnation ([`Counter`]), which merge by element-wise maximum and are exchanged between
//! nodes. A counter cannot forget, so forgetting is local: each node folds the *increments* of the merged counters into
//! a discounted [`Belief`], which also restarts from its recent part when that part contradicts the rest. Counters stay
//! exact under repeated, reordered and lost messages, and no clock has to agree between nodes.
//!
//! [`Planner::plan`] enumerates chains of at most [`MAX_STEPS`] versions in order of price, and [`Run`] carries a plan
//! out: it says what to do when a step has answered and when a rating has arrived, is late or is missing.

mod belief;
mod counter;
mod estimate;
mod plan;
mod planner;
mod run;

#[cfg(test)]
mod tests;

pub use belief::Belief;
pub use counter::{Counter, Record};
pub use estimate::{Adequacy, Forecast, forecast};
pub use plan::{Candidate, Error, Gate, MAX_STEPS, Plan, Purpose, Request, Step};
pub use planner::{Observation, Outcome, Planner, Position, Stats, Verdict};
pub use run::{Action, Run, Spend};
