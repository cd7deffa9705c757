//! Experiments that measure the decision library against baselines, and a load generator.
//!
//! Each experiment is a module with a function `run(seed)` that returns a [`report::Report`].

pub mod affinity;
pub mod capacity;
pub mod cascade;
pub mod cut;
pub mod decide;
pub mod faults;
pub mod loads;
pub mod path;
pub mod quarantine;
pub mod release;
pub mod report;
pub mod rollout;
pub mod rush;
pub mod sim;
pub mod warm_up;
