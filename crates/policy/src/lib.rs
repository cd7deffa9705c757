//! Decision logic of the router.
//!
//! This crate is pure: it does no I/O, starts no threads and reads no clock. Functions take `now`, a time on
//! the node's monotonic clock, and a random number generator where they need one, and return typed actions
//! that the node executes.

pub mod admission;
pub mod affinity;
pub mod cascade;
pub mod estimate;
mod fault;
mod id_map;
pub mod limit;
pub mod outlier;
pub mod pool;
pub mod retry;
pub mod rollout;
pub mod subsetting;
