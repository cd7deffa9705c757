//! Roll-out of a new version: evidence, sequential test, trial traffic and decisions.
//!
//! [`Evidence`] holds grow-only counters per run, arm and node incarnation; a [`Run`] is a roll-out at one revision, so
//! that each stage is judged on its own and a version that degrades later is not excused by its past. [`Controller`] is
//! one node's part in a roll-out: it admits trial requests, folds the merged evidence into [`sequential::Process`] and
//! yields a [`Decision`]. Two judges, the first live hosts in rendezvous order, do so independently. A successor needs
//! nothing from a judge that died: it replays the merged counters. A decision names the revision that it is based on, so
//! that exactly one of several proposals is accepted.
//!
//! Only trial nodes and a few observers record evidence, and the judges receive it, so that costs and delays do not grow with the fleet.

mod controller;
mod evidence;
mod exposure;
pub mod sequential;

#[cfg(test)]
mod tests;

pub use controller::{Admission, Cause, Controller, Decision, Next, Node, Reason};
pub use evidence::{Arm, Counter, Event, Evidence, Record, Run};
pub use exposure::{JUDGES, OBSERVERS, judges, observers, trial_nodes, trial_share};
