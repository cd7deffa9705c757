//! Settings of a pool.

use model::Tokens;

use crate::admission;

/// Settings of a pool.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Concurrency limit of this node for an engine before any measurement.
    pub initial_concurrency: u32,
    /// Maximum number of engines that this node uses.
    pub subset_size: usize,
    /// Settings of the request queues.
    pub queue: admission::Settings,
    /// Retry budget: further attempts as a fraction of first attempts.
    pub retry_fraction: f64,
    /// Maximum number of attempts for a request.
    pub max_attempts: u16,
    /// Cost of an uncached prompt token relative to a generated token.
    pub prompt_weight: f64,
    /// Prompt tokens in a cached block.
    pub block_tokens: Tokens,
    /// Maximum number of blocks in the prefix index; a block takes about 100 bytes.
    pub max_blocks: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial_concurrency: 8,
            subset_size: 40,
            queue: admission::Settings::default(),
            retry_fraction: 0.1,
            max_attempts: 3,
            prompt_weight: 0.02,
            block_tokens: 64,
            max_blocks: 200_000,
        }
    }
}
