//! State of a pool for metrics and status pages.

use model::Upstream;

use crate::outlier::Health;

/// State of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Number of queued requests for each class.
    pub queued: [usize; 4],
    /// Number of requests that have not ended.
    pub open: usize,
    /// Number of first attempts since the start.
    pub first_attempts: u64,
    /// Number of retries and hedges since the start.
    pub extra_attempts: u64,
    /// Engines of the subset that may receive requests.
    pub engines: Vec<EngineStatus>,
}

/// State of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Name of the engine.
    pub name: Upstream,
    /// Current concurrency limit of this node.
    pub limit: f64,
    /// Number of requests of this node in flight.
    pub inflight: u32,
    /// Health as determined by outlier detection.
    pub health: Health,
}
