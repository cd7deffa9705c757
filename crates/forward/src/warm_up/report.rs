//! What a node tells others about an engine that is not warm.

use std::time::Duration;

use model::{Name, Upstream};

use super::Phase;

/// What a node knows about an engine that is not warm, as passed on between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Name of the engine.
    pub engine: Upstream,
    /// Start of its run, as in [`Engine::started_ms`](crate::directory::Engine::started_ms).
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// State.
    pub phase: Phase,
    /// Time until the state ends.
    pub left: Duration,
    /// Time since the engine was first not warm.
    pub since: Duration,
}
