//! Token counts of a request.

use serde::{Deserialize, Serialize};

use crate::Tokens;

/// Tokens that a request consumed and produced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens, cached ones included.
    pub input: Tokens,
    /// Prompt tokens served from the prefix cache.
    pub cached: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}
