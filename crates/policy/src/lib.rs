//! Decision logic of the router.
//!
//! Everything here is pure: no I/O, no threads and no clocks. Functions take `now`, a time on the node's monotonic
//! clock, and a random generator where they need one, and return typed actions that the node executes.

pub mod admission;
pub mod affinity;
pub mod balance;
pub mod cascade;
pub mod eject;
pub mod estimate;
mod fault;
mod id_map;
pub mod limit;
pub mod pool;
pub mod retry;
pub mod rollout;
