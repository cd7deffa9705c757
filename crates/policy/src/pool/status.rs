//! Figures of a pool for metrics and status pages.

use model::Upstream;

use crate::eject::Standing;

/// Figures of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Queued requests for each class.
    pub queued: [usize; 4],
    /// Requests that have not ended.
    pub open: usize,
    /// First attempts so far.
    pub first_attempts: u64,
    /// Further attempts so far.
    pub extra_attempts: u64,
    /// Engines of the subset.
    pub engines: Vec<EngineStatus>,
}

/// Figures of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Name.
    pub name: Upstream,
    /// Concurrency limit.
    pub limit: f64,
    /// Requests of this node in flight.
    pub inflight: u32,
    /// Standing.
    pub standing: Standing,
}
