//! Settings of a pool.

use model::Tokens;

use crate::admission;

/// Settings of a pool.
#[derive(Debug, Clone)]
pub struct Settings {
    /// First concurrency limit of an engine for this node, before any measurement.
    pub concurrency: u32,
    /// Greatest number of engines that this node uses.
    pub subset: usize,
    /// Queues.
    pub queue: admission::Settings,
    /// Further attempts as a fraction of first attempts.
    pub retry_fraction: f64,
    /// Greatest number of attempts for a request.
    pub attempts: u16,
    /// Cost of a prompt token that is not cached, relative to a generated token.
    pub prompt_weight: f64,
    /// Prompt tokens in a cached block.
    pub block_tokens: Tokens,
    /// Greatest number of blocks in the affinity index; a block takes about 100 bytes.
    pub blocks: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            concurrency: 8,
            subset: 40,
            queue: admission::Settings::default(),
            retry_fraction: 0.1,
            attempts: 3,
            prompt_weight: 0.02,
            block_tokens: 64,
            blocks: 200_000,
        }
    }
}
