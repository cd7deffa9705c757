//! Virtual-time model of engines that several nodes share.
//!
//! Engines batch continuously: each running request advances at a token rate that falls with the batch, the batch is
//! bounded by count and memory, and prompt prefixes are cached. Each node has policy state of its own and sees load
//! reports and cache events late.

pub mod engine;
pub mod node;
pub mod scenario;
pub mod stats;
pub mod traffic;
pub mod world;

#[cfg(test)]
mod tests;
