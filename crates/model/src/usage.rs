//! Token usage of a request.

use serde::{Deserialize, Serialize};

use crate::Tokens;

/// Number of tokens that a request consumed and produced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens, including cached ones.
    pub input: Tokens,
    /// Prompt tokens served from the prefix cache.
    pub cached: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}
