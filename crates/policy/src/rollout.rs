//! Roll-out of a new version: evidence, sequential tests, trial traffic and decisions.
//!
//! [`Evidence`] holds grow-only counters per revision of the roll-out, arm and node incarnation. An advance
//! gives the roll-out a new revision ([`RolloutRevision`]), so that each stage is evaluated on its own and a
//! version that degrades later is not excused by earlier good outcomes. [`Controller`] runs on each node that
//! takes part: it admits trial requests, feeds the merged evidence to a [`sequential::SequentialTest`] and
//! returns a [`Decision`]. Two evaluators, the first live hosts in rendezvous order, decide independently. A
//! successor needs no state of an evaluator that died, since it processes the merged counters from the start.
//! A decision names the revision that it is based on, so that exactly one of several proposals is accepted.
//!
//! Only trial nodes and a few observers record evidence, and the evaluators receive it, so that costs and
//! delays do not grow with the fleet.

mod controller;
mod evidence;
mod exposure;
pub mod sequential;

#[cfg(test)]
mod tests;

pub use controller::{Admission, Cause, Controller, Decision, Next, Node, Reason};
pub use evidence::{Arm, Counter, Event, Evidence, Record, RolloutRevision};
pub use exposure::{EVALUATORS, OBSERVERS, evaluators, observers, trial_nodes, trial_share};
