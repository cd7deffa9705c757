//! Decision logic without I/O, threads or clocks.

pub mod cascade;
pub mod rollout;
